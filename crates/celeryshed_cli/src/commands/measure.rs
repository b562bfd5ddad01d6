//! `celeryshed measure`.

use std::io::Write;

use celeryshed_measure::overload::{PlacementPolicy, write_plot};
use celeryshed_measure::scarcity::{ScarcityOptions, run_scarcity};
use celeryshed_measure::slopes::run_slopes;
use celeryshed_measure::spread::{SpreadMeasureOptions, measure_spread};
use eyre::{Result, WrapErr};

use super::output::print;
use crate::args::{OverloadArgs, ScarcityArgs, SlopeArgs, SpreadArgs};
use crate::run::ExitStatus;

/// Runs experiment `spread` and prints each line as soon as it is known.
pub(crate) async fn spread(args: &SpreadArgs) -> Result<ExitStatus> {
    let options = SpreadMeasureOptions::from(args);
    measure_spread(&options, &mut LineOutput).await?;
    Ok(ExitStatus::Done)
}

/// Runs experiment `scarcity`, which has a runtime of its own with a paused clock.
pub(crate) async fn scarcity(args: &ScarcityArgs) -> Result<ExitStatus> {
    let options = ScarcityOptions::from(args);
    let run = tokio::task::spawn_blocking(move || run_scarcity(&options)).await;
    let report = run.wrap_err("the experiment did not finish")?;
    print(&format!("{report}\n"))?;
    Ok(ExitStatus::Done)
}

/// Runs experiment `overload` in simulated time and prints one line for each scenario and policy.
pub(crate) async fn overload(args: &OverloadArgs) -> Result<ExitStatus> {
    for scenario in args.scenarios() {
        let options = args.options(scenario);
        let run = tokio::task::spawn_blocking(move || PlacementPolicy::compare(&options)).await;
        let reports = run.wrap_err("the experiment did not finish")?;
        for report in &reports {
            print(&format!("{report}\n"))?;
        }
        if let Some(folder) = &args.plots {
            write_plot(&folder.join(format!("{}.svg", scenario.name())), &reports)?;
        }
    }
    Ok(ExitStatus::Done)
}

/// Runs experiment `slopes`; prints each sample as soon as it is known, and the fits at the end.
pub(crate) async fn slopes(args: &SlopeArgs) -> Result<ExitStatus> {
    let options = args
        .options()
        .wrap_err("the path of the daemon's binary is unknown; pass it with --daemon")?;
    let table = run_slopes(&options, |line| {
        // A closed pipe must not stop the measurement; printing the fits reports the error.
        let _ = print(&format!("{line}\n"));
    })
    .await?;
    print(&table.to_string())?;
    Ok(ExitStatus::Done)
}

/// Standard output, locked only during each write.
struct LineOutput;

impl Write for LineOutput {
    fn write(&mut self, bytes: &[u8]) -> std::io::Result<usize> {
        std::io::stdout().write(bytes)
    }

    fn flush(&mut self) -> std::io::Result<()> {
        std::io::stdout().flush()
    }
}
