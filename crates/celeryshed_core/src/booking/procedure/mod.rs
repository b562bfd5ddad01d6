//! State machine of one booking request at one entry.
//!
//! [`ClaimProcedure`] is level-triggered: each event updates its state, and the next actions depend
//! only on that state. After the reply, the procedure continues until it has released a claim that
//! it no longer needs.

mod event;
mod progress;
mod reply;

use std::collections::BTreeSet;
use std::time::Duration;

use celeryshed_base::{ClaimId, InstanceName, MonoTime, UnixMillis, common_derives};

pub use event::{
    AppendResult, BookingRequest, ClaimAction, ClaimEvent, DispatchPermit, DispatchResult, LogView,
    ProcedureOptions, SealResult, SideTarget,
};

use self::progress::{
    AppendProgress, DispatchProgress, FenceProgress, OwnClaim, SealProgress, SealStatus,
};
use super::key::KeyWindow;
use super::record::{ClaimDetails, ClaimLogRecord, ClaimSpec, ClaimState, ClaimView};
use super::verdict::RefusalReason;

impl Default for ProcedureOptions {
    fn default() -> Self {
        Self {
            window: Duration::from_secs(6 * 3600),
            log_wait: Duration::from_secs(2),
            seal_after: Duration::from_secs(1),
            seal_reply_timeout: Duration::from_secs(10),
            retry_pause: Duration::from_millis(200),
            max_read_age: Duration::from_secs(1),
            max_claims: 4,
        }
    }
}

common_derives! { value:
    /// Phase of a claim procedure.
    #[derive(Copy)]
    enum ProcedurePhase {
        /// The caller waits for a reply.
        Serving,
        /// The caller has its reply; the procedure may have to release a claim.
        Closing,
        /// Nothing is left to do.
        Finished,
    }

    /// Progress of the choice of a sidecar.
    enum SideChoice {
        /// No choice is in progress.
        Idle,
        /// The driver is choosing.
        InFlight,
        /// No sidecar is available.
        Unavailable,
    }
}

/// State machine of one booking request at one entry.
///
/// The driver calls [`Self::handle`] for each event and performs the returned actions.
///
/// ```
/// use celeryshed_base::{TeamName, LogOffset, MonoTime, ServiceName, UnixMillis};
/// use celeryshed_core::booking::{
///     BookingIdentity, BookingKey, BookingRequest, BookingState, ClaimAction, ClaimEvent,
///     ClaimProcedure, LogView,
/// };
/// use std::time::Duration;
/// let key = BookingKey::try_from("01890a5d-ac96-774b-bcce-b302099a8057").unwrap();
/// let team = TeamName::try_from("clinic").unwrap();
/// let service = ServiceName::try_from("orders").unwrap();
/// let identity = BookingIdentity::of(&team, key, &service, "POST", "kits", b"1");
/// let now = MonoTime::ZERO;
/// let request = BookingRequest { identity, deadline: now + Duration::from_secs(10) };
/// let mut procedure = ClaimProcedure::<String>::new(request, Default::default(), now);
/// let view = LogView {
///     read_started: now,
///     log_now: key.issued_at(),
///     arrival_offset: LogOffset(0),
///     covered: true,
///     booking_state: BookingState::default(),
/// };
/// let actions = procedure.handle(ClaimEvent::LogRead(view), now);
/// assert_eq!(actions, [ClaimAction::ChooseSide { avoid: vec![] }]);
/// ```
#[derive(Clone, Debug)]
pub struct ClaimProcedure<A> {
    options: ProcedureOptions,
    request: BookingRequest,
    started_at: MonoTime,
    phase: ProcedurePhase,
    view: Option<LogView>,
    /// Since when a read of the log has been needed; `None` after a read.
    read_needed_since: Option<MonoTime>,
    own_claim: Option<OwnClaim>,
    seal: Option<SealProgress>,
    choice: SideChoice,
    claim_count: u32,
    avoided_sides: BTreeSet<InstanceName>,
    refusal: Option<RefusalReason>,
    fence: Option<FenceProgress>,
    answer_read_in_flight: bool,
    answer_retry_at: MonoTime,
    timer_at: MonoTime,
    actions: Vec<ClaimAction<A>>,
}

