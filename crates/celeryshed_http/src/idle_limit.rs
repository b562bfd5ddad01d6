//! Applies changes of the limit for idle connections.

use std::time::Duration;

use tokio::time::Instant;

/// The limit for idle connections. A shorter limit applies once the former one has passed, because
/// callers that don't know of the change use connections that have been idle for longer.
#[derive(Clone, Copy, Debug)]
pub(crate) struct IdleLimit {
    current: Duration,
    /// A longer limit that was replaced, and until when it applies.
    former: Option<(Duration, Instant)>,
}

impl IdleLimit {
    pub(crate) fn new(limit: Duration) -> Self {
        Self { current: limit, former: None }
    }

    /// Replaces the limit.
    pub(crate) fn replace(&mut self, limit: Duration, now: Instant) {
        if limit == self.current {
            return;
        }
        let former = self.at(now);
        if limit < former {
            self.former = Some((former, now + former));
        }
        self.current = limit;
    }

    /// The limit that applies.
    pub(crate) fn at(&self, now: Instant) -> Duration {
        match self.former {
            Some((former, until)) if now < until => former.max(self.current),
            _ => self.current,
        }
    }
}
