//! Stand-ins of the weight store and the origin.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Duration;

use bytes::Bytes;
use celeryshed_base::{ClockSource, ContentDigest};
use rocket::serde::json::Json;
use rocket::{State, get, post, put, routes};

use super::blob_pieces::paced_body;
use super::blob_state::{BlobCounts, BlobFaults, BlobState};
use super::options::BlobOptions;
use crate::error::Result;
use crate::faults::{apply_call_faults, lock};
use crate::reply::Reply;
use crate::server::ServerTask;

/// Time without a byte from the origin after which a pull fails.
const PULL_IDLE_TIMEOUT: Duration = Duration::from_secs(5);

/// Lock that is held while one blob is pulled from the origin.
type PullLock = Arc<tokio::sync::Mutex<()>>;

/// Running weight store or origin.
#[derive(Debug)]
pub struct RunningBlobs {
    server: ServerTask,
    control: BlobControl,
}

/// Cloneable handle that fills a weight store or origin, sets its faults and reads its counters.
#[derive(Clone, Debug)]
pub struct BlobControl {
    state: Arc<Mutex<BlobState>>,
    client: reqwest::Client,
    /// Locks by blob, so that concurrent fetches of one blob pull a single copy.
    pull_locks: Arc<Mutex<BTreeMap<ContentDigest, PullLock>>>,
}

impl RunningBlobs {
    /// Launches a weight store or origin without blobs at `bind_addr`; port 0 selects a free port.
    ///
    /// ```
    /// use celeryshed_standin::platform::{RawBlobOptions, RunningBlobs};
    /// let runtime = tokio::runtime::Runtime::new().unwrap();
    /// runtime.block_on(async {
    ///     let address = "127.0.0.1:0".parse().unwrap();
    ///     let options = RawBlobOptions::origin().try_into().unwrap();
    ///     let origin = RunningBlobs::launch(options, address).await.unwrap();
    ///     let digest = origin.control().insert("weights".into());
    ///     assert_eq!(origin.control().counts().copies.get(&digest), None);
    ///     origin.stop().await;
    /// });
    /// ```
    pub async fn launch(options: BlobOptions, bind_addr: SocketAddr) -> Result<Self> {
        Self::launch_with(BlobControl::new(options), bind_addr).await
    }

    /// Launches a weight store or origin with the state of `control`. Used to simulate a restart
    /// that keeps the blobs.
    pub async fn launch_with(control: BlobControl, bind_addr: SocketAddr) -> Result<Self> {
        let managed = control.clone();
        let routes = routes![fetch, put_blob, insert_blob, counts, faults];
        let server =
            ServerTask::launch(bind_addr, |rocket| rocket.manage(managed).mount("/", routes));
        Ok(Self { server: server.await?, control })
    }

    /// Bound address, with the actual port when port 0 was requested.
    pub fn address(&self) -> SocketAddr {
        self.server.address()
    }

    /// Control handle, which can outlive the server.
    pub fn control(&self) -> BlobControl {
        self.control.clone()
    }

    /// Stops the server and closes its port and connections.
    pub async fn stop(self) {
        self.server.stop().await;
    }
}

impl BlobControl {
    fn new(options: BlobOptions) -> Self {
        let state = BlobState::new(options, ClockSource::start());
        let client = reqwest::Client::builder().no_proxy().read_timeout(PULL_IDLE_TIMEOUT);
        let client = client.build().unwrap_or_default();
        Self { state: Arc::new(Mutex::new(state)), client, pull_locks: Arc::default() }
    }

    /// Adds a blob, ignoring all faults and limits, and returns its digest.
    pub fn insert(&self, content: Bytes) -> ContentDigest {
        self.lock().insert(content)
    }

    /// Replaces all faults.
    pub fn set_faults(&self, faults: BlobFaults) {
        self.lock().set_faults(faults);
    }

    /// Counters since the launch.
    pub fn counts(&self) -> BlobCounts {
        self.lock().counts.clone()
    }

