//! The weight store and the origin.

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
use crate::reply::Reply;
use crate::server::ServerTask;
use crate::steering::{lock, pass_gate};

/// Longest time without a byte from the origin.
const PULL_IDLE: Duration = Duration::from_secs(5);

/// Lock of the pull of one blob.
type PullLock = Arc<tokio::sync::Mutex<()>>;

/// A running weight store or origin.
#[derive(Debug)]
pub struct RunningBlobs {
    server: ServerTask,
    control: BlobControl,
}

/// Steers a weight store or origin.
#[derive(Clone, Debug)]
pub struct BlobControl {
    state: Arc<Mutex<BlobState>>,
    client: reqwest::Client,
    /// Locks held while a blob is pulled, so that concurrent fetches of it pull one copy.
    pulling: Arc<Mutex<BTreeMap<ContentDigest, PullLock>>>,
}

impl RunningBlobs {
    /// Launches a store or origin without blobs.
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

    /// Launches a service over the blobs of `control`, for a restart that keeps them.
    pub async fn launch_with(control: BlobControl, bind_addr: SocketAddr) -> Result<Self> {
        let managed = control.clone();
        let routes = routes![fetch, store, fill, counts, faults];
        let server =
            ServerTask::launch(bind_addr, |rocket| rocket.manage(managed).mount("/", routes));
        Ok(Self { server: server.await?, control })
    }

    /// The bound address.
    pub fn address(&self) -> SocketAddr {
        self.server.address()
    }

    /// A control handle.
    pub fn control(&self) -> BlobControl {
        self.control.clone()
    }

    /// Stops the service; callers find the port closed.
    pub async fn stop(self) {
        self.server.stop().await;
    }
}

impl BlobControl {
    fn new(options: BlobOptions) -> Self {
        let state = BlobState::new(options, ClockSource::start());
        let client = reqwest::Client::builder().no_proxy().read_timeout(PULL_IDLE);
        let client = client.build().unwrap_or_default();
        Self { state: Arc::new(Mutex::new(state)), client, pulling: Arc::default() }
    }

    /// Adds a blob, past all faults and limits.
    pub fn insert(&self, content: Bytes) -> ContentDigest {
        self.lock().insert(content)
    }

    /// Replaces the faults.
    pub fn set_faults(&self, faults: BlobFaults) {
        self.lock().set_faults(faults);
    }

    /// What was counted so far.
    pub fn counts(&self) -> BlobCounts {
        self.lock().counts.clone()
    }

    fn lock(&self) -> MutexGuard<'_, BlobState> {
        lock(&self.state)
    }

    async fn pass_gate(&self) -> std::result::Result<(), Reply> {
        let latency = self.lock().latency();
        pass_gate(latency, || self.lock().faults.outage).await
    }

    async fn fetch(&self, digest: ContentDigest) -> std::result::Result<Reply, Reply> {
        self.pass_gate().await?;
        let taken = self.lock().take_request();
        taken.map_err(|pause| Reply::retry(429, "request rate exceeded", pause))?;
        let held = self.lock().blob(&digest);
        let content = match held {
            Some(content) => content,
            None => self.pull(&digest).await?,
        };
        let (fault, content) = self.lock().next_body(content);
        let length = content.len().to_string();
        Ok(Reply::Stream {
            content_type: "application/octet-stream",
            headers: vec![("Content-Length", length)],
            body: paced_body(self.state.clone(), digest, fault, content),
        })
    }

    /// Fetches a missing blob from the origin and keeps it.
    async fn pull(&self, digest: &ContentDigest) -> std::result::Result<Bytes, Reply> {
        let pulling = lock(&self.pulling).entry(*digest).or_default().clone();
        let _pulling = pulling.lock().await;
        if let Some(content) = self.lock().blob(digest) {
            return Ok(content);
        }
        let origin = self.pull_source(digest)?;
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

    fn pull_source(&self, digest: &ContentDigest) -> std::result::Result<SocketAddr, Reply> {
        let origin = {
            let state = self.lock();
            state.options.pull_from.filter(|_| !state.is_missing(digest))
        };
        origin.ok_or_else(|| self.not_found())
    }

    /// The body at `url`, `None` for 404.
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

    async fn store(&self, digest: &str, content: Vec<u8>) -> std::result::Result<Reply, Reply> {
        self.pass_gate().await?;
        let accepts_puts = self.lock().options.accepts_puts;
        if !accepts_puts {
            return Err(Reply::text(405, "the weight store stores no blobs"));
        }
        let reply = self.fill(digest, content)?;
        self.lock().counts.puts += 1;
        Ok(reply)
    }

    fn fill(&self, digest: &str, content: Vec<u8>) -> std::result::Result<Reply, Reply> {
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

fn merged(result: std::result::Result<Reply, Reply>) -> Reply {
    result.unwrap_or_else(|reply| reply)
}

#[get("/blobs/<digest>")]
async fn fetch(digest: &str, control: &State<BlobControl>) -> Reply {
    match parse_digest(digest) {
        Ok(digest) => merged(control.fetch(digest).await),
        Err(reply) => reply,
    }
}

#[put("/blobs/<digest>", data = "<content>")]
async fn store(digest: &str, content: Vec<u8>, control: &State<BlobControl>) -> Reply {
    merged(control.store(digest, content).await)
}

#[put("/control/blobs/<digest>", data = "<content>")]
fn fill(digest: &str, content: Vec<u8>, control: &State<BlobControl>) -> Reply {
    merged(control.fill(digest, content))
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
