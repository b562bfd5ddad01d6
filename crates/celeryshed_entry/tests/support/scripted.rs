//! An HTTP server whose answers are scripted byte by byte.

use std::collections::VecDeque;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use celeryshed_base::ContentDigest;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};

/// One step of an answer.
#[derive(Clone, Debug)]
pub(crate) enum Step {
    /// Sends these bytes.
    Send(String),
    /// Waits.
    Wait(Duration),
}

/// One answer; the connection is closed after its last step.
pub(crate) type Script = Vec<Step>;

/// A server that gives each request to `/v1/completions` (or any other path of a plain service)
/// the next script, and the last script again when none is left.
#[derive(Clone)]
pub(crate) struct ScriptedServer {
    pub(crate) address: String,
    pub(crate) requests: Arc<Mutex<Vec<String>>>,
}

impl ScriptedServer {
    pub(crate) async fn start(scripts: Vec<Script>) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let address = listener.local_addr().unwrap().to_string();
        let requests = Arc::new(Mutex::new(Vec::new()));
        let server = Self { address, requests: Arc::clone(&requests) };
        let scripts = Arc::new(Mutex::new(VecDeque::from(scripts)));
        tokio::spawn(async move {
            while let Ok((socket, _)) = listener.accept().await {
                tokio::spawn(serve(socket, Arc::clone(&scripts), Arc::clone(&requests)));
            }
        });
        server
    }

    pub(crate) fn request_count(&self) -> usize {
        self.requests.lock().unwrap().len()
    }
}

async fn serve(
    mut socket: TcpStream,
    scripts: Arc<Mutex<VecDeque<Script>>>,
    requests: Arc<Mutex<Vec<String>>>,
) {
    let Some(request) = read_request(&mut socket).await else { return };
    if request.contains("/cancel ") {
        let _ = socket.write_all(b"HTTP/1.1 204 No Content\r\n\r\n").await;
        return;
    }
    requests.lock().unwrap().push(request);
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
        }
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

/// Head of an event stream that ends with the connection.
pub(crate) fn stream_head() -> Step {
    let head = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nConnection: close\r\n\r\n";
    Step::Send(head.to_owned())
}

/// One token; the last one carries a finish reason.
pub(crate) fn token(version: ContentDigest, index: u32, last: bool) -> Step {
    let finish = if last { "\"stop\"" } else { "null" };
    Step::Send(format!(
        "data: {{\"version\":\"{version}\",\"index\":{index},\"text\":\"t{index} \",\"finish_reason\":{finish}}}\n\n"
    ))
}

/// End marker.
pub(crate) fn done() -> Step {
    Step::Send("data: [DONE]\n\n".to_owned())
}

/// A whole stream of the tokens in `range`.
pub(crate) fn whole_stream(version: ContentDigest, range: std::ops::Range<u32>) -> Script {
    let last = range.end - 1;
    let mut script = vec![stream_head()];
    script.extend(range.map(|index| token(version, index, index == last)));
    script.push(done());
    script
}

/// A whole answer with a status and a body.
pub(crate) fn plain_answer(status: u16, body: &str) -> Script {
    let length = body.len();
    vec![Step::Send(format!(
        "HTTP/1.1 {status} Scripted\r\nContent-Type: text/plain\r\nContent-Length: {length}\r\nConnection: close\r\n\r\n{body}"
    ))]
}
