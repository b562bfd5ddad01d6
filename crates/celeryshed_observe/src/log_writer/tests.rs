//! An output that panics.

use std::sync::mpsc::sync_channel;

use super::*;

/// Time after which a line that doesn't arrive is given up.
const WAIT_LIMIT: Duration = Duration::from_secs(10);

/// Panics in the first write, and passes the bytes of later ones on.
struct PanickingOutput {
    has_panicked: bool,
    written: SyncSender<Vec<u8>>,
}

impl Write for PanickingOutput {
    fn write(&mut self, bytes: &[u8]) -> std::io::Result<usize> {
        assert!(std::mem::replace(&mut self.has_panicked, true), "a panic that the test expects");
        self.written.send(bytes.to_vec()).unwrap();
        Ok(bytes.len())
    }

    fn flush(&mut self) -> std::io::Result<()> {
        Ok(())
    }
}

/// Guards against a process that logs nothing any more after a panic in the thread of the log.
#[test]
fn lines_after_a_panic_of_the_thread_are_written() {
    let (written, received) = sync_channel(100);
    let (lines, inputs) = sync_channel(100);
    let output = PanickingOutput { has_panicked: false, written };
    let writer = LogWriter::start(output, inputs, Box::leak(Box::default()));
    for _ in 0..100 {
        lines.try_send(WriterInput::Line(b"line".to_vec())).expect("a receiver of lines");
        writer.ensure_thread();
        if let Ok(bytes) = received.recv_timeout(WAIT_LIMIT / 100) {
            assert!(bytes.starts_with(b"line"));
            return;
        }
    }
    panic!("no line was written");
}
