//! Sections that both roles have.

use std::net::SocketAddr;

use celeryshed_base::{AvailabilityZone, InstanceName, RegionName, common_derives};

use crate::reader::SettingsReader;

/// What an address must look like.
pub(crate) const ACCEPTED_ADDRESS: &str = "an IP address and port, such as 127.0.0.1:8080";

common_derives! { value:
    /// Section `[instance]`: where this process runs.
    pub struct InstanceSettings {
        /// Name of the instance.
        pub name: InstanceName,
        /// Availability zone.
        pub zone: AvailabilityZone,
        /// Region.
        pub region: RegionName,
        /// Address that the process listens on.
        pub listen: SocketAddr,
        /// Address at which other processes reach it.
        pub advertise: SocketAddr,
    }

    /// Section `[platform]`: base URLs of the platform's services.
    pub struct PlatformSettings {
        /// The log.
        pub log_url: String,
        /// The instance list.
        pub list_url: String,
        /// The weight store.
        pub store_url: String,
        /// The origin of weights.
        pub origin_url: String,
    }
}

impl InstanceSettings {
    pub(crate) fn read(reader: &SettingsReader) -> Option<Self> {
        let section = reader.section("instance");
        let name = section.checked("name");
        let zone = section.checked("zone");
        let region = section.checked("region");
        let listen: Option<SocketAddr> = section.required("listen", ACCEPTED_ADDRESS);
        let fallback = listen.unwrap_or_else(|| SocketAddr::from(([127, 0, 0, 1], 0)));
        let advertise = section.with_default("advertise", ACCEPTED_ADDRESS, fallback);
        Some(Self { name: name?, zone: zone?, region: region?, listen: listen?, advertise })
    }
}

impl PlatformSettings {
    pub(crate) fn read(reader: &SettingsReader, with_weights: bool) -> Option<Self> {
        let section = reader.section("platform");
        let url = |key: &str| {
            let value: Option<String> =
                section.required(key, "a URL such as http://127.0.0.1:9000");
            let value = value?;
            if value.starts_with("http://") {
                return Some(value.trim_end_matches('/').to_owned());
            }
            section.fault(key, Some(&value), "a URL such as http://127.0.0.1:9000");
            None
        };
        let log_url = url("log_url");
        let list_url = url("list_url");
        let (store_url, origin_url) = if with_weights {
            (url("store_url"), url("origin_url"))
        } else {
            (Some(String::new()), Some(String::new()))
        };
        Some(Self {
            log_url: log_url?,
            list_url: list_url?,
            store_url: store_url?,
            origin_url: origin_url?,
        })
    }
}
