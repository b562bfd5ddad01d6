//! Notices of requests that crash endpoints.

use celeryshed_base::{ContentDigest, InstanceName, RecordId, common_derives};

common_derives! { wire:
    /// Sent by a sidecar when its endpoint crashes or a suspect finishes; also a record of stream
    /// `crashes`. A suspect is a request whose fingerprint was in flight at an earlier crash.
    pub struct CrashNotice {
        /// Id by which a repeated notice is recognised and counted once.
        pub notice_id: RecordId,
        /// Instance of the endpoint.
        pub instance: InstanceName,
        /// Fingerprints in flight when the endpoint crashed.
        pub in_flight: Vec<ContentDigest>,
        /// Fingerprints of `in_flight` that ran as suspects.
        pub suspects: Vec<ContentDigest>,
        /// Fingerprints of suspects that finished without a crash.
        pub cleared: Vec<ContentDigest>,
    }
}
