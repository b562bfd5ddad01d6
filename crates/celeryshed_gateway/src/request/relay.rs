//! Forwards a stream to its caller, and resumes it at another endpoint if it breaks off.

use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use celeryshed_base::MonoTime;
use celeryshed_dispatch::{
    AttemptHistory, AttemptOutcome, EndpointId, RetryVerdict, StallLimits, UnknownReason,
};
use celeryshed_observe::EventLine;
use http_body_util::BodyExt;
use tokio::sync::mpsc;
use tokio::time::{Instant, timeout_at};

use crate::context::GatewayContext;
use crate::dispatcher_task::{PlacementPermit, PlacementVerdict};
use crate::request::attempt::{AttemptPlan, AttemptReply, OpenStream, is_framed, send_attempt};
use crate::request::body::StreamBroken;
use crate::request::buffer::BufferExceeded;
use crate::request::parse::CallerRequest;

/// Time after its first event in which a stream that breaks off may have crashed its endpoint.
const BEGINNING_TIME: Duration = Duration::from_millis(200);
/// Number of event batches that may wait for a slow caller.
pub(crate) const EVENT_BUFFER_LEN: usize = 16;

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
    Broken(UnknownReason),
}

impl StreamRelay {
    /// Forwards events until the stream is complete, can't be resumed, times out, or the caller
    /// disconnects.
    pub(crate) async fn run(mut self, events: mpsc::Sender<Result<Bytes, StreamBroken>>) {
        if events.send(Ok(std::mem::take(&mut self.stream.first))).await.is_err() {
            return;
        }
        loop {
            let end = self.forward(&events).await;
            let reason = match end {
                RelayEnd::Complete => {
                    if is_framed(&self.stream.headers) || !self.is_beginning() {
                        self.context.dispatcher.report_served(self.request.fingerprint);
                        let parts = &self.request.parts;
                        self.context.dispatcher.report_parts_answered(parts, self.begun_at);
                    } else {
                        let (request, parts) =
                            (self.request.fingerprint, self.request.parts.clone());
                        drop(self.context.dispatcher.report_end(&self.endpoint, request, parts));
                    }
                    self.permit.finish(AttemptOutcome::Served);
                    return;
                }
                RelayEnd::CallerDisconnected => return,
                RelayEnd::TimedOut => {
                    self.log("stream_timed_out");
                    let _ = events.send(Err(StreamBroken)).await;
                    return;
                }
                RelayEnd::Broken(reason) => reason,
            };
            self.log("stream_broken");
            if reason == UnknownReason::Reset {
                let parts =
                    if self.is_beginning() { self.request.parts.clone() } else { Arc::default() };
                let request = self.request.fingerprint;
                self.context.dispatcher.report_reset(&self.endpoint, request, parts).await;
            }
            let resumed = tokio::select! {
                resumed = self.resume(reason) => resumed,
                () = events.closed() => return,
            };
            match resumed {
                Some(resumed) => self = resumed,
                None => {
                    // The caller may disconnect at the same time.
                    let _ = events.send(Err(StreamBroken)).await;
                    return;
                }
            }
            if events.send(Ok(std::mem::take(&mut self.stream.first))).await.is_err() {
                return;
            }
        }
    }

