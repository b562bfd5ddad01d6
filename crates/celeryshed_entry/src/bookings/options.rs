//! Options of the bookings part.

use std::num::NonZeroU32;
use std::time::Duration;

use celeryshed_base::common_derives;
use celeryshed_core::booking::{ProcedureOptions, ReplayOptions};

/// Keys may be this far in the future, so claims can be that much older than their keys.
const FUTURE_ALLOWANCE: Duration = Duration::from_secs(60);

/// Options that contradict each other.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum OptionsError {
    /// No partition.
    #[error("claim_partitions is 0; accepted are 1 and more")]
    NoPartition,
    /// The log removes records that bookings need.
    #[error(
        "log retention of {retention:?} is too short for a booking window of {window:?}; accepted \
         are retentions of at least the window and 60 s"
    )]
    ShortRetention {
        /// The retention.
        retention: Duration,
        /// The window.
        window: Duration,
    },
    /// A limit that admits nothing.
    #[error("{name} is 0; accepted are 1 and more")]
    ZeroLimit {
        /// Name of the option.
        name: &'static str,
    },
}

common_derives! { value:
    /// Options as a caller sets them.
    #[derive(Copy)]
    pub struct BookingSettings {
        /// Partitions of the claim log. All entries must agree, and the number must not change
        /// while bookings of a window are in the log.
        pub claim_partitions: u32,
        /// Longest age of a key.
        pub window: Duration,
        /// Age below which the log removes no record.
        pub log_retention: Duration,
        /// Pause between reads of a partition that a request waits for.
        pub follow_interval: Duration,
        /// Pause between reads of a partition that no request waits for.
        pub idle_interval: Duration,
        /// Records of one read.
        pub page_records: u32,
        /// Records of one append.
        pub append_records: usize,
        /// Bookings in progress at this entry.
        pub max_in_progress: usize,
        /// Bookings of this entry in progress at one sidecar.
        pub max_per_side: u32,
        /// Longest time for a reader to reply to a forwarded booking beyond its deadline.
        pub forward_margin: Duration,
    }

    /// Checked options.
    #[derive(Copy)]
    pub struct BookingOptions {
        /// Partitions of the claim log.
        pub(super) partitions: NonZeroU32,
        /// The settings.
        pub(super) settings: BookingSettings,
    }
}

impl Default for BookingSettings {
    fn default() -> Self {
        Self {
            claim_partitions: 16,
            window: Duration::from_secs(6 * 3600),
            log_retention: Duration::from_secs(24 * 3600),
            follow_interval: Duration::from_millis(50),
            idle_interval: Duration::from_secs(2),
            page_records: 1000,
            append_records: 500,
            max_in_progress: 2048,
            max_per_side: 64,
            forward_margin: Duration::from_millis(500),
        }
    }
}

impl TryFrom<BookingSettings> for BookingOptions {
    type Error = OptionsError;

    /// Checks the settings.
    ///
    /// ```
    /// use celeryshed_entry::bookings::{BookingOptions, BookingSettings};
    /// assert!(BookingOptions::try_from(BookingSettings::default()).is_ok());
    /// let none = BookingSettings { claim_partitions: 0, ..BookingSettings::default() };
    /// assert!(BookingOptions::try_from(none).is_err());
    /// ```
    fn try_from(settings: BookingSettings) -> Result<Self, OptionsError> {
        let partitions = NonZeroU32::new(settings.claim_partitions);
        let partitions = partitions.ok_or(OptionsError::NoPartition)?;
        let (retention, window) = (settings.log_retention, settings.window);
        if retention < window + FUTURE_ALLOWANCE {
            return Err(OptionsError::ShortRetention { retention, window });
        }
        let limits = [
            ("page_records", settings.page_records as usize),
            ("append_records", settings.append_records),
            ("max_in_progress", settings.max_in_progress),
            ("max_per_side", settings.max_per_side as usize),
        ];
        if let Some((name, _)) = limits.into_iter().find(|(_, limit)| *limit == 0) {
            return Err(OptionsError::ZeroLimit { name });
        }
        Ok(Self { partitions, settings })
    }
}

impl BookingOptions {
    pub(super) fn fold(&self) -> ReplayOptions {
        ReplayOptions { window: self.settings.window, retention: self.settings.log_retention }
    }

    pub(super) fn procedure(&self) -> ProcedureOptions {
        ProcedureOptions { window: self.settings.window, ..ProcedureOptions::default() }
    }
}
