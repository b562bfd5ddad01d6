//! Settings of the entry role.

use std::path::Path;
use std::time::Duration;

use celeryshed_base::common_derives;

use crate::error::Result;
use crate::reader::SettingsReader;
use crate::shared::{InstanceSettings, PlatformSettings};

/// How far in the future the timestamp of an idempotency key may lie. The claim is then older than
/// its key and must stay in the log for that much longer than the booking window.
const KEY_FUTURE_ALLOWANCE: Duration = Duration::from_secs(60);

common_derives! { value:
    /// Checked settings of an entry.
    pub struct EntrySettings {
        /// Section `[instance]`.
        pub instance: InstanceSettings,
        /// Section `[platform]`, without the weight URLs.
        pub platform: PlatformSettings,
        /// Pause between reads of the configuration log, 0.1 to 5 s, default 2 s.
        pub poll_interval: Duration,
        /// How long the log keeps records, 1 min to 1 year, default 1 day. The entries
        /// write snapshots at shorter intervals.
        pub log_retention: Duration,
        /// Number of partitions of the claim log, 1 to 4096, default 16; must be equal on all
        /// entries.
        pub claim_partitions: u32,
        /// Maximum age of an accepted idempotency key, 10 s to 1 year, default 6 h.
        pub booking_window: Duration,
        /// Maximum duration of a request, 1 s to 1 day, default 10 min.
        pub max_request: Duration,
        /// Requests per service that may wait for an endpoint, 0 to 100,000, default 256.
        pub queue_limit: u32,
    }
}

impl EntrySettings {
    /// Reads and checks a file.
    pub fn load(file: &Path) -> Result<Self> {
        Self::read(SettingsReader::load(file)?)
    }

    /// Checks a parsed file.
    ///
    /// ```
    /// use celeryshed_settings::{EntrySettings, SettingsReader}; use std::path::Path; let text =
    /// "[instance]\nname = e1\nzone = puget-a\nregion = puget\nlisten = 127.0.0.1:8080\n\
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
            reader.add_error("bookings", "window_s", Some(&value), accepted);
        }
        reader.finish()?;
        let (Some(instance), Some(platform)) = (instance, platform) else {
            unreachable!("SettingsReader::finish fails when a required section or key is missing");
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
