//! Stand-ins and cases of the review.

mod fleet;
mod guard;
mod http;
mod proxy;
mod server;
mod store;

mod cut_by_stop;
mod held_up;
mod odd_row;
mod reborn_behind_cut;
mod truncated_last_answer;

use std::path::Path;
use std::process::ExitCode;

/// How a case ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    Held,
    Broken,
    CouldNotRun,
}

fn main() -> ExitCode {
    let words: Vec<String> = std::env::args().skip(1).collect();
    let words: Vec<&str> = words.iter().map(String::as_str).collect();
    let trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    let outcome = match words[..] {
        ["server", address, id, log, version] => {
            server::run(address.parse().expect("an address"), id, log, version);
            Outcome::Held
        }
        ["guard", case, folder] => {
            guard::run(case, folder);
            Outcome::Held
        }
        ["truncated-last-answer", folder] => truncated_last_answer::run(Path::new(folder), trouble),
        ["cut-by-stop", folder] => cut_by_stop::run(Path::new(folder), trouble),
        ["reborn-behind-cut", folder] => reborn_behind_cut::run(Path::new(folder), trouble),
        ["odd-row", folder] => odd_row::run(Path::new(folder), trouble),
        ["held-up", folder] => held_up::run(Path::new(folder), trouble),
        _ => {
            eprintln!("usage: review-standins CASE FOLDER");
            Outcome::CouldNotRun
        }
    };
    guard::finish();
    match outcome {
        Outcome::Held => ExitCode::SUCCESS,
        Outcome::Broken => ExitCode::from(1),
        Outcome::CouldNotRun => ExitCode::from(2),
    }
}
