//! Zones, entries, endpoints and intervals of a fleet.

use std::time::Duration;

use celeryshed_base::{AvailabilityZone, RegionName, ServiceName, common_derives};
use celeryshed_core::configuration::EndpointKind;
use celeryshed_settings::WeightGoal;

common_derives! { value:
    /// An availability zone of a deployment.
    pub struct ZonePlan {
        /// Name of the zone.
        pub zone: AvailabilityZone,
        /// Region that contains the zone.
        pub region: RegionName,
    }

    /// The endpoints of one service, assigned to the zones in turn.
    pub struct EndpointPlan {
        /// Service that the endpoints run.
        pub service: ServiceName,
        /// Whether the endpoints are engines or plain services.
        pub kind: EndpointKind,
        /// Number of endpoints.
        pub count: usize,
        /// Most requests in progress at one endpoint.
        pub slots: u32,
        /// Tokens per second that one engine generates; 0 for plain services.
        pub tokens_per_s: u32,
    }

    /// Size, placement and intervals of a fleet.
    pub struct DeploymentPlan {
        /// Availability zones; the weight store is in the region of the first zone.
        pub zones: Vec<ZonePlan>,
        /// Number of entries, assigned to the zones in turn.
        pub entries: usize,
        /// Endpoints of each service.
        pub endpoints: Vec<EndpointPlan>,
        /// Whether weight distribution minimizes time or bytes from the origin.
        pub weight_goal: WeightGoal,
        /// Delay until a change shows in the instance list.
        pub list_lag: Duration,
        /// Interval between reads of the configuration log.
        pub poll_interval: Duration,
        /// Interval between the reports of a sidecar.
        pub report_interval: Duration,
    }
}

impl DeploymentPlan {
    /// Hinokage's deployment, with the same number of endpoints as in production.
    ///
    /// ```
    /// let plan = celeryshed_measure::fleet::DeploymentPlan::hinokage();
    /// assert_eq!(plan.endpoints.iter().map(|endpoints| endpoints.count).sum::<usize>(), 19);
    /// ```
    pub fn hinokage() -> Self {
        Self::with_zones(
            &[("fukuoka-a", "fukuoka"), ("kumamoto-a", "kumamoto"), ("kagoshima-a", "kagoshima")],
            ["copywriter", "order-desk", "proof-room"],
            WeightGoal::Time,
        )
    }

    /// COCA's deployment, with the same number of endpoints as in production.
    ///
    /// ```
    /// let plan = celeryshed_measure::fleet::DeploymentPlan::coca();
    /// assert_eq!(plan.zones.len(), 3);
    /// ```
    pub fn coca() -> Self {
        Self::with_zones(
            &[("puget-a", "puget"), ("willamette-a", "willamette"), ("inland-a", "inland")],
            ["drafter", "orders", "clinic-portal"],
            WeightGoal::OriginBytes,
        )
    }

    fn with_zones(zones: &[(&str, &str)], services: [&str; 3], weight_goal: WeightGoal) -> Self {
        let zone_plan = |(zone, region): &(&str, &str)| ZonePlan {
            zone: AvailabilityZone::try_from(*zone).expect("a fixed valid name"),
            region: RegionName::try_from(*region).expect("a fixed valid name"),
        };
        let endpoints = |service: &str, kind, count, tokens_per_s| EndpointPlan {
            service: ServiceName::try_from(service).expect("a fixed valid name"),
            kind,
            count,
            slots: 8,
            tokens_per_s,
        };
        let [engines, bookings, other] = services;
        Self {
            zones: zones.iter().map(zone_plan).collect(),
            entries: 3,
            endpoints: vec![
                endpoints(engines, EndpointKind::Engine, 15, 400),
                endpoints(bookings, EndpointKind::Plain, 3, 0),
                endpoints(other, EndpointKind::Plain, 1, 0),
            ],
            weight_goal,
            list_lag: Duration::from_secs(1),
            poll_interval: Duration::from_millis(500),
            report_interval: Duration::from_millis(500),
        }
    }
}
