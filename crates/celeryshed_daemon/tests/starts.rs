//! Failing starts, an unreachable platform, and invalid request bodies.

mod support;

use std::net::TcpListener;
use std::time::Duration;

use celeryshed_standin::Outage;
use celeryshed_standin::platform::{ListFaults, LogFaults};
use serde_json::json;
use support::{
    Daemon, Deployment, DeploymentPlan, WAIT_LIMIT, free_address, role_settings, wait_for_value,
};
use tempfile::TempDir;

/// Valid settings of an entry; no platform service listens on the addresses.
fn entry_lines() -> Vec<(&'static str, &'static str, String)> {
    vec![
        ("instance", "name", "entry-0".to_owned()),
        ("instance", "zone", "puget-a".to_owned()),
        ("instance", "region", "puget".to_owned()),
        ("instance", "listen", free_address().to_string()),
        ("platform", "log_url", format!("http://{}", free_address())),
        ("platform", "list_url", format!("http://{}", free_address())),
    ]
}

/// Guards against a daemon that starts with invalid settings, or whose error message doesn't name
/// file, section, key, value and the accepted values.
#[tokio::test]
async fn wrong_settings_end_with_code_2() {
    let directory = TempDir::new().expect("a temporary directory");
    let cases = [
        ("entry", ("instance", "listen", "localhost"), "[instance], key listen: \"localhost\""),
        ("entry", ("instance", "name", ""), "[instance], key name: missing"),
        ("entry", ("platform", "log_url", "ftp://x"), "[platform], key log_url: \"ftp://x\""),
        ("entry", ("configuration", "poll_ms", "0"), "[configuration], key poll_ms: \"0\""),
        ("entry", ("bookings", "window_s", "90000"), "[bookings], key window_s: \"90000\""),
        ("entry", ("bookings", "windows", "1"), "[bookings], key windows: \"1\""),
        ("entry", ("extra", "key", "1"), "section [extra]"),
        ("side", ("endpoint", "slots", "many"), "[endpoint], key slots: \"many\""),
        ("side", ("weights", "weighing", "speed"), "[weights], key weighing: \"speed\""),
    ];
    for (number, (role, (section, key, value), expected)) in cases.into_iter().enumerate() {
        let mut lines = entry_lines();
        lines.push((section, key, value.to_owned()));
        let name = format!("case-{number}");
        let mut daemon = Daemon::start(directory.path(), role, &name, &role_settings(&lines));
        assert_eq!(daemon.wait_exit(WAIT_LIMIT).await, 2, "{expected}: {}", daemon.output());
        let output = daemon.output();
        assert!(output.contains(expected), "{expected}: {output}");
        assert!(output.contains(&format!("{name}.ini")), "{output}");
        assert!(output.contains("accepted: "), "{output}");
    }
}

/// Guards against a process that keeps running although its address is already in use.
#[tokio::test]
async fn occupied_port_ends_with_code_1() {
    let directory = TempDir::new().expect("a temporary directory");
    let lines = entry_lines();
    let (_, _, address) = &lines[3];
    let _occupier = TcpListener::bind(address).expect("a free address");
    let settings = role_settings(&lines);
    let mut daemon = Daemon::start(directory.path(), "entry", "occupied", &settings);
    assert_eq!(daemon.wait_exit(WAIT_LIMIT).await, 1, "{}", daemon.output());
    let output = daemon.output();
    assert!(output.contains(&format!("can't listen on {address}")), "{output}");
}

/// Guards against a process that accepts requests, or exits, while the platform is unreachable.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn unreachable_platform_is_reported_by_readyz() {
    let directory = TempDir::new().expect("a temporary directory");
    let lines = entry_lines();
    let address = lines[3].2.parse().expect("an address");
    let settings = role_settings(&lines);
    let mut daemon = Daemon::start(directory.path(), "entry", "alone", &settings);
    let caller = support::Caller::new("key-portal");
    let (status, reason) =
        wait_for_value("readyz answers", async || caller.get(address, "/readyz").await).await;
    assert_eq!((status, reason.as_str()), (503, "starting: no configuration is known yet\n"));
    assert_eq!(caller.revision(address).await, None);
    let (status, health) = caller.get(address, "/healthz").await.expect("healthz");
    assert_eq!((status, health.as_str()), (200, "ok\n"));
    daemon.signal(support::DaemonSignal::Terminate);
    assert_eq!(daemon.wait_exit(WAIT_LIMIT).await, 0);
}

