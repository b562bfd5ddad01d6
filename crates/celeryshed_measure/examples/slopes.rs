//! Runs the slopes measurement: `cargo run --release --example slopes -- DAEMON [PART...]`.

use celeryshed_measure::slopes::{SlopeOptions, SlopePart, run_slopes};

#[allow(clippy::print_stdout, reason = "the lines are the result")]
fn main() -> Result<(), Box<dyn std::error::Error>> {
    let mut args = std::env::args().skip(1);
    let daemon = args.next().ok_or("the path of celeryshedd is missing")?;
    let mut options = SlopeOptions::new(daemon.into());
    let parts = args.map(|part| part.parse()).collect::<Result<Vec<SlopePart>, _>>()?;
    if !parts.is_empty() {
        options.parts = parts;
    }
    let runtime = tokio::runtime::Runtime::new()?;
    let table = runtime.block_on(run_slopes(&options, |line| println!("{line}")))?;
    print!("{table}");
    Ok(())
}
