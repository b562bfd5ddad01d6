//! `celeryshed drill`.

use std::time::Duration;

use celeryshed_standin::platform::{LogFaults, LogRestore};
use eyre::{Result, WrapErr};

use super::output::print;
use crate::args::DrillArgs;
use crate::run::ExitStatus;

/// Timeout of the request to the stand-in.
const CALL_TIMEOUT: Duration = Duration::from_secs(3);

/// Starts an outage of a stand-in of the log, which ends with its return from an older copy.
pub(crate) async fn run(args: &DrillArgs) -> Result<ExitStatus> {
    let DrillArgs { log_url, copy_age_ms, outage_ms } = args;
    let restore = LogRestore { copy_age_ms: *copy_age_ms, outage_ms: *outage_ms };
    let faults = LogFaults { restore: Some(restore), ..LogFaults::default() };
    let client = reqwest::Client::builder().no_proxy().timeout(CALL_TIMEOUT).build()?;
    let url = format!("{}/control/faults", log_url.trim_end_matches('/'));
    let sent = client.post(&url).json(&faults).send().await;
    let reply = sent.and_then(|reply| reply.error_for_status());
    reply.wrap_err_with(|| format!("{url} accepted no faults"))?;
    print(&format!("the log is away for {outage_ms} ms, then back {copy_age_ms} ms earlier\n"))?;
    Ok(ExitStatus::Done)
}
