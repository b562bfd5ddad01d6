//! Weight store and origin: faults of fetches, the limit of the link, and pulls from the origin.

use std::sync::Arc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use celeryshed_base::ContentDigest;
use celeryshed_platform::fakes::{BlobFault, FakeBlobs};
use celeryshed_platform::{BlobClient, HttpBlobClient, PlatformError};
use celeryshed_standin::Outage;
use celeryshed_standin::platform::{BlobFaults, RawBlobOptions, RunningBlobs};

use crate::{TIMEOUTS, Verdict, any_port, base_url, verdict};

/// Fault, verdict of a fetch under it, and whether the content is the stored one.
const FETCH_CASES: [(Option<BlobFault>, Verdict, bool); 6] = [
    (None, Verdict::Done, true),
    (Some(BlobFault::Corrupted), Verdict::Done, false),
    (Some(BlobFault::NotFound), Verdict::NotFound, false),
    (
        Some(BlobFault::Refused { retry_after: Some(Duration::from_secs(1)) }),
        Verdict::Refused,
        false,
    ),
    (Some(BlobFault::Stalled), Verdict::ReplyLost, false),
    (Some(BlobFault::Unreachable), Verdict::Unreachable, false),
];

enum TestedBlobClient {
    Fake(FakeBlobs),
    Http(HttpBlobClient, Option<RunningBlobs>),
}

impl TestedBlobClient {
    async fn http() -> Self {
        let origin = launch(RawBlobOptions::origin()).await;
        Self::Http(client_of(&origin), Some(origin))
    }

    fn client(&self) -> Arc<dyn BlobClient> {
        match self {
            Self::Fake(fake) => Arc::new(fake.clone()),
            Self::Http(client, _) => Arc::new(client.clone()),
        }
    }

    async fn inject(&mut self, digest: ContentDigest, fault: Option<BlobFault>) {
        match self {
            Self::Fake(fake) => fake.set_blob_fault(digest, fault),
            Self::Http(_, origin) => match standin_faults(digest, fault) {
                Some(faults) => origin.as_ref().unwrap().control().set_faults(faults),
                None => origin.take().unwrap().stop().await,
            },
        }
    }
}

/// Settings of the stand-in for `fault`; `None` if the test must stop the server instead.
fn standin_faults(digest: ContentDigest, fault: Option<BlobFault>) -> Option<BlobFaults> {
    let faults = BlobFaults::default();
    let faults = match fault {
        None => faults,
        Some(BlobFault::Corrupted) => BlobFaults { corrupt_next: 1, ..faults },
        Some(BlobFault::NotFound) => BlobFaults { missing: vec![digest], ..faults },
        Some(BlobFault::Refused { .. }) => BlobFaults { outage: Outage::Unavailable, ..faults },
        Some(BlobFault::Stalled) => BlobFaults { stall_next: 1, ..faults },
        Some(BlobFault::Unreachable) => return None,
    };
    Some(faults)
}

async fn launch(raw: RawBlobOptions) -> RunningBlobs {
    RunningBlobs::launch(raw.try_into().unwrap(), any_port()).await.unwrap()
}

fn client_of(blobs: &RunningBlobs) -> HttpBlobClient {
    HttpBlobClient::try_new(&base_url(blobs.address()), TIMEOUTS).unwrap()
}

async fn check_fetch(mut tested: TestedBlobClient, case: (Option<BlobFault>, Verdict, bool)) {
    let (fault, expected, intact) = case;
    let client = tested.client();
    let content = Bytes::from(vec![7; 40_000]);
    let digest = client.store(content.clone()).await.unwrap();
    assert_eq!(digest, ContentDigest::of(&content));
    tested.inject(digest, fault).await;
    let result = client.fetch(&digest).await;
    assert_eq!(verdict(&result), expected, "{fault:?}: {result:?}");
    assert_eq!(result.as_ref() == Ok(&content), intact, "{fault:?}");
    if let Err(PlatformError::Refused { retry_after, .. }) = result {
        assert_eq!(retry_after, Some(Duration::from_secs(1)), "{fault:?}");
    }
}

/// Guards against a client that returns a failed fetch as content or reports another fault.
#[tokio::test(start_paused = true)]
async fn fetch_faults_of_the_fake() {
    for case in FETCH_CASES {
        check_fetch(TestedBlobClient::Fake(FakeBlobs::default()), case).await;
    }
}

/// The same table for the HTTP client.
#[tokio::test]
async fn fetch_faults_of_the_client() {
    for case in FETCH_CASES {
        check_fetch(TestedBlobClient::http().await, case).await;
    }
}

/// Guards against a truncated body that is returned as complete.
#[tokio::test]
async fn truncated_bodies_are_lost_replies() {
    let origin = launch(RawBlobOptions::origin()).await;
    let digest = origin.control().insert(vec![7; 40_000].into());
    origin.control().set_faults(BlobFaults { cut_next: 1, ..BlobFaults::default() });
    let result = client_of(&origin).fetch(&digest).await;
    assert_eq!(verdict(&result), Verdict::ReplyLost, "{result:?}");
    assert_eq!(origin.control().counts().copies.get(&digest), None);
}

/// Guards against a weight store, fake or stand-in, that accepts uploads.
#[tokio::test]
async fn weight_store_refuses_uploads() {
    let fake = FakeBlobs::default();
    fake.set_read_only(true);
    assert_eq!(verdict(&fake.store("blob".into()).await), Verdict::Refused);
    let store = launch(RawBlobOptions::store(None)).await;
    assert_eq!(verdict(&client_of(&store).store("blob".into()).await), Verdict::Refused);
}

/// Guards against an origin link that is faster than its limit: measured times until a model is
/// live would be too short.
#[tokio::test]
async fn concurrent_fetches_share_the_link() {
    let raw = RawBlobOptions { bytes_per_s: 400_000, ..RawBlobOptions::origin() };
    let origin = launch(raw).await;
    let digest = origin.control().insert(vec![7; 100_000].into());
    let client = client_of(&origin);
    let started = Instant::now();
    let (first, second) = tokio::join!(client.fetch(&digest), client.fetch(&digest));
    let elapsed = started.elapsed();
    assert!(first.is_ok() && second.is_ok());
    // 200 kB at 400 kB/s; a burst of 64 KiB passes without delay.
    assert!(elapsed >= Duration::from_millis(330), "took {elapsed:?}");
    assert_eq!(origin.control().counts().copies.get(&digest), Some(&2));
    assert_eq!(origin.control().counts().bytes_served, 200_000);
}

/// Guards against a weight store that pulls one copy for each caller: the measured bytes of the
/// origin would be too high.
#[tokio::test]
async fn weight_store_pulls_one_copy() {
    let origin = launch(RawBlobOptions::origin()).await;
    let digest = origin.control().insert(vec![7; 10_000].into());
    let store = launch(RawBlobOptions::store(Some(origin.address().to_string()))).await;
    let client = client_of(&store);
    let (first, second) = tokio::join!(client.fetch(&digest), client.fetch(&digest));
    assert!(first.is_ok() && second.is_ok());
    assert_eq!(origin.control().counts().bytes_served, 10_000);
    let unknown = ContentDigest::of(b"unknown");
    assert_eq!(verdict(&client.fetch(&unknown).await), Verdict::NotFound);
    origin.stop().await;
    assert_eq!(verdict(&client.fetch(&unknown).await), Verdict::Refused);
    assert_eq!(verdict(&client.fetch(&digest).await), Verdict::Done);
}
