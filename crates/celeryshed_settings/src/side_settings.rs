//! Settings of the side role.

use std::net::SocketAddr;
use std::path::Path;
use std::time::Duration;

use celeryshed_base::{ServiceName, common_derives};
use celeryshed_core::configuration::EndpointKind;

use crate::fault::Result;
use crate::reader::SettingsReader;
use crate::shared::{ACCEPTED_ADDRESS, InstanceSettings, PlatformSettings};

common_derives! { value:
    /// Checked settings of a sidecar.
    pub struct SideSettings {
        /// Where it runs.
        pub instance: InstanceSettings,
        /// The platform.
        pub platform: PlatformSettings,
        /// The endpoint beside it.
        pub endpoint: EndpointSettings,
        /// Distribution of weights.
        pub weights: WeightSettings,
        /// Pause between reports to entries.
        pub report_interval: Duration,
        /// Longest request.
        pub max_request: Duration,
        /// Age up to which an idempotency key is accepted; claims are remembered as long.
        pub booking_window: Duration,
    }

    /// Section `[endpoint]`.
    pub struct EndpointSettings {
        /// Its service.
        pub service: ServiceName,
        /// Model engine or plain service.
        pub kind: EndpointKind,
        /// Its address.
        pub address: SocketAddr,
        /// Requests that it carries at once.
        pub slots: u32,
        /// Whether it refuses a command with an old fencing token.
        pub checks_fence: bool,
    }

    /// Section `[weights]`.
    pub struct WeightSettings {
        /// What the distribution saves.
        pub weighing: WeightGoal,
        /// Region of the weight store; the region that fetches first.
        pub store_region: Option<celeryshed_base::RegionName>,
        /// Capacity of the instance's link in Mbit/s.
        pub link_mbit_per_s: u64,
        /// Memory for chunks in MiB.
        pub chunk_memory_mib: u64,
        /// Chunks fetched at once.
        pub parallel_fetches: u32,
    }

    /// What the distribution of weights saves.
    #[derive(Copy)]
    pub enum WeightGoal {
        /// Time until the model is live everywhere.
        Time,
        /// Bytes fetched from the origin.
        OriginBytes,
    }
}

impl SideSettings {
    /// Loads and checks a file.
    pub fn load(file: &Path) -> Result<Self> {
        Self::read(SettingsReader::load(file)?)
    }

    /// Checks parsed settings.
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
            unreachable!("a missing section or key is a fault that ends reading");
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
        let service = section.checked("service");
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
            store_region: section.checked_optional("store_region"),
            link_mbit_per_s: section.integer("link_mbit_per_s", 1..=400_000, 1_000),
            chunk_memory_mib: section.integer("chunk_memory_mib", 1..=4_194_304, 4_096),
            parallel_fetches: section.integer("parallel_fetches", 1..=256, 4) as u32,
        }
    }
}
