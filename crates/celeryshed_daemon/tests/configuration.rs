//! P7: an accepted configuration is in force in every process within 13 s and never reverts.

mod support;

use std::collections::BTreeMap;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use celeryshed_core::configuration::ChangeOutcome;
use celeryshed_standin::Outage;
use celeryshed_standin::platform::LogFaults;
use futures::future::join_all;
use serde_json::Value;
use support::{
    Caller, DaemonSignal, Deployment, DeploymentPlan, MemberKind, contract, print_figures,
    wait_for_value,
};
use tokio::task::JoinHandle;
use tokio::time::{Instant, sleep};

/// Limit that P7 states.
const IN_FORCE_LIMIT: Duration = Duration::from_secs(13);

/// Time beyond the limit that a busy machine may need.
const MARGIN: Duration = Duration::from_secs(5);

/// Three entries and two plain services, with the pause between polls and reports that production
/// uses.
fn plan() -> DeploymentPlan {
    DeploymentPlan {
        entries: 3,
        plain_services: 2,
        pause: Duration::from_secs(2),
        ..DeploymentPlan::default()
    }
}

/// Polls `/status` of every process and records revisions that decrease within one incarnation.
struct RevisionWatch {
    log: Arc<Mutex<RevisionLog>>,
    task: JoinHandle<()>,
}

#[derive(Default)]
struct RevisionLog {
    highest: BTreeMap<String, u64>,
    status_replies: u64,
    reverts: Vec<String>,
}

impl RevisionWatch {
    fn start(deployment: &Deployment) -> Self {
        let addresses: Vec<_> = deployment.members.iter().map(|member| member.listen).collect();
        let caller = deployment.caller.clone();
        let log = Arc::new(Mutex::new(RevisionLog::default()));
        let task_log = Arc::clone(&log);
        let task = tokio::spawn(async move {
            loop {
                for address in &addresses {
                    if let Some((_, text)) = caller.get(*address, "/status").await {
                        task_log.lock().expect("no panic with the lock").record_status(&text);
                    }
                }
                sleep(Duration::from_millis(50)).await;
            }
        });
        Self { log, task }
    }

    fn check(self, promise: &str, faults: u64) {
        self.task.abort();
        let log = self.log.lock().expect("no panic with the lock");
        print_figures(promise, faults, log.status_replies, log.reverts.len() as u64);
        assert!(log.reverts.is_empty(), "{:#?}", log.reverts);
        assert!(log.status_replies > 0);
    }
}

impl RevisionLog {
    fn record_status(&mut self, status: &str) {
        let status: Value = serde_json::from_str(status).unwrap_or_default();
        let Some(incarnation) = status["incarnation"].as_str() else { return };
        self.status_replies += 1;
        let known = self.highest.get(incarnation).copied();
        match (known, status["revision"].as_u64()) {
            (None, None) => {}
            (Some(known), None) => self.reverts.push(format!("{status}: {known} was known")),
            (known, Some(now)) => {
                if known.is_some_and(|known| now < known) {
                    self.reverts.push(format!("{status}: {known:?} was known"));
                }
                self.highest.insert(incarnation.to_owned(), now);
            }
        }
    }
}

/// Waits until every process has `revision` or a later one; the limit counts from this call.
/// Returns the time waited.
async fn wait_in_force(deployment: &Deployment, revision: u64) -> Duration {
    let started = Instant::now();
    loop {
        let revisions = deployment.members.iter();
        let revisions = revisions.map(|member| deployment.caller.revision(member.listen));
        let revisions = join_all(revisions).await;
        if revisions.iter().all(|known| known.is_some_and(|known| known >= revision)) {
            return started.elapsed();
        }
        let elapsed = started.elapsed();
        assert!(elapsed < IN_FORCE_LIMIT + MARGIN, "{revision} after {elapsed:?}: {revisions:?}");
        sleep(Duration::from_millis(50)).await;
    }
}

/// Guards against a lost or duplicate change, and against processes with different revisions, when
/// operators publish at the same time.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn racing_publishers() {
    const PUBLISHERS: usize = 6;
    let deployment = Deployment::start(plan()).await;
    let watch = RevisionWatch::start(&deployment);
    let before = deployment.publisher().catch_up().await.expect("a configuration").revision.0;
    let races = (0..PUBLISHERS).map(|number| {
        let mut publisher = deployment.publisher();
        async move {
            let team = format!("racer-{number}");
            let verdict = publisher.publish(contract(&team, "order-desk", 0)).await;
            verdict.expect("a verdict").outcome
        }
    });
    let outcomes = join_all(races).await;
    let mut accepted: Vec<u64> = outcomes
        .iter()
        .filter_map(|outcome| match outcome {
            ChangeOutcome::Accepted(revision) => Some(revision.0),
            ChangeOutcome::Refused(_) => None,
        })
        .collect();
    accepted.sort_unstable();
    let expected: Vec<u64> = (before + 1..=before + accepted.len() as u64).collect();
    assert_eq!(accepted, expected, "{outcomes:?}");
    let newest = before + accepted.len() as u64;
    let took = wait_in_force(&deployment, newest).await;
    let config = deployment.publisher().catch_up().await.expect("a configuration").revision.0;
    assert_eq!(config, newest);
    watch.check(&format!("P7 racing publishers, in force after {took:?}"), PUBLISHERS as u64);
}

