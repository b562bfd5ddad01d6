//! Tests the binary `celeryshed` as a separate process: exit codes, messages, printed verdicts and
//! reports about unreachable processes.

use std::io::Write;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::{Command, Output, Stdio};

use celeryshed_standin::platform::{
    BlobOptions, LogOptions, RawBlobOptions, RunningBlobs, RunningLog,
};
use tempfile::TempDir;

const BINARY: &str = env!("CARGO_BIN_EXE_celeryshed");

fn run(args: &[&str]) -> Output {
    Command::new(BINARY).args(args).stdin(Stdio::null()).output().expect("the binary runs")
}

fn stdout(output: &Output) -> String {
    String::from_utf8_lossy(&output.stdout).into_owned()
}

fn stderr(output: &Output) -> String {
    String::from_utf8_lossy(&output.stderr).into_owned()
}

fn examples() -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("../../examples")
}

fn any_port() -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 0))
}

fn write_file(folder: &TempDir, name: &str, text: &str) -> String {
    let path = folder.path().join(name);
    std::fs::write(&path, text).expect("a file in the temporary folder");
    path.to_string_lossy().into_owned()
}

#[test]
fn every_example_file_is_accepted() {
    let mut checked = 0;
    for deployment in ["hinokage", "coca"] {
        for file in std::fs::read_dir(examples().join(deployment)).expect("examples") {
            let path = file.expect("an entry").path();
            let name = path.file_name().expect("a name").to_string_lossy().into_owned();
            let kind = match name.split(['-', '.']).next() {
                Some("entry") => "entry",
                Some("side") => "side",
                Some("standins") => "standin",
                _ => "contract",
            };
            let output = run(&["check", "--kind", kind, &path.to_string_lossy()]);
            assert!(output.status.success(), "{}", stderr(&output));
            checked += 1;
        }
    }
    assert_eq!(checked, 48);
}

#[test]
fn invalid_arguments_and_files_end_with_code_2() {
    let folder = TempDir::new().expect("a folder");
    let file = write_file(&folder, "entry.ini", "[instance]\nname = a b\n");
    let output = run(&["check", "--kind", "entry", &file]);
    assert_eq!(output.status.code(), Some(2));
    assert!(stderr(&output).contains("section [instance], key name: \"a b\""));
    assert!(output.stdout.is_empty());
    assert_eq!(run(&["contract", "publish"]).status.code(), Some(2));
    let missing = run(&["check", "--kind", "side", "/nonexistent/side.ini"]);
    assert_eq!(missing.status.code(), Some(2));
    assert!(stderr(&missing).contains("/nonexistent/side.ini: can't be read"));
}

#[test]
fn hash_key_reads_standard_input() {
    let mut child = Command::new(BINARY)
        .args(["contract", "hash-key"])
        .stdin(Stdio::piped())
        .stdout(Stdio::piped())
        .spawn()
        .expect("the binary runs");
    let mut stdin = child.stdin.take().expect("a pipe");
    stdin.write_all(b"secret\n").expect("written");
    drop(stdin);
    let output = child.wait_with_output().expect("it ends");
    let expected = celeryshed_base::ContentDigest::of(b"secret").to_string();
    assert_eq!(stdout(&output).trim(), expected);
    assert_eq!(run(&["contract", "hash-key"]).status.code(), Some(1));
}

#[tokio::test(flavor = "multi_thread")]
async fn publish_prints_verdicts_and_show_prints_the_configuration() {
    let log = RunningLog::launch(LogOptions::default(), any_port()).await.expect("the log");
    let url = format!("http://{}", log.address());
    let contracts = examples().join("hinokage/contracts.ini");
    let contracts = contracts.to_string_lossy();
    let first = run(&["contract", "publish", &contracts, "--log-url", &url]);
    assert!(first.status.success(), "{}", stderr(&first));
    assert!(stdout(&first).contains("contract proof-archive: accepted as revision 13"));
    let again = run(&["contract", "publish", &contracts, "--log-url", &url]);
    assert!(again.status.success());
    assert!(stdout(&again).lines().all(|line| line.ends_with(": unchanged")));
    let folder = TempDir::new().expect("a folder");
    let text = format!(
        "[contract greedy]\nservice = copywriter\napi_key_hash = {}\ntokens_per_s = 5000\n\
         requests_in_progress = 1\n",
        "cd".repeat(32),
    );
    let file = write_file(&folder, "greedy.ini", &text);
    let refused = run(&["contract", "publish", &file, "--log-url", &url]);
    assert_eq!(refused.status.code(), Some(1));
    assert_eq!(
        stdout(&refused),
        "contract greedy: refused: contracts reserve 9900 tokens/s of copywriter, its endpoints \
         generate 6000\n"
    );
    let shown = stdout(&run(&["contract", "show", "--log-url", &url]));
    assert!(shown.starts_with("revision 13\n"), "{shown}");
    assert!(!shown.contains("greedy"));
    log.stop().await;
}

