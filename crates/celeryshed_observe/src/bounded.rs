//! A log appender that never blocks. Lines go through a rate limit and a bounded channel to a
//! thread that writes them in batches. Lines above the limits are dropped, and their number is
//! logged.

use std::io::Write;
use std::sync::Mutex;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::mpsc::{SyncSender, sync_channel};
use std::time::{Duration, Instant};

use log::{LevelFilter, Record};
use log4rs::append::Append;
use log4rs::config::{Appender, Logger, Root};
use log4rs::encode::pattern::PatternEncoder;
use log4rs::encode::writer::simple::SimpleWriter;
use log4rs::encode::{Encode, Write as EncodeWrite};

use crate::log_writer::{LogWriter, WriterInput};
use crate::logging::{LINE_PATTERN, LogError, QUIET_LIBRARIES, Result};

/// Maximum number of lines that wait for the writer thread.
const CHANNEL_LINES: usize = 1024;
/// Longest line in bytes; of longer ones the rest is left out. Fields may have texts from outside of any
/// length.
const MAX_LINE_BYTES: usize = 4 * 1024;
/// Refill rate of the [`LineBucket`].
const LINES_PER_S: f64 = 200.0;
/// Capacity of the [`LineBucket`]: lines accepted at once after a pause.
const BURST_LINES: f64 = 600.0;
/// How long a flush waits at most, since a reader that doesn't read blocks the writer thread.
const FLUSH_LIMIT: Duration = Duration::from_millis(250);
/// Token bucket that limits the rate of lines.
#[derive(Debug)]
struct LineBucket {
    lines: f64,
    filled_at: Instant,
}

impl LineBucket {
    fn try_take(&mut self, now: Instant) -> bool {
        let passed = now.duration_since(self.filled_at).as_secs_f64();
        self.lines = (self.lines + passed * LINES_PER_S).min(BURST_LINES);
        self.filled_at = now;
        let available = self.lines >= 1.0;
        if available {
            self.lines -= 1.0;
        }
        available
    }
}

/// Appender that drops lines instead of blocking.
#[derive(Debug)]
pub(crate) struct BoundedAppender {
    encoder: PatternEncoder,
    inputs: SyncSender<WriterInput>,
    writer: LogWriter,
    bucket: Mutex<LineBucket>,
    dropped_lines: &'static AtomicU64,
}

impl BoundedAppender {
    /// An appender whose thread writes to `output`.
    pub(crate) fn start(output: impl Write + Send + 'static) -> Self {
        let (inputs, received) = sync_channel(CHANNEL_LINES);
        // Shared with the writer thread; the leak is bounded, as a process installs one appender.
        let dropped_lines: &'static AtomicU64 = Box::leak(Box::default());
        let writer = LogWriter::start(output, received, dropped_lines);
        let bucket = LineBucket { lines: BURST_LINES, filled_at: Instant::now() };
        Self {
            encoder: PatternEncoder::new(LINE_PATTERN),
            inputs,
            writer,
            bucket: Mutex::new(bucket),
            dropped_lines,
        }
    }

    /// Number of lines dropped since the last report.
    #[cfg(test)]
    pub(crate) fn dropped_lines(&self) -> u64 {
        self.dropped_lines.load(Ordering::Relaxed)
    }
}

impl Append for BoundedAppender {
    fn append(&self, record: &Record<'_>) -> anyhow::Result<()> {
        let admitted = self.bucket.lock().is_ok_and(|mut bucket| bucket.try_take(Instant::now()));
        let mut line = SimpleWriter(Vec::new());
        if admitted {
            self.encoder.encode(&mut line as &mut dyn EncodeWrite, record)?;
        }
        if !admitted || self.inputs.try_send(WriterInput::Line(shorten(line.0))).is_err() {
            self.dropped_lines.fetch_add(1, Ordering::Relaxed);
        }
        self.writer.ensure_thread();
        Ok(())
    }

    fn flush(&self) {
        let (done, finished) = sync_channel(1);
        if self.inputs.try_send(WriterInput::Flush(done)).is_ok() {
            // After the limit the remaining lines are written in the background.
            let _ = finished.recv_timeout(FLUSH_LIMIT);
        }
    }
}

/// The line, without what exceeds [`MAX_LINE_BYTES`], in memory of no more than its size.
fn shorten(mut line: Vec<u8>) -> Vec<u8> {
    if line.len() > MAX_LINE_BYTES {
        let is_inner = |byte: u8| byte & 0xc0 == 0x80;
        let end = (0..MAX_LINE_BYTES).rev().find(|end| !is_inner(line[*end])).unwrap_or_default();
        line.truncate(end);
        line.extend_from_slice("…\n".as_bytes());
    }
    line.shrink_to_fit();
    line
}

