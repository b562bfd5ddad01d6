//! Recognizes registrations that a restored store repeats from before its restore.
//!
//! The copy may list an endpoint as ready that has reported draining or has left since. What is
//! known of the endpoint is newer until it writes again itself.

use std::collections::BTreeMap;

use celeryshed_base::{LogPosition, StoreEra};
use celeryshed_dispatch::ListedEndpoint;

/// The last registration that was read of each endpoint.
#[derive(Clone, Debug, Default)]
pub(crate) struct SeenRegistrations {
    seen: BTreeMap<String, SeenRegistration>,
    /// End of the first snapshot after the latest restore; all later records were written since.
    copy_end: LogPosition,
}

#[derive(Clone, Copy, Debug)]
struct SeenRegistration {
    era: StoreEra,
    started_at_ms: u64,
    seq_no: u64,
}

impl SeenRegistrations {
    /// Records that a snapshot with the given end was read from the store.
    pub(crate) fn record_snapshot(&mut self, end: LogPosition) {
        if end.era() > self.copy_end.era() {
            self.copy_end = end;
        }
    }

    /// Notes a registration. Returns whether the endpoint wrote it before the store was restored, and
    /// a registration at least as new has been read.
    pub(crate) fn is_repeated(
        &mut self,
        key: &str,
        position: LogPosition,
        endpoint: &ListedEndpoint,
    ) -> bool {
        let Some(seq_no) = endpoint.seq_no else { return false };
        let started_at_ms = endpoint.started_at_ms;
        let registration = SeenRegistration { era: position.era(), started_at_ms, seq_no };
        let known = self.seen.get(key);
        let may_be_copied = position < self.copy_end || position.era() > self.copy_end.era();
        let is_repeated = known.is_some_and(|known| {
            may_be_copied
                && known.era < registration.era
                && (started_at_ms, seq_no) <= (known.started_at_ms, known.seq_no)
        });
        if !is_repeated {
            self.seen.insert(key.to_owned(), registration);
        }
        is_repeated
    }
}
