//! Settings of the entry role.

use std::path::Path;
use std::time::Duration;

use celeryshed_base::common_derives;

use crate::fault::Result;
use crate::reader::SettingsReader;
use crate::shared::{InstanceSettings, PlatformSettings};

/// Keys may be this far in the future, so a claim can be that much older than its key.
const KEY_FUTURE_ALLOWANCE: Duration = Duration::from_secs(60);

common_derives! { value:
    /// Checked settings of an entry.
    pub struct EntrySettings {
        /// Where it runs.
        pub instance: InstanceSettings,
        /// The platform.
        pub platform: PlatformSettings,
        /// Pause between reads of the configuration log.
        pub poll_interval: Duration,
        /// Retention of the log; snapshots are written well within it.
        pub log_retention: Duration,
        /// Partitions of the claim log; the same on all entries.
        pub claim_partitions: u32,
        /// Age up to which an idempotency key is accepted.
        pub booking_window: Duration,
        /// Longest request.
        pub max_request: Duration,
        /// Requests that may wait for an endpoint, per service.
        pub queue_limit: u32,
    }
}

impl EntrySettings {
    /// Loads and checks a file.
    pub fn load(file: &Path) -> Result<Self> {
        Self::read(SettingsReader::load(file)?)
    }

    /// Checks parsed settings.
    ///
    /// ```
    /// use celeryshed_settings::{EntrySettings, SettingsReader};
    /// use std::path::Path;
    /// let text = "[instance]\nname = e1\nzone = puget-a\nregion = puget\nlisten = 127.0.0.1:8080\n\
    ///     [platform]\nlog_url = http://127.0.0.1:9000\nlist_url = http://127.0.0.1:9001\n";
    /// let reader = SettingsReader::parse(Path::new("entry.ini"), text).unwrap();
    /// assert_eq!(EntrySettings::read(reader).unwrap().claim_partitions, 16);
    /// ```
    pub fn read(reader: SettingsReader) -> Result<Self> {
        let instance = InstanceSettings::read(&reader);
        let platform = PlatformSettings::read(&reader, false);
        let configuration = reader.optional_section("configuration");
        let poll_interval = configuration.millis("poll_ms", 100..=5_000, 2_000);
        let log_retention = configuration.seconds("log_retention_s", 60..=31_536_000, 86_400);
        drop(configuration);
        let bookings = reader.optional_section("bookings");
        let claim_partitions = bookings.integer("claim_partitions", 1..=4_096, 16) as u32;
        let booking_window = bookings.seconds("window_s", 10..=31_536_000, 21_600);
        drop(bookings);
        let serving = reader.optional_section("serving");
        let max_request = serving.seconds("max_request_s", 1..=86_400, 600);
        let queue_limit = serving.integer("queue_limit", 0..=100_000, 256) as u32;
        drop(serving);
        if booking_window + KEY_FUTURE_ALLOWANCE > log_retention {
            let value = booking_window.as_secs().to_string();
            let accepted = "at least 60 below log_retention_s of section [configuration]";
            reader.fault("bookings", "window_s", Some(&value), accepted);
        }
        reader.finish()?;
        let (Some(instance), Some(platform)) = (instance, platform) else {
            unreachable!("a missing section or key is a fault that ends reading");
        };
        Ok(Self {
            instance,
            platform,
            poll_interval,
            log_retention,
            claim_partitions,
            booking_window,
            max_request,
            queue_limit,
        })
    }
}
