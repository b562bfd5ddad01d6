//! Instance list: lag and outages.

use std::sync::Arc;
use std::time::Duration;

use celeryshed_base::{AvailabilityZone, ClockSource, InstanceName, RegionName};
use celeryshed_platform::fakes::FakeList;
use celeryshed_platform::{HttpListClient, ListClient};
use celeryshed_standin::Outage;
use celeryshed_standin::platform::{ListFaults, RawListOptions, RunningList};
use celeryshed_wire::{InstanceRole, InstanceState, ListedInstance};

use crate::{TIMEOUTS, Verdict, any_port, base_url, verdict};

const LAG: Duration = Duration::from_millis(400);

enum TestedListClient {
    Fake(FakeList),
    Http(HttpListClient, RunningList),
}

impl TestedListClient {
    fn fake() -> Self {
        let fake = FakeList::new(ClockSource::start());
        fake.set_lag(LAG);
        Self::Fake(fake)
    }

    async fn http() -> Self {
        let raw = RawListOptions { lag_ms: LAG.as_millis() as u64, ..RawListOptions::default() };
        let list = RunningList::launch(raw.try_into().unwrap(), any_port()).await.unwrap();
        let client = HttpListClient::try_new(&base_url(list.address()), TIMEOUTS).unwrap();
        Self::Http(client, list)
    }

    fn client(&self) -> Arc<dyn ListClient> {
        match self {
            Self::Fake(fake) => Arc::new(fake.clone()),
            Self::Http(client, _) => Arc::new(client.clone()),
        }
    }

    fn set_instances(&self, instances: Vec<ListedInstance>) {
        match self {
            Self::Fake(fake) => fake.set_instances(instances),
            Self::Http(_, list) => list.control().set_instances(instances),
        }
    }
}

fn instance(state: InstanceState) -> ListedInstance {
    ListedInstance {
        instance: InstanceName::try_from("entry-1").unwrap(),
        role: InstanceRole::Entry,
        address: "127.0.0.1:7000".to_owned(),
        zone: AvailabilityZone::try_from("puget-a").unwrap(),
        region: RegionName::try_from("puget").unwrap(),
        service: None,
        state,
    }
}

async fn check_lag(tested: TestedListClient) {
    let client = tested.client();
    let live = vec![instance(InstanceState::Live)];
    let leaving = vec![instance(InstanceState::Leaving)];
    assert_eq!(client.instances().await.unwrap(), []);
    tested.set_instances(live.clone());
    assert_eq!(client.instances().await.unwrap(), live, "the first state has no lag");
    tested.set_instances(leaving.clone());
    assert_eq!(client.instances().await.unwrap(), live, "a change is shown late");
    tokio::time::sleep(LAG + Duration::from_millis(50)).await;
    assert_eq!(client.instances().await.unwrap(), leaving);
}

/// Guards against a list that shows a leaving instance at once: tests would then pass without the
/// leaving notices and status reports that are faster than the real list.
#[tokio::test(start_paused = true)]
async fn fake_list_lags() {
    check_lag(TestedListClient::fake()).await;
}

/// The same lag for the stand-in.
#[tokio::test]
async fn standin_list_lags() {
    check_lag(TestedListClient::http().await).await;
}

/// Guards against an outage that is returned as an empty list: readers would remove all members.
#[tokio::test]
async fn outages_are_errors() {
    let fake = FakeList::new(ClockSource::start());
    fake.set_outage(true);
    assert_eq!(verdict(&fake.instances().await), Verdict::Unreachable);

    let TestedListClient::Http(client, list) = TestedListClient::http().await else {
        unreachable!()
    };
    for (outage, expected) in [
        (Outage::Unavailable, Verdict::Refused),
        (Outage::Cut, Verdict::ReplyLost),
        (Outage::Stalled, Verdict::ReplyLost),
    ] {
        list.control().set_faults(ListFaults { outage, ..ListFaults::default() });
        assert_eq!(verdict(&client.instances().await), expected, "{outage:?}");
    }
    list.stop().await;
    assert_eq!(verdict(&client.instances().await), Verdict::Unreachable);
}
