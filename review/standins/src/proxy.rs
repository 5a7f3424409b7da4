//! A link to one server that can be cut: while it is, nothing passes in either direction, and what
//! waits arrives when the cut has healed.

use std::io::{ErrorKind, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

/// How often a cut link looks whether it has healed.
const POLL: Duration = Duration::from_millis(5);

pub struct Link {
    pub address: SocketAddr,
    cut: Arc<AtomicBool>,
}

impl Link {
    /// Starts a link from `address` to a server.
    pub fn start(address: SocketAddr, server: SocketAddr) -> Link {
        let listener = TcpListener::bind(address).expect("the link's address");
        let cut = Arc::new(AtomicBool::new(false));
        let state = cut.clone();
        std::thread::spawn(move || {
            for caller in listener.incoming().flatten() {
                let cut = state.clone();
                std::thread::spawn(move || join(caller, server, &cut));
            }
        });
        Link { address, cut }
    }

    pub fn set_cut(&self, cut: bool) {
        self.cut.store(cut, Ordering::SeqCst);
    }
}

fn wait_healed(cut: &AtomicBool) {
    while cut.load(Ordering::SeqCst) {
        std::thread::sleep(POLL);
    }
}

fn join(caller: TcpStream, server: SocketAddr, cut: &Arc<AtomicBool>) {
    wait_healed(cut);
    // A server that is down refuses: the caller's connection is closed.
    let Ok(server) = TcpStream::connect(server) else {
        return;
    };
    let _ = caller.set_nodelay(true);
    let _ = server.set_nodelay(true);
    let (Ok(caller_in), Ok(server_in)) = (caller.try_clone(), server.try_clone()) else {
        return;
    };
    let own = cut.clone();
    let requests = std::thread::spawn(move || pass(caller_in, server, &own));
    pass(server_in, caller, cut);
    let _ = requests.join();
}

/// Passes bytes, and the end of a channel that was closed in order. A reset is not turned into such
/// an end: both directions then stay silent.
fn pass(mut from: TcpStream, mut to: TcpStream, cut: &AtomicBool) {
    let mut buffer = [0; 16 * 1024];
    loop {
        let read = from.read(&mut buffer);
        wait_healed(cut);
        match read {
            Ok(0) => {
                let _ = to.shutdown(Shutdown::Write);
                return;
            }
            Ok(size) => {
                if to.write_all(&buffer[..size]).is_err() {
                    return;
                }
            }
            Err(error) if error.kind() == ErrorKind::Interrupted => {}
            Err(_) => return,
        }
    }
}
