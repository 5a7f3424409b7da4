//! Servers whose answers end where none should: within their heads, or while the request is still being written.

use bytes::Bytes;
use http::Request;
use sequoiaridge_core::Verdict;
use sequoiaridge_http::{Client, ClientConfig, ClientError, Response};
use socket2::SockRef;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};

const TIMEOUT: Duration = Duration::from_secs(5);
/// Longer than the buffers of the sockets between client and server.
const LONG: usize = 12_000_000;

/// Answers one request with these bytes once its head has arrived, and resets the connection, or closes it in
/// order.
async fn serve(mut stream: TcpStream, answer: &str, resets: bool) -> Option<()> {
    let mut head = Vec::new();
    while !head.ends_with(b"\r\n\r\n") {
        head.push(stream.read_u8().await.ok()?);
    }
    stream.write_all(answer.as_bytes()).await.ok()?;
    if resets {
        tokio::time::sleep(Duration::from_millis(100)).await;
        let socket = SockRef::from(&stream);
        socket.set_linger(Some(Duration::ZERO)).ok()?;
    } else {
        let mut rest = vec![0; 64 * 1024];
        let read = async { while stream.read(&mut rest).await.is_ok_and(|size| size > 0) {} };
        let _ = tokio::time::timeout(Duration::from_millis(300), read).await;
    }
    Some(())
}

/// Starts a server that answers like that.
async fn start(answer: &'static str, resets: bool) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a listener");
    let address = listener.local_addr().expect("an address");
    tokio::spawn(async move {
        while let Ok((stream, _)) = listener.accept().await {
            tokio::spawn(serve(stream, answer, resets));
        }
    });
    address
}

/// Sends a request on a connection of its own, or on one of the pool, and reads the whole answer.
async fn ask(server: SocketAddr, size: usize, is_fresh: bool) -> Result<Bytes, ClientError> {
    let client = Client::new(ClientConfig {
        head_timeout: TIMEOUT,
        chunk_timeout: TIMEOUT,
        ..ClientConfig::default()
    });
    let body = Bytes::from(vec![b'x'; size]);
    let response: Response = if is_fresh {
        let request = Request::post("/book").body(body).expect("a request");
        client.send_fresh(server, request, TIMEOUT, TIMEOUT).await?
    } else {
        let headers = http::HeaderMap::new();
        client
            .send(server, http::Method::POST, "/book", &headers, body)
            .await?
    };
    response.bytes(LONG).await
}

/// Guards against a part of an answer, or an answer without a status, that passes as a complete one: after a reset
/// while the request is still being written, and after a head that ends with its connection.
#[tokio::test]
async fn no_answer_that_ends_early_is_complete() {
    let sized = "HTTP/1.1 200 X\r\nContent-Length: 100\r\n\r\npart";
    let unframed = "HTTP/1.1 200 X\r\n\r\npart";
    let half_head = "HTTP/1.1 200 X\r\nContent-Le";
    let open_head = "HTTP/1.1 200 X\r\nContent-Length: 0\r\n";
    let no_status = "HTTP/1.1 000 X\r\nContent-Length: 2\r\n\r\nno";
    let short_status = "HTTP/1.1 99 X\r\nContent-Length: 2\r\n\r\nno";
    let answers = [
        sized,
        unframed,
        half_head,
        open_head,
        no_status,
        short_status,
    ];
    for answer in answers {
        for (resets, size) in [(true, LONG), (true, 1), (false, 1)] {
            // An answer without a length ends with its connection, in order, and then it is whole.
            if answer == unframed && !resets {
                continue;
            }
            let server = start(answer, resets).await;
            for is_fresh in [true, false] {
                let result = ask(server, size, is_fresh).await;
                let error = result.expect_err(answer);
                assert_eq!(error.verdict(), Verdict::MayHaveRun, "{answer:?} {size}");
            }
        }
    }
}
