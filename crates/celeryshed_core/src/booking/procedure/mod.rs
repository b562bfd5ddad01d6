//! The decisions of one entry for one request of a booking.
//!
//! The procedure is level-triggered: each event updates what is known, then [`ClaimProcedure`]
//! derives the next actions from that knowledge alone. After its reply it lives on until it has
//! released a claim that it will not use.

mod event;
mod reply;
mod state;

use std::collections::BTreeSet;
use std::time::Duration;

use celeryshed_base::{ClaimId, InstanceName, MonoTime, UnixMillis, common_derives};

pub use event::{
    AppendResult, BookingRequest, ClaimAction, ClaimEvent, DispatchPermit, DispatchResult, LogView,
    ProcedureOptions, SealResult, SideTarget,
};

use self::state::{
    AppendProgress, DispatchProgress, FenceProgress, OwnClaim, SealProgress, SealWord,
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
            side_wait: Duration::from_secs(10),
            retry_pause: Duration::from_millis(200),
            freshness: Duration::from_secs(1),
            max_claims: 4,
        }
    }
}

common_derives! { value:
    /// Phase of a procedure.
    #[derive(Copy)]
    enum ProcedurePhase {
        /// The caller waits.
        Serving,
        /// The caller has its reply; a claim may have to be released.
        Closing,
        /// Nothing is left to do.
        Finished,
    }

    /// The choice of a sidecar.
    enum SideChoice {
        /// Not asked for.
        Open,
        /// Asked for.
        Asked,
        /// No sidecar is available.
        Unavailable,
    }
}

/// State machine of one request at one entry.
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
    started: MonoTime,
    phase: ProcedurePhase,
    view: Option<LogView>,
    missing_since: Option<MonoTime>,
    own: Option<OwnClaim>,
    seal: Option<SealProgress>,
    choice: SideChoice,
    claims_made: u32,
    avoided: BTreeSet<InstanceName>,
    refusal: Option<RefusalReason>,
    fence: Option<FenceProgress>,
    reading_answer: bool,
    read_answer_at: MonoTime,
    wake: MonoTime,
    actions: Vec<ClaimAction<A>>,
}

impl<A: Clone> ClaimProcedure<A> {
    /// Starts serving `request` at `now`. The first action follows the first event.
    pub fn new(request: BookingRequest, options: ProcedureOptions, now: MonoTime) -> Self {
        Self {
            options,
            request,
            started: now,
            phase: ProcedurePhase::Serving,
            view: None,
            missing_since: Some(now),
            own: None,
            seal: None,
            choice: SideChoice::Open,
            claims_made: 0,
            avoided: BTreeSet::new(),
            refusal: None,
            fence: None,
            reading_answer: false,
            read_answer_at: now,
            wake: request.deadline.min(now + options.log_wait),
            actions: Vec::new(),
        }
    }

    /// When the driver must deliver [`ClaimEvent::TimerFired`] unless another event comes first.
    pub fn next_timer(&self) -> Option<MonoTime> {
        (self.phase == ProcedurePhase::Serving).then_some(self.wake)
    }

    /// Whether nothing is left to do.
    pub fn is_finished(&self) -> bool {
        self.phase == ProcedurePhase::Finished
    }

    /// Takes in `event` and returns what to do next.
    pub fn handle(&mut self, event: ClaimEvent<A>, now: MonoTime) -> Vec<ClaimAction<A>> {
        self.note(event, now);
        self.wake = self.request.deadline;
        if self.phase == ProcedurePhase::Serving {
            self.serve(now);
        }
        if self.phase == ProcedurePhase::Closing {
            self.close();
        }
        std::mem::take(&mut self.actions)
    }

    fn note(&mut self, event: ClaimEvent<A>, now: MonoTime) {
        match event {
            ClaimEvent::LogRead(view) => self.note_view(view),
            ClaimEvent::SideChosen { side, claim_id } => self.note_choice(side, claim_id, now),
            ClaimEvent::AppendEnded { record, result } => self.note_append(&record, result, now),
            ClaimEvent::DispatchEnded { claim_id, result } => self.note_dispatch(claim_id, result),
            ClaimEvent::SealEnded { claim_id, result } => self.note_seal(claim_id, result, now),
            ClaimEvent::AnswerRead(answer) => self.note_answer(answer, now),
            ClaimEvent::TimerFired => {}
        }
    }