/// Guards against a change that one entry has read and that the other processes miss during an
/// outage of the log.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn log_outage_just_after_acceptance() {
    let mut deployment = Deployment::start(plan()).await;
    let watch = RevisionWatch::start(&deployment);
    let log = deployment.log.control();
    let set = |outage| log.set_faults(LogFaults { outage, ..LogFaults::default() });
    let revision = deployment.publish(contract("late", "order-desk", 0)).await;
    wait_for_value("one entry has read the change", || async {
        for entry in deployment.members_of(MemberKind::Entry) {
            if deployment.caller.revision(deployment.entry(entry)).await == Some(revision) {
                return Some(());
            }
        }
        None
    })
    .await;
    set(Outage::Cut);
    let during = wait_in_force(&deployment, revision).await;
    // A new process gets the revision from its peers, without the log.
    let fresh = deployment.add_member(MemberKind::Entry, 9).await;
    let learned = wait_in_force(&deployment, revision).await;
    let address = deployment.members[fresh].listen;
    assert_eq!(deployment.caller.get(address, "/readyz").await.map(|reply| reply.0), Some(200));
    set(Outage::None);
    let next = deployment.publish(contract("after", "order-desk", 0)).await;
    let healed = wait_in_force(&deployment, next).await;
    watch.check(
        &format!("P7 outage: {during:?} without the log, fresh {learned:?}, healed {healed:?}"),
        2,
    );
}

/// Guards against a change that no process has read before an outage of the log: once the log
/// replies again, the change must be in force within the limit.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn log_outage_before_anyone_has_read_the_change() {
    let deployment = Deployment::start(plan()).await;
    let watch = RevisionWatch::start(&deployment);
    let log = deployment.log.control();
    let revision = deployment.publish(contract("unread", "order-desk", 0)).await;
    log.set_faults(LogFaults { outage: Outage::Stalled, ..LogFaults::default() });
    sleep(Duration::from_secs(3)).await;
    log.set_faults(LogFaults::default());
    let took = wait_in_force(&deployment, revision).await;
    watch.check(&format!("P7 stalled log, in force {took:?} after healing"), 1);
}

/// Guards against a revision that is lost when every process has been replaced.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn every_process_is_replaced() {
    let plan = DeploymentPlan { entries: 2, plain_services: 1, ..DeploymentPlan::default() };
    let mut deployment = Deployment::start(plan).await;
    let revision = deployment.publish(contract("kept", "order-desk", 0)).await;
    wait_in_force(&deployment, revision).await;
    let watch = RevisionWatch::start(&deployment);
    let count = deployment.members.len();
    for index in 0..count {
        deployment.members[index].daemon.kill();
        deployment.restart(index);
        wait_in_force(&deployment, revision).await;
    }
    deployment.wait_serving().await;
    watch.check("P7 every process replaced", count as u64);
}

/// Guards against a paused process that sends its old state to others when it continues.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn paused_entry_catches_up() {
    let deployment = Deployment::start(DeploymentPlan {
        entries: 2,
        plain_services: 1,
        ..DeploymentPlan::default()
    })
    .await;
    let watch = RevisionWatch::start(&deployment);
    let paused = &deployment.members[0].daemon;
    paused.signal(DaemonSignal::Pause);
    for number in 0..3 {
        deployment.publish(contract(&format!("pause-{number}"), "order-desk", 0)).await;
    }
    let newest = deployment.publisher().catch_up().await.expect("a configuration").revision.0;
    wait_for_value("the running entry follows", || async {
        let known = deployment.caller.revision(deployment.entry(1)).await;
        (known == Some(newest)).then_some(())
    })
    .await;
    paused.signal(DaemonSignal::Continue);
    wait_in_force(&deployment, newest).await;
    watch.check("P7 paused entry", 1);
}

/// Guards against a single process that serves requests without a configuration.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn lone_process_serves_nothing_without_the_log() {
    let plan = DeploymentPlan { entries: 1, ..DeploymentPlan::default() };
    let mut deployment = Deployment::start_processes(plan).await;
    let log = deployment.log.control();
    log.set_faults(LogFaults { outage: Outage::Cut, ..LogFaults::default() });
    deployment.members[0].daemon.kill();
    deployment.restart(0);
    let address = deployment.entry(0);
    let caller: &Caller = &deployment.caller;
    let (status, reason) =
        wait_for_value("readyz answers", async || caller.get(address, "/readyz").await).await;
    assert_eq!((status, reason.as_str()), (503, "starting: no configuration is known yet\n"));
    assert_eq!(caller.revision(address).await, None);
    let mut stream = caller.stream(address, "too early", 1).await;
    stream.finish().await;
    assert!(stream.is_refused_as_not_run(), "{}", stream.describe());
    deployment.log.control().set_faults(LogFaults::default());
    wait_in_force(&deployment, 0).await;
    print_figures("P7 lone process", 1, 1, 0);
}