    fn lock(&self) -> MutexGuard<'_, BlobState> {
        lock(&self.state)
    }

    async fn apply_call_faults(&self) -> std::result::Result<(), Reply> {
        let latency = self.lock().latency();
        apply_call_faults(latency, || self.lock().faults.outage).await
    }

    async fn fetch(&self, digest: ContentDigest) -> std::result::Result<Reply, Reply> {
        self.apply_call_faults().await?;
        let admitted = self.lock().admit_fetch();
        admitted.map_err(|wait| Reply::retry(429, "request rate exceeded", wait))?;
        let stored = self.lock().blob(&digest);
        let content = match stored {
            Some(content) => content,
            None => self.pull(&digest).await?,
        };
        let (fault, content) = self.lock().next_body(content);
        let length = content.len().to_string();
        Ok(Reply::Streamed {
            content_type: "application/octet-stream",
            headers: vec![("Content-Length", length)],
            body: paced_body(self.state.clone(), digest, fault, content),
        })
    }

    /// Fetches a blob from the origin and stores it.
    async fn pull(&self, digest: &ContentDigest) -> std::result::Result<Bytes, Reply> {
        let pull_lock = lock(&self.pull_locks).entry(*digest).or_default().clone();
        let _pull_guard = pull_lock.lock().await;
        if let Some(content) = self.lock().blob(digest) {
            return Ok(content);
        }
        let origin = self.origin_of(digest)?;
        let url = format!("http://{origin}/blobs/{digest}");
        let content = match self.get(&url).await {
            Ok(Some(content)) if ContentDigest::of(&content) == *digest => content,
            Ok(Some(_)) => return Err(Reply::text(502, "the origin sent other content")),
            Ok(None) => return Err(self.not_found()),
            Err(error) => return Err(Reply::text(503, &format!("origin: {error}"))),
        };
        let mut state = self.lock();
        state.counts.pulls += 1;
        state.counts.bytes_pulled += content.len() as u64;
        state.insert(content.clone());
        Ok(content)
    }

    fn origin_of(&self, digest: &ContentDigest) -> std::result::Result<SocketAddr, Reply> {
        let origin = {
            let state = self.lock();
            state.options.pull_from.filter(|_| !state.is_missing(digest))
        };
        origin.ok_or_else(|| self.not_found())
    }

    /// Returns the body at `url`; `None` for 404.
    async fn get(&self, url: &str) -> reqwest::Result<Option<Bytes>> {
        let reply = self.client.get(url).send().await?;
        if reply.status() == reqwest::StatusCode::NOT_FOUND {
            return Ok(None);
        }
        reply.error_for_status()?.bytes().await.map(Some)
    }

    fn not_found(&self) -> Reply {
        self.lock().counts.not_found += 1;
        Reply::text(404, "unknown blob")
    }

    async fn put(&self, digest: &str, content: Vec<u8>) -> std::result::Result<Reply, Reply> {
        self.apply_call_faults().await?;
        let accepts_puts = self.lock().options.accepts_puts;
        if !accepts_puts {
            return Err(Reply::text(405, "the weight store stores no blobs"));
        }
        let reply = self.insert_verified(digest, content)?;
        self.lock().counts.puts += 1;
        Ok(reply)
    }

    fn insert_verified(&self, digest: &str, content: Vec<u8>) -> std::result::Result<Reply, Reply> {
        let digest = parse_digest(digest)?;
        if ContentDigest::of(&content) != digest {
            return Err(Reply::text(400, "the content has another digest"));
        }
        self.insert(content.into());
        Ok(Reply::text(200, "stored"))
    }
}

fn parse_digest(digest: &str) -> std::result::Result<ContentDigest, Reply> {
    ContentDigest::try_from(digest).map_err(|error| Reply::text(400, &error.to_string()))
}

fn reply_of(result: std::result::Result<Reply, Reply>) -> Reply {
    result.unwrap_or_else(|reply| reply)
}

#[get("/blobs/<digest>")]
async fn fetch(digest: &str, control: &State<BlobControl>) -> Reply {
    match parse_digest(digest) {
        Ok(digest) => reply_of(control.fetch(digest).await),
        Err(reply) => reply,
    }
}

#[put("/blobs/<digest>", data = "<content>")]
async fn put_blob(digest: &str, content: Vec<u8>, control: &State<BlobControl>) -> Reply {
    reply_of(control.put(digest, content).await)
}

#[put("/control/blobs/<digest>", data = "<content>")]
fn insert_blob(digest: &str, content: Vec<u8>, control: &State<BlobControl>) -> Reply {
    reply_of(control.insert_verified(digest, content))
}

#[get("/control/counts")]
fn counts(control: &State<BlobControl>) -> Reply {
    Reply::json(&control.counts())
}

#[post("/control/faults", data = "<faults>")]
fn faults(faults: Json<BlobFaults>, control: &State<BlobControl>) -> Reply {
    control.set_faults(faults.into_inner());
    Reply::json(&control.lock().faults)
}
