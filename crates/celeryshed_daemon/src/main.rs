//! Binary `celeryshedd`.

use std::process::ExitCode;

use celeryshed_daemon::{DaemonArgs, run};
use clap::Parser;

fn main() -> ExitCode {
    let args = DaemonArgs::parse();
    match run(args) {
        Ok(status) => status.into(),
        Err(report) => {
            #[allow(clippy::print_stderr, reason = "the logger may not be installed yet")]
            {
                eprintln!("celeryshedd: {report:#}");
            }
            ExitCode::FAILURE
        }
    }
}
