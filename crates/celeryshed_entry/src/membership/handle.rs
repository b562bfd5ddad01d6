//! Access to the membership task from routes and other tasks.

use std::sync::Arc;

use celeryshed_base::{InstanceName, ProcessIncarnation};
use celeryshed_core::membership::MembershipView;
use celeryshed_wire::EndpointReport;
use tokio::sync::{broadcast, mpsc, watch};

/// What the membership task is told.
#[derive(Debug)]
pub(super) enum MemberNotice {
    Report(Box<EndpointReport>),
    Heard(InstanceName, ProcessIncarnation),
    Leaving(InstanceName, ProcessIncarnation),
    Unreachable(InstanceName),
}

/// Access to the membership; the task ends when the last handle is dropped.
#[derive(Clone, Debug)]
pub struct MembershipHandle {
    pub(super) views: watch::Receiver<Arc<MembershipView>>,
    pub(super) notices: mpsc::Sender<MemberNotice>,
    pub(super) reports: broadcast::Sender<Arc<EndpointReport>>,
}

impl MembershipHandle {
    /// The view as it changes.
    pub fn subscribe_view(&self) -> watch::Receiver<Arc<MembershipView>> {
        self.views.clone()
    }

    /// The view.
    pub fn view(&self) -> Arc<MembershipView> {
        self.views.borrow().clone()
    }

    /// Every report that arrives, for the routing; a slow receiver loses the oldest ones.
    pub fn subscribe_reports(&self) -> broadcast::Receiver<Arc<EndpointReport>> {
        self.reports.subscribe()
    }

    /// Takes a sidecar's report.
    pub async fn report(&self, report: EndpointReport) {
        self.tell(MemberNotice::Report(Box::new(report))).await;
    }

    /// Takes note that a sidecar answered an attempt.
    pub async fn record_contact(&self, instance: InstanceName, incarnation: ProcessIncarnation) {
        self.tell(MemberNotice::Heard(instance, incarnation)).await;
    }

    /// Takes note that a sidecar refused an attempt because it leaves.
    pub async fn leaving(&self, instance: InstanceName, incarnation: ProcessIncarnation) {
        self.tell(MemberNotice::Leaving(instance, incarnation)).await;
    }

    /// Takes note that another entry could not be reached; it is left out for a while.
    pub async fn unreachable(&self, entry: InstanceName) {
        self.tell(MemberNotice::Unreachable(entry)).await;
    }

    async fn tell(&self, notice: MemberNotice) {
        // The task only ends with the process, when nothing depends on the view any more.
        let _ = self.notices.send(notice).await;
    }
}
