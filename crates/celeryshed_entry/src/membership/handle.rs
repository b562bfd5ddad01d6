//! Access to the membership task from routes and other tasks.

use std::sync::Arc;

use celeryshed_base::{InstanceName, ProcessIncarnation};
use celeryshed_core::membership::MembershipView;
use celeryshed_wire::EndpointReport;
use tokio::sync::{broadcast, mpsc, watch};

/// Observation of a member, sent to the membership task.
#[derive(Debug)]
pub(super) enum MembershipEvent {
    Report(Box<EndpointReport>),
    Contact(InstanceName, ProcessIncarnation),
    Leaving(InstanceName, ProcessIncarnation),
    Unreachable(InstanceName),
}

/// Access to the membership; the task ends when the last handle is dropped.
#[derive(Clone, Debug)]
pub struct MembershipHandle {
    pub(super) views: watch::Receiver<Arc<MembershipView>>,
    pub(super) events: mpsc::Sender<MembershipEvent>,
    pub(super) reports: broadcast::Sender<Arc<EndpointReport>>,
}

impl MembershipHandle {
    /// The view of members, updated with every change.
    pub fn subscribe_view(&self) -> watch::Receiver<Arc<MembershipView>> {
        self.views.clone()
    }

    /// The current view of members; empty until the first list or report arrives.
    pub fn view(&self) -> Arc<MembershipView> {
        self.views.borrow().clone()
    }

    /// Every report that arrives; a receiver that lags by more than 1024 reports loses the oldest.
    pub fn subscribe_reports(&self) -> broadcast::Receiver<Arc<EndpointReport>> {
        self.reports.subscribe()
    }

    /// Records a sidecar's report and passes it to the subscribers.
    pub async fn report(&self, report: EndpointReport) {
        self.send(MembershipEvent::Report(Box::new(report))).await;
    }

    /// Records that an incarnation of a sidecar answered an attempt, which counts as contact.
    pub async fn record_contact(&self, instance: InstanceName, incarnation: ProcessIncarnation) {
        self.send(MembershipEvent::Contact(instance, incarnation)).await;
    }

    /// Records that an incarnation of a sidecar refused an attempt because it is leaving.
    pub async fn record_leaving(&self, instance: InstanceName, incarnation: ProcessIncarnation) {
        self.send(MembershipEvent::Leaving(instance, incarnation)).await;
    }

    /// Records that another entry could not be reached, which removes it from the view for a while.
    pub async fn record_unreachable(&self, entry: InstanceName) {
        self.send(MembershipEvent::Unreachable(entry)).await;
    }

    async fn send(&self, event: MembershipEvent) {
        // The task ends only with the process, when the view is no longer used.
        let _ = self.events.send(event).await;
    }
}
