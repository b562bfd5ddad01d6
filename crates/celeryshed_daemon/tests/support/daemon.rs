//! A process of `celeryshedd`.

use std::fs::File;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::time::Duration;

use rustix::process::{Pid, Signal, kill_process};
use tokio::time::{Instant, sleep};

/// Lines of a log that are printed when a test fails.
const PRINTED_LINES: usize = 60;

/// Signals that the tests send.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DaemonSignal {
    /// SIGTERM.
    Terminate,
    /// SIGSTOP.
    Pause,
    /// SIGCONT.
    Continue,
    /// SIGHUP.
    Hangup,
}

/// A daemon process, killed on drop.
pub struct Daemon {
    /// Name in messages of failed assertions.
    pub name: String,
    child: Child,
    log: PathBuf,
}

impl Daemon {
    /// Starts `celeryshedd ROLE --settings FILE`; settings and output are files in `directory`.
    pub fn start(directory: &Path, role: &str, name: &str, settings: &str) -> Self {
        let command = Command::new(env!("CARGO_BIN_EXE_celeryshedd"));
        Self::start_with(command, directory, role, name, settings)
    }

    /// Starts a daemon whose files may not grow, as if its log had reached the largest size.
    pub fn start_with_full_log(directory: &Path, role: &str, name: &str, settings: &str) -> Self {
        let mut command = Command::new("sh");
        command.args(["-c", "ulimit -S -f 0 && exec \"$0\" \"$@\""]);
        command.arg(env!("CARGO_BIN_EXE_celeryshedd"));
        Self::start_with(command, directory, role, name, settings)
    }

    fn start_with(
        mut command: Command,
        directory: &Path,
        role: &str,
        name: &str,
        settings: &str,
    ) -> Self {
        let file = directory.join(format!("{name}.ini"));
        std::fs::write(&file, settings).expect("the settings file can be written");
        let log = (0..)
            .map(|number| directory.join(format!("{name}.{number}.log")))
            .find(|path| !path.exists())
            .expect("an unused log number exists");
        let output = File::create(&log).expect("the log file can be created");
        let error_output = output.try_clone().expect("the log file can be shared");
        let child = command
            .arg(role)
            .arg("--settings")
            .arg(&file)
            .stdin(Stdio::null())
            .stdout(output)
            .stderr(error_output)
            .spawn()
            .expect("the daemon can be started");
        Self { name: name.to_owned(), child, log }
    }

    /// Sends a signal.
    pub fn signal(&self, signal: DaemonSignal) {
        let signal = match signal {
            DaemonSignal::Terminate => Signal::TERM,
            DaemonSignal::Pause => Signal::STOP,
            DaemonSignal::Continue => Signal::CONT,
            DaemonSignal::Hangup => Signal::HUP,
        };
        kill_process(Pid::from_child(&self.child), signal).expect("the signal can be sent");
    }

    /// Kills the process with SIGKILL and waits for its end.
    pub fn kill(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }

    /// Exit code, -1 after a signal; `None` while the process runs.
    pub fn exit_code(&mut self) -> Option<i32> {
        let status = self.child.try_wait().expect("the daemon's state can be read");
        status.map(|status| status.code().unwrap_or(-1))
    }

    /// Waits for the exit and returns the exit code; panics after `limit`.
    pub async fn wait_exit(&mut self, limit: Duration) -> i32 {
        let deadline = Instant::now() + limit;
        loop {
            if let Some(code) = self.exit_code() {
                return code;
            }
            assert!(Instant::now() < deadline, "{} still runs after {limit:?}", self.name);
            sleep(Duration::from_millis(20)).await;
        }
    }

    /// Standard output and standard error so far.
    pub fn output(&self) -> String {
        std::fs::read_to_string(&self.log).unwrap_or_default()
    }
}

impl Drop for Daemon {
    fn drop(&mut self) {
        self.kill();
        if std::thread::panicking() {
            print_log(&self.name, &self.output());
        }
    }
}

#[allow(clippy::print_stderr, reason = "the log explains the failure")]
fn print_log(name: &str, log: &str) {
    let lines: Vec<&str> = log.lines().collect();
    eprintln!("--- log of {name}, last {PRINTED_LINES} of {} lines", lines.len());
    for line in &lines[lines.len().saturating_sub(PRINTED_LINES)..] {
        eprintln!("{line}");
    }
}