impl<A: Clone> ClaimProcedure<A> {
    /// Starts serving `request`, which arrived at `now`. The first event returns the first actions.
    pub fn new(request: BookingRequest, options: ProcedureOptions, now: MonoTime) -> Self {
        Self {
            options,
            request,
            started_at: now,
            phase: ProcedurePhase::Serving,
            view: None,
            read_needed_since: Some(now),
            own_claim: None,
            seal: None,
            choice: SideChoice::Idle,
            claim_count: 0,
            avoided_sides: BTreeSet::new(),
            refusal: None,
            fence: None,
            answer_read_in_flight: false,
            answer_retry_at: now,
            timer_at: request.deadline.min(now + options.log_wait),
            actions: Vec::new(),
        }
    }

    /// Returns when the driver must deliver [`ClaimEvent::TimerFired`] unless another event comes
    /// first; `None` after the reply.
    pub fn next_timer(&self) -> Option<MonoTime> {
        (self.phase == ProcedurePhase::Serving).then_some(self.timer_at)
    }

    /// Returns whether nothing is left to do, so that the procedure can be dropped.
    pub fn is_finished(&self) -> bool {
        self.phase == ProcedurePhase::Finished
    }

    /// Updates the state from `event` and returns the next actions.
    pub fn handle(&mut self, event: ClaimEvent<A>, now: MonoTime) -> Vec<ClaimAction<A>> {
        self.apply_event(event, now);
        self.timer_at = self.request.deadline;
        if self.phase == ProcedurePhase::Serving {
            self.serve(now);
        }
        if self.phase == ProcedurePhase::Closing {
            self.close();
        }
        std::mem::take(&mut self.actions)
    }

    fn apply_event(&mut self, event: ClaimEvent<A>, now: MonoTime) {
        match event {
            ClaimEvent::LogRead(view) => self.apply_view(view),
            ClaimEvent::SideChosen { side, claim_id } => self.apply_choice(side, claim_id, now),
            ClaimEvent::AppendEnded { record, result } => self.apply_append(&record, result, now),
            ClaimEvent::DispatchEnded { claim_id, result } => self.apply_dispatch(claim_id, result),
            ClaimEvent::SealEnded { claim_id, result } => self.apply_seal(claim_id, result, now),
            ClaimEvent::AnswerRead(answer) => self.apply_answer(answer, now),
            ClaimEvent::TimerFired => {}
        }
    }

    fn apply_view(&mut self, view: LogView) {
        if self.view.as_ref().is_some_and(|known| known.read_started > view.read_started) {
            return;
        }
        if let Some(own_claim) = &mut self.own_claim {
            match view.booking_state.find(own_claim.claim_id).map(|claim| claim.state) {
                None => own_claim.append.retry_if_ended_before(view.read_started),
                Some(ClaimState::InForce) => {
                    own_claim.release.retry_if_ended_before(view.read_started)
                }
                Some(_) => {}
            }
        }
        if let Some(seal) = &mut self.seal {
            seal.append.retry_if_ended_before(view.read_started);
        }
        if let Some(fence) = &mut self.fence {
            fence.append.retry_if_ended_before(view.read_started);
        }
        self.view = Some(view);
        self.read_needed_since = None;
    }

    fn apply_choice(&mut self, side: Option<SideTarget>, claim_id: ClaimId, now: MonoTime) {
        let Some(side) = side else {
            self.choice = SideChoice::Unavailable;
            return;
        };
        self.choice = SideChoice::Idle;
        if self.phase == ProcedurePhase::Serving {
            self.claim_count += 1;
            self.own_claim = Some(OwnClaim::new(claim_id, side, now));
        }
    }

