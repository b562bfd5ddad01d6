//! Slots of one endpoint, allocated by its sidecar.

use std::collections::BTreeMap;

use celeryshed_base::{AttemptId, TeamName, common_derives};

use crate::configuration::ConfigurationState;

/// Number of recent cancellations kept for attempts that arrive after their cancellation.
const MAX_REMEMBERED_CANCELLATIONS: usize = 1024;

common_derives! { index:
    /// Priority class of work at an endpoint, lowest first.
    pub enum SlotClass {
        /// Work of a team without a contract, or above its team's contract.
        BestEffort,
        /// Work within its team's contract.
        Contracted,
        /// A booking; never displaced.
        Booking,
    }
}

common_derives! { value:
    /// An attempt that needs a slot.
    pub struct SlotRequest {
        /// Identifies the attempt in cancellations and releases.
        pub attempt_id: AttemptId,
        /// The team whose contract decides what the attempt may displace.
        pub team: TeamName,
        /// Priority class of the work.
        pub class: SlotClass,
        /// Whether the attempt can be cancelled here and resumed on another endpoint.
        pub resumable: bool,
        /// Whether the request's fingerprint is suspected of crashing endpoints.
        pub suspect: bool,
    }

    /// Decision on a request for a slot.
    #[derive(Copy)]
    pub enum SlotDecision {
        /// The attempt holds a free slot.
        Granted,
        /// The attempt holds the slot of `victim`, which the caller must cancel.
        Displaced {
            /// The attempt that loses its slot.
            victim: AttemptId,
        },
        /// No slot is free, and the attempt may not displace any work that runs.
        Busy,
        /// The attempt is a suspect, and the endpoint already runs another suspect.
        SuspectRuns,
        /// The attempt was cancelled before it arrived.
        Cancelled,
        /// The attempt already holds a slot.
        Duplicate,
    }

    /// Slot usage of an endpoint.
    #[derive(Copy, Default)]
    pub struct SlotLoad {
        /// Total number of slots.
        pub slots: u32,
        /// Slots held by attempts; may exceed `slots` after [`SlotTable::resize`].
        pub running: u32,
    }
}

/// Returns the number of slots reserved for contracted work when contracts exist: one in 16.
///
/// The reserve makes displacements rare; each one costs an engine 0.16 s for a prompt of 1,600
/// tokens, which must be processed again.
pub fn headroom_of(slots: u32) -> u32 {
    slots / 16
}

/// Slots of an endpoint and the attempts that hold them.
///
/// ```
/// use celeryshed_base::{AttemptId, TeamName};
/// use celeryshed_core::admission::{SlotClass, SlotDecision, SlotRequest, SlotTable};
/// let mut table = SlotTable::new(1);
/// let request = SlotRequest {
///     attempt_id: AttemptId::from_u128(1),
///     team: TeamName::try_from("seeds").unwrap(),
///     class: SlotClass::BestEffort,
///     resumable: true,
///     suspect: false,
/// };
/// assert_eq!(table.request(request, None), SlotDecision::Granted);
/// assert_eq!(table.load().running, 1);
/// ```
#[derive(Clone, Debug)]
pub struct SlotTable {
    slots: u32,
    running: BTreeMap<AttemptId, RunningAttempt>,
    arrival_count: u64,
    cancelled: Vec<AttemptId>,
}

#[derive(Clone, Debug)]
struct RunningAttempt {
    request: SlotRequest,
    /// Sequence number of the start, to find the latest attempt.
    arrival: u64,
}

impl SlotTable {
    /// Creates a table of `slots` free slots.
    pub fn new(slots: u32) -> Self {
        Self { slots, running: BTreeMap::new(), arrival_count: 0, cancelled: Vec::new() }
    }

    /// Changes the number of slots; running attempts keep their slots.
    pub fn resize(&mut self, slots: u32) {
        self.slots = slots;
    }

    /// Decides whether `request` gets a slot, and allocates the slot if it does.
    ///
    /// Without a configuration, nothing is displaced because the contracts are unknown.
    pub fn request(
        &mut self,
        request: SlotRequest,
        configuration: Option<&ConfigurationState>,
    ) -> SlotDecision {
        if let Some(refusal) = self.refusal_despite_capacity(&request) {
            return refusal;
        }
        let needs_headroom = request.class == SlotClass::BestEffort
            && configuration.is_some_and(|state| !state.contracts.is_empty());
        let headroom = if needs_headroom { headroom_of(self.slots) } else { 0 };
        if (self.running.len() as u64) < u64::from(self.slots - headroom) {
            self.start(request);
            return SlotDecision::Granted;
        }
        let Some(victim) = configuration.and_then(|state| self.find_victim(&request, state)) else {
            return SlotDecision::Busy;
        };
        self.running.remove(&victim);
        self.start(request);
        SlotDecision::Displaced { victim }
    }

    /// Frees the slot of an attempt that ended; ignores an attempt without a slot.
    pub fn release(&mut self, attempt_id: &AttemptId) {
        self.running.remove(attempt_id);
    }

    /// Returns whether a cancelled attempt is running and must be stopped; otherwise remembers the
    /// cancellation, so that an attempt that arrives later is not started.
    pub fn cancel(&mut self, attempt_id: AttemptId) -> bool {
        if self.running.contains_key(&attempt_id) {
            return true;
        }
        if self.cancelled.len() == MAX_REMEMBERED_CANCELLATIONS {
            self.cancelled.remove(0);
        }
        self.cancelled.push(attempt_id);
        false
    }

    /// Returns the current slot usage.
    pub fn load(&self) -> SlotLoad {
        SlotLoad { slots: self.slots, running: self.running.len() as u32 }
    }

    fn refusal_despite_capacity(&self, request: &SlotRequest) -> Option<SlotDecision> {
        if self.cancelled.contains(&request.attempt_id) {
            return Some(SlotDecision::Cancelled);
        }
        if self.running.contains_key(&request.attempt_id) {
            return Some(SlotDecision::Duplicate);
        }
        let suspect_runs = self.running.values().any(|attempt| attempt.request.suspect);
        (request.suspect && suspect_runs).then_some(SlotDecision::SuspectRuns)
    }

    fn start(&mut self, request: SlotRequest) {
        self.arrival_count += 1;
        let attempt = RunningAttempt { arrival: self.arrival_count, request };
        self.running.insert(attempt.request.attempt_id, attempt);
    }

    /// Returns the displaceable attempt of the lowest class; of several, the one that started last,
    /// because it loses the least work.
    fn find_victim(&self, request: &SlotRequest, state: &ConfigurationState) -> Option<AttemptId> {
        let candidates = self.running.values().filter(|attempt| {
            attempt.request.resumable
                && attempt.request.class < request.class
                && may_displace(request, &attempt.request, state)
        });
        let victim = candidates
            .min_by_key(|attempt| (attempt.request.class, std::cmp::Reverse(attempt.arrival)));
        victim.map(|attempt| attempt.request.attempt_id)
    }
}

/// Returns whether the contract of the requesting team permits displacing the running work.
///
/// A team's work within its contract may always displace the team's own work above the contract.
fn may_displace(request: &SlotRequest, running: &SlotRequest, state: &ConfigurationState) -> bool {
    if request.team == running.team {
        return true;
    }
    let Some(contract) = state.contracts.get(&request.team) else {
        return false;
    };
    match state.contracts.contains_key(&running.team) {
        true => contract.displaces.contains(&running.team),
        false => contract.displaces_uncontracted,
    }
}
