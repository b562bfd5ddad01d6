//! Options of the booking tasks.

use std::num::NonZeroU32;
use std::time::Duration;

use celeryshed_base::common_derives;
use celeryshed_core::booking::{ProcedureOptions, ReplayOptions};

/// Keys dated up to this far in the future are accepted, so a claim can be older than its key by
/// this much.
const KEY_FUTURE_ALLOWANCE: Duration = Duration::from_secs(60);

/// Settings that [`BookingOptions`] rejects.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum OptionsError {
    /// `claim_partitions` is 0.
    #[error("claim_partitions is 0; accepted are 1 and more")]
    NoPartition,
    /// The log may remove records while their keys are still accepted.
    #[error(
        "log_retention is {retention:?}; accepted with a booking window of {window:?} is the window \
         plus 60 s or more"
    )]
    ShortRetention {
        /// Age below which the log removes no record.
        retention: Duration,
        /// Longest age of a key.
        window: Duration,
    },
    /// A limit that has to be positive is 0.
    #[error("{name} is 0; accepted are 1 and more")]
    ZeroLimit {
        /// Name of the option.
        name: &'static str,
    },
}

common_derives! { value:
    /// Settings of the booking tasks, before their check by [`BookingOptions`].
    #[derive(Copy)]
    pub struct BookingSettings {
        /// Number of partitions of the claim log; 16 by default. All entries must use the same
        /// number, and it must not change while the log holds bookings of the current window.
        pub claim_partitions: u32,
        /// Longest age of an accepted key; 6 h by default.
        pub window: Duration,
        /// Age below which the log removes no record; 24 h by default.
        pub log_retention: Duration,
        /// Pause between reads of a partition that a request waits for; 50 ms by default.
        pub follow_interval: Duration,
        /// Pause between reads of a partition that no request waits for; 2 s by default.
        pub idle_interval: Duration,
        /// Most records of one read; 1000 by default.
        pub page_records: u32,
        /// Most records of one append; 500 by default.
        pub append_records: usize,
        /// Most bookings in progress at this entry; 2048 by default.
        pub max_in_progress: usize,
        /// Most bookings of this entry in progress at one sidecar; 64 by default.
        pub max_per_side: u32,
        /// Without effect: replies to forwarded bookings are awaited for a fixed 2 s past their
        /// deadline. 500 ms by default.
        pub forward_margin: Duration,
    }

    /// Checked settings of the booking tasks.
    #[derive(Copy)]
    pub struct BookingOptions {
        pub(super) partitions: NonZeroU32,
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
        if retention < window + KEY_FUTURE_ALLOWANCE {
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
    pub(super) fn replay(&self) -> ReplayOptions {
        ReplayOptions { window: self.settings.window, retention: self.settings.log_retention }
    }

    pub(super) fn procedure(&self) -> ProcedureOptions {
        ProcedureOptions { window: self.settings.window, ..ProcedureOptions::default() }
    }
}
