//! Options of the configuration task, and the contents of its reports.

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
        /// Name of the field.
        pub option: &'static str,
        /// Rejected value.
        pub value: Duration,
        /// Accepted range.
        pub accepted: &'static str,
    }

    /// The part of reports that stays the same for the whole incarnation.
    pub struct SideIdentity {
        /// Name of this sidecar's instance.
        pub instance: InstanceName,
        /// Random identifier of this process.
        pub incarnation: ProcessIncarnation,
        /// IP address and port at which other processes reach this sidecar.
        pub address: String,
        /// Availability zone, from the settings.
        pub zone: AvailabilityZone,
        /// Region, from the settings.
        pub region: RegionName,
        /// Service of the endpoint.
        pub service: ServiceName,
    }

    /// The part of reports that changes with the endpoint.
    pub struct EndpointStatus {
        /// State; `Starting` by default.
        pub state: EndpointState,
        /// Version that the engine has confirmed; `None` before the first load and for plain
        /// services.
        pub live_version: Option<ContentDigest>,
        /// Load of the slots and of the engine.
        pub load: LoadReport,
        /// Sample of the hashes of cached prompt prefixes; may be empty.
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
        /// Pause between reports; 50 ms to 4 s, 2 s by default.
        pub report_interval: Duration,
        /// Timeout of calls to entries and to the instance list; 50 ms to 5 s, 1 s by default.
        pub call_timeout: Duration,
        /// Time after its last request for which an entry is still notified when the sidecar
        /// leaves; 5 s to 600 s, 60 s by default.
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
    /// Checks that each option is in its range.
    pub fn check(&self) -> Result<(), OptionsError> {
        // Entries stop sending work after 5 s without a report, so the interval must be shorter.
        let report_range = Duration::from_millis(50)..=Duration::from_secs(4);
        let call_range = Duration::from_millis(50)..=Duration::from_secs(5);
        let memory_range = Duration::from_secs(5)..=Duration::from_secs(600);
        check_range("report_interval", self.report_interval, report_range, "50 ms to 4 s")?;
        check_range("call_timeout", self.call_timeout, call_range, "50 ms to 5 s")?;
        check_range("sender_memory", self.sender_memory, memory_range, "5 s to 600 s")
    }
}

fn check_range(
    option: &'static str,
    value: Duration,
    range: std::ops::RangeInclusive<Duration>,
    accepted: &'static str,
) -> Result<(), OptionsError> {
    if range.contains(&value) {
        return Ok(());
    }
    Err(OptionsError { option, value, accepted })
}

impl SideIdentity {
    /// Creates a report.
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