    fn apply_append(&mut self, record: &ClaimLogRecord, result: AppendResult, now: MonoTime) {
        let retry_at = now + self.options.retry_pause;
        let own_claim = self.own_claim.as_mut();
        match record {
            ClaimLogRecord::Claim(details) => {
                if let Some(own_claim) =
                    own_claim.filter(|own_claim| own_claim.claim_id == details.claim_id)
                {
                    own_claim.append.apply_result(result, now, retry_at);
                }
            }
            ClaimLogRecord::Released(claim_id) => {
                if let Some(own_claim) =
                    own_claim.filter(|own_claim| own_claim.claim_id == *claim_id)
                {
                    // After the reply, a failed release is not repeated: it only saves other
                    // requests from sealing the claim.
                    let serving = self.phase == ProcedurePhase::Serving;
                    let result = if serving { result } else { AppendResult::Done };
                    own_claim.release.apply_result(result, now, retry_at);
                }
            }
            ClaimLogRecord::Sealed(claim_id) => {
                let seal = self.seal.as_mut();
                if let Some(seal) = seal.filter(|seal| seal.claim_id == *claim_id) {
                    seal.append.apply_result(result, now, retry_at);
                }
            }
            ClaimLogRecord::Fenced(_) => {
                if let Some(fence) = &mut self.fence {
                    fence.append.apply_result(result, now, retry_at);
                }
            }
            ClaimLogRecord::Outcome(..) => {}
        }
    }

    fn apply_dispatch(&mut self, claim_id: ClaimId, result: DispatchResult<A>) {
        // Another entry may have sealed the claim of an earlier dispatch; then only an answer still
        // matters.
        let own_claim = self.own_claim.as_mut().filter(|own_claim| own_claim.claim_id == claim_id);
        match (result, own_claim) {
            (DispatchResult::Answer(answer), _) => self.reply_answer(answer, false),
            (DispatchResult::NotRun { .. } | DispatchResult::Unknown, None) => {}
            (DispatchResult::NotRun { detail, claim_only }, Some(own_claim)) => {
                own_claim.dispatch = DispatchProgress::NotRun;
                if !claim_only {
                    self.avoided_sides.insert(own_claim.side.instance.clone());
                }
                let side = own_claim.side.instance.clone();
                self.refusal = Some(RefusalReason::EndpointRefused { side, detail });
            }
            (DispatchResult::Unknown, Some(own_claim)) => {
                own_claim.dispatch = DispatchProgress::Unknown
            }
        }
    }

    fn apply_seal(&mut self, claim_id: ClaimId, result: SealResult<A>, now: MonoTime) {
        let replayed =
            self.own_claim.as_ref().is_none_or(|own_claim| own_claim.claim_id != claim_id);
        let Some(seal) = self.seal.as_mut().filter(|seal| seal.claim_id == claim_id) else {
            return;
        };
        seal.in_flight = false;
        let unreachable = matches!(result, SealResult::Unreachable);
        seal.unreachable_since = unreachable.then(|| seal.unreachable_since.unwrap_or(now));
        seal.send_at = now + self.options.seal_after;
        match result {
            SealResult::Ran(answer) => self.reply_answer(answer, replayed),
            SealResult::Sealed => seal.status = SealStatus::Sealed,
            SealResult::Unknown | SealResult::OtherIncarnation => {
                seal.status = SealStatus::Unknown(now)
            }
            SealResult::Running | SealResult::Recorded | SealResult::Unreachable => {}
        }
    }

    fn apply_answer(&mut self, answer: Option<A>, now: MonoTime) {
        self.answer_read_in_flight = false;
        self.answer_retry_at = now + self.options.retry_pause;
        let settled = self.view.as_ref().and_then(|view| view.booking_state.settled());
        let own_claim_id = self.own_claim.as_ref().map(|own_claim| own_claim.claim_id);
        let replayed = settled.map(|claim| claim.claim_id) != own_claim_id;
        if let Some(answer) = answer {
            self.reply_answer(answer, replayed);
        }
    }

    fn serve(&mut self, now: MonoTime) {
        if now >= self.request.deadline {
            return self.refuse(RefusalReason::DeadlinePassed);
        }
        let Some(view) = self.view.clone().filter(|view| view.read_started >= self.started_at)
        else {
            return self.wait_for_log_read(now);
        };
        if let Some(claim) = view.booking_state.settled() {
            return self.serve_outcome(claim, now);
        }
        match self.key_refusal(&view, now) {
            Some(RefusalReason::KeyInFuture) => {
                self.begin_fence(RefusalReason::KeyInFuture, &view, now);
            }
            Some(reason) => return self.refuse(reason),
            None => {}
        }
        match view.booking_state.in_force() {
            Some(claim) if self.is_own_claim(claim.claim_id) => {
                self.serve_own_claim(claim, &view, now)
            }
            Some(claim) if claim.spec.body_digest != self.request.identity.body_digest => {
                self.refuse(RefusalReason::BodyMismatch);
            }
            Some(claim) => {
                self.renew_fence(&view, now);
                self.pursue_seal(claim, self.first_seal_at(claim, &view, now), now);
            }
            None => self.serve_without_claim(&view, now),
        }
    }

