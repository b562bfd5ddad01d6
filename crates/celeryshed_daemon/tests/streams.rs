//! P1 (no answer from partial weights or two versions) and P2 (each caller gets its own complete
//! answer) under failures.

mod support;

use std::time::Duration;

use celeryshed_base::ContentDigest;
use celeryshed_standin::engine::EngineFaults;
use celeryshed_standin::platform::BlobFaults;
use futures::future::join_all;
use serde_json::json;
use support::{
    Deployment, DeploymentPlan, LiveStream, MemberKind, RelayMode, StreamResult, print_figures,
    running_streams, wait_for_value, wait_until,
};

/// Tokens of a stream; enough that a fault takes effect while the stream runs.
const TOKENS: u32 = 150;

fn plan() -> DeploymentPlan {
    DeploymentPlan { engines: 2, relays: true, ..DeploymentPlan::default() }
}

/// Starts a stream and reads some tokens; returns the stream and the index of the member that runs
/// it.
async fn stream_in_progress(deployment: &Deployment, prompt: &str) -> (LiveStream, usize) {
    let mut stream = deployment.caller.stream(deployment.entry(0), prompt, TOKENS).await;
    stream.read_tokens(10).await;
    let member_index =
        wait_for_value("an engine runs the stream", async || deployment.busy_member()).await;
    (stream, member_index)
}

/// Fault that interrupts a running stream.
#[derive(Clone, Copy, Debug)]
enum StreamFault {
    EngineCrash,
    EngineCutsStream,
    SidecarKilled,
    LinkToSidecarCut,
    LinkToEngineCut,
}

/// Guards against a resumed stream with repeated, missing or wrong tokens.
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
        let (mut stream, member_index) = stream_in_progress(&deployment, "resumed").await;
        let member = &mut deployment.members[member_index];
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
        print_figures(&format!("P1/P2 {fault:?}"), 1, 1, u64::from(!stream.is_whole()));
        assert!(stream.is_whole(), "{fault:?}: {}", stream.describe());
        assert_eq!((resumed, mismatches), (1, 0), "{fault:?}");
    });
    join_all(runs).await;
}

/// Guards against a running stream that switches to a version selected after its start.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn stream_stays_on_its_version_during_a_switch() {
    let deployment = Deployment::start(plan()).await;
    let (mut stream, _) = stream_in_progress(&deployment, "switched").await;
    let first = stream.version.expect("a version");
    let second = deployment.publish_version("two").await;
    deployment.wait_live(second).await;
    stream.finish().await;
    assert!(stream.is_whole() && stream.version == Some(first), "{}", stream.describe());
    let newer = wait_for_value("a stream of the second version", || async {
        let newer = deployment.caller.complete(deployment.entry(0), "switched", 20).await;
        (newer.version == Some(second)).then_some(newer)
    })
    .await;
    print_figures("P1 switch", 1, 2, u64::from(!newer.is_whole()));
    assert!(newer.is_whole(), "{}", newer.describe());
}

/// Guards against an answer from two versions: the engine with the first version crashes, and the
/// remaining engine has only the second one.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn only_another_version_left_is_an_explicit_error() {
    let deployment = Deployment::start(plan()).await;
    let mut stream = deployment.caller.stream(deployment.entry(0), "gone", 1_000).await;
    stream.read_tokens(10).await;
    let member_index =
        wait_for_value("an engine runs the stream", async || deployment.busy_member()).await;
    let second = deployment.publish_version("two").await;
    deployment.wait_live(second).await;
    let crash = |index: usize| {
        let engine = deployment.members[index].engine.clone().expect("an engine");
        engine.set_faults(EngineFaults { crash: true, ..EngineFaults::default() });
        engine
    };
    // The crash makes the other engine lose the first version; it then loads only the second one.
    let other =
        deployment.members_of(MemberKind::Engine).into_iter().find(|index| *index != member_index);
    let other = crash(other.expect("two engines"));
    wait_until("the other engine has the second version", || other.live() == Some(second)).await;
    let running =
        running_streams(deployment.members[member_index].engine.as_ref().expect("an engine"));
    assert_eq!(running, 1, "the stream still runs");
    crash(member_index);
    let end = stream.finish().await;
    let StreamResult::Error(problem) = &end else {
        panic!("{}", stream.describe());
    };
    print_figures("P1 version gone", 2, 1, u64::from(!stream.is_one_version()));
    assert!(stream.is_one_version(), "{}", stream.describe());
    assert_eq!(problem["type"], "/problems/version-gone", "{problem}");
    assert_eq!(problem["not_run"], json!(false), "{problem}");
}

