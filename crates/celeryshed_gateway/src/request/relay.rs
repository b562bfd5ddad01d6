//! Forwards a stream to its caller, and resumes it at another endpoint if it breaks off or falls
//! silent. A silent stream is kept until another endpoint has resumed it.

use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use celeryshed_base::MonoTime;
use celeryshed_dispatch::{
    AttemptHistory, AttemptOutcome, EndpointId, NotRunReason, RetryVerdict, StallLimits,
    UnknownReason,
};
use celeryshed_observe::EventLine;
use tokio::select;
use tokio::time::{Instant, sleep_until};

use crate::context::GatewayContext;
use crate::dispatcher_task::{PlacementKind, PlacementPermit};
use crate::request::attempt::{OpenStream, is_framed};
use crate::request::body::{CallerDisconnected, EventSender};
use crate::request::failover::{
    FailoverObstacle, ResumePlan, ResumedStream, log_attempt, place_failover, resume_at,
};
use crate::request::parse::CallerRequest;
use crate::request::running::RunningAttempts;

/// Time after its first event in which a stream that breaks off may have crashed its endpoint.
const BEGINNING_TIME: Duration = Duration::from_millis(200);

/// A stream that is forwarded to its caller.
pub(crate) struct StreamRelay {
    pub(crate) context: Arc<GatewayContext>,
    pub(crate) request: CallerRequest,
    pub(crate) stream: Box<OpenStream>,
    pub(crate) permit: PlacementPermit,
    pub(crate) endpoint: EndpointId,
    pub(crate) history: AttemptHistory,
    pub(crate) tried: BTreeSet<EndpointId>,
    /// When the stream has to be complete.
    pub(crate) due_at: Instant,
    /// When the first event of the current endpoint arrived.
    pub(crate) begun_at: MonoTime,
}

enum RelayEnd {
    Complete,
    CallerDisconnected,
    TimedOut,
    Broken {
        reason: UnknownReason,
        /// Whether the break has been logged and reported to the dispatcher.
        is_reported: bool,
    },
}

impl RelayEnd {
    fn broken(reason: UnknownReason) -> Self {
        Self::Broken { reason, is_reported: false }
    }
}

enum StreamStep {
    /// The next events, of the same endpoint or of one that has resumed the stream.
    Events(Bytes),
    /// The endpoint is silent, and no other one has resumed the stream.
    Silent(FailoverObstacle),
    Ended(RelayEnd),
}

impl StreamRelay {
    /// Forwards events until the stream is complete, breaks off and can't be resumed, times out, or
    /// the caller disconnects.
    pub(crate) async fn run(mut self, events: EventSender) {
        loop {
            let (reason, is_reported) = match self.forward(&events).await {
                RelayEnd::Complete => {
                    events.complete();
                    return self.finish();
                }
                RelayEnd::CallerDisconnected => {
                    return self.event_line("stream_withdrawn").info();
                }
                RelayEnd::TimedOut => return self.event_line("stream_timed_out").warn(),
                RelayEnd::Broken { reason, is_reported } => (reason, is_reported),
            };
            if !is_reported {
                self.event_line("stream_broken").warn();
            }
            if reason == UnknownReason::Reset && !is_reported {
                let parts =
                    if self.is_beginning() { self.request.parts.clone() } else { Arc::default() };
                let request = self.request.fingerprint;
                self.context.dispatcher.report_reset(&self.endpoint, request, parts).await;
            }
            let resumed = select! {
                resumed = self.resume(reason) => resumed,
                () = events.closed() => return,
            };
            let Some(resumed) = resumed else { return };
            self = resumed;
        }
    }

    /// Reports the end of a complete stream.
    fn finish(self) {
        let (request, parts) = (self.request.fingerprint, &self.request.parts);
        if is_framed(&self.stream.headers) || !self.is_beginning() {
            self.context.dispatcher.report_served(request);
            self.context.dispatcher.report_parts_answered(parts, self.begun_at);
        } else {
            drop(self.context.dispatcher.report_end(&self.endpoint, request, parts.clone()));
        }
        self.permit.finish(AttemptOutcome::Served);
    }

