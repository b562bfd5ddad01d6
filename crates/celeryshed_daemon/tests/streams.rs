//! P1 (no answer from partial weights or two versions) and P2 (each caller gets its own whole
//! answer) under failures.

mod support;

use std::time::Duration;

use celeryshed_base::ContentDigest;
use celeryshed_standin::engine::EngineFaults;
use celeryshed_standin::platform::BlobFaults;
use futures::future::join_all;
use serde_json::json;
use support::{
    Deployment, Kind, LiveStream, Plan, RelayMode, StreamEnd, eventually, figures, running_streams,
    until,
};

/// Tokens of a stream that a fault meets in the middle.
const TOKENS: u32 = 150;

fn plan() -> Plan {
    Plan { engines: 2, relays: true, ..Plan::default() }
}

/// Starts a stream, reads some tokens, and returns it with the member that runs it.
async fn stream_in_progress(deployment: &Deployment, prompt: &str) -> (LiveStream, usize) {
    let mut stream = deployment.caller.stream(deployment.entry(0), prompt, TOKENS).await;
    stream.read_tokens(10).await;
    let runs = eventually("an engine runs the stream", async || deployment.busy_member()).await;
    (stream, runs)
}

/// What stops an engine in mid-stream.
#[derive(Clone, Copy, Debug)]
enum StreamFault {
    EngineCrash,
    EngineCutsStream,
    SidecarKilled,
    LinkToSidecarCut,
    LinkToEngineCut,
}

/// Guards against a resumed stream that repeats, skips or mixes tokens.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn stream_resumes_on_the_same_version() {
    let faults = [
        StreamFault::EngineCrash,
        StreamFault::EngineCutsStream,
        StreamFault::SidecarKilled,
        StreamFault::LinkToSidecarCut,
        StreamFault::LinkToEngineCut,
    ];
    let runs = faults.map(|fault| async move {
        let mut deployment = Deployment::start(plan()).await;
        let (mut stream, runs) = stream_in_progress(&deployment, "resumed").await;
        let member = &mut deployment.members[runs];
        let engine = member.engine.clone().expect("an engine");
        match fault {
            StreamFault::EngineCrash => {
                engine.set_faults(EngineFaults { crash: true, ..EngineFaults::default() });
            }
            StreamFault::EngineCutsStream => {
                let cut_streams_after = Some(11);
                engine.set_faults(EngineFaults { cut_streams_after, ..EngineFaults::default() });
            }
            StreamFault::SidecarKilled => member.daemon.kill(),
            StreamFault::LinkToSidecarCut => {
                member.link.as_ref().expect("relays").set(RelayMode::Cut);
            }
            StreamFault::LinkToEngineCut => {
                member.endpoint_link.as_ref().expect("relays").set(RelayMode::Cut);
            }
        }
        stream.finish().await;
        let engines = deployment.members.iter().filter_map(|member| member.engine.as_ref());
        let counts: Vec<_> = engines.map(|engine| engine.counts()).collect();
        let resumed: u64 = counts.iter().map(|counts| counts.resumed).sum();
        let mismatches: u64 = counts.iter().map(|counts| counts.resume_mismatches).sum();
        figures(&format!("P1/P2 {fault:?}"), 1, 1, u64::from(!stream.is_whole()));
        assert!(stream.is_whole(), "{fault:?}: {}", stream.describe());
        assert_eq!((resumed, mismatches), (1, 0), "{fault:?}");
    });
    join_all(runs).await;
}

/// Guards against a running stream that goes over to a version selected meanwhile.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn stream_stays_on_its_version_during_a_switch() {
    let deployment = Deployment::start(plan()).await;
    let (mut stream, _) = stream_in_progress(&deployment, "switched").await;
    let first = stream.version.expect("a version");
    let second = deployment.publish_version("two").await;
    deployment.wait_live(second).await;
    stream.finish().await;
    assert!(stream.is_whole() && stream.version == Some(first), "{}", stream.describe());
    let newer = eventually("a stream of the second version", || async {
        let newer = deployment.caller.complete(deployment.entry(0), "switched", 20).await;
        (newer.version == Some(second)).then_some(newer)
    })
    .await;
    figures("P1 switch", 1, 2, u64::from(!newer.is_whole()));
    assert!(newer.is_whole(), "{}", newer.describe());
}

/// Guards against a splice of two versions when the engine with the first one is gone and another
/// engine would answer with the second one.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn only_another_version_left_is_an_explicit_error() {
    let deployment = Deployment::start(plan()).await;
    let mut stream = deployment.caller.stream(deployment.entry(0), "gone", 1_000).await;
    stream.read_tokens(10).await;
    let runs = eventually("an engine runs the stream", async || deployment.busy_member()).await;
    let second = deployment.publish_version("two").await;
    deployment.wait_live(second).await;
    let crash = |index: usize| {
        let engine = deployment.members[index].engine.clone().expect("an engine");
        engine.set_faults(EngineFaults { crash: true, ..EngineFaults::default() });
        engine
    };
    // After its crash the other engine has lost the first version and gets only the second one.
    let other = deployment.of(Kind::Engine).into_iter().find(|index| *index != runs);
    let other = crash(other.expect("two engines"));
    until("the other engine has the second version", || other.live() == Some(second)).await;
    let running = running_streams(deployment.members[runs].engine.as_ref().expect("an engine"));
    assert_eq!(running, 1, "the stream still runs");
    crash(runs);
    let end = stream.finish().await;
    let StreamEnd::Error(problem) = &end else {
        panic!("{}", stream.describe());
    };
    figures("P1 version gone", 2, 1, u64::from(!stream.is_one_version()));
    assert!(stream.is_one_version(), "{}", stream.describe());
    assert_eq!(problem["type"], "/problems/version-gone", "{problem}");
    assert_eq!(problem["not_run"], json!(false), "{problem}");
}

