//! The scenarios' faults, and what the membership shows of them.

use std::sync::Arc;
use std::time::Duration;

use celeryshed_base::RequestId;
use celeryshed_core::membership::{EntryMember, MemberState, MembershipView, SideMember};
use celeryshed_wire::{FailureCause, RunStatus};

use super::events::WorldEvent;
use super::options::ScarcityScenario;
use super::traffic::{self, ENGINES, ZONES};
use super::world::{World, entry_name, region, zone};

/// Time after which a silent instance is known to be silent.
const SILENCE: Duration = Duration::from_secs(5);

/// Longest wait of an entry for the first event, and between two events.
const FIRST_EVENT: Duration = Duration::from_secs(10);
const EVENT_GAP: Duration = Duration::from_secs(5);

/// Engines that die in scenario `half_gone`.
const HALF: usize = 7;

/// Pause before a caller whose connection broke calls another entry.
const RECONNECT_PAUSE: Duration = Duration::from_millis(500);

impl World {
    pub(super) fn sync_members(&mut self) {
        let live_entries = (0..ZONES).filter(|number| self.entries[*number].alive);
        let entries = live_entries.map(|number| {
            let address = String::new();
            let member = EntryMember { address, zone: zone(number), region: region(number) };
            (entry_name(number), member)
        });
        let sides = self.engines.iter().zip(&self.names).map(|(engine, name)| {
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

    pub(super) fn fault(&mut self) {
        match self.options.scenario {
            ScarcityScenario::Calm | ScarcityScenario::Overload => {}
            ScarcityScenario::HalfGone => (0..HALF).for_each(|engine| self.kill(engine)),
            ScarcityScenario::RetryStorm => (0..ENGINES / 3).for_each(|engine| self.kill(engine)),
            ScarcityScenario::ZoneGone => self.lose_zone(0),
            ScarcityScenario::Spread => {
                self.slow_links = true;
                for engine in 0..ENGINES {
                    let pause = Duration::from_secs(1) * engine as u32;
                    self.after(pause, WorldEvent::NewVersion { engine });
                }
            }
        }
        self.after(SILENCE, WorldEvent::Silence);
    }

    /// The engine's process dies: its connections are reset.
    fn kill(&mut self, engine: usize) {
        for attempt in self.engines[engine].die() {
            let (cause, not_run) = (FailureCause::EndpointFailed, RunStatus::Ran);
            let latency = self.latency(attempt.entry, engine);
            self.after(latency, WorldEvent::Failed { attempt, cause, not_run });
        }
    }

    /// Machines vanish: nothing resets their connections.
    fn lose_zone(&mut self, lost: usize) {
        for engine in (0..ENGINES).filter(|engine| engine % ZONES == lost) {
            for attempt in self.engines[engine].die() {
                let delivered = self.requests.get(&attempt.request_id).map_or(0, |it| it.delivered);
                let pause = if delivered == 0 { FIRST_EVENT } else { EVENT_GAP };
                self.after(pause, WorldEvent::Gap { attempt });
            }
        }
        self.entries[lost].alive = false;
        let broken = self.requests.iter().filter(|(_, request)| request.entry == lost);
        let broken: Vec<(RequestId, usize)> = broken.map(|(id, it)| (*id, it.call)).collect();
        for (request_id, call) in broken {
            self.requests.remove(&request_id);
            self.after(RECONNECT_PAUSE, WorldEvent::Resend { call });
        }
    }

    pub(super) fn recover(&mut self) {
        self.slow_links = false;
        for engine in self.engines.iter_mut().filter(|engine| !engine.alive) {
            engine.alive = true;
        }
        self.sync_members();
    }
}
