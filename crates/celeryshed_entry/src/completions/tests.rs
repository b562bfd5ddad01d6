//! Tests of the dispatcher against scripted sidecar faults, on Tokio's paused clock.

use std::collections::{BTreeMap, VecDeque};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use async_trait::async_trait;
use celeryshed_base::{
    AttemptId, AvailabilityZone, ClockSource, ContentDigest, InstanceName, RegionName, RequestId,
    ServiceName,
};
use celeryshed_core::configuration::ConfigurationState;
use celeryshed_core::membership::{MemberState, MembershipView, SideMember};
use celeryshed_platform::fakes::FakeLog;
use celeryshed_wire::{
    AttemptEvent, AttemptEventKind, AttemptFailure, AttemptRequest, AttemptWork, BookingForward,
    BookingReply, CallWork, FailureCause, ProblemDetails, RunStatus, ServiceAnswer,
};
use futures::StreamExt;
use serde_bytes::ByteBuf;
use tokio::sync::watch;
use tokio::time::Instant;

use super::calls::CallJob;
use super::dispatch::{CompletionJob, OutputEvent};
use super::teams::team_of;
use super::*;

/// One step of a scripted reply.
#[derive(Clone, Debug)]
enum Step {
    /// An event of this attempt.
    Own(AttemptEventKind),
    /// An event of another attempt, as if replies were mixed up.
    Foreign(AttemptEventKind),
    /// No event for this many seconds.
    Wait(u64),
    /// The connection is reset.
    Broken,
}

/// The scripted reply to one attempt; `Err` means that no connection was made.
type ScriptedReply = Result<Vec<Step>, ()>;

#[derive(Default)]
struct ScriptedSides {
    answers: Mutex<VecDeque<ScriptedReply>>,
    starts: Mutex<Vec<AttemptRequest>>,
    cancelled: Mutex<Vec<AttemptId>>,
}

#[async_trait]
impl SideClient for ScriptedSides {
    async fn start(
        &self,
        _address: &str,
        request: &AttemptRequest,
    ) -> Result<EventStream, TransportError> {
        self.starts.lock().unwrap().push(request.clone());
        let answer = self.answers.lock().unwrap().pop_front().unwrap_or(Err(()));
        let steps =
            answer.map_err(|()| TransportError::Unreachable { reason: "refused".to_owned() })?;
        let own = request.attempt_id;
        let events = futures::stream::iter(steps).filter_map(move |step| async move {
            match step {
                Step::Own(kind) => Some(Ok(AttemptEvent { attempt_id: own, kind })),
                Step::Foreign(kind) => {
                    Some(Ok(AttemptEvent { attempt_id: AttemptId::random(), kind }))
                }
                Step::Wait(seconds) => {
                    tokio::time::sleep(Duration::from_secs(seconds)).await;
                    None
                }
                Step::Broken => Some(Err(TransportError::Broken { reason: "reset".to_owned() })),
            }
        });
        Ok(events.boxed())
    }

    async fn is_reachable(&self, _address: &str) -> bool {
        true
    }

    async fn cancel(&self, _address: &str, attempt_id: AttemptId) {
        self.cancelled.lock().unwrap().push(attempt_id);
    }
}

struct NoBookings;

#[async_trait]
impl BookingGate for NoBookings {
    async fn book(&self, _booking: BookingForward) -> BookingReply {
        unreachable!("no test books")
    }
}

