//! Faults of the scenarios and the membership that entries see.

use std::sync::Arc;
use std::time::Duration;

use celeryshed_base::RequestId;
use celeryshed_core::membership::{EntryMember, MemberState, MembershipView, SideMember};
use celeryshed_wire::{FailureCause, RunStatus};

use super::events::SimEvent;
use super::options::ScarcityScenario;
use super::simulation::{ScarcitySimulation, entry_name, region, zone};
use super::traffic::{self, ENGINES, ZONES};

/// Time from a fault until the membership marks the affected instances as silent.
const SILENCE_DETECTION: Duration = Duration::from_secs(5);

/// Time after which an entry gives up an attempt without a first event.
const FIRST_EVENT_TIMEOUT: Duration = Duration::from_secs(10);
/// Time after which an entry gives up an attempt without a further event.
const EVENT_GAP_TIMEOUT: Duration = Duration::from_secs(5);

/// Engines that crash in scenario `half_gone`.
const HALF_GONE_ENGINES: usize = 7;

/// Time until a caller whose connection broke calls another entry.
const RECONNECT_PAUSE: Duration = Duration::from_millis(500);

impl ScarcitySimulation {
    pub(super) fn sync_members(&mut self) {
        let live_entries = (0..ZONES).filter(|number| self.entries[*number].alive);
        let entries = live_entries.map(|number| {
            let address = String::new();
            let member = EntryMember { address, zone: zone(number), region: region(number) };
            (entry_name(number), member)
        });
        let sides = self.engines.iter().zip(&self.engine_names).map(|(engine, name)| {
            let state = if engine.alive { MemberState::Live } else { MemberState::Silent };
            let member = SideMember {
                address: name.to_string(),
                incarnation: None,
                zone: zone(engine.zone),
                region: region(engine.zone),
                service: traffic::service(),
                state,
            };
            (name.clone(), member)
        });
        let view = MembershipView { entries: entries.collect(), sides: sides.collect() };
        for entry in &mut self.entries {
            entry.decisions.sync(&view, Some(Arc::clone(&self.configuration)), self.now);
        }
    }

    pub(super) fn start_fault(&mut self) {
        match self.options.scenario {
            ScarcityScenario::Calm | ScarcityScenario::Overload => {}
            ScarcityScenario::HalfGone => {
                (0..HALF_GONE_ENGINES).for_each(|engine| self.crash(engine))
            }
            ScarcityScenario::RetryStorm => (0..ENGINES / 3).for_each(|engine| self.crash(engine)),
            ScarcityScenario::ZoneGone => self.lose_zone(0),
            ScarcityScenario::Spread => {
                self.distribution_active = true;
                for engine in 0..ENGINES {
                    let pause = Duration::from_secs(1) * engine as u32;
                    self.schedule_after(pause, SimEvent::NewVersion { engine });
                }
            }
        }
        self.schedule_after(SILENCE_DETECTION, SimEvent::SyncMembers);
    }

    /// Crashes an engine's process; the operating system resets its connections.
    fn crash(&mut self, engine: usize) {
        for attempt in self.engines[engine].crash() {
            let (cause, not_run) = (FailureCause::EndpointFailed, RunStatus::Ran);
            let latency = self.latency(attempt.entry, engine);
            self.schedule_after(latency, SimEvent::Failed { attempt, cause, not_run });
        }
    }

    /// Makes the machines of a zone unreachable; their connections aren't reset.
    fn lose_zone(&mut self, lost: usize) {
        for engine in (0..ENGINES).filter(|engine| engine % ZONES == lost) {
            for attempt in self.engines[engine].crash() {
                let delivered = self
                    .requests
                    .get(&attempt.request_id)
                    .map_or(0, |request| request.delivered_tokens);
                let pause = if delivered == 0 { FIRST_EVENT_TIMEOUT } else { EVENT_GAP_TIMEOUT };
                self.schedule_after(pause, SimEvent::EventTimeout { attempt });
            }
        }
        self.entries[lost].alive = false;
        let broken = self.requests.iter().filter(|(_, request)| request.entry == lost);
        let broken: Vec<(RequestId, usize)> =
            broken.map(|(id, request)| (*id, request.call)).collect();
        for (request_id, call) in broken {
            self.requests.remove(&request_id);
            self.schedule_after(RECONNECT_PAUSE, SimEvent::Resend { call });
        }
    }

    pub(super) fn end_fault(&mut self) {
        self.distribution_active = false;
        for engine in self.engines.iter_mut().filter(|engine| !engine.alive) {
            engine.alive = true;
        }
        self.sync_members();
    }
}