/// Versions that an engine ever ran must be among the published ones, and only after it had
/// every chunk: the stand-in verifies the digests before it switches.
fn assert_nothing_partial(deployment: &Deployment, published: &[ContentDigest]) {
    for member in &deployment.members {
        let Some(engine) = &member.engine else { continue };
        let counts = engine.counts();
        assert_eq!(counts.loads_refused, 0, "{} was told to load partial weights", member.name);
        for switch in counts.switches {
            assert!(published.contains(&switch.version), "{}: {switch:?}", member.name);
        }
    }
}

/// Guards against corrupted or cut chunks that become part of a version, from store and origin.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn corrupted_chunks_never_become_live() {
    let deployment = Deployment::start(plan()).await;
    let first = deployment.members[2].engine.as_ref().and_then(|engine| engine.live());
    let faults = BlobFaults { corrupt_next: 3, cut_next: 1, ..BlobFaults::default() };
    deployment.store.control().set_faults(faults.clone());
    deployment.origin.control().set_faults(faults);
    let second = deployment.publish_version("two").await;
    let mut streams = Vec::new();
    let all_live = || {
        let mut engines = deployment.members.iter().filter_map(|member| member.engine.as_ref());
        engines.all(|engine| engine.live() == Some(second))
    };
    while !all_live() && streams.len() < 300 {
        let prompt = format!("during the spread {}", streams.len());
        streams.push(deployment.caller.complete(deployment.entry(0), &prompt, 5).await);
    }
    deployment.wait_live(second).await;
    let bad: Vec<String> =
        streams.iter().filter(|stream| !stream.is_whole()).map(LiveStream::describe).collect();
    figures("P1 corrupted chunks", 8, streams.len() as u64, bad.len() as u64);
    assert!(bad.is_empty(), "{bad:#?}");
    assert_nothing_partial(&deployment, &[first.expect("a first version"), second]);
}

/// Guards against a version that stays partial, or goes live partial, after its sidecar was
/// killed while it fetched or handed over chunks.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn sidecar_killed_in_mid_spread() {
    let mut deployment = Deployment::start(plan()).await;
    let first = deployment.members[2].engine.as_ref().and_then(|engine| engine.live());
    let slow = BlobFaults { bytes_per_s: Some(300_000), ..BlobFaults::default() };
    deployment.store.control().set_faults(slow.clone());
    deployment.origin.control().set_faults(slow);
    let before = deployment.store.control().counts().bytes_served;
    let before = before + deployment.origin.control().counts().bytes_served;
    let second = deployment.publish_version("two").await;
    until("a part of the chunks is fetched", || {
        let served = deployment.store.control().counts().bytes_served
            + deployment.origin.control().counts().bytes_served;
        served > before + 100_000
    })
    .await;
    let victim = deployment.of(Kind::Engine)[0];
    deployment.members[victim].daemon.kill();
    let engine = deployment.members[victim].engine.clone().expect("an engine");
    assert_ne!(engine.live(), Some(second), "the kill meets the spread");
    let mut stream = deployment.caller.complete(deployment.entry(0), "meanwhile", 10).await;
    assert!(stream.finish().await == StreamEnd::Whole && stream.is_whole());
    deployment.restart(victim);
    deployment.wait_live(second).await;
    figures("P1 sidecar killed in mid-spread", 1, 1, 0);
    assert_nothing_partial(&deployment, &[first.expect("a first version"), second]);
}

/// Guards against crossed answers: concurrent callers, some of whom leave in mid-stream, while
/// engines crash in turn.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn crossed_and_abandoned_streams_stay_apart() {
    const CALLERS: usize = 6;
    let deployment = &Deployment::start(plan()).await;
    let entries = [deployment.entry(0), deployment.entry(1)];
    let callers = (0..CALLERS).map(|lane| async move {
        let mut streams = Vec::new();
        for number in 0..8 {
            let prompt = format!("lane {lane} number {number}");
            let entry = entries[(lane + number) % 2];
            let mut stream = deployment.caller.stream(entry, &prompt, 40).await;
            if (lane + number) % 3 == 0 {
                stream.read_tokens(7).await;
                assert!(stream.is_one_version(), "{}", stream.describe());
                continue;
            }
            stream.finish().await;
            streams.push(stream);
        }
        streams
    });
    let crashes = async {
        let mut crashed = 0;
        for index in deployment.of(Kind::Engine) {
            tokio::time::sleep(Duration::from_millis(800)).await;
            let engine = deployment.members[index].engine.as_ref().expect("an engine");
            engine.set_faults(EngineFaults { crash: true, ..EngineFaults::default() });
            crashed += 1;
            until("the engine is back", || engine.live().is_some()).await;
        }
        crashed
    };
    let (streams, crashed) = tokio::join!(join_all(callers), crashes);
    let streams: Vec<LiveStream> = streams.into_iter().flatten().collect();
    let silent = |stream: &&LiveStream| {
        let whole_or_explicit = stream.is_whole() || stream.ended_explicitly();
        !whole_or_explicit || !stream.is_one_version()
    };
    let bad: Vec<String> = streams.iter().filter(silent).map(LiveStream::describe).collect();
    let whole = streams.iter().filter(|stream| stream.is_whole()).count();
    figures("P2 crossed streams", crashed, streams.len() as u64, bad.len() as u64);
    assert!(bad.is_empty(), "{bad:#?}");
    assert!(whole > 0);
}
