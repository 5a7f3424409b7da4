//! A writer to standard output that never blocks.

use std::io::{self, Write};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::mpsc::{Receiver, SyncSender, TrySendError, sync_channel};
use std::time::Duration;

/// Maximum number of lines in the buffer: a burst of one second at the limit of lines per event.
const MAX_BUFFERED_LINES: usize = 2048;
/// Delay after the first line of a batch, so that many lines share one write.
const BATCH_DELAY: Duration = Duration::from_millis(200);

/// Number of lines that were dropped.
static LOST: AtomicU64 = AtomicU64::new(0);

/// Number of lines dropped so far, because standard output was too slow or failed.
pub fn lines_lost() -> u64 {
    LOST.load(Ordering::Relaxed)
}

/// Writes whole lines to standard output on a separate thread.
///
/// [`Write::write`] never blocks: when the buffer is full the line is dropped and counted in
/// [`lines_lost`].
#[derive(Clone, Debug)]
pub struct LineWriter {
    lines: SyncSender<Vec<u8>>,
}

impl LineWriter {
    /// Starts the writing thread.
    ///
    /// # Errors
    ///
    /// The thread cannot be started.
    pub fn start() -> io::Result<LineWriter> {
        let (lines, buffer) = sync_channel(MAX_BUFFERED_LINES);
        std::thread::Builder::new()
            .name("log".to_string())
            .spawn(move || write_batches(&buffer))?;
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

/// Writes lines in batches until every sender is dropped. If standard output fails, the batch is
/// dropped and counted as lost, since there is nowhere left to report the error.
fn write_batches(buffer: &Receiver<Vec<u8>>) {
    while let Ok(first) = buffer.recv() {
        std::thread::sleep(BATCH_DELAY);
        let mut batch = first;
        let mut count = 1;
        while let Ok(line) = buffer.try_recv() {
            batch.extend_from_slice(&line);
            count += 1;
        }
        if io::stdout().write_all(&batch).is_err() {
            LOST.fetch_add(count, Ordering::Relaxed);
        }
    }
}
