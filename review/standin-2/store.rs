//! The platform's store, as far as entries and sidecars call it: the topics `keyed.op` and
//! `keyed.servers` with `GET /log-newest` and `GET /log-read`.

#![allow(dead_code, reason = "each case uses a part of it")]

use std::collections::BTreeMap;
use std::net::{SocketAddr, TcpListener};
use std::sync::{Arc, Condvar, Mutex};
use std::time::{Duration, Instant};

use crate::http::{Request, answer, serve};

const ALPHABET: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";

type Topics = BTreeMap<String, Vec<(String, Vec<u8>)>>;

/// A running store.
pub struct Store {
    pub address: SocketAddr,
    topics: Mutex<Topics>,
    changed: Condvar,
}

impl Store {
    pub fn start() -> Arc<Self> {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let address = listener.local_addr().expect("a bound port");
        let (topics, changed) = (Mutex::default(), Condvar::new());
        let store = Arc::new(Self { address, topics, changed });
        let served = store.clone();
        serve(listener, move |request| served.reply(&request));
        store
    }

    /// Appends a record; the store acknowledges it at the returned time. An empty value drops the key.
    pub fn write(&self, topic: &str, key: &str, value: &str) -> Instant {
        let mut topics = self.topics.lock().expect("no panic");
        let records = topics.entry(topic.to_owned()).or_default();
        records.push((key.to_owned(), value.as_bytes().to_vec()));
        self.changed.notify_all();
        Instant::now()
    }

    fn reply(&self, request: &Request) -> Vec<u8> {
        let topic = request.query("topic").unwrap_or("");
        match (request.method.as_str(), request.path()) {
            ("GET", "/log-newest") => self.newest(topic),
            ("GET", "/log-read") => {
                let number = |name| request.query(name).and_then(|text| text.parse::<u64>().ok());
                let from = number("from").unwrap_or(0) as usize;
                self.read(topic, from, Duration::from_millis(number("wait_ms").unwrap_or(0)))
            }
            _ => answer("404 Not Found", "Store-Era: 0\r\n", b""),
        }
    }

    fn newest(&self, topic: &str) -> Vec<u8> {
        let topics = self.topics.lock().expect("no panic");
        let records = topics.get(topic).map_or(&[][..], Vec::as_slice);
        let mut newest = BTreeMap::new();
        for (offset, (key, value)) in records.iter().enumerate() {
            newest.insert(key, (offset, value));
        }
        let held = newest.iter().filter(|(_, (_, value))| !value.is_empty());
        let items: Vec<String> = held
            .map(|(key, (offset, value))| {
                let value = base64(value);
                format!(r#"{{"key":"{key}","value":"{value}","offset":{offset}}}"#)
            })
            .collect();
        let (items, end) = (items.join(","), records.len());
        let body = format!(r#"{{"items":[{items}],"has_more":false,"end":{end}}}"#);
        let headers = "Store-Era: 0\r\nContent-Type: application/json\r\n";
        answer("200 OK", headers, body.as_bytes())
    }

    fn read(&self, topic: &str, from: usize, wait: Duration) -> Vec<u8> {
        let topics = self.topics.lock().expect("no panic");
        let is_empty = |topics: &mut Topics| topics.get(topic).map_or(0, Vec::len) <= from;
        let (topics, _) =
            self.changed.wait_timeout_while(topics, wait, is_empty).expect("no panic");
        let records = topics.get(topic).map_or(&[][..], Vec::as_slice);
        if from > records.len() {
            return answer("410 Gone", "Store-Era: 0\r\n", br#"{"first":0}"#);
        }
        let mut body = (records.len() as u64).to_be_bytes().to_vec();
        body.extend(0_u64.to_be_bytes());
        for (key, value) in &records[from..] {
            let length = 1 + key.len() + value.len();
            body.extend((length as u32).to_be_bytes());
            body.push(key.len() as u8);
            body.extend(key.as_bytes());
            body.extend(value);
        }
        answer("200 OK", "Store-Era: 0\r\n", &body)
    }
}

fn base64(bytes: &[u8]) -> String {
    let mut text = String::new();
    for group in bytes.chunks(3) {
        let padded = [group, &[0, 0]].concat();
        let bits = u32::from_be_bytes([0, padded[0], padded[1], padded[2]]);
        for place in 0..4 {
            let is_used = place <= group.len();
            let index = (bits >> (18 - 6 * place) & 63) as usize;
            text.push(if is_used { char::from(ALPHABET[index]) } else { '=' });
        }
    }
    text
}
