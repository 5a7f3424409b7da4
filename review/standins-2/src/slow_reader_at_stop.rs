//! A router stops as planned while a client reads an answer slowly.

use crate::client::{Ask, ask_on};
use crate::site::Site;
use std::net::{SocketAddr, TcpStream};
use std::path::Path;
use std::time::Duration;

/// Time from the requests to SIGTERM.
const BEFORE_STOP: Duration = Duration::from_millis(300);
/// Bytes of the answer.
const BODY: usize = 3_000_000;
/// Bytes that the client reads in a second: the whole answer in 6.7 s.
const RATE: usize = 450_000;
/// Largest segment that a client's link carries, as on an Ethernet; that of the loopback link is 64 KB.
const SEGMENT: i32 = 1460;
/// Receive buffer of a client in bytes, as of a small device.
const RECEIVE_BUFFER: i32 = 16 * 1024;

/// Runs the case. Returns whether the rule was broken.
pub fn run(folder: &Path) -> bool {
    let site = Site::start(folder);
    let server = site.server("i-1", Duration::from_millis(50));
    site.list(&server, "ready");
    let mut router = site.router("edge-zapopan-1");
    std::thread::sleep(Duration::from_millis(1200));
    let record = &site.record;
    let mut clients = Vec::new();
    for (method, route) in [("GET", "read"), ("POST", "order")] {
        let request = Ask {
            attempt: format!("attempt-{route}"),
            method,
            path: format!("/{route}/1"),
            work: format!("framing=chunks,body={BODY}"),
            wait: Duration::from_secs(9),
            rate: Some(RATE),
        };
        record.note(&format!(
            "a client sends {method} /{route}/1 as {} and reads {RATE} bytes a second",
            request.attempt
        ));
        let address = router.address;
        clients.push(std::thread::spawn(move || {
            let answer = connect(address).map(|stream| ask_on(stream, &request));
            (request, answer.unwrap_or_default())
        }));
    }
    std::thread::sleep(BEFORE_STOP);
    if site.trouble {
        router.signal("TERM");
        record.note("SIGTERM to router edge-zapopan-1; grace_s is 8");
    }
    let mut broken = false;
    for client in clients {
        let (request, answer) = client.join().expect("a client");
        let lost = !answer.complete;
        broken |= lost;
        record.note(&format!(
            "the client of {} got status={} complete={} {} of {BODY} bytes after {:.1} s{}",
            request.attempt,
            answer.status,
            answer.complete,
            answer.body.len(),
            answer.time.as_secs_f64(),
            if lost {
                ": BROKEN, the channel ended without a complete answer"
            } else {
                ""
            }
        ));
        site.record_log(&router, &request.attempt);
    }
    record.note(&format!("the router has exited: {}", router.has_exited()));
    site.record_runs(&server);
    broken
}

/// Opens a connection like that of a small device on an Ethernet.
fn connect(address: SocketAddr) -> Option<TcpStream> {
    link::open(address, SEGMENT, RECEIVE_BUFFER)
}

mod link {
    //! Sets socket options before the connection opens, which the standard library cannot.

    use std::net::{SocketAddr, TcpStream};
    use std::os::fd::FromRawFd;

    const AF_INET: i32 = 2;
    const SOCK_STREAM: i32 = 1;
    const IPPROTO_TCP: i32 = 6;
    const TCP_MAXSEG: i32 = 2;
    const SOL_SOCKET: i32 = 1;
    const SO_RCVBUF: i32 = 8;

    #[repr(C)]
    struct Address {
        family: u16,
        port: u16,
        ip: [u8; 4],
        zero: [u8; 8],
    }

    unsafe extern "C" {
        fn socket(domain: i32, kind: i32, protocol: i32) -> i32;
        fn setsockopt(fd: i32, level: i32, name: i32, value: *const i32, length: u32) -> i32;
        fn connect(fd: i32, address: *const Address, length: u32) -> i32;
    }

    /// Opens a connection with a largest segment and a receive buffer.
    pub fn open(to: SocketAddr, segment: i32, buffer: i32) -> Option<TcpStream> {
        let SocketAddr::V4(to) = to else {
            return None;
        };
        let address = Address {
            family: AF_INET as u16,
            port: to.port().to_be(),
            ip: to.ip().octets(),
            zero: [0; 8],
        };
        // SAFETY: the calls get a descriptor that is owned here, and pointers to values that outlive them.
        unsafe {
            let fd = socket(AF_INET, SOCK_STREAM, 0);
            if fd < 0 {
                return None;
            }
            let stream = TcpStream::from_raw_fd(fd);
            let set = setsockopt(fd, IPPROTO_TCP, TCP_MAXSEG, &segment, 4)
                | setsockopt(fd, SOL_SOCKET, SO_RCVBUF, &buffer, 4);
            let opened = connect(fd, &address, 16);
            (set == 0 && opened == 0).then_some(stream)
        }
    }
}