    async fn forward(&mut self, events: &mpsc::Sender<Result<Bytes, StreamBroken>>) -> RelayEnd {
        let mut stalled_at = self.stalled_at();
        let mut is_reported = false;
        loop {
            let frame_deadline = stalled_at.min(self.due_at);
            let frame = tokio::select! {
                frame = timeout_at(frame_deadline, self.stream.body.frame()) => frame,
                () = events.closed() => return RelayEnd::CallerDisconnected,
            };
            let data = match frame {
                Err(_elapsed) if Instant::now() >= self.due_at => return RelayEnd::TimedOut,
                Err(_elapsed) => return RelayEnd::Broken(UnknownReason::Silent),
                Ok(Some(Err(_))) => return RelayEnd::Broken(UnknownReason::Reset),
                Ok(None) if self.stream.splitter.has_partial_event() => {
                    return RelayEnd::Broken(UnknownReason::Reset);
                }
                Ok(None) => return RelayEnd::Complete,
                Ok(Some(Ok(frame))) => frame.into_data(),
            };
            let Ok(data) = data else { continue };
            let complete_events = match self.stream.splitter.push(data) {
                Ok(Some(complete_events)) => complete_events,
                // Bytes that complete no event are no progress.
                Ok(None) if Instant::now() >= self.due_at => return RelayEnd::TimedOut,
                Ok(None) if Instant::now() >= stalled_at => {
                    return RelayEnd::Broken(UnknownReason::Silent);
                }
                Ok(None) => continue,
                Err(BufferExceeded) => return RelayEnd::Broken(UnknownReason::Malformed),
            };
            if events.send(Ok(complete_events)).await.is_err() {
                return RelayEnd::CallerDisconnected;
            }
            stalled_at = self.stalled_at();
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

    /// When the stream is resumed elsewhere unless a whole event has arrived.
    fn stalled_at(&self) -> Instant {
        let route = &self.request.route;
        let may_resume = route.kind.is_retryable()
            && self.stream.splitter.last_id().is_some()
            && self.history.may_have_run + 1 < route.max_attempts;
        if !may_resume {
            return self.due_at;
        }
        Instant::now() + StallLimits::from(route).resume_after
    }

    /// Resumes the stream at another endpoint; `None` if no event with an id has arrived, the route
    /// or the retry budget allows no retry, or no endpoint accepts the stream.
    async fn resume(mut self, reason: UnknownReason) -> Option<Self> {
        let outcome = AttemptOutcome::Unknown(reason);
        let verdict =
            self.history.record(self.request.route.kind, self.request.route.max_attempts, outcome);
        self.permit.finish(outcome);
        // Closes the connection to the failed endpoint before the endpoint that resumes the stream
        // starts to work.
        let last_event = self.stream.splitter.last_id();
        drop(self.stream);
        if !matches!(verdict, RetryVerdict::SendAgain { .. }) || last_event.is_none() {
            return None;
        }
        let context = self.context;
        if context.has_blocked(&self.request.parts) {
            return None;
        }
        if !context.dispatcher.try_retry(&self.request.profile.service).await {
            return None;
        }
        self.tried.insert(self.endpoint);
        let profile = self.request.profile.clone();
        let verdict = context.dispatcher.place(profile, self.tried.clone()).await;
        let PlacementVerdict::Placed { target, expected, mut permit } = verdict else {
            return None;
        };
        if context.has_blocked(&self.request.parts) {
            return None;
        }
        let sent_at = Instant::now();
        let plan = AttemptPlan {
            target: &target,
            clock: context.clock,
            decided_at: context.clock.now(),
            give_up_at: self.due_at,
            start_deadline: target.start_deadline,
            send_deadline: target.send_deadline,
            last_event,
            buffers: &context.buffers,
            permit: &permit,
        };
        let reply = send_attempt(&context.headers, &self.request, &plan).await;
        let AttemptReply::Stream(stream) = reply else {
            if let AttemptReply::Ended(outcome) = reply {
                permit.finish(outcome);
            }
            return None;
        };
        permit.answered(expected, sent_at.elapsed());
        EventLine::new("stream_resumed")
            .field("id", &self.request.request_id)
            .field("endpoint", &target.id)
            .field("after_event", last_event.unwrap_or_default())
            .info();
        let begun_at = context.clock.now();
        Some(Self {
            context,
            begun_at,
            request: self.request,
            stream,
            permit,
            endpoint: target.id,
            history: self.history,
            tried: self.tried,
            due_at: self.due_at,
        })
    }

    fn log(&self, event: &str) {
        EventLine::new(event)
            .field("id", &self.request.request_id)
            .field("endpoint", &self.endpoint)
            .field("last_event", self.stream.splitter.last_id().unwrap_or_default())
            .warn();
    }
}
