//! `celeryshed measure`.

use std::io::Write;

use celeryshed_measure::scarcity::{ScarcityOptions, run_scarcity};
use celeryshed_measure::spread::{SpreadMeasureOptions, measure_spread};
use eyre::{Result, WrapErr};

use super::output::print;
use crate::args::{ScarcityArgs, SpreadArgs};
use crate::run::ExitStatus;

/// Runs experiment `spread`; its lines appear as they come.
pub(crate) async fn spread(args: &SpreadArgs) -> Result<ExitStatus> {
    let options = SpreadMeasureOptions::from(args);
    measure_spread(&options, &mut LineOutput).await?;
    Ok(ExitStatus::Done)
}

/// Runs experiment `scarcity`, which has a runtime of its own with a paused clock.
pub(crate) async fn scarcity(args: &ScarcityArgs) -> Result<ExitStatus> {
    let options = ScarcityOptions::from(args);
    let run = tokio::task::spawn_blocking(move || run_scarcity(&options)).await;
    let report = run.wrap_err("the experiment broke off")?;
    print(&format!("{report}\n"))?;
    Ok(ExitStatus::Done)
}

/// Standard output that isn't locked between lines.
struct LineOutput;

impl Write for LineOutput {
    fn write(&mut self, bytes: &[u8]) -> std::io::Result<usize> {
        std::io::stdout().write(bytes)
    }

    fn flush(&mut self) -> std::io::Result<()> {
        std::io::stdout().flush()
    }
}
