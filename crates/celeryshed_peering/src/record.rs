//! Records of the platform's store.

use bytes::Bytes;
use celeryshed_base::{LogOffset, common_derives};
use celeryshed_dispatch::RoutingSnapshot;

common_derives! { index:
    /// The streams of records that processes follow.
    pub enum ControlStream {
        /// What operators publish.
        Operator,
        /// The list of endpoints.
        Endpoints,
    }
}

common_derives! { value:
    /// The newest record of a key; without a value, the key was dropped.
    pub struct ControlRecord {
        /// The key.
        pub key: String,
        /// Position in the log.
        pub offset: LogOffset,
        /// The value as it was written.
        pub value: Option<Bytes>,
    }

    /// Records of one stream.
    pub struct ControlBatch {
        /// The records.
        pub records: Vec<ControlRecord>,
        /// Position after the last record of the stream.
        pub end: LogOffset,
        /// Whether these are the newest records of all keys.
        pub is_snapshot: bool,
    }

    /// A decoded record of an operator.
    #[derive(Default)]
    pub enum OperatorRecord {
        /// A whole configuration.
        Configuration(Box<RoutingSnapshot>),
        /// A version of a model that endpoints should serve.
        ModelVersion {
            /// The model.
            model: String,
            /// The version.
            version: u64,
        },
        /// A record that concerns something else.
        #[default]
        Other,
    }
}
