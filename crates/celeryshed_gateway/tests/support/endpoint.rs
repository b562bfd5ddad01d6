//! An endpoint that answers requests with scripted bytes.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::time::{Instant, sleep};

/// A step that an endpoint takes after it has received a request.
#[derive(Clone, Debug)]
pub(crate) enum ScriptStep {
    /// Sends these bytes; `{id}` is replaced by the request's id.
    Send(&'static str),
    /// Waits for this many milliseconds.
    Pause(u64),
    /// Closes the connection with a reset.
    Reset,
    /// Closes the connection without a reset, and the listening socket.
    Stop,
    /// Closes the connection with a reset, and the listening socket as well, if the request
    /// contains this text.
    CrashOn(&'static str),
    /// Keeps the connection open and silent until the entry closes it.
    Hang,
    /// Sends the same bytes again and again, with a pause of this many milliseconds between, until
    /// the entry closes the connection.
    Repeat(&'static str, u64),
}

/// A request that an endpoint received.
#[derive(Clone, Debug)]
pub(crate) struct RecordedRequest {
    pub(crate) text: String,
    pub(crate) received_at: Instant,
    /// When the entry closed the connection; set only during [`ScriptStep::Hang`] and
    /// [`ScriptStep::Repeat`].
    pub(crate) closed_at: Option<Instant>,
    /// Bytes that [`ScriptStep::Repeat`] has sent.
    pub(crate) repeated_bytes: usize,
}

impl RecordedRequest {
    pub(crate) fn header(&self, name: &str) -> Option<&str> {
        let pairs = self.text.lines().filter_map(|line| line.split_once(": "));
        pairs.into_iter().find(|(key, _)| key.eq_ignore_ascii_case(name)).map(|(_, value)| value)
    }
}

/// An endpoint that follows a script for each request.
pub(crate) struct ScriptedEndpoint {
    pub(crate) id: String,
    pub(crate) address: SocketAddr,
    pub(crate) requests: Arc<Mutex<Vec<RecordedRequest>>>,
}

impl ScriptedEndpoint {
    /// Starts an endpoint. The n-th request gets the n-th script; further requests get the last
    /// script.
    pub(crate) async fn start(id: &str, scripts: Vec<Vec<ScriptStep>>) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let address = listener.local_addr().unwrap();
        let requests: Arc<Mutex<Vec<RecordedRequest>>> = Arc::default();
        let recorded = requests.clone();
        let (crash, mut crashed) = tokio::sync::mpsc::channel(1);
        tokio::spawn(async move {
            loop {
                let accepted = tokio::select! {
                    accepted = listener.accept() => accepted,
                    _ = crashed.recv() => return,
                };
                let Ok((stream, _)) = accepted else { return };
                tokio::spawn(answer(stream, scripts.clone(), recorded.clone(), crash.clone()));
            }
        });
        Self { id: id.to_owned(), address, requests }
    }

    /// Number of requests received.
    pub(crate) fn count(&self) -> usize {
        self.requests.lock().unwrap().len()
    }

    /// The request with this index, counted from 0.
    pub(crate) fn request(&self, index: usize) -> RecordedRequest {
        self.requests.lock().unwrap()[index].clone()
    }
}

async fn answer(
    mut stream: TcpStream,
    scripts: Vec<Vec<ScriptStep>>,
    requests: Arc<Mutex<Vec<RecordedRequest>>>,
    crash: tokio::sync::mpsc::Sender<()>,
) {
    let Some(text) = read_request(&mut stream).await else { return };
    let recorded =
        RecordedRequest { text, received_at: Instant::now(), closed_at: None, repeated_bytes: 0 };
    let id = recorded.header("x-request").unwrap_or_default().to_owned();
    let index = {
        let mut requests = requests.lock().unwrap();
        requests.push(recorded);
        requests.len() - 1
    };
    for step in &scripts[index.min(scripts.len() - 1)] {
        match step {
            ScriptStep::Send(text) => {
                // The entry may have closed the connection; tests check its effects.
                let _ = stream.write_all(text.replace("{id}", &id).as_bytes()).await;
            }
            ScriptStep::Pause(millis) => sleep(Duration::from_millis(*millis)).await,
            ScriptStep::Repeat(text, millis) => {
                while stream.write_all(text.as_bytes()).await.is_ok() {
                    requests.lock().unwrap()[index].repeated_bytes += text.len();
                    sleep(Duration::from_millis(*millis)).await;
                }
                requests.lock().unwrap()[index].closed_at = Some(Instant::now());
                return;
            }
            ScriptStep::Reset => {
                stream.set_zero_linger().unwrap();
                return;
            }
            ScriptStep::Stop => {
                let _ = crash.send(()).await;
                return;
            }
            ScriptStep::CrashOn(text) => {
                if requests.lock().unwrap()[index].text.contains(text) {
                    let _ = crash.send(()).await;
                    stream.set_zero_linger().unwrap();
                    return;
                }
            }
            ScriptStep::Hang => {
                let mut rest = [0; 64];
                while matches!(stream.read(&mut rest).await, Ok(length) if length > 0) {}
                requests.lock().unwrap()[index].closed_at = Some(Instant::now());
                return;
            }
        }
    }
}

async fn read_request(stream: &mut TcpStream) -> Option<String> {
    let mut bytes = Vec::new();
    loop {
        let mut buffer = [0; 4096];
        let length = stream.read(&mut buffer).await.ok().filter(|length| *length > 0)?;
        bytes.extend_from_slice(&buffer[..length]);
        let text = String::from_utf8_lossy(&bytes);
        let Some((head, body)) = text.split_once("\r\n\r\n") else { continue };
        let lengths = head.lines().filter_map(|line| line.split_once(": "));
        let expected = lengths
            .into_iter()
            .find(|(key, _)| key.eq_ignore_ascii_case("content-length"))
            .and_then(|(_, value)| value.parse().ok())
            .unwrap_or(0);
        if body.len() >= expected {
            return Some(text.into_owned());
        }
    }
}