    /// Waits for another read of the log, and refuses the request after `log_wait`.
    ///
    /// The wait starts when the procedure first needs the read, so that a process resuming from a
    /// pause still reads the log before it refuses.
    fn wait_for_log_read(&mut self, now: MonoTime) {
        let since = *self.read_needed_since.get_or_insert(now);
        let limit = since + self.options.log_wait;
        if now >= limit {
            return self.refuse(RefusalReason::LogUnreadable);
        }
        self.set_timer_by(limit);
    }

    fn key_refusal(&self, view: &LogView, now: MonoTime) -> Option<RefusalReason> {
        let may_have_run = self.own_claim.as_ref().is_some_and(|own_claim| !own_claim.is_not_run());
        if may_have_run {
            return None;
        }
        match self.key_window(view, now) {
            KeyWindow::Expired => Some(RefusalReason::KeyExpired),
            KeyWindow::Future => Some(RefusalReason::KeyInFuture),
            KeyWindow::Open if !view.covered => Some(RefusalReason::WindowIncomplete),
            KeyWindow::Open => None,
        }
    }

    /// Classifies the key's age by the log's clock, so that entries with skewed clocks agree.
    ///
    /// The check for keys in the future needs a lower bound of the log's current time, which is the
    /// time of its last reply. The check for expired keys needs an upper bound, which adds the time
    /// since the read started.
    fn key_window(&self, view: &LogView, now: MonoTime) -> KeyWindow {
        let issued_at = self.request.identity.key.issued_at();
        let window = self.options.window;
        if KeyWindow::of(issued_at, view.log_now, window) == KeyWindow::Future {
            return KeyWindow::Future;
        }
        match KeyWindow::of(issued_at, latest_log_time(view, now), window) {
            KeyWindow::Expired => KeyWindow::Expired,
            KeyWindow::Open | KeyWindow::Future => KeyWindow::Open,
        }
    }

    fn serve_own_claim(&mut self, claim: &ClaimView, view: &LogView, now: MonoTime) {
        let Some(own_claim) = &mut self.own_claim else { return };
        match own_claim.dispatch {
            DispatchProgress::Unsent if is_fenced_since_arrival(view) => {
                self.refuse(RefusalReason::Superseded);
            }
            DispatchProgress::Unsent => {
                own_claim.dispatch = DispatchProgress::InFlight;
                let side = own_claim.side.clone();
                let permit = DispatchPermit {
                    claim_id: claim.claim_id,
                    offset: claim.offset,
                    appended_at: claim.appended_at,
                };
                self.actions.push(ClaimAction::Dispatch { side, permit });
            }
            DispatchProgress::InFlight => {}
            DispatchProgress::NotRun => {
                self.send_release(now);
                self.wait_for_log_read(now);
            }
            DispatchProgress::Unknown => self.pursue_seal(claim, now, now),
        }
    }

    fn send_release(&mut self, now: MonoTime) {
        let Some(own_claim) = &mut self.own_claim else { return };
        let AppendProgress::Due(due) = own_claim.release else { return };
        if now < due {
            return self.set_timer_by(due);
        }
        own_claim.release = AppendProgress::InFlight;
        let record = ClaimLogRecord::Released(own_claim.claim_id);
        self.actions.push(ClaimAction::Append(record));
    }

    /// Returns when to send the first seal request for another request's claim.
    fn first_seal_at(&self, claim: &ClaimView, view: &LogView, now: MonoTime) -> MonoTime {
        let age = latest_log_time(view, now).since(claim.appended_at);
        now + self.options.seal_after.saturating_sub(age)
    }

