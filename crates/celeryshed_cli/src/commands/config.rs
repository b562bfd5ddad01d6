//! `celeryshed config show`.

use std::net::SocketAddr;
use std::time::Duration;

use celeryshed_wire::ProcessStatus;
use eyre::{Result, WrapErr};
use futures::future::join_all;

use super::output::{align, print};
use crate::run::ExitStatus;

/// Timeout of the request to one process.
const STATUS_TIMEOUT: Duration = Duration::from_secs(3);

/// Prints the revision that each process uses; fails when a process can't be reached.
pub(crate) async fn show(processes: &[SocketAddr]) -> Result<ExitStatus> {
    let client = reqwest::Client::builder().no_proxy().timeout(STATUS_TIMEOUT).build()?;
    let queries = processes.iter().map(|address| fetch_status(&client, *address));
    let replies = join_all(queries).await;
    let header = ["process", "instance", "role", "revision", "state", "in_progress"];
    let mut rows = vec![header.map(str::to_owned).to_vec()];
    let mut status = ExitStatus::Done;
    for (address, reply) in processes.iter().zip(replies) {
        match reply {
            Ok(reply) => rows.push(status_row(address, &reply)),
            Err(error) => {
                status = ExitStatus::Failed;
                rows.push(vec![address.to_string(), format!("not reached: {error:#}")]);
            }
        }
    }
    print(&align(&rows))?;
    Ok(status)
}

async fn fetch_status(client: &reqwest::Client, address: SocketAddr) -> Result<ProcessStatus> {
    let url = format!("http://{address}/status");
    let reply = client.get(&url).send().await.wrap_err("no reply")?.error_for_status()?;
    reply.json().await.wrap_err("the reply is not a process status")
}

fn status_row(address: &SocketAddr, reply: &ProcessStatus) -> Vec<String> {
    let revision = reply.revision.map_or("none".to_owned(), |revision| revision.to_string());
    let state = if reply.draining { "draining" } else { "serving" };
    vec![
        address.to_string(),
        reply.instance.to_string(),
        reply.role.clone(),
        revision,
        state.to_owned(),
        reply.in_progress.to_string(),
    ]
}
