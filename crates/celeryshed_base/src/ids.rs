//! Random identifiers, each a UUID version 4.

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
            /// Creates a new random id.
            pub fn random() -> Self {
                Self(Uuid::new_v4())
            }

            /// Creates an id with a given value, for tests and recorded traces.
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
    /// Identifies one run of a process; each restart gets a new incarnation.
    ProcessIncarnation
);
random_id!(
    /// Identifies one claim of a booking.
    ClaimId
);
random_id!(
    /// Identifies one attempt to run a request at one endpoint.
    AttemptId
);
random_id!(
    /// Identifies one request of a caller.
    RequestId
);
random_id!(
    /// Identifies one record in the log, by which its writer finds it again.
    RecordId
);