    /// Waits for the outcome of the claim in force, and asks its sidecar to seal the claim.
    ///
    /// The first seal request is sent at `first_seal_at`.
    fn pursue_seal(&mut self, claim: &ClaimView, first_seal_at: MonoTime, now: MonoTime) {
        let known = self.seal.filter(|seal| seal.claim_id == claim.claim_id);
        let mut seal = known.unwrap_or(SealProgress {
            claim_id: claim.claim_id,
            in_flight: false,
            send_at: first_seal_at,
            unreachable_since: None,
            status: SealStatus::Pending,
            append: AppendProgress::Due(now),
        });
        let unreachable_for = seal.unreachable_since.map(|since| now - since);
        match seal.status {
            SealStatus::Pending
                if unreachable_for
                    .is_some_and(|elapsed| elapsed >= self.options.seal_reply_timeout) =>
            {
                return self.refuse(RefusalReason::OutcomeUnknown);
            }
            SealStatus::Pending if seal.in_flight => {}
            SealStatus::Pending if now < seal.send_at => self.set_timer_by(seal.send_at),
            SealStatus::Pending => {
                seal.in_flight = true;
                let side = SideTarget {
                    instance: claim.spec.side_instance.clone(),
                    incarnation: claim.spec.side_incarnation,
                };
                self.actions.push(ClaimAction::RequestSeal { claim_id: claim.claim_id, side });
            }
            SealStatus::Sealed => {
                self.append_seal(&mut seal, now);
                self.wait_for_log_read(now);
            }
            SealStatus::Unknown(learned_at) => {
                // The outcome may have been recorded before the sidecar was replaced.
                let reread = self.view.as_ref().is_some_and(|view| view.read_started >= learned_at);
                if reread {
                    return self.refuse(RefusalReason::OutcomeUnknown);
                }
                self.wait_for_log_read(now);
            }
        }
        self.seal = Some(seal);
    }

    fn append_seal(&mut self, seal: &mut SealProgress, now: MonoTime) {
        match seal.append {
            AppendProgress::Due(due) if now < due => self.set_timer_by(due),
            AppendProgress::Due(_) => {
                seal.append = AppendProgress::InFlight;
                self.actions.push(ClaimAction::Append(ClaimLogRecord::Sealed(seal.claim_id)));
            }
            AppendProgress::InFlight | AppendProgress::Ended(_) => {}
        }
    }

    /// Brings a claim of this request into force, when none is.
    fn serve_without_claim(&mut self, view: &LogView, now: MonoTime) {
        let own_claim_ended = self
            .own_claim
            .as_ref()
            .is_some_and(|own_claim| view.booking_state.find(own_claim.claim_id).is_some());
        if own_claim_ended {
            self.own_claim = None;
        }
        self.wait_for_log_read(now);
        if self.phase != ProcedurePhase::Serving {
            return;
        }
        if self.fence.is_some() {
            return self.serve_fence(view, now);
        }
        if is_fenced_since_arrival(view) {
            return self.refuse(RefusalReason::Superseded);
        }
        match &self.own_claim {
            Some(_) => self.send_claim(now),
            None => self.choose_side(view, now),
        }
    }

    fn begin_fence(&mut self, reason: RefusalReason, view: &LogView, now: MonoTime) {
        if self.fence.is_none() {
            self.refusal = Some(reason);
            let previous_fence = view.booking_state.fence;
            self.fence = Some(FenceProgress { append: AppendProgress::Due(now), previous_fence });
        }
    }

    /// Starts another fence if a claim came into force after the last one. The claim's request
    /// arrived after that fence, which therefore doesn't stop it.
    fn renew_fence(&mut self, view: &LogView, now: MonoTime) {
        let fence =
            self.fence.as_mut().filter(|fence| view.booking_state.fence > fence.previous_fence);
        if let Some(fence) = fence {
            let previous_fence = view.booking_state.fence;
            *fence = FenceProgress { append: AppendProgress::Due(now), previous_fence };
        }
    }

