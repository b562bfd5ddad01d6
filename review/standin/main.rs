//! Stand-ins and checks of the scripts in `review/`. Usage: harness CASE FOLDER

mod endless_head;
mod engine;
mod fleet;
mod frozen_order;
mod http;
mod lost_manifest;
mod missing_fields;
mod model_fleet;
mod other_writer;
mod plain_fleet;
mod sha256;
mod store;

use std::path::Path;
use std::process::ExitCode;

/// Result of a case.
pub enum Verdict {
    Held,
    Broken,
}

fn main() -> ExitCode {
    let words: Vec<String> = std::env::args().collect();
    let [_, case, folder] = words.as_slice() else { return ExitCode::from(2) };
    let has_trouble = std::env::var("TROUBLE").as_deref() != Ok("0");
    let folder = Path::new(folder);
    let verdict = match case.as_str() {
        "frozen_order" => frozen_order::run(folder, has_trouble),
        "lost_manifest" => lost_manifest::run(folder, has_trouble),
        "missing_fields" => missing_fields::run(folder, has_trouble),
        "other_writer" => other_writer::run(folder, has_trouble),
        "endless_head" => endless_head::run(folder, has_trouble),
        _ => return ExitCode::from(2),
    };
    match verdict {
        Ok(Verdict::Held) => ExitCode::SUCCESS,
        Ok(Verdict::Broken) => ExitCode::from(1),
        Err(error) => {
            println!("the case could not run: {error}");
            ExitCode::from(2)
        }
    }
}
