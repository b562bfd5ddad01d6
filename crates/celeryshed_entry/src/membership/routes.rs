//! Route for the reports of sidecars.

use celeryshed_server::{CompactMsgPack, NamedMsgPack};
use celeryshed_wire::{EndpointReport, ReportReply};
use rocket::{Route, State, post, routes};

use super::handle::MembershipHandle;
use crate::configuration::{ConfigurationHandle, ProcessIdentity};

/// `POST /entry/v1/reports`, for sidecars; needs a managed [`MembershipHandle`],
/// [`ConfigurationHandle`] and [`ProcessIdentity`].
pub fn membership_routes() -> Vec<Route> {
    routes![receive_report]
}

#[post("/entry/v1/reports", data = "<report>")]
async fn receive_report(
    report: NamedMsgPack<EndpointReport>,
    membership: &State<MembershipHandle>,
    configuration: &State<ConfigurationHandle>,
    identity: &State<ProcessIdentity>,
) -> CompactMsgPack<ReportReply> {
    configuration.record_side_revision(&report.0.address, report.0.revision);
    membership.report(report.0).await;
    CompactMsgPack(ReportReply {
        incarnation: identity.incarnation,
        revision: configuration.revision(),
    })
}