    fn note_view(&mut self, view: LogView) {
        if self.view.as_ref().is_some_and(|known| known.read_started > view.read_started) {
            return;
        }
        if let Some(own) = &mut self.own {
            match view.booking_state.find(own.claim_id).map(|claim| claim.state) {
                None => own.append.note_missing(view.read_started),
                Some(ClaimState::InForce) => own.release.note_missing(view.read_started),
                Some(_) => {}
            }
        }
        if let Some(seal) = &mut self.seal {
            seal.append.note_missing(view.read_started);
        }
        if let Some(fence) = &mut self.fence {
            fence.append.note_missing(view.read_started);
        }
        self.view = Some(view);
        self.missing_since = None;
    }

    fn note_choice(&mut self, side: Option<SideTarget>, claim_id: ClaimId, now: MonoTime) {
        let Some(side) = side else {
            self.choice = SideChoice::Unavailable;
            return;
        };
        self.choice = SideChoice::Open;
        if self.phase == ProcedurePhase::Serving {
            self.claims_made += 1;
            self.own = Some(OwnClaim::new(claim_id, side, now));
        }
    }

    fn note_append(&mut self, record: &ClaimLogRecord, result: AppendResult, now: MonoTime) {
        let retry_at = now + self.options.retry_pause;
        let own = self.own.as_mut();
        match record {
            ClaimLogRecord::Claim(details) => {
                if let Some(own) = own.filter(|own| own.claim_id == details.claim_id) {
                    own.append.end(result, now, retry_at);
                }
            }
            ClaimLogRecord::Released(claim_id) => {
                if let Some(own) = own.filter(|own| own.claim_id == *claim_id) {
                    // Once the caller has its reply the release is only a courtesy to others.
                    let serving = self.phase == ProcedurePhase::Serving;
                    let result = if serving { result } else { AppendResult::Done };
                    own.release.end(result, now, retry_at);
                }
            }
            ClaimLogRecord::Sealed(claim_id) => {
                let seal = self.seal.as_mut();
                if let Some(seal) = seal.filter(|seal| seal.claim_id == *claim_id) {
                    seal.append.end(result, now, retry_at);
                }
            }
            ClaimLogRecord::Fenced(_) => {
                if let Some(fence) = &mut self.fence {
                    fence.append.end(result, now, retry_at);
                }
            }
            ClaimLogRecord::Outcome(..) => {}
        }
    }

    fn note_dispatch(&mut self, claim_id: ClaimId, result: DispatchResult<A>) {
        // Another entry may have sealed the claim of an earlier dispatch since: only an answer
        // still matters then.
        let own = self.own.as_mut().filter(|own| own.claim_id == claim_id);
        match (result, own) {
            (DispatchResult::Answer(answer), _) => self.reply_answer(answer, false),
            (DispatchResult::NotRun { .. } | DispatchResult::Unknown, None) => {}
            (DispatchResult::NotRun { detail, claim_only }, Some(own)) => {
                own.dispatch = DispatchProgress::NotRun;
                if !claim_only {
                    self.avoided.insert(own.side.instance.clone());
                }
                let side = own.side.instance.clone();
                self.refusal = Some(RefusalReason::EndpointRefused { side, detail });
            }
            (DispatchResult::Unknown, Some(own)) => own.dispatch = DispatchProgress::Unknown,
        }
    }

