//! The configuration, versions and endpoints that a sidecar knows from control records.

#[cfg(test)]
mod tests;

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use celeryshed_base::{ClockSource, MonoTime, common_derives};
use celeryshed_dispatch::{
    EndpointDirectory, RoutingSnapshot, SidecarPeer, VersionDeadlines, VersionTarget,
};
use celeryshed_peering::{AgeReading, ControlEvent, RecordAge};
use celeryshed_process::{TaskClass, TaskGroup};
use tokio::sync::{mpsc, watch};

use crate::settings::SidecarSettings;

/// Version of a model for which none was declared yet. Endpoints that start later still load it if
/// its pieces arrive before those of a declared version.
const FIRST_TARGET: VersionTarget = VersionTarget {
    version: 1,
    learned_at: MonoTime::ZERO,
    due_at: MonoTime::ZERO,
    declared_while_running: false,
};

/// Largest piece of weights whose configuration doesn't tell it.
const UNKNOWN_PIECE_BYTES: usize = 16 * 1024 * 1024;

common_derives! { value:
    /// A version that the endpoint should serve.
    pub(crate) struct StageGoal {
        pub(crate) model: String,
        pub(crate) target: VersionTarget,
        /// Address of the origin, `IP:PORT`.
        pub(crate) origin: String,
        /// Time in which the origin's link carries all pieces of a version once.
        pub(crate) origin_transfer: Duration,
        /// Largest piece. An endpoint or origin that sends more is in trouble.
        pub(crate) piece_bytes: usize,
        /// Bytes of all pieces of a version.
        pub(crate) version_bytes: usize,
    }
}

/// A snapshot of what the sidecar knows; replaced as a whole when a control event arrives.
#[derive(Clone, Debug, Default)]
pub(crate) struct StageView {
    pub(crate) snapshot: Option<Arc<RoutingSnapshot>>,
    /// Declared versions by model, in the order in which they became known.
    versions: BTreeMap<String, Vec<VersionTarget>>,
    /// Known ages by model and version. Those from before the start of the process have no
    /// [`MonoTime`].
    known_ages: BTreeMap<(String, u64), AgeReading>,
    directory: EndpointDirectory,
}

impl StageView {
    /// The newest declared version of the endpoint's model, or [`FIRST_TARGET`]; `None` until the
    /// configuration names the model and an origin.
    pub(crate) fn goal(&self, settings: &SidecarSettings) -> Option<StageGoal> {
        let snapshot = self.snapshot.as_ref()?;
        let engine = snapshot.services.get(&settings.service)?.engine.as_ref()?;
        let model = engine.models.first()?.to_string();
        let origin = snapshot.services.values().find_map(|service| service.origin.as_ref())?;
        let declared = self.versions.get(&model).and_then(|versions| versions.last());
        let target = declared.copied().unwrap_or(FIRST_TARGET);
        let origin_transfer = origin.transfer_time(engine.piece_count, engine.piece_bytes);
        let version_bytes = engine.piece_count as usize * engine.piece_bytes as usize;
        let piece_bytes = match engine.piece_bytes {
            0 => UNKNOWN_PIECE_BYTES,
            bytes => bytes as usize,
        };
        let origin = origin.address.clone();
        Some(StageGoal { model, target, origin, origin_transfer, piece_bytes, version_bytes })
    }

    /// The goal of serving a version that may not be the newest one; `None` if it isn't declared.
    pub(crate) fn goal_of(&self, settings: &SidecarSettings, version: u64) -> Option<StageGoal> {
        let newest = self.goal(settings)?;
        let declared = self.versions.get(&newest.model).into_iter().flatten();
        let mut targets = declared.copied().chain([FIRST_TARGET]);
        let target = targets.find(|target| target.version == version)?;
        Some(StageGoal { target, ..newest })
    }

    /// When a declared version has to be in force; `None` if it isn't known.
    pub(crate) fn due_of(&self, model: &str, version: u64) -> Option<MonoTime> {
        let versions = self.versions.get(model)?;
        versions.iter().find(|target| target.version == version).map(|target| target.due_at)
    }

    /// When the first known version after `loaded` has to be in force; `None` if none is known.
    pub(crate) fn first_due(&self, model: &str, loaded: u64) -> Option<MonoTime> {
        let versions = self.versions.get(model)?;
        versions.iter().find(|target| target.version > loaded).map(|target| target.due_at)
    }