fn start_entry(answers: Vec<ScriptedReply>) -> (CompletionsHandle, Arc<ScriptedSides>) {
    let name = |text: &str| InstanceName::try_from(text).unwrap();
    let zone = AvailabilityZone::try_from("zone").unwrap();
    let region = RegionName::try_from("region").unwrap();
    let side = |number: u32| SideMember {
        address: format!("127.0.0.1:{number}"),
        incarnation: None,
        zone: zone.clone(),
        region: region.clone(),
        service: ServiceName::try_from("copywriter").unwrap(),
        state: MemberState::Live,
    };
    let sides = (1..9).map(|number| (name(&format!("side-{number}")), side(number)));
    let view = MembershipView { entries: BTreeMap::new(), sides: sides.collect() };
    let scripted = Arc::new(ScriptedSides::default());
    *scripted.answers.lock().unwrap() = answers.into();
    let handle = spawn(CompletionInputs {
        options: CompletionOptions::new(name("entry"), zone, region),
        configuration: watch::channel(Some(Arc::new(ConfigurationState::default()))).1,
        members: watch::channel(Arc::new(view)).1,
        drain: watch::channel(DrainState::Serving).1,
        sides: Arc::clone(&scripted) as Arc<dyn SideClient>,
        bookings: Arc::new(NoBookings),
        log: Arc::new(FakeLog::new(ClockSource::start())),
    });
    (handle.unwrap(), scripted)
}

fn version(number: u8) -> ContentDigest {
    ContentDigest::of(&[number])
}

fn started(number: u8) -> Step {
    Step::Own(AttemptEventKind::Started { version: Some(version(number)) })
}

fn token(index: u32) -> Step {
    Step::Own(AttemptEventKind::Token { index, text: format!("t{index}") })
}

fn finished(tokens: u32) -> Step {
    Step::Own(AttemptEventKind::Finished { tokens })
}

fn failed(not_run: RunStatus, cause: FailureCause) -> Step {
    let detail = "scripted".to_owned();
    Step::Own(AttemptEventKind::Failed(AttemptFailure {
        not_run,
        cause,
        detail,
        retry_after_ms: None,
    }))
}

/// Runs a completion of up to four tokens; returns its text, and the problem if it failed.
async fn complete(handle: &CompletionsHandle) -> (String, Option<ProblemDetails>) {
    let mut events = handle.complete(CompletionJob {
        request_id: RequestId::random(),
        team: team_of(None, &ConfigurationState::default()).unwrap(),
        service: ServiceName::try_from("copywriter").unwrap(),
        prompt: "prompt".to_owned(),
        max_tokens: 4,
        adapter: None,
        fingerprint: version(9),
        deadline: Instant::now() + Duration::from_secs(60),
    });
    let mut text = String::new();
    while let Some(event) = events.recv().await {
        match event {
            OutputEvent::Head(_) => {}
            OutputEvent::Token(token) => text.push_str(&token),
            OutputEvent::Done => return (text, None),
            OutputEvent::Problem(problem) => return (text, Some(problem)),
        }
    }
    panic!("the answer has no end")
}

/// The text that a dispatcher without event checks would deliver: every token of every reply.
fn unchecked_text(answers: &[ScriptedReply]) -> String {
    let steps = answers.iter().flatten().flatten();
    let tokens = steps.filter_map(|step| match step {
        Step::Own(AttemptEventKind::Token { text, .. })
        | Step::Foreign(AttemptEventKind::Token { text, .. }) => Some(text.as_str()),
        _ => None,
    });
    tokens.collect()
}