    fn note_seal(&mut self, claim_id: ClaimId, result: SealResult<A>, now: MonoTime) {
        let replayed = self.own.as_ref().is_none_or(|own| own.claim_id != claim_id);
        let Some(seal) = self.seal.as_mut().filter(|seal| seal.claim_id == claim_id) else {
            return;
        };
        seal.asking = false;
        let silent = matches!(result, SealResult::Unreachable);
        seal.silent_since = silent.then(|| seal.silent_since.unwrap_or(now));
        seal.ask_at = now + self.options.seal_after;
        match result {
            SealResult::Ran(answer) => self.reply_answer(answer, replayed),
            SealResult::Sealed => seal.word = SealWord::Sealed,
            SealResult::Unknown | SealResult::OtherIncarnation => seal.word = SealWord::Lost(now),
            SealResult::Running | SealResult::Recorded | SealResult::Unreachable => {}
        }
    }

    fn note_answer(&mut self, answer: Option<A>, now: MonoTime) {
        self.reading_answer = false;
        self.read_answer_at = now + self.options.retry_pause;
        let settled = self.view.as_ref().and_then(|view| view.booking_state.settled());
        let own_id = self.own.as_ref().map(|own| own.claim_id);
        let replayed = settled.map(|claim| claim.claim_id) != own_id;
        if let Some(answer) = answer {
            self.reply_answer(answer, replayed);
        }
    }

    fn serve(&mut self, now: MonoTime) {
        if now >= self.request.deadline {
            return self.refuse(RefusalReason::DeadlinePassed);
        }
        let Some(view) = self.view.clone().filter(|view| view.read_started >= self.started) else {
            return self.await_log(now);
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
            Some(claim) if self.is_own(claim.claim_id) => self.serve_own(claim, &view, now),
            Some(claim) if claim.terms.body_digest != self.request.identity.body_digest => {
                self.refuse(RefusalReason::BodyMismatch);
            }
            Some(claim) => {
                self.renew_fence(&view, now);
                self.seek_seal(claim, self.first_ask(claim, &view, now), now);
            }
            None => self.serve_vacant(&view, now),
        }
    }

    /// Waits for another read of the log, up to the limit.
    ///
    /// The wait begins when a read is first missed, so that a process that was paused still reads
    /// the log before it gives up.
    fn await_log(&mut self, now: MonoTime) {
        let since = *self.missing_since.get_or_insert(now);
        let limit = since + self.options.log_wait;
        if now >= limit {
            return self.refuse(RefusalReason::LogUnreadable);
        }
        self.wake_by(limit);
    }

    fn key_refusal(&self, view: &LogView, now: MonoTime) -> Option<RefusalReason> {
        let own_sent = self.own.as_ref().is_some_and(|own| !own.is_harmless());
        if own_sent {
            return None;
        }
        match self.key_window(view, now) {
            KeyWindow::Expired => Some(RefusalReason::KeyExpired),
            KeyWindow::Future => Some(RefusalReason::KeyInFuture),
            KeyWindow::Open if !view.covered => Some(RefusalReason::WindowIncomplete),
            KeyWindow::Open => None,
        }
    }

    /// The key's age by the log's clock, so that entries with skewed clocks agree.
    ///
    /// The time of the log's reply is a lower bound for the time of a later claim, which the check
    /// for future keys needs; adding the time since the read began gives an upper bound, which the
    /// check for expired keys needs.
    fn key_window(&self, view: &LogView, now: MonoTime) -> KeyWindow {
        let issued_at = self.request.identity.key.issued_at();
        let window = self.options.window;
        if KeyWindow::of(issued_at, view.log_now, window) == KeyWindow::Future {
            return KeyWindow::Future;
        }
        match KeyWindow::of(issued_at, log_time(view, now), window) {
            KeyWindow::Expired => KeyWindow::Expired,
            KeyWindow::Open | KeyWindow::Future => KeyWindow::Open,
        }
    }

    fn serve_own(&mut self, claim: &ClaimView, view: &LogView, now: MonoTime) {
        let Some(own) = &mut self.own else { return };
        match own.dispatch {
            DispatchProgress::Unsent if is_fenced(view) => {
                self.refuse(RefusalReason::Superseded);
            }
            DispatchProgress::Unsent => {
                own.dispatch = DispatchProgress::InFlight;
                let side = own.side.clone();
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
                self.await_log(now);
            }
            DispatchProgress::Unknown => self.seek_seal(claim, now, now),
        }
    }

