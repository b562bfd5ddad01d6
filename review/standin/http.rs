//! A small HTTP/1.1 server with a thread per connection, and a client for single requests.

use std::io::{self, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

/// A request that the server has read to its end.
pub struct Request {
    pub method: String,
    pub path: String,
    pub query: Vec<(String, String)>,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Request {
    pub fn header(&self, name: &str) -> Option<&str> {
        find(&self.headers, name)
    }

    pub fn number(&self, name: &str) -> Option<u64> {
        self.query.iter().find(|(key, _)| key == name)?.1.parse().ok()
    }

    pub fn text(&self, name: &str) -> Option<&str> {
        self.query.iter().find(|(key, _)| key == name).map(|(_, value)| value.as_str())
    }
}

fn find<'h>(headers: &'h [(String, String)], name: &str) -> Option<&'h str> {
    let mut found = headers.iter().filter(|(key, _)| key.eq_ignore_ascii_case(name));
    found.next().map(|(_, value)| value.as_str())
}

/// What a handler does with the connection after its answer.
pub enum Next {
    Keep,
    Close,
}

pub type Handler = dyn Fn(Request, &mut TcpStream) -> io::Result<Next> + Send + Sync;

/// Serves connections at `address` in threads of their own.
pub fn serve(address: SocketAddr, handler: Arc<Handler>) -> io::Result<()> {
    let listener = TcpListener::bind(address)?;
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let handler = handler.clone();
            thread::spawn(move || {
                let _ = serve_connection(stream, &*handler);
            });
        }
    });
    Ok(())
}

fn serve_connection(mut stream: TcpStream, handler: &Handler) -> io::Result<()> {
    stream.set_nodelay(true)?;
    let mut buffer = Vec::new();
    loop {
        let Some(request) = read_request(&mut stream, &mut buffer)? else { return Ok(()) };
        if let Next::Close = handler(request, &mut stream)? {
            return Ok(());
        }
    }
}

fn fill(stream: &mut TcpStream, buffer: &mut Vec<u8>) -> io::Result<bool> {
    let mut part = [0; 16 * 1024];
    let length = stream.read(&mut part)?;
    buffer.extend_from_slice(&part[..length]);
    Ok(length > 0)
}

fn find_bytes(bytes: &[u8], pattern: &[u8]) -> Option<usize> {
    bytes.windows(pattern.len()).position(|window| window == pattern)
}

fn read_request(stream: &mut TcpStream, buffer: &mut Vec<u8>) -> io::Result<Option<Request>> {
    let end = loop {
        if let Some(end) = find_bytes(buffer, b"\r\n\r\n") {
            break end;
        }
        if !fill(stream, buffer)? {
            return Ok(None);
        }
    };
    let head = String::from_utf8_lossy(&buffer[..end]).into_owned();
    buffer.drain(..end + 4);
    let mut lines = head.split("\r\n");
    let mut words = lines.next().unwrap_or_default().split(' ');
    let method = words.next().unwrap_or_default().to_owned();
    let target = words.next().unwrap_or_default();
    let (path, query) = target.split_once('?').unwrap_or((target, ""));
    let pairs = query.split('&').filter_map(|pair| pair.split_once('='));
    let query = pairs.map(|(key, value)| (key.to_owned(), value.to_owned())).collect();
    let headers = parse_headers(lines);
    let mut body = Vec::new();
    if let Some(length) = find(&headers, "content-length").and_then(|text| text.parse().ok()) {
        while buffer.len() < length {
            if !fill(stream, buffer)? {
                return Ok(None);
            }
        }
        body = buffer.drain(..length).collect();
    }
    Ok(Some(Request { method, path: path.to_owned(), query, headers, body }))
}

fn parse_headers<'l>(lines: impl Iterator<Item = &'l str>) -> Vec<(String, String)> {
    let pairs = lines.filter_map(|line| line.split_once(':'));
    pairs.map(|(name, value)| (name.to_owned(), value.trim().to_owned())).collect()
}