/// Asserts that every version that an engine ran is one of `published`, and that no engine was
/// given incomplete weights: the stand-in verifies the digests before it switches.
fn assert_only_complete_versions(deployment: &Deployment, published: &[ContentDigest]) {
    for member in &deployment.members {
        let Some(engine) = &member.engine else { continue };
        let counts = engine.counts();
        assert_eq!(counts.loads_refused, 0, "{} was ordered to load partial weights", member.name);
        for switch in counts.switches {
            assert!(published.contains(&switch.version), "{}: {switch:?}", member.name);
        }
    }
}

/// Guards against corrupted or truncated chunks, from store or origin, that become part of a live
/// version.
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
    print_figures("P1 corrupted chunks", 8, streams.len() as u64, bad.len() as u64);
    assert!(bad.is_empty(), "{bad:#?}");
    assert_only_complete_versions(&deployment, &[first.expect("a first version"), second]);
}

/// Guards against a version that stays incomplete, or becomes live incomplete, after the sidecar
/// was killed while it fetched chunks or passed them on.
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
    wait_until("a part of the chunks is fetched", || {
        let served = deployment.store.control().counts().bytes_served
            + deployment.origin.control().counts().bytes_served;
        served > before + 100_000
    })
    .await;
    let killed_index = deployment.members_of(MemberKind::Engine)[0];
    deployment.members[killed_index].daemon.kill();
    let engine = deployment.members[killed_index].engine.clone().expect("an engine");
    assert_ne!(engine.live(), Some(second), "the kill comes during the distribution");
    let mut stream = deployment.caller.complete(deployment.entry(0), "meanwhile", 10).await;
    assert!(stream.finish().await == StreamResult::Whole && stream.is_whole());
    deployment.restart(killed_index);
    deployment.wait_live(second).await;
    print_figures("P1 sidecar killed in mid-spread", 1, 1, 0);
    assert_only_complete_versions(&deployment, &[first.expect("a first version"), second]);
}

/// Guards against callers that get each other's tokens: they stream concurrently, some disconnect
/// in mid-stream, and the engines crash one after another.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn crossed_and_abandoned_streams_stay_apart() {
    const CALLERS: usize = 6;
    let deployment = &Deployment::start(plan()).await;
    let entries = [deployment.entry(0), deployment.entry(1)];
    let callers = (0..CALLERS).map(|caller_number| async move {
        let mut streams = Vec::new();
        for number in 0..8 {
            let prompt = format!("lane {caller_number} number {number}");
            let entry = entries[(caller_number + number) % 2];
            let mut stream = deployment.caller.stream(entry, &prompt, 40).await;
            if (caller_number + number) % 3 == 0 {
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
        for index in deployment.members_of(MemberKind::Engine) {
            tokio::time::sleep(Duration::from_millis(800)).await;
            let engine = deployment.members[index].engine.as_ref().expect("an engine");
            engine.set_faults(EngineFaults { crash: true, ..EngineFaults::default() });
            crashed += 1;
            wait_until("the engine is back", || engine.live().is_some()).await;
        }
        crashed
    };
    let (streams, crashed) = tokio::join!(join_all(callers), crashes);
    let streams: Vec<LiveStream> = streams.into_iter().flatten().collect();
    let is_violation = |stream: &&LiveStream| {
        let whole_or_explicit = stream.is_whole() || stream.ended_explicitly();
        !whole_or_explicit || !stream.is_one_version()
    };
    let bad: Vec<String> = streams.iter().filter(is_violation).map(LiveStream::describe).collect();
    let whole = streams.iter().filter(|stream| stream.is_whole()).count();
    print_figures("P2 crossed streams", crashed, streams.len() as u64, bad.len() as u64);
    assert!(bad.is_empty(), "{bad:#?}");
    assert!(whole > 0);
}