/// Guards against lost, repeated or foreign tokens and mixed versions (P1, P2) when replies are
/// late, duplicated, mixed up or truncated.
#[tokio::test(start_paused = true)]
async fn delivers_complete_answers_despite_faults() {
    let whole = || Ok(vec![started(1), token(0), token(1), token(2), token(3), finished(4)]);
    let rest = || Ok(vec![started(1), token(2), token(3), finished(4)]);
    let foreign_token = Step::Foreign(AttemptEventKind::Token { index: 1, text: "x".to_owned() });
    let foreign_end = Step::Foreign(AttemptEventKind::Finished { tokens: 1 });
    let busy = failed(RunStatus::NotRun, FailureCause::Busy);
    let cases: Vec<(&str, Vec<ScriptedReply>)> = vec![
        (
            "late",
            vec![
                Ok(vec![
                    started(1),
                    token(0),
                    token(1),
                    Step::Wait(20),
                    token(2),
                    token(3),
                    finished(4),
                ]),
                rest(),
            ],
        ),
        ("late first token", vec![Ok(vec![Step::Wait(20), started(1), token(0)]), whole()]),
        (
            "duplicated",
            vec![Ok(vec![
                started(1),
                token(0),
                token(0),
                token(1),
                token(1),
                token(2),
                token(3),
                finished(4),
            ])],
        ),
        (
            "mixed up",
            vec![Ok(vec![
                started(1),
                token(0),
                foreign_token,
                foreign_end,
                token(1),
                token(2),
                token(3),
                finished(4),
            ])],
        ),
        ("truncated", vec![Ok(vec![started(1), token(0), token(1)]), rest()]),
        ("broken", vec![Ok(vec![started(1), token(0), token(1), Step::Broken]), rest()]),
        ("token missing", vec![Ok(vec![started(1), token(0), token(1), token(3)]), rest()]),
        ("end too early", vec![Ok(vec![started(1), token(0), token(1), finished(4)]), rest()]),
        (
            "version changes",
            vec![
                Ok(vec![started(1), token(0), token(1), started(2), token(2), finished(3)]),
                rest(),
            ],
        ),
        (
            "other version resumes",
            vec![
                Ok(vec![started(1), token(0), token(1), Step::Broken]),
                Ok(vec![started(2), token(2), token(3), finished(4)]),
                rest(),
            ],
        ),
        ("lost before dispatch", vec![Err(()), whole()]),
        (
            "displaced",
            vec![
                Ok(vec![
                    started(1),
                    token(0),
                    token(1),
                    failed(RunStatus::Ran, FailureCause::Displaced),
                ]),
                rest(),
            ],
        ),
        ("busy", vec![Ok(vec![busy]), whole()]),
    ];
    let mut wrong_without_checks = 0;
    for (case, answers) in cases {
        wrong_without_checks += usize::from(unchecked_text(&answers) != "t0t1t2t3");
        let expected_starts = answers.len();
        let (handle, sides) = start_entry(answers);
        let (text, problem) = complete(&handle).await;
        assert_eq!((text.as_str(), problem), ("t0t1t2t3", None), "{case}");
        let starts = sides.starts.lock().unwrap().len();
        assert_eq!(starts, expected_starts, "{case}");
    }
    // Number of cases in which a dispatcher without event checks would deliver a wrong text.
    assert_eq!(wrong_without_checks, 7);
}

/// Guards against a resumed attempt that omits the delivered tokens or their version, and against
/// a failed attempt that is not cancelled.
#[tokio::test(start_paused = true)]
async fn resume_sends_delivered_tokens_and_version() {
    let first = vec![started(1), token(0), token(1), Step::Broken];
    let (handle, sides) = start_entry(vec![Ok(first), Ok(vec![started(1), token(2), finished(3)])]);
    complete(&handle).await;
    let starts = sides.starts.lock().unwrap();
    let AttemptWork::Completion(work) = &starts[1].work else { panic!("no completion") };
    assert_eq!(work.resume_after, ["t0", "t1"]);
    assert_eq!(work.version, Some(version(1)));
    assert_ne!(starts[0].attempt_id, starts[1].attempt_id);
    assert_eq!(*sides.cancelled.lock().unwrap(), [starts[0].attempt_id]);
}

