//! Stand-ins of the second review, and the cases that use them.

mod client;
mod crash_of_leaving_server;
mod http;
mod server;
mod site;
mod slow_reader_at_stop;
mod store;

use server::ServerArgs;
use std::path::Path;
use std::time::Duration;

fn main() {
    let args: Vec<String> = std::env::args().skip(1).collect();
    let args: Vec<&str> = args.iter().map(String::as_str).collect();
    let broken = match args.as_slice() {
        ["server", id, address, log, delay_ms] => {
            let args = ServerArgs {
                id: id.to_string(),
                address: address.parse().expect("an address"),
                log: log.into(),
                delay: Duration::from_millis(delay_ms.parse().expect("a number")),
            };
            server::run(&args).expect("a server");
            return;
        }
        ["crash-of-leaving-server", folder] => crash_of_leaving_server::run(Path::new(folder)),
        ["slow-reader-at-stop", folder] => slow_reader_at_stop::run(Path::new(folder)),
        _ => {
            eprintln!("usage: standins-2 CASE FOLDER");
            std::process::exit(2);
        }
    };
    std::process::exit(i32::from(broken));
}
