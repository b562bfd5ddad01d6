//! Text format of the traces: parses events and formats actions.

use std::collections::BTreeMap;
use std::time::Duration;

use celeryshed_base::{
    ClaimId, ContentDigest, InstanceName, LogOffset, MonoTime, ProcessIncarnation, UnixMillis,
};
use celeryshed_core::booking::{
    AppendResult, BookingIdentity, BookingResult, BookingState, ClaimAction, ClaimEvent,
    ClaimLogRecord, ClaimSpec, ClaimState, ClaimView, DispatchResult, LogView, OutcomeKind,
    SealResult, SideTarget,
};

/// Time of the log in milliseconds since 1970 that the traces write as 0.
const LOG_START_MS: u64 = 10_000_000;

pub(crate) fn millis(value: u64) -> MonoTime {
    MonoTime(Duration::from_millis(value))
}

/// Parses the events of one trace and formats its actions.
pub(crate) struct TraceFormat {
    identity: BookingIdentity,
    /// Records of the append actions by their text, which the events refer to.
    appends: BTreeMap<String, ClaimLogRecord>,
}

impl TraceFormat {
    pub(crate) fn new(identity: BookingIdentity) -> Self {
        Self { identity, appends: BTreeMap::new() }
    }

    pub(crate) fn parse_event(&self, line: &str) -> (MonoTime, ClaimEvent<u32>) {
        let words: Vec<_> = line.split(' ').collect();
        let event = match words[1] {
            "read" => ClaimEvent::LogRead(self.parse_view(&words[2..])),
            "side" => {
                let side = (words[2] != "-").then(|| parse_side(words[2]));
                ClaimEvent::SideChosen { side, claim_id: parse_claim_id(words[3]) }
            }
            "appended" => {
                let appended = self.appends.get(words[2]);
                let record = appended
                    .unwrap_or_else(|| panic!("no append action precedes {line:?}"))
                    .clone();
                ClaimEvent::AppendEnded { record, result: parse_append_result(words[3]) }
            }
            "dispatched" => {
                let result = parse_dispatch_result(words[3]);
                ClaimEvent::DispatchEnded { claim_id: parse_claim_id(words[2]), result }
            }
            "seal" => {
                let result = parse_seal_result(words[3]);
                ClaimEvent::SealEnded { claim_id: parse_claim_id(words[2]), result }
            }
            "answer" => ClaimEvent::AnswerRead(words[2].parse().ok()),
            "time" => ClaimEvent::TimerFired,
            other => panic!("unknown event {other:?} in {line:?}"),
        };
        (millis(parse_number(words[0])), event)
    }

    /// Parses `began=0 log=0 arrival=0 fence=- claims=ID:OFFSET:APPENDED:BODY:SIDE:STATE,...`.
    fn parse_view(&self, words: &[&str]) -> LogView {
        let field = |name: &str| {
            let value = words.iter().find_map(|word| word.strip_prefix(&format!("{name}=")));
            value.unwrap_or("-")
        };
        let claims = field("claims").split(',').filter(|claim| *claim != "-");
        let booking_state = BookingState {
            fence: field("fence").parse().ok().map(LogOffset),
            claims: claims.map(|claim| self.parse_claim(claim)).collect(),
        };
        LogView {
            read_started: millis(parse_number(field("began"))),
            log_now: UnixMillis(LOG_START_MS.saturating_add_signed(field("log").parse().unwrap())),
            arrival_offset: LogOffset(parse_number(field("arrival"))),
            covered: field("covered") != "no",
            booking_state,
        }
    }

    fn parse_claim(&self, text: &str) -> ClaimView {
        let parts: Vec<_> = text.split(':').collect();
        let own_body = parts[3] == "same";
        let other_body = ContentDigest::of(b"another body");
        let target = parse_side(parts[4]);
        ClaimView {
            claim_id: parse_claim_id(parts[0]),
            offset: LogOffset(parse_number(parts[1])),
            appended_at: UnixMillis(LOG_START_MS + parse_number(parts[2])),
            spec: ClaimSpec {
                body_digest: if own_body { self.identity.body_digest } else { other_body },
                side_instance: target.instance,
                side_incarnation: target.incarnation,
            },
            state: parse_claim_state(parts[5]),
        }
    }

