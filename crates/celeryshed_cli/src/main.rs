//! Binary `celeryshed`.

use std::process::ExitCode;

use celeryshed_cli::{OperatorArgs, run};
use clap::Parser;

fn main() -> ExitCode {
    let args = OperatorArgs::parse();
    match run(args) {
        Ok(status) => status.into(),
        Err(report) => {
            #[allow(clippy::print_stderr, reason = "errors of a command line go to the terminal")]
            {
                eprintln!("celeryshed: {report:#}");
            }
            ExitCode::FAILURE
        }
    }
}
