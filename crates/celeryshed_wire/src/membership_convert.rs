//! Conversions from the instance list and reports to the membership types of the core.

use celeryshed_core::membership::{ListedMember, ListedRole, ReportedState, SideReport};

use crate::platform::{InstanceRole, InstanceState, ListedInstance};
use crate::reports::{EndpointReport, EndpointState};

impl From<InstanceRole> for ListedRole {
    fn from(role: InstanceRole) -> Self {
        match role {
            InstanceRole::Entry => Self::Entry,
            InstanceRole::Side => Self::Side,
        }
    }
}

impl From<EndpointState> for ReportedState {
    fn from(state: EndpointState) -> Self {
        match state {
            EndpointState::Serving => Self::Serving,
            EndpointState::Starting => Self::Starting,
            EndpointState::Leaving => Self::Leaving,
        }
    }
}

impl From<ListedInstance> for ListedMember {
    fn from(listed: ListedInstance) -> Self {
        Self {
            instance: listed.instance,
            role: listed.role.into(),
            address: listed.address,
            zone: listed.zone,
            region: listed.region,
            service: listed.service,
            leaving: listed.state == InstanceState::Leaving,
        }
    }
}

impl From<&EndpointReport> for SideReport {
    fn from(report: &EndpointReport) -> Self {
        Self {
            instance: report.instance.clone(),
            incarnation: report.incarnation,
            address: report.address.clone(),
            zone: report.zone.clone(),
            region: report.region.clone(),
            service: report.service.clone(),
            state: report.state.into(),
        }
    }
}
