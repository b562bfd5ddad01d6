//! Splits a stream of server-sent events at the ends of events.

use bytes::{Bytes, BytesMut};

/// The blank line that ends an event.
const EVENT_END: &[u8] = b"\n\n";

/// Buffers bytes until an event is complete, and keeps the id of the last complete event.
#[derive(Debug, Default)]
pub(crate) struct EventSplitter {
    pending: BytesMut,
    last_id: Option<u64>,
    /// Events up to this id are skipped, because an earlier attempt forwarded them; none once a
    /// later event has arrived.
    skip_to: Option<u64>,
}

impl EventSplitter {
    /// A splitter for a stream that resumes after the event `last_id`; none for a stream from its
    /// start.
    pub(crate) fn resume(last_id: Option<u64>) -> Self {
        Self { pending: BytesMut::new(), last_id, skip_to: last_id }
    }

    /// Adds bytes, and returns the events that are complete now.
    pub(crate) fn push(&mut self, bytes: Bytes) -> Option<Bytes> {
        let whole = if self.pending.is_empty() && bytes.ends_with(EVENT_END) {
            bytes
        } else {
            self.pending.extend_from_slice(&bytes);
            let end = find_last(&self.pending, EVENT_END)? + EVENT_END.len();
            self.pending.split_to(end).freeze()
        };
        let whole = self.skip_forwarded(whole);
        if let Some(id) = last_event_id(&whole) {
            self.last_id = Some(id);
        }
        Some(whole).filter(|whole| !whole.is_empty())
    }

    /// Id of the last complete event.
    pub(crate) fn last_id(&self) -> Option<u64> {
        self.last_id
    }

    /// Whether the bytes so far end within an event.
    pub(crate) fn has_partial_event(&self) -> bool {
        !self.pending.is_empty()
    }

    fn skip_forwarded(&mut self, mut whole: Bytes) -> Bytes {
        let Some(forwarded) = self.skip_to else { return whole };
        while let Some(end) = find_first(&whole, EVENT_END) {
            let event = &whole[..end + EVENT_END.len()];
            match last_event_id(event) {
                Some(id) if id <= forwarded => {
                    whole = whole.slice(end + EVENT_END.len()..);
                }
                Some(_) => {
                    self.skip_to = None;
                    break;
                }
                None => break,
            }
        }
        whole
    }
}

fn find_first(bytes: &[u8], pattern: &[u8]) -> Option<usize> {
    bytes.windows(pattern.len()).position(|window| window == pattern)
}

fn find_last(bytes: &[u8], pattern: &[u8]) -> Option<usize> {
    bytes.windows(pattern.len()).rposition(|window| window == pattern)
}

/// Id of the last event with an id.
fn last_event_id(events: &[u8]) -> Option<u64> {
    events
        .rsplit(|byte| *byte == b'\n')
        .find_map(|line| line.strip_prefix(b"id:"))
        .and_then(|id| std::str::from_utf8(id).ok()?.trim().parse().ok())
}
