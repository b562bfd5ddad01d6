//! Newtypes for quantities, revisions and positions.

use std::fmt;

use serde::{Deserialize, Serialize};

macro_rules! unit {
    ($(#[$doc:meta])* $name:ident) => {
        $(#[$doc])*
        #[derive(
            Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
        )]
        #[serde(transparent)]
        pub struct $name(pub u64);

        impl $name {
            /// The value plus one.
            #[must_use]
            pub fn next(self) -> Self {
                Self(self.0 + 1)
            }
        }

        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                self.0.fmt(f)
            }
        }
    };
}

unit!(
    /// A number of bytes.
    ByteCount
);
unit!(
    /// A number of model tokens.
    TokenCount
);
unit!(
    /// A number of model tokens per second.
    TokenRate
);
unit!(
    /// Revision of the accepted configuration; it never decreases.
    ConfigRevision
);
unit!(
    /// Offset of a record in one stream of the log, from 0.
    LogOffset
);
unit!(
    /// Fencing token of the sidecar incarnations of one endpoint; a later incarnation has a larger
    /// number, and engines that check it refuse commands with a smaller one.
    FenceNumber
);