    /// Forwards the first and all further events until the stream ends.
    async fn forward(&mut self, events: &EventSender) -> RelayEnd {
        let due_at = self.due_at;
        let first = std::mem::take(&mut self.stream.first);
        if let Err(end) = send_in_time(events, first, due_at).await {
            return end;
        }
        let mut patience = StallLimits::from(&self.request.route).resume_after;
        let mut stalled_at = Instant::now() + patience;
        let mut is_reported = false;
        loop {
            let next = select! {
                biased;
                next = self.stream.next_events() => match next {
                    Ok(Some(complete_events)) => {
                        self.permit.record_activity();
                        StreamStep::Events(complete_events)
                    }
                    Ok(None) => return RelayEnd::Complete,
                    Err(reason) => return RelayEnd::broken(reason),
                },
                () = events.closed() => return RelayEnd::CallerDisconnected,
                () = sleep_until(stalled_at.min(due_at)) => {
                    if Instant::now() >= due_at {
                        return RelayEnd::TimedOut;
                    }
                    self.permit.silence_reporter().report();
                    select! {
                        end = self.search(patience) => end,
                        () = events.closed() => return RelayEnd::CallerDisconnected,
                        () = sleep_until(due_at) => return RelayEnd::TimedOut,
                    }
                }
            };
            match next {
                StreamStep::Events(complete_events) => {
                    if let Err(end) = send_in_time(events, complete_events, due_at).await {
                        return end;
                    }
                    patience = StallLimits::from(&self.request.route).resume_after;
                }
                StreamStep::Silent(obstacle) => {
                    obstacle.report(&self.request, &self.endpoint);
                    patience *= 2;
                }
                StreamStep::Ended(end) => return end,
            }
            stalled_at = Instant::now() + patience;
            if !is_reported && !self.is_beginning() {
                is_reported = true;
                let parts = &self.request.parts;
                self.context.dispatcher.report_parts_answered(parts, self.begun_at);
            }
        }
    }

    /// Whether the first event arrived so recently that the endpoint may crash because of the
    /// request.
    fn is_beginning(&self) -> bool {
        self.context.clock.now() - self.begun_at < BEGINNING_TIME
    }

    /// Asks further endpoints to resume the stream while the silent endpoint may still go on.
    /// Whichever sends the next whole event keeps the stream.
    async fn search(&mut self, mut patience: Duration) -> StreamStep {
        let route = &self.request.route;
        if !route.kind.is_retryable() || self.history.may_have_run + 1 >= route.max_attempts {
            return StreamStep::Silent(FailoverObstacle::AttemptsUsed);
        }
        let Some(last_event) = self.stream.splitter.last_id() else {
            return StreamStep::Silent(FailoverObstacle::NoEventId);
        };
        let (context, request, due_at) = (&*self.context, &self.request, self.due_at);
        let plan = ResumePlan { context, request, last_event, due_at };
        let mut running = RunningAttempts::new();
        let mut tried = self.tried.clone();
        tried.insert(self.endpoint.clone());
        let mut broken = None;
        let mut may_retry = true;
        let resumed = loop {
            if may_retry && self.history.may_have_run + 1 + running.len() < route.max_attempts {
                let kind = PlacementKind::Duplicate;
                match place_failover(context, request, tried.clone(), kind, true).await {
                    Ok(placed) => {
                        let endpoint = placed.target.id.clone();
                        tried.insert(endpoint.clone());
                        let silence = placed.permit.silence_reporter();
                        running.push(endpoint, silence, resume_at(plan, placed));
                    }
                    Err(obstacle) if running.is_empty() => return StreamStep::Silent(obstacle),
                    Err(obstacle) => obstacle.report(request, &self.endpoint),
                }
            }
            patience *= 2;
            let silent_at = Instant::now() + patience;
            let ended = loop {
                select! {
                    biased;
                    next = self.stream.next_events(), if broken.is_none() => match next {
                        Err(reason) => {
                            event_line(request, &self.endpoint, last_event, "stream_broken").warn();
                            if reason == UnknownReason::Reset {
                                let (dispatcher, parts) = (&context.dispatcher, Arc::default());
                                let request = request.fingerprint;
                                drop(dispatcher.report_end(&self.endpoint, request, parts));
                            }
                            broken = Some(reason);
                        }
                        Ok(next) => {
                            self.history.may_have_run += running.len();
                            self.permit.record_activity();
                            return match next {
                                Some(complete_events) => StreamStep::Events(complete_events),
                                None => StreamStep::Ended(RelayEnd::Complete),
                            };
                        }
                    },
                    ended = running.next_end() => break Some(ended),
                    () = sleep_until(silent_at) => break None,
                }
            };
            let Some((endpoint, result)) = ended else {
                if broken.is_none() {
                    self.permit.silence_reporter().report();
                }
                running.report_silence();
                continue;
            };
            let outcome = match result {
                Ok(resumed) => break resumed,
                Err(outcome) => outcome,
            };
            let verdict = self.history.record(route.kind, route.max_attempts, outcome);
            log_attempt(request, &endpoint, outcome, verdict);
            may_retry &= matches!(verdict, RetryVerdict::SendAgain { .. });
            if broken.is_some() {
                self.tried.insert(endpoint);
            }
            if running.is_empty() {
                return match broken {
                    Some(reason) => {
                        StreamStep::Ended(RelayEnd::Broken { reason, is_reported: true })
                    }
                    None => StreamStep::Silent(FailoverObstacle::Attempt(outcome)),
                };
            }
        };
        self.history.may_have_run += running.len();
        self.tried.extend(running.endpoints().cloned());
        drop(running);
        StreamStep::Events(self.switch_to(resumed, broken))
    }

