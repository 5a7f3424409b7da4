//! Standard output behind a bounded buffer.

use std::io::{self, Write};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::mpsc::{Receiver, SyncSender, TrySendError, sync_channel};
use std::time::Duration;

/// Lines that may wait for standard output: a burst of one second at the limit of lines per event.
const WAITING_LINES: usize = 2048;
/// Pause after the first waiting line, so that many lines share one write.
const BATCH_PAUSE: Duration = Duration::from_millis(200);

/// Lines dropped because the buffer was full.
static LOST: AtomicU64 = AtomicU64::new(0);

/// Lines that were dropped so far because standard output did not take them in time.
pub fn lines_lost() -> u64 {
    LOST.load(Ordering::Relaxed)
}

/// Writes whole lines to standard output from a thread of its own.
///
/// [`Write::write`] never blocks: when the buffer is full the line is dropped and counted in
/// [`lines_lost`].
#[derive(Clone, Debug)]
pub struct LineWriter {
    lines: SyncSender<Vec<u8>>,
}

impl LineWriter {
    /// Starts the thread that writes.
    ///
    /// # Errors
    ///
    /// The thread cannot be started.
    pub fn start() -> io::Result<LineWriter> {
        let (lines, waiting) = sync_channel(WAITING_LINES);
        std::thread::Builder::new()
            .name("log".to_string())
            .spawn(move || copy(&waiting))?;
        Ok(LineWriter { lines })
    }
}

impl Write for LineWriter {
    fn write(&mut self, line: &[u8]) -> io::Result<usize> {
        match self.lines.try_send(line.to_vec()) {
            Ok(()) => {}
            Err(TrySendError::Full(_) | TrySendError::Disconnected(_)) => {
                LOST.fetch_add(1, Ordering::Relaxed);
            }
        }
        Ok(line.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

/// Copies lines until every sender is gone. An error of standard output drops the batch, since there
/// is nowhere left to report it.
fn copy(waiting: &Receiver<Vec<u8>>) {
    while let Ok(first) = waiting.recv() {
        std::thread::sleep(BATCH_PAUSE);
        let mut batch = first;
        let mut count = 1;
        while let Ok(line) = waiting.try_recv() {
            batch.extend_from_slice(&line);
            count += 1;
        }
        if io::stdout().write_all(&batch).is_err() {
            LOST.fetch_add(count, Ordering::Relaxed);
        }
    }
}
