//! Launches and stops many stand-ins in one process.

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use celeryshed_standin::StandinError;
use celeryshed_standin::engine::{EngineOptions, RunningEngine};
use celeryshed_standin::platform::{ListOptions, LogOptions, RunningList, RunningLog};
use celeryshed_standin::service::{RunningService, ServiceOptions};
use futures::future::join_all;

const ENGINE_COUNT: usize = 30;

fn any_port() -> SocketAddr {
    ([127, 0, 0, 1], 0).into()
}

/// Guards against stand-ins in one process that bind the same address, don't answer or take more
/// than 5 seconds to stop.
#[tokio::test]
async fn many_standins_run_in_one_process() {
    let launched =
        (0..ENGINE_COUNT).map(|_| RunningEngine::launch(EngineOptions::default(), any_port()));
    let engines: Vec<_> = join_all(launched).await.into_iter().map(Result::unwrap).collect();
    let log = RunningLog::launch(LogOptions::default(), any_port()).await.unwrap();
    let list = RunningList::launch(ListOptions::default(), any_port()).await.unwrap();
    let service = RunningService::launch(ServiceOptions::default(), any_port()).await.unwrap();
    let mut addresses: BTreeSet<_> = engines.iter().map(RunningEngine::address).collect();
    addresses.extend([log.address(), list.address(), service.address()]);
    assert_eq!(addresses.len(), ENGINE_COUNT + 3);

    let client = reqwest::Client::builder().no_proxy().build().unwrap();
    let counts = addresses.iter().map(|a| client.get(format!("http://{a}/control/counts")).send());
    for reply in join_all(counts).await {
        assert_eq!(reply.unwrap().status(), 200);
    }
    let started = Instant::now();
    join_all(engines.into_iter().map(RunningEngine::stop)).await;
    tokio::join!(log.stop(), list.stop(), service.stop());
    assert!(started.elapsed() < Duration::from_secs(5), "{:?}", started.elapsed());
}

/// Guards against a launch that hangs or panics, instead of returning an error, when its port is
/// already in use.
#[tokio::test]
async fn launch_at_used_port_returns_an_error() {
    let log = RunningLog::launch(LogOptions::default(), any_port()).await.unwrap();
    let launched = RunningList::launch(ListOptions::default(), log.address()).await;
    match launched {
        Err(StandinError::Launch { address, .. }) => assert_eq!(address, log.address()),
        other => panic!("{other:?}"),
    }
}