    pub(crate) fn format_action(&mut self, action: &ClaimAction<u32>) -> String {
        let text = match action {
            ClaimAction::ChooseSide { avoid } => {
                let avoided: Vec<_> = avoid.iter().map(InstanceName::as_str).collect();
                format!("choose avoid={}", avoided.join(","))
            }
            ClaimAction::Append(record) => {
                let name = format_record(record);
                self.appends.insert(name.clone(), record.clone());
                format!("append {name}")
            }
            ClaimAction::Dispatch { side, permit } => {
                let claim = permit.claim_id.0.as_u128();
                format!("dispatch {claim} {} offset={}", format_side(side), permit.offset)
            }
            ClaimAction::RequestSeal { claim_id, side } => {
                format!("ask_seal {} {}", claim_id.0.as_u128(), format_side(side))
            }
            ClaimAction::ReadAnswer { offset } => format!("read_answer offset={offset}"),
            ClaimAction::Reply(BookingResult::Answer { answer, replayed }) => {
                format!("reply answer={answer} replayed={replayed}")
            }
            ClaimAction::Reply(BookingResult::Refused { reason, verdict }) => {
                let reason = format!("{reason:?}");
                let reason = reason.split([' ', '{']).next().unwrap_or_default();
                format!("reply {reason} {verdict:?}")
            }
            ClaimAction::Finish => "finish".to_owned(),
        };
        format!("> {text}\n")
    }
}

fn parse_number(text: &str) -> u64 {
    text.parse().unwrap_or_else(|_| panic!("{text:?} is not a number"))
}

fn parse_claim_id(text: &str) -> ClaimId {
    ClaimId::from_u128(parse_number(text).into())
}

/// Parses `INSTANCE/INCARNATION`.
fn parse_side(text: &str) -> SideTarget {
    let (instance, incarnation) = text.split_once('/').unwrap();
    SideTarget {
        instance: InstanceName::try_from(instance).unwrap(),
        incarnation: ProcessIncarnation::from_u128(parse_number(incarnation).into()),
    }
}

fn format_side(side: &SideTarget) -> String {
    format!("{}/{}", side.instance, side.incarnation.0.as_u128())
}

fn format_record(record: &ClaimLogRecord) -> String {
    match record {
        ClaimLogRecord::Claim(details) => format!("claim:{}", details.claim_id.0.as_u128()),
        ClaimLogRecord::Sealed(claim_id) => format!("sealed:{}", claim_id.0.as_u128()),
        ClaimLogRecord::Released(claim_id) => format!("released:{}", claim_id.0.as_u128()),
        ClaimLogRecord::Outcome(claim_id, _) => format!("outcome:{}", claim_id.0.as_u128()),
        ClaimLogRecord::Fenced(_) => "fenced".to_owned(),
    }
}

fn parse_claim_state(text: &str) -> ClaimState {
    let (kind, offset) = text.split_once('@').unwrap_or((text, "0"));
    let settled =
        |outcome| ClaimState::Settled { outcome, offset: LogOffset(parse_number(offset)) };
    match kind {
        "force" => ClaimState::InForce,
        "void" => ClaimState::Void,
        "sealed" => ClaimState::Sealed,
        "released" => ClaimState::Released,
        "answer" => settled(OutcomeKind::Answer),
        "large" => settled(OutcomeKind::AnswerNotKept { status: 200, size: 100_000 }),
        "unknown" => settled(OutcomeKind::Unknown),
        other => panic!("unknown claim state {other:?}"),
    }
}

fn parse_append_result(text: &str) -> AppendResult {
    match text {
        "done" => AppendResult::Done,
        "refused" => AppendResult::Refused,
        "unknown" => AppendResult::Unknown,
        other => panic!("unknown append result {other:?}"),
    }
}

fn parse_dispatch_result(text: &str) -> DispatchResult<u32> {
    let not_run = |claim_only| DispatchResult::NotRun { detail: text.to_owned(), claim_only };
    match text {
        "refused" => not_run(true),
        "busy" => not_run(false),
        "lost" => DispatchResult::Unknown,
        answer => DispatchResult::Answer(parse_number(answer) as u32),
    }
}

fn parse_seal_result(text: &str) -> SealResult<u32> {
    match text {
        "recorded" => SealResult::Recorded,
        "running" => SealResult::Running,
        "sealed" => SealResult::Sealed,
        "lost" => SealResult::Unknown,
        "other" => SealResult::OtherIncarnation,
        "silent" => SealResult::Unreachable,
        answer => SealResult::Ran(parse_number(answer) as u32),
    }
}
