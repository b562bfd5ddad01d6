//! Sections in the settings of both roles, entry and sidecar.

use std::net::SocketAddr;

use celeryshed_base::{AvailabilityZone, InstanceName, RegionName, common_derives};

use crate::reader::SettingsReader;

/// Error text for an invalid address.
pub(crate) const ACCEPTED_ADDRESS: &str = "an IP address and port, such as 127.0.0.1:8080";

common_derives! { value:
    /// Section `[instance]`: location and addresses of this process.
    pub struct InstanceSettings {
        /// Name of the instance.
        pub name: InstanceName,
        /// Availability zone of the instance.
        pub zone: AvailabilityZone,
        /// Region of the instance.
        pub region: RegionName,
        /// Address that the process listens on.
        pub listen: SocketAddr,
        /// Address at which other processes reach this one; default `listen`.
        pub advertise: SocketAddr,
    }

    /// Section `[platform]`: base URLs of the platform's services, without a trailing slash.
    pub struct PlatformSettings {
        /// URL of the log service.
        pub log_url: String,
        /// URL of the instance list.
        pub list_url: String,
        /// URL of the weight store; empty for entries.
        pub store_url: String,
        /// URL of the origin of weights; empty for entries.
        pub origin_url: String,
    }
}

impl InstanceSettings {
    pub(crate) fn read(reader: &SettingsReader) -> Option<Self> {
        let section = reader.section("instance");
        let name = section.required_checked("name");
        let zone = section.required_checked("zone");
        let region = section.required_checked("region");
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
            section.add_error(key, Some(&value), "a URL such as http://127.0.0.1:9000");
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