/// Guards against a failed request whose `not_run` contradicts one of its attempts (P3).
#[tokio::test(start_paused = true)]
async fn failed_requests_report_their_run_status() {
    use FailureCause::{Leaving, NotLive};
    let not_run = |cause| Ok(vec![failed(RunStatus::NotRun, cause)]);
    let broken = || Ok(vec![Step::Broken]);
    let cases: Vec<(&str, Vec<ScriptedReply>, RunStatus)> = vec![
        ("all refuse", (0..8).map(|_| not_run(Leaving)).collect(), RunStatus::NotRun),
        ("none is reached", vec![], RunStatus::NotRun),
        ("one broke", vec![broken(), not_run(NotLive)], RunStatus::Unknown),
        (
            "one ran",
            vec![Ok(vec![failed(RunStatus::Ran, FailureCause::EndpointFailed)]), not_run(NotLive)],
            RunStatus::Ran,
        ),
        (
            "another version is left",
            vec![Ok(vec![started(1), token(0), Step::Broken]), not_run(NotLive)],
            RunStatus::Ran,
        ),
    ];
    for (case, answers, verdict) in cases {
        let (handle, _sides) = start_entry(answers);
        let (_, problem) = complete(&handle).await;
        assert_eq!(problem.expect(case).not_run, verdict, "{case}");
    }
}

/// Status of a call's answer, or the verdict of its problem.
type CallResult = Result<u16, RunStatus>;

async fn call(method: &str, answers: Vec<ScriptedReply>) -> (CallResult, usize) {
    let (handle, sides) = start_entry(answers);
    let call = CallWork {
        method: method.to_owned(),
        path: "trays".to_owned(),
        content_type: None,
        body: ByteBuf::new(),
        idempotency_key: None,
        claim: None,
    };
    let job = CallJob {
        request_id: RequestId::random(),
        team: team_of(None, &ConfigurationState::default()).unwrap(),
        service: ServiceName::try_from("copywriter").unwrap(),
        call,
        deadline: Instant::now() + Duration::from_secs(60),
    };
    let answered = handle.call(job).await;
    let starts = sides.starts.lock().unwrap().len();
    (answered.map(|answer| answer.status).map_err(|problem| problem.not_run), starts)
}

/// Guards against repeating a call without a key that ran, or a call other than GET that may have
/// run, and against accepting a truncated answer.
#[tokio::test(start_paused = true)]
async fn repeats_plain_calls_only_when_safe() {
    let answer = ServiceAnswer { status: 200, content_type: None, body: ByteBuf::new() };
    let answer = Step::Own(AttemptEventKind::Answer(answer));
    let whole = || Ok(vec![answer.clone(), finished(0)]);
    let truncated = || Ok(vec![answer.clone()]);
    let busy = || Ok(vec![failed(RunStatus::NotRun, FailureCause::Busy)]);
    let ran = || Ok(vec![failed(RunStatus::Ran, FailureCause::EndpointFailed)]);
    let cases: Vec<(&str, &str, Vec<ScriptedReply>, CallResult, usize)> = vec![
        ("whole", "POST", vec![whole()], Ok(200), 1),
        ("busy", "POST", vec![busy(), whole()], Ok(200), 2),
        ("unreachable", "POST", vec![Err(()), whole()], Ok(200), 2),
        ("truncated", "POST", vec![truncated(), whole()], Err(RunStatus::Unknown), 1),
        ("broken", "DELETE", vec![Ok(vec![Step::Broken]), whole()], Err(RunStatus::Unknown), 1),
        ("ran", "GET", vec![ran(), whole()], Err(RunStatus::Ran), 1),
        ("truncated", "GET", vec![truncated(), whole()], Ok(200), 2),
    ];
    for (case, method, answers, result, starts) in cases {
        assert_eq!(call(method, answers).await, (result, starts), "{case}");
    }
}

/// Guards against an attempt that keeps its slot after the caller disconnected (P6).
#[tokio::test(start_paused = true)]
async fn disconnected_caller_cancels_its_attempt() {
    let (handle, sides) =
        start_entry(vec![Ok(vec![started(1), token(0), Step::Wait(3), token(1)])]);
    let completing = tokio::time::timeout(Duration::from_secs(1), complete(&handle)).await;
    assert!(completing.is_err());
    tokio::time::sleep(Duration::from_secs(1)).await;
    assert_eq!(sides.cancelled.lock().unwrap().len(), 1);
}
