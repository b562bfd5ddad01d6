//! Splits a stream of server-sent events at the ends of events.

use bytes::Bytes;

use crate::request::buffer::{BufferExceeded, BufferLease, LeasedBuffer};

/// The blank line that ends an event.
const EVENT_END: &[u8] = b"\n\n";

/// Buffers bytes until an event is complete, and keeps the id of the last complete event.
#[derive(Debug)]
pub(crate) struct EventSplitter {
    pending: LeasedBuffer,
    last_id: Option<u64>,
    /// Events up to this id are skipped, because an earlier attempt forwarded them; `None` once a
    /// later event has arrived.
    skip_to: Option<u64>,
}

impl EventSplitter {
    /// A splitter for a stream that resumes after the event `last_id`, which is `None` for a stream
    /// that starts at its first event.
    pub(crate) fn resume(last_id: Option<u64>, lease: BufferLease) -> Self {
        let pending = LeasedBuffer::new(lease, usize::MAX);
        Self { pending, last_id, skip_to: last_id }
    }

    /// Adds bytes, and returns the events that are complete now, whose memory stays leased until
    /// they are dropped; an error if they, or the event that is being received, take too much.
    pub(crate) fn push(&mut self, bytes: &[u8]) -> Result<Option<Bytes>, BufferExceeded> {
        // The bytes before were searched already, but an end may begin with the last of them.
        let searched = self.pending.len().saturating_sub(EVENT_END.len() - 1);
        self.pending.append(bytes)?;
        let Some(end) = find_last(&self.pending.as_slice()[searched..], EVENT_END) else {
            return Ok(None);
        };
        let complete_events = self.pending.split_to(searched + end + EVENT_END.len())?;
        let complete_events = self.skip_forwarded(complete_events);
        if let Some(id) = last_event_id(&complete_events) {
            self.last_id = Some(id);
        }
        Ok(Some(complete_events).filter(|complete_events| !complete_events.is_empty()))
    }

    /// Id of the last complete event.
    pub(crate) fn last_id(&self) -> Option<u64> {
        self.last_id
    }

    /// Whether the bytes so far end within an event.
    pub(crate) fn has_partial_event(&self) -> bool {
        self.pending.len() > 0
    }

    fn skip_forwarded(&mut self, mut complete_events: Bytes) -> Bytes {
        let Some(forwarded) = self.skip_to else { return complete_events };
        while let Some(end) = find_first(&complete_events, EVENT_END) {
            let event = &complete_events[..end + EVENT_END.len()];
            match last_event_id(event) {
                Some(id) if id <= forwarded => {
                    complete_events = complete_events.slice(end + EVENT_END.len()..);
                }
                Some(_) => {
                    self.skip_to = None;
                    break;
                }
                None => break,
            }
        }
        complete_events
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
