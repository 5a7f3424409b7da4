//! A process that ends the routers of a case and removes its folder when the case has ended in any
//! way, or runs for too long. Servers end by themselves with their standard input.

use std::io::{BufRead, Write};
use std::path::Path;
use std::process::{Child, ChildStdin, Command, Stdio};
use std::sync::{Mutex, OnceLock};
use std::time::Duration;

/// Longest time of a case.
const LIMIT: Duration = Duration::from_secs(115);

static GUARD: OnceLock<Mutex<Guard>> = OnceLock::new();

/// The guard, as its case sees it.
struct Guard {
    process: Child,
    input: Option<ChildStdin>,
}

/// Tells the guard of this case a line: `+PID` of a process that started, `-PID` of one that was
/// waited for.
pub fn tell(line: &str) {
    if let Some(guard) = GUARD.get() {
        if let Some(input) = &mut guard.lock().expect("guard").input {
            let _ = writeln!(input, "{line}");
        }
    }
}

/// Starts the guard of this case, which keeps its files in `folder`.
pub fn start(folder: &Path) {
    let program = std::env::current_exe().expect("this program");
    let child = Command::new(program)
        .arg("guard")
        .arg(std::process::id().to_string())
        .arg(folder)
        .stdin(Stdio::piped())
        .spawn();
    let mut process = child.expect("a guard");
    let input = process.stdin.take();
    let _ = GUARD.set(Mutex::new(Guard { process, input }));
}

/// Ends the guard of this case and waits for it.
pub fn finish() {
    if let Some(guard) = GUARD.get() {
        let mut guard = guard.lock().expect("guard");
        guard.input = None;
        let _ = guard.process.wait();
    }
}

/// Runs the guard of the case with this process id.
pub fn run(case: &str, folder: &str) {
    let case = case.to_string();
    std::thread::spawn(move || {
        std::thread::sleep(LIMIT);
        kill(&case);
    });
    let mut started: Vec<String> = Vec::new();
    for line in std::io::stdin().lock().lines().map_while(Result::ok) {
        match line.split_at(1) {
            ("+", id) => started.push(id.to_string()),
            (_, id) => started.retain(|known| known != id),
        }
    }
    started.iter().for_each(|id| kill(id));
    let _ = std::fs::remove_dir_all(folder);
}

fn kill(id: &str) {
    let command = format!("kill -KILL {id}");
    let _ = Command::new("sh")
        .args(["-c", command.as_str()])
        .stderr(Stdio::null())
        .status();
}
