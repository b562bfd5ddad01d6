//! `celeryshed demo`.

use celeryshed_measure::demo::{DemoOptions, run_demo};
use eyre::Result;

use super::output::print;
use crate::args::DemoArgs;
use crate::run::ExitStatus;

/// Runs the demo and prints its table; fails when a promise was broken.
pub(crate) async fn run(args: &DemoArgs) -> Result<ExitStatus> {
    let report = run_demo(DemoOptions { hold: args.hold }, |line| {
        // The demo must finish its checks even if standard output is closed.
        let _ = print(line);
    })
    .await?;
    print(&report.render())?;
    Ok(if report.all_checks_passed() { ExitStatus::Done } else { ExitStatus::Failed })
}