    /// The newest version of each model with its age, if that is known.
    pub(crate) fn newest_known_ages(&self) -> impl Iterator<Item = (&str, u64, Duration)> + '_ {
        let newest = self.versions.iter().filter_map(|(m, versions)| Some((m, versions.last()?)));
        newest.filter_map(|(model, target)| {
            let reading = self.known_ages.get(&(model.clone(), target.version))?;
            match reading.age() {
                RecordAge::Known(age) => Some((model.as_str(), target.version, age)),
                RecordAge::AtMost(_) | RecordAge::Unknown => None,
            }
        })
    }

    /// Addresses of all endpoints of the service.
    pub(crate) fn endpoints(&self, now: MonoTime, settings: &SidecarSettings) -> Vec<String> {
        let endpoints = self.directory.endpoints(now);
        endpoints
            .filter(|(_, endpoint)| endpoint.service == settings.service)
            .map(|(_, endpoint)| endpoint.address.clone())
            .collect()
    }

    /// Addresses of the other sidecars of the service, either those of the own region or all others.
    pub(crate) fn sidecars(
        &self,
        now: MonoTime,
        settings: &SidecarSettings,
        in_own_region: bool,
    ) -> Vec<String> {
        let own = settings.peer_address.to_string();
        let members = self.directory.endpoints(now).filter(|(_, endpoint)| {
            endpoint.service == settings.service
                && settings.is_in_own_region(&endpoint.zone) == in_own_region
        });
        let sidecars =
            members.filter_map(|(_, endpoint)| settings.sidecar_address(&endpoint.address));
        sidecars.filter(|sidecar| *sidecar != own).collect()
    }

    /// Addresses of the other sidecars of the service, with those of the own region first.
    pub(crate) fn nearest_sidecars(
        &self,
        now: MonoTime,
        settings: &SidecarSettings,
    ) -> Vec<String> {
        let own = settings.peer_address.to_string();
        let endpoints = self.directory.endpoints(now);
        let service = endpoints.filter(|(_, endpoint)| endpoint.service == settings.service);
        let sidecars = service.filter_map(|(_, endpoint)| {
            let address = settings.sidecar_address(&endpoint.address)?;
            Some((!settings.is_in_own_region(&endpoint.zone), address))
        });
        let mut sidecars: Vec<(bool, String)> =
            sidecars.filter(|(_, address)| *address != own).collect();
        sidecars.sort();
        sidecars.into_iter().map(|(_, address)| address).collect()
    }

    /// The other sidecars of the service, and whether their listed endpoints have loaded the goal.
    pub(crate) fn sidecar_peers(
        &self,
        now: MonoTime,
        settings: &SidecarSettings,
        goal: &StageGoal,
    ) -> Vec<SidecarPeer> {
        let own = settings.peer_address.to_string();
        self.directory
            .endpoints(now)
            .filter(|(_, endpoint)| endpoint.service == settings.service)
            .filter_map(|(_, endpoint)| {
                let address = settings.sidecar_address(&endpoint.address)?;
                let has_all_pieces = endpoint.version_of(&goal.model) == Some(goal.target.version);
                Some(SidecarPeer {
                    address,
                    region: settings.region_of(&endpoint.zone),
                    has_all_pieces,
                })
            })
            .filter(|peer| peer.address != own)
            .collect()
    }
}

/// Starts a task that applies control events to the view, as one of the `tasks` of the role.
pub(crate) fn start_view(
    tasks: &TaskGroup,
    clock: ClockSource,
    deadlines: VersionDeadlines,
    mut events: mpsc::UnboundedReceiver<ControlEvent>,
) -> watch::Receiver<Arc<StageView>> {
    let (view, receiver) = watch::channel(Arc::new(StageView::default()));
    tasks.start("view", TaskClass::Essential, async move {
        let mut current = StageView::default();
        while let Some(event) = events.recv().await {
            apply(&mut current, clock.now(), deadlines, event);
            while let Ok(event) = events.try_recv() {
                apply(&mut current, clock.now(), deadlines, event);
            }
            view.send_replace(Arc::new(current.clone()));
        }
    });
    receiver
}

fn apply(view: &mut StageView, now: MonoTime, deadlines: VersionDeadlines, event: ControlEvent) {
    match event {
        ControlEvent::Configuration(snapshot) => {
            view.directory.add_services(&snapshot);
            view.snapshot = Some(snapshot);
        }
        ControlEvent::ModelVersion { model, version, initial, age: reading } => {
            let age = reading.age();
            let limit = match age {
                // Its sender was started after the declaration, as other entries may have been, to
                // which the version is due this long after their start.
                RecordAge::Unknown if !initial => {
                    Some(deadlines.after_declaration.saturating_sub(deadlines.after_start))
                }
                age => age.limit(),
            };
            let due_at = deadlines.due_at(now, limit);
            if matches!(age, RecordAge::Known(_)) {
                view.known_ages.insert((model.clone(), version), reading);
            }
            let versions = view.versions.entry(model).or_default();
            if versions.last().is_none_or(|known| version > known.version) {
                let declared_while_running = !initial;
                versions.push(VersionTarget {
                    version,
                    learned_at: now - limit.unwrap_or_default(),
                    due_at,
                    declared_while_running,
                });
            }
        }
        ControlEvent::Endpoint(record) => {
            view.directory.apply(now, record);
        }
        ControlEvent::StoreFailed => view.directory.record_store_failure(),
        ControlEvent::StoreAnswered => view.directory.record_store_success(now),
        ControlEvent::StoreRestored => view.directory.record_restore(now),
        ControlEvent::RegistrationsRenewed => view.directory.record_renewals(),
    }
}
