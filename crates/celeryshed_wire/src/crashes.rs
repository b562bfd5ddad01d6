//! Notices of requests that crash endpoints.

use celeryshed_base::{ContentDigest, InstanceName, RecordId, common_derives};

common_derives! { wire:
    /// A sidecar saw its endpoint crash, or a suspect finish; also a record of stream `crashes`.
    pub struct CrashNotice {
        /// Id of the notice, so that it counts once.
        pub notice_id: RecordId,
        /// Instance of the endpoint.
        pub instance: InstanceName,
        /// Fingerprints in flight when the endpoint crashed.
        pub in_flight: Vec<ContentDigest>,
        /// Among them, those that ran as suspects.
        pub suspects: Vec<ContentDigest>,
        /// Suspects that finished without a crash.
        pub cleared: Vec<ContentDigest>,
    }
}
