//! Checked names that operators and the platform assign.

use std::fmt;

use serde::{Deserialize, Serialize};

const MAX_NAME_BYTES: usize = 64;

/// Error for text that isn't a valid name.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error(
    "{kind} {value:?} is not a name: accepted are 1 to {MAX_NAME_BYTES} of a-z, A-Z, 0-9, '-', '_' and '.'"
)]
pub struct NameError {
    /// Kind of name that was expected, such as `team`.
    pub kind: &'static str,
    /// The rejected text.
    pub value: String,
}

fn check_name(kind: &'static str, value: &str) -> Result<(), NameError> {
    let allowed = |c: char| c.is_ascii_alphanumeric() || matches!(c, '-' | '_' | '.');
    let valid = (1..=MAX_NAME_BYTES).contains(&value.len()) && value.chars().all(allowed);
    if valid { Ok(()) } else { Err(NameError { kind, value: value.to_owned() }) }
}

macro_rules! checked_name {
    ($(#[$doc:meta])* $name:ident, $kind:literal) => {
        $(#[$doc])*
        ///
        /// ```
        #[doc = concat!("use celeryshed_base::", stringify!($name), ";")]
        #[doc = concat!("let name = ", stringify!($name), "::try_from(\"alpha-1\").unwrap();")]
        /// assert_eq!(name.as_str(), "alpha-1");
        #[doc = concat!("assert!(", stringify!($name), "::try_from(\"no spaces\").is_err());")]
        /// ```
        #[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
        #[serde(try_from = "String", into = "String")]
        pub struct $name(String);

        impl $name {
            /// The name as text.
            pub fn as_str(&self) -> &str {
                &self.0
            }
        }

        impl TryFrom<&str> for $name {
            type Error = NameError;

            fn try_from(value: &str) -> Result<Self, NameError> {
                check_name($kind, value)?;
                Ok(Self(value.to_owned()))
            }
        }

        impl TryFrom<String> for $name {
            type Error = NameError;

            fn try_from(value: String) -> Result<Self, NameError> {
                check_name($kind, &value)?;
                Ok(Self(value))
            }
        }

        impl From<$name> for String {
            fn from(name: $name) -> String {
                name.0
            }
        }

        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                f.write_str(&self.0)
            }
        }
    };
}

checked_name!(
    /// Name of a team.
    TeamName, "team"
);
checked_name!(
    /// Name of a service that endpoints provide.
    ServiceName, "service"
);
checked_name!(
    /// Name of an instance, that is, of a machine.
    InstanceName, "instance"
);
checked_name!(
    /// Name of an availability zone.
    AvailabilityZone, "availability zone"
);
checked_name!(
    /// Name of a region.
    RegionName, "region"
);
checked_name!(
    /// Name of a model.
    ModelName, "model"
);
checked_name!(
    /// Name of a model's version.
    VersionName, "version"
);
checked_name!(
    /// Name of an adapter that is applied to a model.
    AdapterName, "adapter"
);

/// Longest [`TeamLabel`].
const MAX_LABEL_BYTES: usize = 1024;

/// Error for text that isn't a valid [`TeamLabel`].
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error(
    "{value:?} is not the name of a team: accepted are 1 to {MAX_LABEL_BYTES} bytes that a header \
     field can carry, with no space at either end"
)]
pub struct LabelError {
    /// The rejected text.
    pub value: String,
}

/// Name of a team that another system has assigned. Endpoints get it as a header field.
///
/// ```
/// use celeryshed_base::TeamLabel;
/// let label = TeamLabel::try_from("Home Centres Kyushu").unwrap();
/// assert_eq!(label.as_str(), "Home Centres Kyushu");
/// assert!(TeamLabel::try_from("two\r\nlines").is_err());
/// ```
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct TeamLabel(String);

impl TeamLabel {
    /// The name as text.
    pub fn as_str(&self) -> &str {
        &self.0
    }
}

impl TryFrom<&str> for TeamLabel {
    type Error = LabelError;

    fn try_from(value: &str) -> Result<Self, LabelError> {
        let is_valid = (1..=MAX_LABEL_BYTES).contains(&value.len())
            && value.trim() == value
            && !value.bytes().any(|byte| byte.is_ascii_control());
        if is_valid {
            Ok(Self(value.to_owned()))
        } else {
            Err(LabelError { value: value.to_owned() })
        }
    }
}

impl fmt::Display for TeamLabel {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0)
    }
}
