//! Records of the platform's store.

use bytes::Bytes;
use celeryshed_base::{LogPosition, common_derives};
use celeryshed_dispatch::RoutingSnapshot;

common_derives! { index:
    /// A stream of records in the platform's store.
    pub enum ControlStream {
        /// Configurations and model versions, published by operators.
        Operator,
        /// The list of endpoints, one key per endpoint.
        Endpoints,
    }
}

common_derives! { value:
    /// A record that sets or deletes the value of a key.
    pub struct ControlRecord {
        /// Key within the stream.
        pub key: String,
        /// Position in the stream's log.
        pub position: LogPosition,
        /// Undecoded value; none if the key was deleted.
        pub value: Option<Bytes>,
    }

    /// Records of one stream.
    pub struct ControlBatch {
        /// Records in any order.
        pub records: Vec<ControlRecord>,
        /// Position after the last record that the batch covers.
        pub end: LogPosition,
        /// Whether `records` holds the newest record of every key; keys left out were deleted.
        pub is_snapshot: bool,
    }

    /// A decoded record of an operator.
    #[derive(Default)]
    pub enum OperatorRecord {
        /// A complete configuration.
        Configuration(Box<RoutingSnapshot>),
        /// A declared version of a model, which endpoints should serve.
        ModelVersion {
            /// Name of the model.
            model: String,
            /// The declared version.
            version: u64,
        },
        /// A record that entries and sidecars don't use.
        #[default]
        Other,
    }
}
