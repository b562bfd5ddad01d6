//! Runs experiment `spread`: `spread REPLICAS SIZE_MIB DEPLOYMENT PLAN SEED KILL CORRUPT [key=value...]`.
#![allow(clippy::print_stdout, clippy::print_stderr)]

use std::time::Duration;

use celeryshed_core::spread::SpreadWeighing;
use celeryshed_measure::spread::{
    SpreadDeployment, SpreadMeasureOptions, SpreadPlanKind, measure_spread,
};

#[tokio::main]
async fn main() {
    let mut options = SpreadMeasureOptions::default();
    for argument in std::env::args().skip(1) {
        let (key, value) = argument.split_once('=').expect("key=value");
        match (key, value) {
            ("replicas", n) => options.replicas = n.parse().expect("number"),
            ("size_mib", n) => options.size_mib = n.parse().expect("number"),
            ("seed", n) => options.seed = n.parse().expect("number"),
            ("kill", n) => options.kill_percent = n.parse().expect("number"),
            ("corrupt", n) => options.corrupt_percent = n.parse().expect("number"),
            ("chunk_kib", n) => options.chunk_kib = n.parse().expect("number"),
            ("window_s", n) => options.window = Duration::from_secs(n.parse().expect("number")),
            ("plan", "origin") => options.plan = SpreadPlanKind::Origin,
            ("plan", "tree") => options.plan = SpreadPlanKind::Tree,
            ("plan", "product") => options.plan = SpreadPlanKind::Product,
            ("deployment", "coca") => options.deployment = SpreadDeployment::Coca,
            ("deployment", "hinokage") => options.deployment = SpreadDeployment::Hinokage,
            ("weighing", "time") => options.weighing = Some(SpreadWeighing::Time),
            ("weighing", "origin_bytes") => options.weighing = Some(SpreadWeighing::OriginBytes),
            _ => panic!("unknown option {key}={value}"),
        }
    }
    measure_spread(&options, &mut std::io::stdout()).await.expect("run");
}
