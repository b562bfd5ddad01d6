//! Runs the slopes measurement: `cargo run --release --example slopes -- DAEMON [PART...]`.
//!
//! With `--samples FILE...` instead of `DAEMON`, fits the samples that earlier runs printed to the
//! files.

use std::error::Error;
use std::fs;

use celeryshed_measure::slopes::{
    ControlSum, SlopeOptions, SlopePart, SlopeTable, TargetSize, capacity_lines, run_slopes,
};

#[allow(clippy::print_stdout, reason = "prints the result")]
fn main() -> Result<(), Box<dyn Error>> {
    let mut args = std::env::args().skip(1);
    let daemon = args.next().ok_or("the path of celeryshedd is missing")?;
    let table = match daemon.as_str() {
        "--samples" => read_samples(args)?,
        _ => run_parts(daemon, args)?,
    };
    print!("{table}");
    let lines = capacity_lines(&TargetSize::default(), &table);
    lines.iter().for_each(|line| println!("{line}"));
    for role in ["entry", "side"] {
        let ControlSum { bytes_per_s, cores } = ControlSum::of(&lines, role);
        println!("control_sum role={role} bytes_per_s={bytes_per_s:.1} cores={cores:.6}");
    }
    Ok(())
}

fn read_samples(files: impl Iterator<Item = String>) -> Result<SlopeTable, Box<dyn Error>> {
    let mut table = SlopeTable::default();
    for file in files {
        table.add_lines(&fs::read_to_string(file)?);
    }
    Ok(table)
}

#[allow(clippy::print_stdout, reason = "prints progress, as a run takes minutes")]
fn run_parts(
    daemon: String,
    parts: impl Iterator<Item = String>,
) -> Result<SlopeTable, Box<dyn Error>> {
    let mut options = SlopeOptions::new(daemon.into());
    let parts = parts.map(|part| part.parse()).collect::<Result<Vec<SlopePart>, _>>()?;
    if !parts.is_empty() {
        options.parts = parts;
    }
    let runtime = tokio::runtime::Runtime::new()?;
    Ok(runtime.block_on(run_slopes(&options, |line| println!("{line}")))?)
}
