//! What a fleet consists of.

use std::time::Duration;

use celeryshed_base::{AvailabilityZone, RegionName, ServiceName, common_derives};
use celeryshed_core::configuration::EndpointKind;
use celeryshed_settings::WeightGoal;

common_derives! { value:
    /// An availability zone of a deployment.
    pub struct PlacePlan {
        /// The zone.
        pub zone: AvailabilityZone,
        /// Its region.
        pub region: RegionName,
    }

    /// The endpoints of one service, spread over the zones in turn.
    pub struct EndpointPlan {
        /// The service.
        pub service: ServiceName,
        /// What they are.
        pub kind: EndpointKind,
        /// How many.
        pub count: usize,
        /// Requests in progress of one.
        pub slots: u32,
        /// Tokens a second of one engine.
        pub tokens_per_s: u32,
    }

    /// A deployment.
    pub struct DeploymentPlan {
        /// Availability zones; the weight store is in the first one's region.
        pub places: Vec<PlacePlan>,
        /// Number of entries.
        pub entries: usize,
        /// Endpoints.
        pub endpoints: Vec<EndpointPlan>,
        /// What the distribution of weights saves.
        pub weighing: WeightGoal,
        /// How far the instance list lags.
        pub list_lag: Duration,
        /// Pause between reads of the configuration log.
        pub poll_interval: Duration,
        /// Pause between reports of sidecars.
        pub report_interval: Duration,
    }
}

impl DeploymentPlan {
    /// Hinokage's deployment with its real numbers of endpoints.
    ///
    /// ```
    /// let plan = celeryshed_measure::fleet::DeploymentPlan::hinokage();
    /// assert_eq!(plan.endpoints.iter().map(|endpoints| endpoints.count).sum::<usize>(), 19);
    /// ```
    pub fn hinokage() -> Self {
        Self::with_places(
            &[("fukuoka-a", "fukuoka"), ("kumamoto-a", "kumamoto"), ("kagoshima-a", "kagoshima")],
            ["copywriter", "order-desk", "proof-room"],
            WeightGoal::Time,
        )
    }

    /// COCA's deployment with its real numbers of endpoints.
    ///
    /// ```
    /// let plan = celeryshed_measure::fleet::DeploymentPlan::coca();
    /// assert_eq!(plan.places.len(), 3);
    /// ```
    pub fn coca() -> Self {
        Self::with_places(
            &[("puget-a", "puget"), ("willamette-a", "willamette"), ("inland-a", "inland")],
            ["drafter", "orders", "clinic-portal"],
            WeightGoal::OriginBytes,
        )
    }

    fn with_places(places: &[(&str, &str)], services: [&str; 3], weighing: WeightGoal) -> Self {
        let place = |(zone, region): &(&str, &str)| PlacePlan {
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
            places: places.iter().map(place).collect(),
            entries: 3,
            endpoints: vec![
                endpoints(engines, EndpointKind::Engine, 15, 400),
                endpoints(bookings, EndpointKind::Plain, 3, 0),
                endpoints(other, EndpointKind::Plain, 1, 0),
            ],
            weighing,
            list_lag: Duration::from_secs(1),
            poll_interval: Duration::from_millis(500),
            report_interval: Duration::from_millis(500),
        }
    }
}
