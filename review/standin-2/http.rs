//! A small HTTP/1.1 server and client on blocking sockets.

#![allow(dead_code, reason = "each case uses a part of it")]

use std::io::{BufRead, BufReader, ErrorKind, Result, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::thread;
use std::time::Duration;

/// Longest time that a caller waits for the next bytes of an answer.
const READ_LIMIT: Duration = Duration::from_secs(10);
/// Limit for opening a channel: what the pages give clients.
const CONNECT_LIMIT: Duration = Duration::from_secs(1);

/// A request as a server receives it.
pub struct Request {
    pub method: String,
    pub target: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

/// A complete answer as a client receives it.
pub struct Answer {
    pub status: u16,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

fn find<'h>(headers: &'h [(String, String)], name: &str) -> Option<&'h str> {
    let found = headers.iter().find(|(known, _)| known.eq_ignore_ascii_case(name));
    found.map(|(_, value)| value.as_str())
}

impl Request {
    pub fn header(&self, name: &str) -> &str {
        find(&self.headers, name).unwrap_or("")
    }

    /// The path without its query.
    pub fn path(&self) -> &str {
        self.target.split('?').next().unwrap_or("")
    }

    /// A value of the query.
    pub fn query(&self, name: &str) -> Option<&str> {
        let query = self.target.split_once('?')?.1;
        let pairs = query.split('&').filter_map(|pair| pair.split_once('='));
        pairs.filter(|(known, _)| *known == name).map(|(_, value)| value).next()
    }
}

impl Answer {
    pub fn header(&self, name: &str) -> &str {
        find(&self.headers, name).unwrap_or("")
    }
}

fn read_line(reader: &mut impl BufRead) -> Result<String> {
    let mut line = String::new();
    if reader.read_line(&mut line)? == 0 {
        return Err(ErrorKind::UnexpectedEof.into());
    }
    Ok(line.trim_end().to_owned())
}

fn read_headers(reader: &mut impl BufRead) -> Result<Vec<(String, String)>> {
    let mut headers = Vec::new();
    loop {
        let line = read_line(reader)?;
        if line.is_empty() {
            return Ok(headers);
        }
        if let Some((name, value)) = line.split_once(':') {
            headers.push((name.to_owned(), value.trim().to_owned()));
        }
    }
}

/// Reads a body; `until_end` tells whether one without a length ends with its channel.
fn read_body(
    reader: &mut impl BufRead,
    headers: &[(String, String)],
    until_end: bool,
) -> Result<Vec<u8>> {
    let mut body = Vec::new();
    let coding = find(headers, "transfer-encoding").unwrap_or("");
    if coding.eq_ignore_ascii_case("chunked") {
        loop {
            let line = read_line(reader)?;
            let length = usize::from_str_radix(line.split(';').next().unwrap_or("").trim(), 16)
                .map_err(|_| ErrorKind::InvalidData)?;
            if length == 0 {
                while !read_line(reader)?.is_empty() {}
                return Ok(body);
            }
            let start = body.len();
            body.resize(start + length, 0);
            reader.read_exact(&mut body[start..])?;
            read_line(reader)?;
        }
    }
    match find(headers, "content-length").and_then(|length| length.parse().ok()) {
        Some(length) => {
            body.resize(length, 0);
            reader.read_exact(&mut body)?;
        }
        None if until_end => {
            reader.read_to_end(&mut body)?;
        }
        None => {}
    }
    Ok(body)
}

/// Reads the next request of a channel.
pub fn read_request(reader: &mut BufReader<TcpStream>) -> Result<Request> {
    let line = read_line(reader)?;
    let mut words = line.split(' ');
    let (method, target) = (words.next().unwrap_or(""), words.next().unwrap_or(""));
    let (method, target) = (method.to_owned(), target.to_owned());
    let headers = read_headers(reader)?;
    let body = read_body(reader, &headers, false)?;
    Ok(Request { method, target, headers, body })
}

/// The head and body of an answer with a length.
pub fn answer(status: &str, headers: &str, body: &[u8]) -> Vec<u8> {
    let length = body.len();
    let head = format!("HTTP/1.1 {status}\r\n{headers}Content-Length: {length}\r\n\r\n");
    [head.as_bytes(), body].concat()
}

/// Accepts channels and answers the requests on each of them in turn with what `handle` returns.
pub fn serve(listener: TcpListener, handle: impl Fn(Request) -> Vec<u8> + Send + Sync + 'static) {
    let handle = Arc::new(handle);
    thread::spawn(move || {
        for stream in listener.incoming() {
            let Ok(stream) = stream else { continue };
            let handle = handle.clone();
            thread::spawn(move || {
                let _ = stream.set_nodelay(true);
                let Ok(mut writer) = stream.try_clone() else { return };
                let mut reader = BufReader::new(stream);
                while let Ok(request) = read_request(&mut reader) {
                    if writer.write_all(&handle(request)).is_err() {
                        return;
                    }
                }
            });
        }
    });
}

/// Sends one request over a new channel, and reads the complete answer.
pub fn call(address: SocketAddr, head: &str, body: &[u8]) -> Result<Answer> {
    let stream = TcpStream::connect_timeout(&address, CONNECT_LIMIT)?;
    stream.set_nodelay(true)?;
    stream.set_read_timeout(Some(READ_LIMIT))?;
    let mut writer = stream.try_clone()?;
    writer.write_all(&[head.as_bytes(), body].concat())?;
    let mut reader = BufReader::new(stream);
    let line = read_line(&mut reader)?;
    let status = line.split(' ').nth(1).and_then(|status| status.parse().ok());
    let status = status.ok_or(ErrorKind::InvalidData)?;
    let headers = read_headers(&mut reader)?;
    let body = read_body(&mut reader, &headers, true)?;
    Ok(Answer { status, headers, body })
}
