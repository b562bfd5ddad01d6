//! Settings of the sidecar role.

use std::net::SocketAddr;
use std::path::Path;
use std::time::Duration;

use celeryshed_base::{ServiceName, common_derives};
use celeryshed_core::configuration::EndpointKind;

use crate::error::Result;
use crate::reader::SettingsReader;
use crate::shared::{ACCEPTED_ADDRESS, InstanceSettings, PlatformSettings};

common_derives! { value:
    /// Checked settings of a sidecar.
    pub struct SideSettings {
        /// Section `[instance]`.
        pub instance: InstanceSettings,
        /// Section `[platform]`.
        pub platform: PlatformSettings,
        /// Section `[endpoint]`.
        pub endpoint: EndpointSettings,
        /// Section `[weights]`.
        pub weights: WeightSettings,
        /// Pause between reports to entries, 0.1 to 4 s, default 2 s.
        pub report_interval: Duration,
        /// Maximum duration of a request, 1 s to 1 day, default 10 min.
        pub max_request: Duration,
        /// Maximum age of an accepted idempotency key and retention time of claims, 10 s to 1 year,
        /// default 6 h.
        pub booking_window: Duration,
    }

    /// Section `[endpoint]`: the endpoint that the sidecar serves.
    pub struct EndpointSettings {
        /// Service that the endpoint belongs to.
        pub service: ServiceName,
        /// Whether the endpoint is a model engine (default) or a plain service.
        pub kind: EndpointKind,
        /// Address of the endpoint.
        pub address: SocketAddr,
        /// Requests that the endpoint runs at the same time, 1 to 4096, default 8.
        pub slots: u32,
        /// Whether the engine refuses commands with an outdated fencing token; default no.
        pub checks_fence: bool,
    }

    /// Section `[weights]`: distribution of weights.
    pub struct WeightSettings {
        /// Cost that the distribution minimizes; default time.
        pub weighing: WeightGoal,
        /// Region of the weight store, whose instances fetch first; `None` when not set.
        pub store_region: Option<celeryshed_base::RegionName>,
        /// Network bandwidth of the instance in Mbit/s, 1 to 400,000, default 1000.
        pub link_mbit_per_s: u64,
        /// Memory for chunks in MiB, up to 4 TiB, default 4 GiB.
        pub chunk_memory_mib: u64,
        /// Chunks fetched at the same time, 1 to 256, default 4.
        pub parallel_fetches: u32,
    }

    /// Cost that the distribution of weights minimizes.
    #[derive(Copy)]
    pub enum WeightGoal {
        /// Time until the model is live everywhere.
        Time,
        /// Bytes fetched from the origin.
        OriginBytes,
    }
}

impl SideSettings {
    /// Reads and checks a file.
    pub fn load(file: &Path) -> Result<Self> {
        Self::read(SettingsReader::load(file)?)
    }

    /// Checks a parsed file.
    ///
    /// ```
    /// use celeryshed_settings::{SettingsReader, SideSettings};
    /// use std::path::Path;
    /// let reader = SettingsReader::parse(Path::new("side.ini"), "[endpoint]\nslots = many\n");
    /// let error = SideSettings::read(reader.unwrap()).unwrap_err();
    /// assert!(error.to_string().contains("section [endpoint], key slots: \"many\""));
    /// ```
    pub fn read(reader: SettingsReader) -> Result<Self> {
        let instance = InstanceSettings::read(&reader);
        let platform = PlatformSettings::read(&reader, true);
        let endpoint = EndpointSettings::read(&reader);
        let weights = WeightSettings::read(&reader);
        let serving = reader.optional_section("serving");
        let report_interval = serving.millis("report_ms", 100..=4_000, 2_000);
        let max_request = serving.seconds("max_request_s", 1..=86_400, 600);
        drop(serving);
        let bookings = reader.optional_section("bookings");
        let booking_window = bookings.seconds("window_s", 10..=31_536_000, 21_600);
        drop(bookings);
        reader.finish()?;
        let (Some(instance), Some(platform), Some(endpoint)) = (instance, platform, endpoint)
        else {
            unreachable!("SettingsReader::finish fails when a required section or key is missing");
        };
        Ok(Self {
            instance,
            platform,
            endpoint,
            weights,
            report_interval,
            max_request,
            booking_window,
        })
    }
}

impl EndpointSettings {
    fn read(reader: &SettingsReader) -> Option<Self> {
        let section = reader.section("endpoint");
        let service = section.required_checked("service");
        let kinds = [("engine", EndpointKind::Engine), ("plain", EndpointKind::Plain)];
        let kind = section.choice("kind", &kinds, EndpointKind::Engine);
        let address = section.required("address", ACCEPTED_ADDRESS);
        let slots = section.integer("slots", 1..=4_096, 8) as u32;
        let checks_fence = section.flag("checks_fence", false);
        Some(Self { service: service?, kind, address: address?, slots, checks_fence })
    }
}

impl WeightSettings {
    fn read(reader: &SettingsReader) -> Self {
        let section = reader.optional_section("weights");
        let choices = [("time", WeightGoal::Time), ("origin_bytes", WeightGoal::OriginBytes)];
        Self {
            weighing: section.choice("weighing", &choices, WeightGoal::Time),
            store_region: section.optional_checked("store_region"),
            link_mbit_per_s: section.integer("link_mbit_per_s", 1..=400_000, 1_000),
            chunk_memory_mib: section.integer("chunk_memory_mib", 1..=4_194_304, 4_096),
            parallel_fetches: section.integer("parallel_fetches", 1..=256, 4) as u32,
        }
    }
}