/// Sends a complete answer with a length.
pub fn answer(
    stream: &mut TcpStream,
    status: &str,
    headers: &[(&str, &str)],
    body: &[u8],
) -> io::Result<Next> {
    let mut head = format!("HTTP/1.1 {status}\r\nContent-Length: {}\r\n", body.len());
    for (name, value) in headers {
        head += &format!("{name}: {value}\r\n");
    }
    head += "\r\n";
    let mut bytes = head.into_bytes();
    bytes.extend_from_slice(body);
    stream.write_all(&bytes)?;
    Ok(Next::Keep)
}

/// How a request of a client ended.
#[derive(Debug, Clone)]
pub struct Outcome {
    /// Status of the answer; 0 if there was none.
    pub status: u16,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
    /// Whether the answer was received to its end.
    pub complete: bool,
    /// What ended an exchange without a complete answer.
    pub problem: String,
    pub elapsed: Duration,
}

impl Outcome {
    pub fn header(&self, name: &str) -> Option<&str> {
        find(&self.headers, name)
    }

    pub fn is_served(&self) -> bool {
        self.complete && self.status / 100 == 2
    }
}

/// Sends one request on a new connection and waits for the answer until `limit`.
pub fn call(address: SocketAddr, request: &[u8], limit: Duration) -> Outcome {
    let started = Instant::now();
    let mut outcome = Outcome {
        status: 0,
        headers: Vec::new(),
        body: Vec::new(),
        complete: false,
        problem: String::new(),
        elapsed: Duration::ZERO,
    };
    if let Err(error) = exchange(address, request, started + limit, &mut outcome) {
        outcome.problem = error.to_string();
    }
    outcome.elapsed = started.elapsed();
    outcome
}

fn remaining(end: Instant) -> io::Result<Duration> {
    let rest = end.saturating_duration_since(Instant::now());
    if rest.is_zero() {
        return Err(io::Error::new(io::ErrorKind::TimedOut, "the time limit passed"));
    }
    Ok(rest)
}

fn fill_until(stream: &mut TcpStream, buffer: &mut Vec<u8>, end: Instant) -> io::Result<bool> {
    stream.set_read_timeout(Some(remaining(end)?))?;
    fill(stream, buffer)
}

fn closed() -> io::Error {
    io::Error::new(io::ErrorKind::UnexpectedEof, "closed without a complete answer")
}

fn exchange(
    address: SocketAddr,
    request: &[u8],
    end: Instant,
    outcome: &mut Outcome,
) -> io::Result<()> {
    let connect_limit = remaining(end)?.min(Duration::from_secs(1));
    let mut stream = TcpStream::connect_timeout(&address, connect_limit)?;
    stream.set_nodelay(true)?;
    stream.write_all(request)?;
    let mut buffer = Vec::new();
    let head_end = loop {
        if let Some(position) = find_bytes(&buffer, b"\r\n\r\n") {
            break position;
        }
        if !fill_until(&mut stream, &mut buffer, end)? {
            return Err(closed());
        }
    };
    let head = String::from_utf8_lossy(&buffer[..head_end]).into_owned();
    buffer.drain(..head_end + 4);
    let mut lines = head.split("\r\n");
    let status = lines.next().unwrap_or_default().split(' ').nth(1);
    outcome.status = status.and_then(|status| status.parse().ok()).unwrap_or(0);
    outcome.headers = parse_headers(lines);
    if let Some(length) = outcome.header("content-length").and_then(|text| text.parse().ok()) {
        while buffer.len() < length {
            if !fill_until(&mut stream, &mut buffer, end)? {
                return Err(closed());
            }
        }
        buffer.truncate(length);
        outcome.body = buffer;
        outcome.complete = true;
        return Ok(());
    }
    loop {
        let line_end = loop {
            if let Some(position) = find_bytes(&buffer, b"\r\n") {
                break position;
            }
            if !fill_until(&mut stream, &mut buffer, end)? {
                return Err(closed());
            }
        };
        let size = String::from_utf8_lossy(&buffer[..line_end]).into_owned();
        let size = usize::from_str_radix(size.trim(), 16).map_err(|_| closed())?;
        while buffer.len() < line_end + 2 + size + 2 {
            if !fill_until(&mut stream, &mut buffer, end)? {
                return Err(closed());
            }
        }
        outcome.body.extend_from_slice(&buffer[line_end + 2..line_end + 2 + size]);
        buffer.drain(..line_end + 2 + size + 2);
        if size == 0 {
            outcome.complete = true;
            return Ok(());
        }
    }
}