/// Installs the process's logger, which writes to standard output and never blocks. Lines above the
/// rate limit are dropped and counted in `lines_left_out` events.
///
/// ```
/// celeryshed_observe::install_bounded_logging(log::LevelFilter::Info).unwrap();
/// log::info!("event=started");
/// log::logger().flush();
/// ```
pub fn install_bounded_logging(level: LevelFilter) -> Result<()> {
    let appender = Box::new(BoundedAppender::start(std::io::stdout()));
    appender.writer.install();
    let appender = Appender::builder().build("stdout", appender);
    let loggers = QUIET_LIBRARIES.map(|name| Logger::builder().build(name, LevelFilter::Error));
    let root = Root::builder().appender("stdout").build(level);
    let config = log4rs::Config::builder().appender(appender).loggers(loggers).build(root)?;
    log4rs::init_config(config).map_err(LogError::from)?;
    Ok(())
}

#[cfg(test)]
mod tests {
    use std::sync::{Arc, Condvar};
    use std::thread;

    use super::*;

    /// Blocks each write until the flag is set.
    #[derive(Clone, Default)]
    struct BlockedOutput(Arc<(Mutex<bool>, Condvar)>);

    impl Write for BlockedOutput {
        fn write(&mut self, bytes: &[u8]) -> std::io::Result<usize> {
            let (open, changed) = &*self.0;
            let guard = open.lock().unwrap();
            let _open = changed.wait_while(guard, |open| !*open).unwrap();
            Ok(bytes.len())
        }

        fn flush(&mut self) -> std::io::Result<()> {
            Ok(())
        }
    }

    #[derive(Clone, Default)]
    struct SharedOutput(Arc<Mutex<Vec<u8>>>);

    impl Write for SharedOutput {
        fn write(&mut self, bytes: &[u8]) -> std::io::Result<usize> {
            self.0.lock().unwrap().extend_from_slice(bytes);
            Ok(bytes.len())
        }

        fn flush(&mut self) -> std::io::Result<()> {
            Ok(())
        }
    }

    fn log(appender: &BoundedAppender, text: &str) {
        let arguments = format_args!("{text}");
        appender.append(&Record::builder().args(arguments).build()).unwrap();
    }

    /// Guards against a process that hangs because nobody reads its output: with a blocked output,
    /// lines must be dropped and logging must return.
    #[test]
    fn blocked_output_does_not_block_logging() {
        let output = BlockedOutput::default();
        let appender = BoundedAppender::start(output.clone());
        let started = Instant::now();
        for _ in 0..10_000 {
            log(&appender, "event=flood");
        }
        assert!(started.elapsed() < Duration::from_secs(5), "{:?}", started.elapsed());
        assert!(appender.dropped_lines() > 8000, "{}", appender.dropped_lines());
        let (open, changed) = &*output.0;
        *open.lock().unwrap() = true;
        changed.notify_all();
    }

    /// Guards against a rate limit that lets a flood through or drops lines without a report: of
    /// 5000 lines about the 600 of a burst may be written.
    #[test]
    fn flood_is_limited_and_reported() {
        let output = SharedOutput::default();
        let appender = BoundedAppender::start(output.clone());
        for _ in 0..5000 {
            log(&appender, "event=flood");
        }
        appender.flush();
        thread::sleep(Duration::from_millis(50));
        appender.flush();
        let text = String::from_utf8(output.0.lock().unwrap().clone()).unwrap();
        let lines = text.lines().filter(|line| line.contains("event=flood")).count();
        assert!((500..900).contains(&lines), "{lines}");
        assert!(text.contains("event=lines_left_out count="), "{text}");
    }
    /// Guards against texts from outside that fill the memory with lines that wait to be written.
    #[test]
    fn long_lines_are_shortened() {
        let output = SharedOutput::default();
        let appender = BoundedAppender::start(output.clone());
        for text in ["x".repeat(1_000_000), "€".repeat(1_000_000)] {
            log(&appender, &text);
        }
        log(&appender, "event=next");
        appender.flush();
        let text = String::from_utf8(output.0.lock().unwrap().clone()).unwrap();
        let lengths: Vec<usize> = text.lines().map(str::len).collect();
        assert_eq!(lengths.len(), 3);
        assert!(lengths.iter().all(|length| *length < 4200), "{lengths:?}");
        assert!(text.ends_with("event=next\n"));
    }
}
