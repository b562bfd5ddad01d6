//! Settings of the stand-ins, which simulate the platform and the endpoints. One file describes all
//! of them.

use std::net::SocketAddr;
use std::path::Path;
use std::time::Duration;

use celeryshed_base::{AvailabilityZone, InstanceName, RegionName, ServiceName, common_derives};

use crate::error::Result;
use crate::reader::{SectionReader, SettingsReader};
use crate::shared::ACCEPTED_ADDRESS;

common_derives! { value:
    /// Checked settings of a set of stand-ins. Each section starts one; a missing section starts
    /// none.
    pub struct StandinSettings {
        /// Section `[log]`.
        pub log: Option<LogStandinSettings>,
        /// Section `[list]`.
        pub list: Option<ListStandinSettings>,
        /// Section `[store]`.
        pub store: Option<BlobStandinSettings>,
        /// Section `[origin]`.
        pub origin: Option<BlobStandinSettings>,
        /// Sections `[engine NAME]`.
        pub engines: Vec<EngineStandinSettings>,
        /// Sections `[service NAME]`.
        pub services: Vec<ServiceStandinSettings>,
    }

    /// Settings of a log service.
    pub struct LogStandinSettings {
        /// Address to listen on.
        pub listen: SocketAddr,
        /// How long records are kept, 1 s to 1 year, default 1 day.
        pub retention: Duration,
        /// Maximum rate of appends per second, 1 to 1,000,000, default 300.
        pub appends_per_s: u32,
    }

    /// Settings of an instance list.
    pub struct ListStandinSettings {
        /// Address to listen on.
        pub listen: SocketAddr,
        /// Delay until a change shows in the served list, 0 to 1 h, default 0.
        pub lag: Duration,
        /// Sections `[instance NAME]`: the listed instances.
        pub instances: Vec<ListedInstanceSettings>,
    }

    /// Section `[instance NAME]`: an instance in the list.
    pub struct ListedInstanceSettings {
        /// Name of the instance.
        pub name: InstanceName,
        /// Address of the entry or sidecar on the instance.
        pub address: SocketAddr,
        /// Availability zone of the instance.
        pub zone: AvailabilityZone,
        /// Region of the instance.
        pub region: RegionName,
        /// Service of the instance's endpoint; `None` for an entry.
        pub service: Option<ServiceName>,
    }

    /// Settings of a weight store or an origin.
    pub struct BlobStandinSettings {
        /// Address to listen on.
        pub listen: SocketAddr,
        /// Maximum total rate in MiB per second, 0 to 1,000,000; 0, the default, means no limit.
        pub rate_mib_per_s: u64,
    }

    /// Settings of a model engine.
    pub struct EngineStandinSettings {
        /// Name in log lines.
        pub name: InstanceName,
        /// Address to listen on.
        pub listen: SocketAddr,
        /// Requests that run at the same time, 1 to 4096, default 8.
        pub slots: u32,
        /// Tokens per second over all requests, 1 to 10,000,000, default 400.
        pub tokens_per_s: u32,
        /// Whether the engine refuses commands with an outdated fencing token; default no.
        pub checks_fence: bool,
    }

    /// Settings of a plain service.
    pub struct ServiceStandinSettings {
        /// Name in log lines.
        pub name: InstanceName,
        /// Address to listen on.
        pub listen: SocketAddr,
        /// Duration of each call, 0 to 10 min, default 20 ms.
        pub latency: Duration,
    }
}

impl StandinSettings {
    /// Reads and checks a file.
    pub fn load(file: &Path) -> Result<Self> {
        Self::read(SettingsReader::load(file)?)
    }

    /// Checks a parsed file.
    ///
    /// ```
    /// use celeryshed_settings::{SettingsReader, StandinSettings};
    /// use std::path::Path;
    /// let reader = SettingsReader::parse(Path::new("s.ini"), "[log]\nlisten = 127.0.0.1:9000\n");
    /// let settings = StandinSettings::read(reader.unwrap()).unwrap();
    /// assert_eq!(settings.log.unwrap().appends_per_s, 300);
    /// ```
    pub fn read(reader: SettingsReader) -> Result<Self> {
        let present = |name: &str| reader.has_section(name);
        let log = present("log").then(|| read_log(&reader.section("log"))).flatten();
        let list = present("list").then(|| read_list(&reader)).flatten();
        let store = present("store").then(|| read_blobs(&reader.section("store"))).flatten();
        let origin = present("origin").then(|| read_blobs(&reader.section("origin"))).flatten();
        let engines = reader
            .named_sections("engine")
            .into_iter()
            .filter_map(|(name, section)| read_engine(&name, &section))
            .collect();
        let services = reader
            .named_sections("service")
            .into_iter()
            .filter_map(|(name, section)| read_service(&name, &section))
            .collect();
        reader.finish()?;
        Ok(Self { log, list, store, origin, engines, services })
    }
}

fn listen(section: &SectionReader<'_>) -> Option<SocketAddr> {
    section.required("listen", ACCEPTED_ADDRESS)
}

fn instance_name(name: &str, section: &SectionReader<'_>) -> Option<InstanceName> {
    match InstanceName::try_from(name) {
        Ok(name) => Some(name),
        Err(error) => {
            section.add_error("", Some(name), &error.to_string());
            None
        }
    }
}

fn read_log(section: &SectionReader<'_>) -> Option<LogStandinSettings> {
    let retention = section.seconds("retention_s", 1..=31_536_000, 86_400);
    let appends_per_s = section.integer("appends_per_s", 1..=1_000_000, 300) as u32;
    Some(LogStandinSettings { listen: listen(section)?, retention, appends_per_s })
}

fn read_list(reader: &SettingsReader) -> Option<ListStandinSettings> {
    let section = reader.section("list");
    let lag = section.millis("lag_ms", 0..=3_600_000, 0);
    let instances = reader
        .named_sections("instance")
        .into_iter()
        .filter_map(|(name, section)| read_listed(&name, &section))
        .collect();
    Some(ListStandinSettings { listen: listen(&section)?, lag, instances })
}

fn read_listed(name: &str, section: &SectionReader<'_>) -> Option<ListedInstanceSettings> {
    let name = instance_name(name, section);
    let address = section.required("address", ACCEPTED_ADDRESS);
    let zone = section.required_checked("zone");
    let region = section.required_checked("region");
    let service = section.optional_checked("service");
    Some(ListedInstanceSettings {
        name: name?,
        address: address?,
        zone: zone?,
        region: region?,
        service,
    })
}

fn read_blobs(section: &SectionReader<'_>) -> Option<BlobStandinSettings> {
    let rate_mib_per_s = section.integer("rate_mib_per_s", 0..=1_000_000, 0);
    Some(BlobStandinSettings { listen: listen(section)?, rate_mib_per_s })
}

fn read_engine(name: &str, section: &SectionReader<'_>) -> Option<EngineStandinSettings> {
    let name = instance_name(name, section);
    let listen = listen(section);
    let slots = section.integer("slots", 1..=4_096, 8) as u32;
    let tokens_per_s = section.integer("tokens_per_s", 1..=10_000_000, 400) as u32;
    let checks_fence = section.flag("checks_fence", false);
    Some(EngineStandinSettings { name: name?, listen: listen?, slots, tokens_per_s, checks_fence })
}

fn read_service(name: &str, section: &SectionReader<'_>) -> Option<ServiceStandinSettings> {
    let name = instance_name(name, section);
    let listen = listen(section);
    let latency = section.millis("latency_ms", 0..=600_000, 20);
    Some(ServiceStandinSettings { name: name?, listen: listen?, latency })
}
