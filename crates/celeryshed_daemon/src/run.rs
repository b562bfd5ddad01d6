//! Runs a role until a signal ends it.

use std::process::ExitCode;

use celeryshed_entry::role::EntryRole;
use celeryshed_observe::{EventLine, install_logging};
use celeryshed_server::TerminationSignal;
use celeryshed_settings::{EntrySettings, SettingsError, SideSettings};
use celeryshed_side::role::SideRole;
use eyre::{Result, WrapErr};

use crate::args::{DaemonArgs, RoleCommand};

/// How the daemon ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ExitStatus {
    /// Drained after a signal.
    Done,
    /// The settings are wrong; nothing was started.
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

/// Runs the daemon.
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

#[allow(clippy::print_stderr, reason = "the operator at the terminal needs every fault on a line")]
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
    let mut signal = TerminationSignal::install().wrap_err("signals can't be taken over")?;
    let role = EntryRole::launch(&settings).await?;
    let name = signal.wait().await;
    log_drain("entry", name);
    role.drain().await;
    EventLine::new("stopped").field("role", "entry").info();
    Ok(ExitStatus::Done)
}

async fn run_side(settings: SideSettings) -> Result<ExitStatus> {
    let mut signal = TerminationSignal::install().wrap_err("signals can't be taken over")?;
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
