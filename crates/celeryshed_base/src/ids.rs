//! Random identifiers.

use std::fmt;

use serde::{Deserialize, Serialize};
use uuid::Uuid;

macro_rules! random_id {
    ($(#[$doc:meta])* $name:ident) => {
        $(#[$doc])*
        ///
        /// ```
        #[doc = concat!("use celeryshed_base::", stringify!($name), ";")]
        #[doc = concat!("assert_ne!(", stringify!($name), "::random(), ", stringify!($name), "::random());")]
        /// ```
        #[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
        #[serde(transparent)]
        pub struct $name(pub Uuid);

        impl $name {
            /// A new random id.
            pub fn random() -> Self {
                Self(Uuid::new_v4())
            }

            /// An id with a chosen value, for tests and recorded traces.
            pub const fn from_u128(value: u128) -> Self {
                Self(Uuid::from_u128(value))
            }
        }

        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                self.0.fmt(f)
            }
        }
    };
}

random_id!(
    /// Identifies one run of a process; a restart at the same address gets another one.
    ProcessIncarnation
);
random_id!(
    /// Identifies one claim of a booking.
    ClaimId
);
random_id!(
    /// Identifies one hand-over of a request to one endpoint.
    AttemptId
);
random_id!(
    /// Identifies one request of a caller.
    RequestId
);
random_id!(
    /// Identifies one record that its writer looks for in the log.
    RecordId
);