    fn send_release(&mut self, now: MonoTime) {
        let Some(own) = &mut self.own else { return };
        let AppendProgress::Due(due) = own.release else { return };
        if now < due {
            return self.wake_by(due);
        }
        own.release = AppendProgress::InFlight;
        let record = ClaimLogRecord::Released(own.claim_id);
        self.actions.push(ClaimAction::Append(record));
    }

    fn first_ask(&self, claim: &ClaimView, view: &LogView, now: MonoTime) -> MonoTime {
        let age = log_time(view, now).since(claim.appended_at);
        now + self.options.seal_after.saturating_sub(age)
    }

    /// Waits for the outcome of the claim in force, and asks its sidecar to seal it.
    fn seek_seal(&mut self, claim: &ClaimView, first_ask: MonoTime, now: MonoTime) {
        let known = self.seal.filter(|seal| seal.claim_id == claim.claim_id);
        let mut seal = known.unwrap_or(SealProgress {
            claim_id: claim.claim_id,
            asking: false,
            ask_at: first_ask,
            silent_since: None,
            word: SealWord::Open,
            append: AppendProgress::Due(now),
        });
        let silent = seal.silent_since.map(|since| now - since);
        match seal.word {
            SealWord::Open if silent.is_some_and(|silent| silent >= self.options.side_wait) => {
                return self.refuse(RefusalReason::OutcomeUnknown);
            }
            SealWord::Open if seal.asking => {}
            SealWord::Open if now < seal.ask_at => self.wake_by(seal.ask_at),
            SealWord::Open => {
                seal.asking = true;
                let side = SideTarget {
                    instance: claim.terms.side_instance.clone(),
                    incarnation: claim.terms.side_incarnation,
                };
                self.actions.push(ClaimAction::AskSeal { claim_id: claim.claim_id, side });
            }
            SealWord::Sealed => {
                self.record_seal(&mut seal, now);
                self.await_log(now);
            }
            SealWord::Lost(learned) => {
                let reread = self.view.as_ref().is_some_and(|view| view.read_started >= learned);
                if reread {
                    return self.refuse(RefusalReason::OutcomeUnknown);
                }
                self.await_log(now);
            }
        }
        self.seal = Some(seal);
    }

    fn record_seal(&mut self, seal: &mut SealProgress, now: MonoTime) {
        match seal.append {
            AppendProgress::Due(due) if now < due => self.wake_by(due),
            AppendProgress::Due(_) => {
                seal.append = AppendProgress::InFlight;
                self.actions.push(ClaimAction::Append(ClaimLogRecord::Sealed(seal.claim_id)));
            }
            AppendProgress::InFlight | AppendProgress::Ended(_) => {}
        }
    }

    /// No claim is in force: brings an own claim into force.
    fn serve_vacant(&mut self, view: &LogView, now: MonoTime) {
        let own_ended =
            self.own.as_ref().is_some_and(|own| view.booking_state.find(own.claim_id).is_some());
        if own_ended {
            self.own = None;
        }
        self.await_log(now);
        if self.phase != ProcedurePhase::Serving {
            return;
        }
        if self.fence.is_some() {
            return self.serve_fence(view, now);
        }
        if is_fenced(view) {
            return self.refuse(RefusalReason::Superseded);
        }
        match &self.own {
            Some(_) => self.send_claim(now),
            None => self.choose_side(view, now),
        }
    }

    fn begin_fence(&mut self, reason: RefusalReason, view: &LogView, now: MonoTime) {
        if self.fence.is_none() {
            self.refusal = Some(reason);
            let floor = view.booking_state.fence;
            self.fence = Some(FenceProgress { append: AppendProgress::Due(now), floor });
        }
    }

    /// A claim came into force after the fence: its request arrived later and needs a new fence.
    fn renew_fence(&mut self, view: &LogView, now: MonoTime) {
        let fence = self.fence.as_mut().filter(|fence| view.booking_state.fence > fence.floor);
        if let Some(fence) = fence {
            let floor = view.booking_state.fence;
            *fence = FenceProgress { append: AppendProgress::Due(now), floor };
        }
    }

