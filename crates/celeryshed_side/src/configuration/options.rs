//! Options of the configuration task, and what it reports.

use std::time::Duration;

use celeryshed_base::{
    AvailabilityZone, ConfigRevision, ContentDigest, InstanceName, ProcessIncarnation, RegionName,
    ServiceName, common_derives,
};
use celeryshed_wire::{EndpointReport, EndpointState, LoadReport};

common_derives! { value:
    /// An option outside of its range.
    #[derive(thiserror::Error)]
    #[error("option {option} is {value:?}; accepted is {accepted}")]
    pub struct OptionsError {
        /// The option.
        pub option: &'static str,
        /// Its value.
        pub value: Duration,
        /// What is accepted.
        pub accepted: &'static str,
    }

    /// Who this sidecar is.
    pub struct SideIdentity {
        /// Its instance.
        pub instance: InstanceName,
        /// Its incarnation.
        pub incarnation: ProcessIncarnation,
        /// IP address and port at which other processes reach it.
        pub address: String,
        /// Availability zone.
        pub zone: AvailabilityZone,
        /// Region.
        pub region: RegionName,
        /// Service of the endpoint.
        pub service: ServiceName,
    }

    /// State of the endpoint that goes into reports.
    pub struct EndpointStatus {
        /// State.
        pub state: EndpointState,
        /// Version that the engine serves.
        pub live_version: Option<ContentDigest>,
        /// Load.
        pub load: LoadReport,
        /// Hashes of cached prompt prefixes, a sample.
        pub prefixes: Vec<u64>,
    }

    /// Options of the configuration task.
    ///
    /// ```
    /// use celeryshed_side::configuration::ReportOptions;
    /// assert!(ReportOptions::default().check().is_ok());
    /// ```
    #[derive(Copy)]
    pub struct ReportOptions {
        /// Pause between reports.
        pub report_interval: Duration,
        /// Longest call to an entry or the list.
        pub call_timeout: Duration,
        /// How long an entry that sent work is told when the sidecar leaves.
        pub sender_memory: Duration,
    }
}

impl Default for EndpointStatus {
    fn default() -> Self {
        let state = EndpointState::Starting;
        Self { state, live_version: None, load: LoadReport::default(), prefixes: Vec::new() }
    }
}

impl Default for ReportOptions {
    fn default() -> Self {
        Self {
            report_interval: Duration::from_secs(2),
            call_timeout: Duration::from_secs(1),
            sender_memory: Duration::from_secs(60),
        }
    }
}

impl ReportOptions {
    /// Checks the ranges.
    pub fn check(&self) -> Result<(), OptionsError> {
        // Two reports fit into the 5 s of silence after which entries send no more work.
        let reports = Duration::from_millis(50)..=Duration::from_secs(4);
        let calls = Duration::from_millis(50)..=Duration::from_secs(5);
        let senders = Duration::from_secs(5)..=Duration::from_secs(600);
        in_range("report_interval", self.report_interval, reports, "50 ms to 4 s")?;
        in_range("call_timeout", self.call_timeout, calls, "50 ms to 5 s")?;
        in_range("sender_memory", self.sender_memory, senders, "5 s to 600 s")
    }
}

fn in_range(
    option: &'static str,
    value: Duration,
    allowed: std::ops::RangeInclusive<Duration>,
    accepted: &'static str,
) -> Result<(), OptionsError> {
    if allowed.contains(&value) {
        return Ok(());
    }
    Err(OptionsError { option, value, accepted })
}

impl SideIdentity {
    /// The report of this sidecar.
    pub(super) fn report(
        &self,
        status: &EndpointStatus,
        revision: Option<ConfigRevision>,
    ) -> EndpointReport {
        EndpointReport {
            instance: self.instance.clone(),
            incarnation: self.incarnation,
            address: self.address.clone(),
            zone: self.zone.clone(),
            region: self.region.clone(),
            service: self.service.clone(),
            state: status.state,
            live_version: status.live_version,
            load: status.load,
            prefixes: status.prefixes.clone(),
            revision,
        }
    }
}
