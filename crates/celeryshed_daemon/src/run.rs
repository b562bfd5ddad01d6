//! Runs a role until a termination signal, then drains it.

use std::process::ExitCode;

use celeryshed_entry::role::EntryRole;
use celeryshed_observe::{EventLine, install_logging};
use celeryshed_server::TerminationSignal;
use celeryshed_settings::{EntrySettings, SettingsError, SideSettings};
use celeryshed_side::role::SideRole;
use eyre::{Result, WrapErr};

use crate::args::{DaemonArgs, RoleCommand};

/// Result of a daemon run, which sets the exit code.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ExitStatus {
    /// The role has drained after a signal; exit code 0.
    Done,
    /// The settings are invalid and nothing was started; exit code 2.
    WrongSettings,
}

impl From<ExitStatus> for ExitCode {
    fn from(status: ExitStatus) -> Self {
        match status {
            ExitStatus::Done => Self::SUCCESS,
            ExitStatus::WrongSettings => Self::from(2),
        }
    }
}

/// Loads the role's settings and runs the role until SIGTERM or SIGINT.
pub fn run(args: DaemonArgs) -> Result<ExitStatus> {
    install_logging(args.log_level)?;
    match args.role {
        RoleCommand::Entry(role) => match EntrySettings::load(&role.settings) {
            Ok(settings) => block_on(run_entry(settings)),
            Err(error) => Ok(wrong_settings(&error)),
        },
        RoleCommand::Side(role) => match SideSettings::load(&role.settings) {
            Ok(settings) => block_on(run_side(settings)),
            Err(error) => Ok(wrong_settings(&error)),
        },
    }
}

#[allow(
    clippy::print_stderr,
    reason = "the operator at the terminal needs one line for each settings fault"
)]
fn wrong_settings(error: &SettingsError) -> ExitStatus {
    eprintln!("{error}");
    ExitStatus::WrongSettings
}

fn block_on(role: impl Future<Output = Result<ExitStatus>>) -> Result<ExitStatus> {
    let mut builder = tokio::runtime::Builder::new_multi_thread();
    let runtime = builder.enable_all().build().wrap_err("the runtime can't be started")?;
    runtime.block_on(role)
}

async fn run_entry(settings: EntrySettings) -> Result<ExitStatus> {
    let mut signal = TerminationSignal::install().wrap_err("signal handlers can't be installed")?;
    let role = EntryRole::launch(&settings).await?;
    let name = signal.wait().await;
    log_drain("entry", name);
    role.drain().await;
    EventLine::new("stopped").field("role", "entry").info();
    Ok(ExitStatus::Done)
}

async fn run_side(settings: SideSettings) -> Result<ExitStatus> {
    let mut signal = TerminationSignal::install().wrap_err("signal handlers can't be installed")?;
    let role = SideRole::launch(&settings).await?;
    let name = signal.wait().await;
    log_drain("side", name);
    role.drain().await;
    EventLine::new("stopped").field("role", "side").info();
    Ok(ExitStatus::Done)
}

fn log_drain(role: &str, signal: &str) {
    EventLine::new("drain_started").field("role", role).field("signal", signal).info();
}