    /// Goes on with the stream of another endpoint, and returns its first events. The connection to
    /// the former endpoint is closed.
    fn switch_to(&mut self, resumed: ResumedStream, broken: Option<UnknownReason>) -> Bytes {
        let outcome = broken.map_or(AttemptOutcome::Abandoned, AttemptOutcome::Unknown);
        let route = &self.request.route;
        self.history.record(route.kind, route.max_attempts, outcome);
        let former = std::mem::replace(&mut self.endpoint, resumed.endpoint);
        self.tried.insert(former);
        std::mem::replace(&mut self.permit, resumed.permit).finish(outcome);
        self.stream = resumed.stream;
        self.begun_at = self.context.clock.now();
        std::mem::take(&mut self.stream.first)
    }

    /// Resumes a broken stream at another endpoint; `None` if no event with an id has arrived, or
    /// the route, the retry budget or the time limit allows no further attempt before an endpoint
    /// has accepted the stream.
    async fn resume(mut self, reason: UnknownReason) -> Option<Self> {
        let outcome = AttemptOutcome::Unknown(reason);
        let route = &self.request.route;
        let mut verdict = self.history.record(route.kind, route.max_attempts, outcome);
        self.permit.finish(outcome);
        // Closes the connection to the failed endpoint before the endpoint that resumes the stream
        // starts to work.
        let last_event = self.stream.splitter.last_id();
        drop(self.stream);
        self.tried.insert(self.endpoint.clone());
        let mut obstacle = FailoverObstacle::AttemptsUsed;
        while let RetryVerdict::SendAgain { counted } = verdict
            && Instant::now() < self.due_at
        {
            let Some(last_event) = last_event else {
                obstacle = FailoverObstacle::NoEventId;
                break;
            };
            let (context, request, due_at) = (&*self.context, &self.request, self.due_at);
            let (tried, kind) = (self.tried.clone(), PlacementKind::Queued);
            let placed = match place_failover(context, request, tried, kind, counted).await {
                Ok(placed) => placed,
                Err(failed) => {
                    obstacle = failed;
                    break;
                }
            };
            let endpoint = placed.target.id.clone();
            let plan = ResumePlan { context, request, last_event, due_at };
            let outcome = match resume_at(plan, placed).await {
                Ok(ResumedStream { endpoint, stream, permit }) => {
                    let begun_at = self.context.clock.now();
                    return Some(Self { endpoint, stream, permit, begun_at, ..self });
                }
                Err(outcome) => outcome,
            };
            obstacle = FailoverObstacle::Attempt(outcome);
            if outcome == AttemptOutcome::Unknown(UnknownReason::Reset) {
                let (request, parts) = (self.request.fingerprint, self.request.parts.clone());
                self.context.dispatcher.report_reset(&endpoint, request, parts).await;
            }
            verdict = self.history.record(route.kind, route.max_attempts, outcome);
            log_attempt(&self.request, &endpoint, outcome, verdict);
            if outcome != AttemptOutcome::NotRun(NotRunReason::StaleDecision) {
                self.tried.insert(endpoint);
            }
        }
        obstacle.report(&self.request, &self.endpoint);
        None
    }

    fn event_line(&self, event: &str) -> EventLine {
        let last_event = self.stream.splitter.last_id().unwrap_or_default();
        event_line(&self.request, &self.endpoint, last_event, event)
    }
}

fn event_line(
    request: &CallerRequest,
    endpoint: &EndpointId,
    last_event: u64,
    event: &str,
) -> EventLine {
    EventLine::new(event)
        .field("id", &request.request_id)
        .field("endpoint", endpoint)
        .field("last_event", last_event)
}

/// Sends events to the caller, but not after `due_at`: a caller that stops receiving must not hold
/// the endpoint.
async fn send_in_time(events: &EventSender, batch: Bytes, due_at: Instant) -> Result<(), RelayEnd> {
    select! {
        biased;
        () = sleep_until(due_at) => Err(RelayEnd::TimedOut),
        sent = events.send(batch) => sent.map_err(|CallerDisconnected| RelayEnd::CallerDisconnected),
    }
}
