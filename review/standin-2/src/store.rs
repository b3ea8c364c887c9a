//! Stand-in for the platform's store, as far as the sidecars use it: topics of keyed
//! records with one partition.

use std::collections::BTreeMap;
use std::collections::HashMap;
use std::io::BufReader;
use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::net::TcpStream;
use std::sync::Arc;
use std::sync::Condvar;
use std::sync::Mutex;
use std::time::Duration;
use std::time::Instant;

use crate::http;
use crate::http::Request;
use crate::names::name_of;

/// Time that the store takes for a call.
const ANSWER_TIME: Duration = Duration::from_millis(4);

const PAGE_ITEMS: usize = 500;

type Topics = HashMap<String, Vec<(String, Vec<u8>)>>;

#[derive(Debug, Clone)]
pub struct Store {
    pub address: SocketAddr,
    topics: Arc<(Mutex<Topics>, Condvar)>,
}

impl Store {
    pub fn start() -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let store = Self {
            address: listener.local_addr().unwrap(),
            topics: Arc::default(),
        };
        let served = store.clone();
        std::thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let served = served.clone();
                std::thread::spawn(move || served.serve(stream));
            }
        });
        store
    }

    /// Appends a record, as the operator does.
    pub fn put(&self, topic: &str, key: &str, value: &[u8]) {
        let mut topics = self.topics.0.lock().unwrap();
        let records = topics.entry(topic.to_owned()).or_default();
        records.push((key.to_owned(), value.to_owned()));
        self.topics.1.notify_all();
    }

    fn serve(&self, mut stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        let Ok(copy) = stream.try_clone() else { return };
        let mut reader = BufReader::new(copy);
        while let Ok(request) = http::read_request(&mut reader) {
            std::thread::sleep(ANSWER_TIME);
            let response = self.answer(&request);
            if stream.write_all(&response).is_err() {
                return;
            }
        }
    }

    fn answer(&self, request: &Request) -> Vec<u8> {
        let topic = request.query_value("topic").unwrap_or_default();
        match &*request.path {
            path if path == name_of("append") => self.append(request, topic),
            path if path == name_of("read") => self.read(request, topic),
            path if path == name_of("newest") => self.newest(request, topic),
            _ => http::response(404, &[], b""),
        }
    }

    fn append(&self, request: &Request, topic: &str) -> Vec<u8> {
        let mut topics = self.topics.0.lock().unwrap();
        let records = topics.entry(topic.to_owned()).or_default();
        let end = records.len();
        let at = request.query_value("at").and_then(|at| at.parse().ok());
        if at.is_some_and(|at: usize| at != end) {
            let body = format!("{{\"endOffset\":{end}}}");
            return http::response(412, &[], body.as_bytes());
        }
        let mut rest = &request.message.body[..];
        while rest.len() >= 4 {
            let length = u32::from_be_bytes([rest[0], rest[1], rest[2], rest[3]]) as usize;
            let record = &rest[4..4 + length];
            let key = 1 + usize::from(record[0]);
            let text = String::from_utf8_lossy(&record[1..key]).into_owned();
            records.push((text, record[key..].to_vec()));
            rest = &rest[4 + length..];
        }
        let body = format!("{{\"offset\":{end},\"endOffset\":{}}}", records.len());
        self.topics.1.notify_all();
        http::response(200, &[], body.as_bytes())
    }

    fn read(&self, request: &Request, topic: &str) -> Vec<u8> {
        let number = |name: &str| -> usize {
            let value = request.query_value(name);
            value.and_then(|value| value.parse().ok()).unwrap_or(0)
        };
        let (from, wait) = (number("from"), number("waitMs").min(30_000));
        let until = Instant::now() + Duration::from_millis(wait as u64);
        let mut topics = self.topics.0.lock().unwrap();
        loop {
            let records = topics.entry(topic.to_owned()).or_default();
            let end = records.len();
            if from > end {
                return http::response(410, &[], b"{\"firstOffset\":0}");
            }
            let left = until.saturating_duration_since(Instant::now());
            if from < end || left.is_zero() {
                let mut body = (end as u64).to_be_bytes().to_vec();
                body.extend(0_u64.to_be_bytes());
                for (key, value) in &records[from..] {
                    let length = (1 + key.len() + value.len()) as u32;
                    body.extend(length.to_be_bytes());
                    body.push(key.len() as u8);
                    body.extend(key.as_bytes());
                    body.extend(value);
                }
                return http::response(200, &[], &body);
            }
            topics = self.topics.1.wait_timeout(topics, left).unwrap().0;
        }
    }

    fn newest(&self, request: &Request, topic: &str) -> Vec<u8> {
        let after = percent_decode(request.query_value("after").unwrap_or_default());
        let mut topics = self.topics.0.lock().unwrap();
        let records = topics.entry(topic.to_owned()).or_default();
        let mut newest: BTreeMap<&str, (usize, &[u8])> = BTreeMap::new();
        for (offset, (key, value)) in records.iter().enumerate() {
            newest.insert(key, (offset, value));
        }
        newest.retain(|key, (_, value)| !value.is_empty() && (after.is_empty() || **key > *after));
        let items: Vec<String> = newest
            .iter()
            .take(PAGE_ITEMS)
            .map(|(key, (offset, value))| {
                let value = base64(value);
                format!("{{\"key\":\"{key}\",\"value\":\"{value}\",\"offset\":{offset}}}")
            })
            .collect();
        let body = format!(
            "{{\"items\":[{}],\"more\":{},\"endOffset\":{}}}",
            items.join(","),
            newest.len() > PAGE_ITEMS,
            records.len()
        );
        http::response(
            200,
            &[("Content-Type", "application/json")],
            body.as_bytes(),
        )
    }
}

fn percent_decode(text: &str) -> String {
    let mut bytes = Vec::new();
    let mut rest = text.as_bytes();
    while let Some((&first, tail)) = rest.split_first() {
        if first == b'%' && tail.len() >= 2 {
            let code = std::str::from_utf8(&tail[..2]).unwrap_or("20");
            bytes.push(u8::from_str_radix(code, 16).unwrap_or(b' '));
            rest = &tail[2..];
        } else {
            bytes.push(first);
            rest = tail;
        }
    }
    String::from_utf8_lossy(&bytes).into_owned()
}

fn base64(bytes: &[u8]) -> String {
    const DIGITS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut text = String::new();
    for chunk in bytes.chunks(3) {
        let mut block = [0; 3];
        block[..chunk.len()].copy_from_slice(chunk);
        let bits = u32::from_be_bytes([0, block[0], block[1], block[2]]);
        for digit in 0..4 {
            if digit <= chunk.len() {
                let index = (bits >> (18 - 6 * digit)) & 63;
                text.push(char::from(DIGITS[index as usize]));
            } else {
                text.push('=');
            }
        }
    }
    text
}
