//! Decoder of the server-sent events of an engine.

/// Extracts the data of events from a byte stream.
#[derive(Debug, Default)]
pub(super) struct EventDecoder {
    buffer: Vec<u8>,
}

impl EventDecoder {
    pub(super) fn push(&mut self, received: &[u8]) {
        self.buffer.extend_from_slice(received);
    }

    /// Returns the data of the next complete `data:` line and skips lines of other fields; `None`
    /// until more bytes are received.
    pub(super) fn next_data(&mut self) -> Option<String> {
        loop {
            let end = self.buffer.iter().position(|byte| *byte == b'\n')?;
            let line: Vec<u8> = self.buffer.drain(..=end).collect();
            let line = String::from_utf8_lossy(&line);
            if let Some(data) = line.trim_end().strip_prefix("data:") {
                return Some(data.trim_start_matches(' ').to_owned());
            }
        }
    }
}
