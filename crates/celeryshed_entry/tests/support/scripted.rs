//! HTTP server that replies with scripted bytes.

use std::collections::VecDeque;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use celeryshed_base::ContentDigest;
use celeryshed_wire::EngineLoad;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};

/// One step of an answer.
#[derive(Clone, Debug)]
pub(crate) enum Step {
    /// Sends this text.
    Send(String),
    /// Pauses for this duration.
    Wait(Duration),
    /// Simulates a restart of the endpoint: its load has another boot id from then on.
    Restart,
}

/// One answer; the connection is closed after its last step.
pub(crate) type Script = Vec<Step>;

/// Server that answers each request with the next script, and repeats the last one.
///
/// Requests for the load and for cancellations are answered without a script.
#[derive(Clone)]
pub(crate) struct ScriptedServer {
    pub(crate) address: String,
    pub(crate) requests: Arc<Mutex<Vec<String>>>,
    boot_id: Arc<AtomicU64>,
}

impl ScriptedServer {
    pub(crate) async fn start(scripts: Vec<Script>) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let address = listener.local_addr().unwrap().to_string();
        let requests = Arc::new(Mutex::new(Vec::new()));
        let boot_id = Arc::new(AtomicU64::new(1));
        let server = Self { address, requests, boot_id };
        let task_server = server.clone();
        let scripts = Arc::new(Mutex::new(VecDeque::from(scripts)));
        tokio::spawn(async move {
            while let Ok((socket, _)) = listener.accept().await {
                tokio::spawn(task_server.clone().serve(socket, Arc::clone(&scripts)));
            }
        });
        server
    }

    pub(crate) fn request_count(&self) -> usize {
        self.requests.lock().unwrap().len()
    }
}

impl ScriptedServer {
    async fn serve(self, mut socket: TcpStream, scripts: Arc<Mutex<VecDeque<Script>>>) {
        let Some(request) = read_request(&mut socket).await else { return };
        if request.contains("/cancel ") {
            let _ = socket.write_all(b"HTTP/1.1 204 No Content\r\nConnection: close\r\n\r\n").await;
            return;
        }
        if request.starts_with("GET /load ") {
            let _ = socket.write_all(self.load().as_bytes()).await;
            return;
        }
        self.requests.lock().unwrap().push(request);
        let script = {
            let mut scripts = scripts.lock().unwrap();
            let next = scripts.pop_front().unwrap_or_default();
            if scripts.is_empty() {
                scripts.push_back(next.clone());
            }
            next
        };
        for step in script {
            match step {
                Step::Send(text) => {
                    if socket.write_all(text.as_bytes()).await.is_err() {
                        return;
                    }
                }
                Step::Wait(pause) => tokio::time::sleep(pause).await,
                Step::Restart => {
                    self.boot_id.fetch_add(1, Ordering::SeqCst);
                }
            }
        }
    }

    fn load(&self) -> String {
        let load = EngineLoad {
            live: None,
            boot_id: self.boot_id.load(Ordering::SeqCst),
            running: 0,
            waiting: 0,
            slots: 4,
            queued_prompt_tokens: 0,
            tokens_per_s: 0,
            adapters: Vec::new(),
        };
        let body = serde_json::to_string(&load).unwrap();
        let Step::Send(answer) = plain_answer(200, &body).remove(0) else { unreachable!() };
        answer
    }
}

async fn read_request(socket: &mut TcpStream) -> Option<String> {
    let mut received = Vec::new();
    let mut part = [0; 4096];
    loop {
        let count = socket.read(&mut part).await.ok()?;
        if count == 0 {
            return None;
        }
        received.extend_from_slice(&part[..count]);
        let text = String::from_utf8_lossy(&received).into_owned();
        let Some((head, body)) = text.split_once("\r\n\r\n") else { continue };
        let length = head.lines().find_map(|line| {
            let (name, value) = line.split_once(':')?;
            name.eq_ignore_ascii_case("content-length").then(|| value.trim().parse().ok())?
        });
        if body.len() >= length.unwrap_or(0) {
            return Some(text);
        }
    }
}

/// Response head of an event stream that ends when the connection is closed.
pub(crate) fn stream_head() -> Step {
    let head = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nConnection: close\r\n\r\n";
    Step::Send(head.to_owned())
}

/// Event with one token; the last one carries a finish reason.
pub(crate) fn token(version: ContentDigest, index: u32, last: bool) -> Step {
    let finish = if last { "\"stop\"" } else { "null" };
    Step::Send(format!(
        "data: {{\"version\":\"{version}\",\"index\":{index},\"text\":\"t{index} \",\"finish_reason\":{finish}}}\n\n"
    ))
}

/// Event that ends a stream.
pub(crate) fn done() -> Step {
    Step::Send("data: [DONE]\n\n".to_owned())
}

/// A complete event stream with the tokens of `range`.
pub(crate) fn whole_stream(version: ContentDigest, range: std::ops::Range<u32>) -> Script {
    let last = range.end - 1;
    let mut script = vec![stream_head()];
    script.extend(range.map(|index| token(version, index, index == last)));
    script.push(done());
    script
}

/// A complete response with a status and a body.
pub(crate) fn plain_answer(status: u16, body: &str) -> Script {
    let length = body.len();
    vec![Step::Send(format!(
        "HTTP/1.1 {status} Scripted\r\nContent-Type: text/plain\r\nContent-Length: {length}\r\nConnection: close\r\n\r\n{body}"
    ))]
}
