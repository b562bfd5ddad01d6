//! Replay of a recorded trace against its expected actions.
//!
//! A line of the trace is `<milliseconds> <event>`, followed by one line `  -> <action>` for each
//! expected action. `c<N>` is chunk N, `m` the manifest.

use std::time::Duration;

use celeryshed_base::{ByteCount, ContentDigest, InstanceName, MonoTime};

use super::fleet::{digest, plan, view};
use crate::distribution::{
    ChunkRef, ChunkSource, DesiredVersion, ExternalSource, FetchAction, FetchEvent, FetchFailure,
    FetchOptions, FetchScheduler,
};

const TRACE: &str = include_str!("../../../fixtures/spread/dead_parent.trace");

/// Index of the sidecar whose scheduler was recorded.
const OWN: usize = 4;

const CHUNKS: usize = 4;

fn digest_of(name: &str) -> ContentDigest {
    name.strip_prefix('c').map_or(digest(usize::MAX), |index| digest(index.parse().unwrap()))
}

fn chunk_name(chunk: &ContentDigest) -> String {
    let index = (0..CHUNKS).find(|index| digest(*index) == *chunk);
    index.map_or("m".to_owned(), |index| format!("c{index}"))
}

fn parse_source(text: &str) -> ChunkSource {
    match text {
        "store" => ChunkSource::External(ExternalSource::Store),
        "origin" => ChunkSource::External(ExternalSource::Origin),
        peer => ChunkSource::Peer(InstanceName::try_from(peer).unwrap()),
    }
}

fn source_name(source: &ChunkSource) -> String {
    match source {
        ChunkSource::External(ExternalSource::Store) => "store".to_owned(),
        ChunkSource::External(ExternalSource::Origin) => "origin".to_owned(),
        ChunkSource::Peer(instance) => instance.to_string(),
    }
}

fn parse_event(words: &[&str]) -> FetchEvent {
    let manifest = digest(usize::MAX);
    match *words {
        ["view", count] => {
            FetchEvent::PlanChanged(plan(OWN, &view(0..count.parse::<usize>().unwrap())))
        }
        ["want"] => {
            let size = ByteCount(100 * CHUNKS as u64);
            FetchEvent::VersionsDesired(vec![DesiredVersion { manifest, size }])
        }
        ["manifest"] => {
            let chunk = |index| ChunkRef { digest: digest(index), size: ByteCount(100) };
            FetchEvent::ManifestRead { manifest, chunks: (0..CHUNKS).map(chunk).collect() }
        }
        ["arrived", item, from] => FetchEvent::ChunkArrived {
            chunk: digest_of(item),
            size: ByteCount(100),
            source: parse_source(from),
        },
        ["offered", item, from] => {
            FetchEvent::ChunkOffered { chunk: digest_of(item), source: parse_source(from) }
        }
        [failure, item, from] => FetchEvent::FetchFailed {
            chunk: digest_of(item),
            source: parse_source(from),
            failure: match failure {
                "corrupt" => FetchFailure::Corrupt,
                "unreachable" => FetchFailure::Unreachable,
                "pending" => FetchFailure::Pending,
                "refused" => FetchFailure::NotExpected,
                other => panic!("unknown event {other}"),
            },
        },
        ["tick"] => FetchEvent::TimerFired,
        _ => panic!("unknown event {words:?}"),
    }
}

fn action_text(action: &FetchAction) -> String {
    match action {
        FetchAction::Fetch { chunk, source } => {
            format!("fetch {} {}", chunk_name(chunk), source_name(source))
        }
        FetchAction::Offer { chunk, instance } => format!("offer {} {instance}", chunk_name(chunk)),
        FetchAction::Cancel { chunk } => format!("cancel {}", chunk_name(chunk)),
        FetchAction::Drop { chunk } => format!("drop {}", chunk_name(chunk)),
        FetchAction::VersionComplete { .. } => "complete".to_owned(),
        FetchAction::VersionTooLarge { .. } => "too_large".to_owned(),
    }
}

/// Guards against changed decisions when a parent is unreachable, a chunk arrives corrupted or a
/// sidecar offers a chunk.
#[test]
fn recorded_trace_has_expected_actions() {
    let mut scheduler = FetchScheduler::new(FetchOptions::default(), 1);
    let mut replayed = String::new();
    for line in TRACE.lines() {
        if line.starts_with('#') {
            replayed += &format!("{line}\n");
            continue;
        }
        if line.starts_with("  ->") {
            continue;
        }
        let words: Vec<_> = line.split_whitespace().collect();
        let now = MonoTime::ZERO + Duration::from_millis(words[0].parse().unwrap());
        replayed += &format!("{line}\n");
        for action in scheduler.handle(parse_event(&words[1..]), now) {
            replayed += &format!("  -> {}\n", action_text(&action));
        }
    }
    assert_eq!(replayed, TRACE);
}