    /// Refuses the booking as not run once the log shows a fence and, after it, no claim in force.
    ///
    /// The fence keeps requests that are already in progress elsewhere from running the booking
    /// after the caller was told that it was not run.
    fn serve_fence(&mut self, view: &LogView, now: MonoTime) {
        let Some(fence) = &mut self.fence else { return };
        if view.booking_state.fence > fence.floor {
            let reason = self.refusal.clone().unwrap_or(RefusalReason::NoEndpoint);
            return self.refuse_absent(reason, view, now);
        }
        match fence.append {
            AppendProgress::Due(due) if now < due => self.wake_by(due),
            AppendProgress::Due(_) => {
                fence.append = AppendProgress::InFlight;
                let record = ClaimLogRecord::Fenced(self.request.identity.booking);
                self.actions.push(ClaimAction::Append(record));
            }
            AppendProgress::InFlight | AppendProgress::Ended(_) => {}
        }
    }

    fn send_claim(&mut self, now: MonoTime) {
        let Some(own) = &mut self.own else { return };
        let AppendProgress::Due(due) = own.append else { return };
        if now < due {
            return self.wake_by(due);
        }
        own.append = AppendProgress::InFlight;
        let details = ClaimDetails {
            claim_id: own.claim_id,
            booking: self.request.identity.booking,
            terms: ClaimSpec {
                body_digest: self.request.identity.body_digest,
                side_instance: own.side.instance.clone(),
                side_incarnation: own.side.incarnation,
            },
        };
        self.actions.push(ClaimAction::Append(ClaimLogRecord::Claim(details)));
    }

    fn choose_side(&mut self, view: &LogView, now: MonoTime) {
        let exhausted = self.claims_made >= self.options.max_claims;
        match self.choice {
            SideChoice::Asked => {}
            SideChoice::Open if !exhausted => {
                self.choice = SideChoice::Asked;
                let avoid = self.avoided.iter().cloned().collect();
                self.actions.push(ClaimAction::ChooseSide { avoid });
            }
            SideChoice::Open | SideChoice::Unavailable => {
                let reason = self.refusal.clone().unwrap_or(RefusalReason::NoEndpoint);
                self.begin_fence(reason, view, now);
                self.serve_fence(view, now);
            }
        }
    }

    /// After the reply: releases a claim that was never run, so that others need not seal it.
    fn close(&mut self) {
        let booking_state = self.view.as_ref().map(|view| &view.booking_state);
        let own_id = self.own.as_ref().map(|own| own.claim_id);
        let seen = booking_state
            .zip(own_id)
            .and_then(|(booking_state, own_id)| booking_state.find(own_id));
        let ended = seen.is_some_and(|claim| claim.state != ClaimState::InForce);
        let finished = match &mut self.own {
            None => true,
            Some(_) if ended => true,
            Some(own) if own.dispatch == DispatchProgress::InFlight => false,
            Some(own) if !own.is_harmless() => true,
            Some(own) => match own.release {
                AppendProgress::Due(_) => {
                    own.release = AppendProgress::InFlight;
                    let record = ClaimLogRecord::Released(own.claim_id);
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

    fn is_own(&self, claim_id: ClaimId) -> bool {
        self.own.as_ref().is_some_and(|own| own.claim_id == claim_id)
    }

    fn wake_by(&mut self, time: MonoTime) {
        self.wake = self.wake.min(time);
    }
}

/// Whether another request was told "not run" after this one arrived.
fn is_fenced(view: &LogView) -> bool {
    view.booking_state.fence.is_some_and(|fence| fence >= view.arrival_offset)
}

/// The time at the log, rounded up by the duration of the read.
fn log_time(view: &LogView, now: MonoTime) -> UnixMillis {
    UnixMillis(view.log_now.0 + (now - view.read_started).as_millis() as u64)
}
