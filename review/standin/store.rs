//! The platform's store: the two keyed topics that the system reads.

use std::collections::BTreeMap;
use std::io;
use std::net::{SocketAddr, TcpStream};
use std::sync::{Arc, Condvar, Mutex};
use std::time::{Duration, Instant};

use crate::http::{answer, serve, Next, Request};

/// Header of all answers; the store is never restored here.
const STORE_ERA: (&str, &str) = ("Store-Era", "1");

#[derive(Clone)]
struct Record {
    key: String,
    value: Vec<u8>,
}

#[derive(Default)]
struct Topics {
    by_name: BTreeMap<String, Vec<Record>>,
}

/// A running store.
pub struct Store {
    topics: Mutex<Topics>,
    changed: Condvar,
}

impl Store {
    pub fn start(address: SocketAddr) -> io::Result<Arc<Self>> {
        let store = Arc::new(Self { topics: Mutex::default(), changed: Condvar::new() });
        let served = store.clone();
        serve(address, Arc::new(move |request, stream| served.handle(&request, stream)))?;
        Ok(store)
    }

    /// Appends a record; an empty value drops the key.
    pub fn write(&self, topic: &str, key: &str, value: &str) {
        let mut topics = self.topics.lock().unwrap();
        let record = Record { key: key.to_owned(), value: value.as_bytes().to_vec() };
        topics.by_name.entry(topic.to_owned()).or_default().push(record);
        self.changed.notify_all();
    }

    fn handle(&self, request: &Request, stream: &mut TcpStream) -> io::Result<Next> {
        let topic = request.text("topic").unwrap_or_default();
        match request.path.as_str() {
            "/log-newest" => {
                let body = self.newest(topic);
                let headers = [("Content-Type", "application/json"), STORE_ERA];
                answer(stream, "200 OK", &headers, body.as_bytes())
            }
            "/log-read" => {
                let from = request.number("from").unwrap_or(0) as usize;
                let wait = Duration::from_millis(request.number("wait_ms").unwrap_or(0));
                match self.read(topic, from, wait) {
                    Some(body) => answer(stream, "200 OK", &[STORE_ERA], &body),
                    None => answer(stream, "410 Gone", &[STORE_ERA], b"{\"first\":0}"),
                }
            }
            _ => answer(stream, "404 Not Found", &[STORE_ERA], b""),
        }
    }

    fn newest(&self, topic: &str) -> String {
        let topics = self.topics.lock().unwrap();
        let records = topics.by_name.get(topic).map(Vec::as_slice).unwrap_or_default();
        let mut newest = BTreeMap::new();
        for (offset, record) in records.iter().enumerate() {
            newest.insert(&record.key, (offset, record));
        }
        let items = newest.into_iter().filter(|(_, (_, record))| !record.value.is_empty());
        let items: Vec<String> = items
            .map(|(key, (offset, record))| {
                let value = base64(&record.value);
                format!("{{\"key\":\"{key}\",\"value\":\"{value}\",\"offset\":{offset}}}")
            })
            .collect();
        let (items, end) = (items.join(","), records.len());
        format!("{{\"items\":[{items}],\"has_more\":false,\"end\":{end}}}")
    }

    fn read(&self, topic: &str, from: usize, wait: Duration) -> Option<Vec<u8>> {
        let until = Instant::now() + wait;
        let mut topics = self.topics.lock().unwrap();
        loop {
            let end = topics.by_name.get(topic).map_or(0, Vec::len);
            let rest = until.saturating_duration_since(Instant::now());
            if from > end {
                return None;
            }
            if end > from || rest.is_zero() {
                break;
            }
            topics = self.changed.wait_timeout(topics, rest).unwrap().0;
        }
        let records = topics.by_name.get(topic).map(Vec::as_slice).unwrap_or_default();
        let mut body = (records.len() as u64).to_be_bytes().to_vec();
        body.extend_from_slice(&0_u64.to_be_bytes());
        for record in &records[from..] {
            let length = 1 + record.key.len() + record.value.len();
            body.extend_from_slice(&(length as u32).to_be_bytes());
            body.push(record.key.len() as u8);
            body.extend_from_slice(record.key.as_bytes());
            body.extend_from_slice(&record.value);
        }
        Some(body)
    }
}

fn base64(bytes: &[u8]) -> String {
    const ALPHABET: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut text = String::new();
    for part in bytes.chunks(3) {
        let mut group = [0; 3];
        group[..part.len()].copy_from_slice(part);
        let number = u32::from_be_bytes([0, group[0], group[1], group[2]]);
        for index in 0..4 {
            let digit = (number >> (18 - 6 * index)) & 63;
            let is_padding = index > part.len();
            text.push(if is_padding { '=' } else { ALPHABET[digit as usize] as char });
        }
    }
    text
}