#[tokio::test(flavor = "multi_thread")]
async fn model_publish_uploads_and_selects() {
    let log = RunningLog::launch(LogOptions::default(), any_port()).await.expect("the log");
    let options = BlobOptions::try_from(RawBlobOptions::origin()).expect("options");
    let origin = RunningBlobs::launch(options, any_port()).await.expect("the origin");
    let log_url = format!("http://{}", log.address());
    let origin_url = format!("http://{}", origin.address());
    let contracts = examples().join("coca/contracts.ini");
    run(&["contract", "publish", &contracts.to_string_lossy(), "--log-url", &log_url]);
    let folder = TempDir::new().expect("a folder");
    let weights = write_file(&folder, "weights.bin", &"weights ".repeat(10_000));
    let args = ["model", "publish", &weights, "--model", "casting", "--version", "v1"];
    let addresses = ["--chunk-kib", "16", "--origin-url", &origin_url, "--log-url", &log_url];
    let output = run(&[&args[..], &addresses[..], &["--select", "drafter"][..]].concat());
    assert!(output.status.success(), "{}", stderr(&output));
    assert!(stdout(&output).contains("select drafter v1: accepted as revision 15"));
    // 80,000 bytes make five chunks, four of them identical; the manifest is the sixth upload.
    assert_eq!(origin.control().counts().puts, 6);
    let unknown = run(&[&args[..], &addresses[..], &["--select", "nobody"][..]].concat());
    assert_eq!(unknown.status.code(), Some(1));
    assert!(stdout(&unknown).contains("select nobody v1: refused: service nobody does not exist"));
    origin.stop().await;
    log.stop().await;
}

#[test]
fn unreachable_platform_and_processes_are_named() {
    let url = "http://127.0.0.1:9";
    let contracts = examples().join("coca/contracts.ini");
    let show = run(&["config", "show", "127.0.0.1:9"]);
    assert_eq!(show.status.code(), Some(1));
    assert!(stdout(&show).contains("127.0.0.1:9  not reached"), "{}", stdout(&show));
    let burn = run(&["report", "burn", "127.0.0.1:9", "--format", "csv"]);
    assert_eq!(burn.status.code(), Some(1));
    assert!(stdout(&burn).starts_with("team,window_s,requests,bad,"));
    assert!(stdout(&burn).contains("# not reached, its requests are missing: 127.0.0.1:9"));
    let bad_url = run(&["contract", "show", "--log-url", "ftp://x"]);
    assert_eq!(bad_url.status.code(), Some(1));
    assert!(stderr(&bad_url).contains("--log-url is not accepted"), "{}", stderr(&bad_url));
    let publish = run(&[
        "contract",
        "publish",
        &contracts.to_string_lossy(),
        "--log-url",
        url,
        "--timeout-s",
        "1",
    ]);
    assert_eq!(publish.status.code(), Some(1));
    assert!(stderr(&publish).contains("the configuration can't be read from the log"));
}

/// Guards against a drill that keeps records of after the copy, and against a drill that is
/// reported as started where nothing listens.
#[tokio::test(flavor = "multi_thread")]
async fn drill_takes_back_records_of_the_log() {
    let log = RunningLog::launch(LogOptions::default(), any_port()).await.expect("the log");
    let url = format!("http://{}", log.address());
    let contracts = examples().join("hinokage/contracts.ini");
    let contracts = contracts.to_string_lossy();
    let published = run(&["contract", "publish", &contracts, "--log-url", &url]);
    assert!(published.status.success(), "{}", stderr(&published));
    let before = log.control().counts();
    assert!(before.end_offsets.values().any(|end| end.0 > 0), "{before:?}");
    let output = run(&["drill", "--log-url", &url, "--copy-age-ms", "600000"]);
    assert!(output.status.success(), "{}", stderr(&output));
    let after = log.control().counts();
    assert!(after.end_offsets.values().all(|end| end.0 == 0), "{after:?}");
    assert_eq!(after.era, 1);
    log.stop().await;
    let output = run(&["drill", "--log-url", &url, "--copy-age-ms", "600000"]);
    assert_eq!(output.status.code(), Some(1));
    assert!(stderr(&output).contains("accepted no faults"), "{}", stderr(&output));
}
