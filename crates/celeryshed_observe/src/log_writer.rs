//! The thread that writes the log.

#[cfg(test)]
mod tests;

use std::fmt;
use std::io::Write;
use std::panic::{AssertUnwindSafe, catch_unwind};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::mpsc::{Receiver, RecvTimeoutError, SyncSender};
use std::sync::{Arc, Mutex, OnceLock, PoisonError};
use std::thread;
use std::time::Duration;

/// How long the thread collects lines before each write.
const BATCH_PAUSE: Duration = Duration::from_millis(40);
/// How long the thread waits for a line before it reports dropped lines.
const REPORT_INTERVAL: Duration = Duration::from_secs(1);

/// The writer of the installed log.
static INSTALLED: OnceLock<LogWriter> = OnceLock::new();

pub(crate) enum WriterInput {
    Line(Vec<u8>),
    Flush(SyncSender<()>),
}

/// What the thread needs; taken by the thread once it runs.
struct WriterState {
    output: Box<dyn Write + Send>,
    inputs: Receiver<WriterInput>,
    dropped_lines: &'static AtomicU64,
}

/// Starts the thread that writes the log. While the system refuses a new thread, lines wait.
#[derive(Clone, Debug)]
pub(crate) struct LogWriter {
    state: Arc<Mutex<Option<WriterState>>>,
    has_thread: Arc<AtomicBool>,
}

impl LogWriter {
    /// Takes over `inputs`, and starts the thread if that is possible now.
    pub(crate) fn start(
        output: impl Write + Send + 'static,
        inputs: Receiver<WriterInput>,
        dropped_lines: &'static AtomicU64,
    ) -> Self {
        let state = WriterState { output: Box::new(output), inputs, dropped_lines };
        let writer = Self { state: Arc::new(Mutex::new(Some(state))), has_thread: Arc::default() };
        writer.ensure_thread();
        writer
    }

    /// Makes this the writer that [`ensure_log_writer`] cares for, unless there is one.
    pub(crate) fn install(&self) {
        // A second log can't be installed either.
        let _ = INSTALLED.set(self.clone());
    }

    /// Starts the thread unless it runs; the next call tries again if the system refuses it, or if it has
    /// panicked.
    pub(crate) fn ensure_thread(&self) {
        if self.has_thread.swap(true, Ordering::Relaxed) {
            return;
        }
        let writer = self.clone();
        let spawned = thread::Builder::new().name("log".to_owned()).spawn(move || {
            let taken = writer.state.lock().unwrap_or_else(PoisonError::into_inner).take();
            let Some(mut state) = taken else { return };
            if catch_unwind(AssertUnwindSafe(|| state.write_lines())).is_err() {
                // The next thread goes on with the lines that wait.
                *writer.state.lock().unwrap_or_else(PoisonError::into_inner) = Some(state);
                writer.has_thread.store(false, Ordering::Relaxed);
            }
        });
        if spawned.is_err() {
            self.has_thread.store(false, Ordering::Relaxed);
        }
    }
}

/// Starts the thread that writes the log if the system has refused it so far.
pub(crate) fn ensure_log_writer() {
    if let Some(writer) = INSTALLED.get() {
        writer.ensure_thread();
    }
}

impl fmt::Debug for WriterState {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.debug_struct("WriterState").finish_non_exhaustive()
    }
}

impl WriterState {
    fn write_lines(&mut self) {
        let mut batch = Vec::new();
        let mut flush_replies = Vec::new();
        loop {
            match self.inputs.recv_timeout(REPORT_INTERVAL) {
                Ok(input) => collect(input, &mut batch, &mut flush_replies),
                Err(RecvTimeoutError::Timeout) => {}
                Err(RecvTimeoutError::Disconnected) => return,
            }
            if flush_replies.is_empty() && !batch.is_empty() {
                thread::sleep(BATCH_PAUSE);
            }
            while let Ok(input) = self.inputs.try_recv() {
                collect(input, &mut batch, &mut flush_replies);
            }
            let count = self.dropped_lines.swap(0, Ordering::Relaxed);
            if count > 0 {
                // Writing to a Vec can't fail.
                let _ = writeln!(batch, "level=WARN event=lines_left_out count={count}");
            }
            // An error means that the output is closed; there is no other output to report it to.
            let _ = self.output.write_all(&batch).and_then(|()| self.output.flush());
            batch.clear();
            for done in flush_replies.drain(..) {
                // Fails when the flush has reached its time limit.
                let _ = done.send(());
            }
        }
    }
}

fn collect(input: WriterInput, batch: &mut Vec<u8>, flush_replies: &mut Vec<SyncSender<()>>) {
    match input {
        WriterInput::Line(line) => batch.extend_from_slice(&line),
        WriterInput::Flush(done) => flush_replies.push(done),
    }
}