    /// Refuses the booking as not run once the log contains the fence and no claim is in force.
    ///
    /// The fence stops requests already in progress at other entries from running the booking after
    /// the caller was told that it was not run.
    fn serve_fence(&mut self, view: &LogView, now: MonoTime) {
        let Some(fence) = &mut self.fence else { return };
        if view.booking_state.fence > fence.previous_fence {
            let reason = self.refusal.clone().unwrap_or(RefusalReason::NoEndpoint);
            return self.refuse_as_not_run(reason, view, now);
        }
        match fence.append {
            AppendProgress::Due(due) if now < due => self.set_timer_by(due),
            AppendProgress::Due(_) => {
                fence.append = AppendProgress::InFlight;
                let record = ClaimLogRecord::Fenced(self.request.identity.booking);
                self.actions.push(ClaimAction::Append(record));
            }
            AppendProgress::InFlight | AppendProgress::Ended(_) => {}
        }
    }

    fn send_claim(&mut self, now: MonoTime) {
        let Some(own_claim) = &mut self.own_claim else { return };
        let AppendProgress::Due(due) = own_claim.append else { return };
        if now < due {
            return self.set_timer_by(due);
        }
        own_claim.append = AppendProgress::InFlight;
        let details = ClaimDetails {
            claim_id: own_claim.claim_id,
            booking: self.request.identity.booking,
            spec: ClaimSpec {
                body_digest: self.request.identity.body_digest,
                side_instance: own_claim.side.instance.clone(),
                side_incarnation: own_claim.side.incarnation,
            },
        };
        self.actions.push(ClaimAction::Append(ClaimLogRecord::Claim(details)));
    }

    fn choose_side(&mut self, view: &LogView, now: MonoTime) {
        let exhausted = self.claim_count >= self.options.max_claims;
        match self.choice {
            SideChoice::InFlight => {}
            SideChoice::Idle if !exhausted => {
                self.choice = SideChoice::InFlight;
                let avoid = self.avoided_sides.iter().cloned().collect();
                self.actions.push(ClaimAction::ChooseSide { avoid });
            }
            SideChoice::Idle | SideChoice::Unavailable => {
                let reason = self.refusal.clone().unwrap_or(RefusalReason::NoEndpoint);
                self.begin_fence(reason, view, now);
                self.serve_fence(view, now);
            }
        }
    }

    /// Releases a claim that was not run, so that other requests need not seal it, then finishes.
    fn close(&mut self) {
        let booking_state = self.view.as_ref().map(|view| &view.booking_state);
        let own_claim_id = self.own_claim.as_ref().map(|own_claim| own_claim.claim_id);
        let logged_claim = booking_state
            .zip(own_claim_id)
            .and_then(|(booking_state, claim_id)| booking_state.find(claim_id));
        let ended = logged_claim.is_some_and(|claim| claim.state != ClaimState::InForce);
        let finished = match &mut self.own_claim {
            None => true,
            Some(_) if ended => true,
            Some(own_claim) if own_claim.dispatch == DispatchProgress::InFlight => false,
            Some(own_claim) if !own_claim.is_not_run() => true,
            Some(own_claim) => match own_claim.release {
                AppendProgress::Due(_) => {
                    own_claim.release = AppendProgress::InFlight;
                    let record = ClaimLogRecord::Released(own_claim.claim_id);
                    self.actions.push(ClaimAction::Append(record));
                    false
                }
                AppendProgress::InFlight => false,
                AppendProgress::Ended(_) => true,
            },
        };
        if finished {
            self.phase = ProcedurePhase::Finished;
            self.actions.push(ClaimAction::Finish);
        }
    }

    fn is_own_claim(&self, claim_id: ClaimId) -> bool {
        self.own_claim.as_ref().is_some_and(|own_claim| own_claim.claim_id == claim_id)
    }

    fn set_timer_by(&mut self, time: MonoTime) {
        self.timer_at = self.timer_at.min(time);
    }
}

/// Returns whether another request may have been told "not run" after this one arrived.
fn is_fenced_since_arrival(view: &LogView) -> bool {
    view.booking_state.fence.is_some_and(|fence| fence >= view.arrival_offset)
}

/// Returns an upper bound of the log's current time.
fn latest_log_time(view: &LogView, now: MonoTime) -> UnixMillis {
    UnixMillis(view.log_now.0 + (now - view.read_started).as_millis() as u64)
}