/// Guards against a process that a hangup of its terminal ends, or a log that has reached the largest
/// size that the system allows.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn hangup_or_full_log_ends_the_process() {
    let directory = TempDir::new().expect("a temporary directory");
    let lines = entry_lines();
    let address = lines[3].2.parse().expect("an address");
    let settings = role_settings(&lines);
    let mut daemon = Daemon::start_with_full_log(directory.path(), "entry", "full", &settings);
    let caller = support::Caller::new("key-portal");
    let health = async || caller.get(address, "/healthz").await;
    assert_eq!(wait_for_value("healthz answers", health).await.0, 200);
    daemon.signal(support::DaemonSignal::Hangup);
    // Requests are logged, too.
    assert_eq!(wait_for_value("healthz answers again", health).await.0, 200);
    daemon.signal(support::DaemonSignal::Terminate);
    assert_eq!(daemon.wait_exit(WAIT_LIMIT).await, 0);
}

/// Guards against invalid bodies that end a connection or a process, or are refused without a
/// problem document.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn bad_bodies_get_a_problem() {
    let deployment =
        Deployment::start(DeploymentPlan { entries: 1, engines: 1, ..DeploymentPlan::default() })
            .await;
    let entry = deployment.entry(0);
    let path = "/v1/completions";
    let large = "x".repeat(17 << 20);
    let completion = |max_tokens| {
        json!({ "model": "copywriter", "prompt": "p", "max_tokens": max_tokens }).to_string()
    };
    let cases = [
        ("no JSON", path, "{".to_owned(), 400),
        ("empty", path, String::new(), 400),
        ("another type", path, "[1, 2]".to_owned(), 400),
        ("no model", path, json!({ "prompt": "p" }).to_string(), 400),
        ("no token", path, completion(0), 400),
        ("negative", path, completion(-1), 400),
        ("too many tokens", path, completion(1 << 30), 400),
        ("no messages", "/v1/chat/completions", json!({ "model": "copywriter" }).to_string(), 400),
        ("unknown model", path, json!({ "model": "none", "prompt": "p" }).to_string(), 404),
        ("unknown service", "/services/none/x", "{}".to_owned(), 404),
        ("too large", path, large, 400),
    ];
    for (case, path, body, expected) in cases {
        let (status, problem) = deployment.caller.post(entry, path, &body).await;
        assert_eq!(status, expected, "{case}: {problem}");
        assert_eq!(problem["not_run"], json!(true), "{case}: {problem}");
    }
    let (status, problem) =
        support::Caller::new("key-of-nobody").post(entry, path, &completion(1)).await;
    assert_eq!((status, &problem["not_run"]), (401, &json!(true)), "{problem}");
    let whole = deployment.caller.complete(entry, "still serving", 3).await;
    assert!(whole.is_whole(), "{}", whole.describe());
}

/// Guards against completions that fail while the list and the log are unavailable.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn completions_succeed_without_log_and_list() {
    let deployment =
        Deployment::start(DeploymentPlan { engines: 1, ..DeploymentPlan::default() }).await;
    let log = LogFaults { outage: Outage::Cut, ..LogFaults::default() };
    deployment.log.control().set_faults(log);
    let list = ListFaults { outage: Outage::Cut, ..ListFaults::default() };
    deployment.list.control().set_faults(list);
    tokio::time::sleep(Duration::from_secs(2)).await;
    for entry in [0, 1] {
        let whole = deployment.caller.complete(deployment.entry(entry), "outage", 10).await;
        assert!(whole.is_whole(), "{}", whole.describe());
    }
}
