//! Applies changes of the limit for idle connections.

use std::time::Duration;

use tokio::time::Instant;

/// The limit for idle connections. A shorter limit applies once the former one has passed, because
/// callers that don't know of the change use connections that have been idle for longer.
#[derive(Clone, Debug)]
pub(crate) struct IdleLimit {
    current: Duration,
    /// Limits that were replaced, and until when each applies; from the longest to the shortest.
    former: Vec<(Duration, Instant)>,
}

impl IdleLimit {
    pub(crate) fn new(limit: Duration) -> Self {
        Self { current: limit, former: Vec::new() }
    }

    /// Replaces the limit. The former one applies until its own length from now on.
    pub(crate) fn replace(&mut self, limit: Duration, now: Instant) {
        if limit == self.current {
            return;
        }
        let former = std::mem::replace(&mut self.current, limit);
        // Shorter limits that were replaced before end earlier than this one.
        self.former.retain(|(length, until)| *length > former && now < *until);
        self.former.push((former, now + former));
    }

    /// The limit that applies.
    pub(crate) fn at(&self, now: Instant) -> Duration {
        let longest = self.former.iter().find(|(_, until)| now < *until);
        longest.map_or(self.current, |(length, _)| self.current.max(*length))
    }
}

#[cfg(test)]
mod tests;
