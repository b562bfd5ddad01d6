//! Runs the command that the arguments select.

use std::process::ExitCode;

use celeryshed_observe::install_logging;
use celeryshed_settings::SettingsError;
use eyre::{Result, WrapErr};

use crate::args::{
    ConfigCommand, ContractCommand, MeasureCommand, ModelCommand, OperatorArgs, OperatorCommand,
    ReportCommand,
};
use crate::commands;

/// Result of a command, which sets the exit code.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ExitStatus {
    /// The command succeeded; exit code 0.
    Done,
    /// The command was refused or failed; exit code 1.
    Failed,
    /// A file is invalid and nothing was done; exit code 2.
    WrongSettings,
}

impl From<ExitStatus> for ExitCode {
    fn from(status: ExitStatus) -> Self {
        match status {
            ExitStatus::Done => Self::SUCCESS,
            ExitStatus::Failed => Self::FAILURE,
            ExitStatus::WrongSettings => Self::from(2),
        }
    }
}

/// Runs a command, which writes its results to standard output.
pub fn run(args: OperatorArgs) -> Result<ExitStatus> {
    install_logging(args.log_level)?;
    let mut builder = tokio::runtime::Builder::new_multi_thread();
    let runtime = builder.enable_all().build().wrap_err("the runtime can't be started")?;
    let result = runtime.block_on(run_command(args.command));
    // Background calls that still run must not delay the exit.
    runtime.shutdown_background();
    match result {
        Err(report) if report.downcast_ref::<SettingsError>().is_some() => {
            print_settings_error(&report);
            Ok(ExitStatus::WrongSettings)
        }
        result => result,
    }
}

#[allow(clippy::print_stderr, reason = "errors of a command line go to the terminal")]
fn print_settings_error(report: &eyre::Report) {
    eprintln!("{report}");
}

async fn run_command(command: OperatorCommand) -> Result<ExitStatus> {
    match command {
        OperatorCommand::Contract(ContractCommand::Publish { file, log }) => {
            commands::contract::publish(&file, &log).await
        }
        OperatorCommand::Contract(ContractCommand::Show { log }) => {
            commands::contract::show(&log).await
        }
        OperatorCommand::Contract(ContractCommand::HashKey) => commands::contract::hash_key(),
        OperatorCommand::Model(ModelCommand::Publish(args)) => {
            commands::model::publish(&args).await
        }
        OperatorCommand::Config(ConfigCommand::Show { processes }) => {
            commands::config::show(&processes).await
        }
        OperatorCommand::Check(args) => commands::check::check(&args),
        OperatorCommand::Report(ReportCommand::Burn { entries, format }) => {
            commands::burn::report(&entries, format).await
        }
        OperatorCommand::Measure(MeasureCommand::Spread(args)) => {
            commands::measure::spread(&args).await
        }
        OperatorCommand::Measure(MeasureCommand::Scarcity(args)) => {
            commands::measure::scarcity(&args).await
        }
        OperatorCommand::Measure(MeasureCommand::Overload(args)) => {
            commands::measure::overload(&args).await
        }
        OperatorCommand::Measure(MeasureCommand::Slopes(args)) => {
            commands::measure::slopes(&args).await
        }
        OperatorCommand::Drill(args) => commands::drill::run(&args).await,
        OperatorCommand::Standin(args) => commands::standin::run(&args).await,
        OperatorCommand::Demo(args) => commands::demo::run(&args).await,
    }
}
