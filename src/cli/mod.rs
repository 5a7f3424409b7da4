//! The commands of the program and their exit codes.

mod admin;
mod admin_args;
mod admin_client;
mod admin_status;
mod args;
mod check;
mod dev;
mod edge;
mod edge_status;
mod explain;
mod fake;
mod logs;
mod run;

use args::Command;
use std::future::Future;
use std::process::ExitCode;

/// Exit codes; docs/operations.md lists them.
pub(crate) mod exit {
    /// Success.
    pub(crate) const OK: u8 = 0;
    /// A failure while running, such as an address in use.
    pub(crate) const FAILED: u8 = 1;
    /// Problems in arguments or settings.
    pub(crate) const INVALID: u8 = 2;
    /// The drain limit passed with calls in flight.
    pub(crate) const DRAIN_LIMIT: u8 = 3;
    /// A change was not made, because another operator had changed the configuration first.
    pub(crate) const CONFLICT: u8 = 4;
    /// The router refused an operator's request because of its token, rights or content.
    pub(crate) const REFUSED: u8 = 5;
    /// The router or the platform could not be reached; nothing was changed.
    pub(crate) const UNREACHABLE: u8 = 6;
    /// It is not known whether a change was made.
    pub(crate) const UNKNOWN: u8 = 7;
}

/// Parses the arguments and runs the command.
pub(crate) fn run() -> ExitCode {
    let command = match args::command().run_inner(bpaf::Args::current_args()) {
        Ok(command) => command,
        Err(failure) => {
            failure.print_message(100);
            let code = if failure.exit_code() == 0 {
                exit::OK
            } else {
                exit::INVALID
            };
            return ExitCode::from(code);
        }
    };
    let code = match command {
        Command::Run { config } => run::run(&config),
        Command::Edge { check: true, .. } => edge::check(),
        Command::Edge {
            status: Some(address),
            release: Some(suspect),
            ..
        } => block_on(edge_status::release(address, &suspect)),
        Command::Edge {
            release: Some(_), ..
        } => {
            eprintln!("error: --release needs --status ADDRESS");
            exit::FAILED
        }
        Command::Edge {
            status: Some(address),
            ..
        } => block_on(edge_status::show(address)),
        Command::Edge { .. } => edge::edge(),
        Command::Explain { log, id } => explain::explain(log.as_deref(), &id),
        Command::Check(checked) => check::check(&checked),
        Command::Targets(command) => admin::report(admin::targets(command)),
        Command::Customers(command) => admin::report(admin::customers(command)),
        Command::Teams(command) => admin::report(admin::teams(command)),
        Command::Status(command) => admin::report(admin_status::status(command)),
        Command::Token(command) => admin::report(admin::token(command)),
        Command::Fake(fake) => fake::fake(fake),
        Command::Dev { port } => dev::dev(port),
    };
    ExitCode::from(code)
}

/// Runs a future on a new runtime and returns its exit code.
pub(crate) fn block_on<F: Future<Output = u8>>(future: F) -> u8 {
    match tokio::runtime::Builder::new_multi_thread()
        .enable_all()
        .build()
    {
        Ok(runtime) => {
            let code = runtime.block_on(future);
            runtime.shutdown_background();
            code
        }
        Err(error) => failed(&format!("cannot start the runtime: {error}")),
    }
}

/// Prints a failure to standard error and returns its exit code.
pub(crate) fn failed(message: &str) -> u8 {
    eprintln!("error: {message}");
    exit::FAILED
}

/// Waits for SIGTERM or SIGINT.
pub(crate) async fn terminated() {
    use tokio::signal::unix::{SignalKind, signal};
    let (Ok(mut term), Ok(mut int)) = (
        signal(SignalKind::terminate()),
        signal(SignalKind::interrupt()),
    ) else {
        return std::future::pending().await;
    };
    tokio::select! {
        _ = term.recv() => {}
        _ = int.recv() => {}
    }
}
