//! Server-sent events of an engine.

/// Splits a byte stream into the data of its events.
#[derive(Debug, Default)]
pub(super) struct EventDecoder {
    buffer: Vec<u8>,
}

impl EventDecoder {
    /// Adds received bytes.
    pub(super) fn push(&mut self, received: &[u8]) {
        self.buffer.extend_from_slice(received);
    }

    /// Takes the data of the next whole `data:` line; lines of other fields are skipped.
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
