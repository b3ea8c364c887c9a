//! The platform's store, as far as a sidecar uses it: keyed topics with one
//! partition, conditional appends, long polls.

use std::collections::BTreeMap;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::sync::Arc;
use std::sync::Condvar;
use std::sync::Mutex;
use std::time::Duration;
use std::time::Instant;

use crate::http::Connection;
use crate::http::Message;
use crate::http::serve;
use crate::wire::base64;
use crate::wire::name;

/// Key and value of each record; the index is its offset.
type Topics = HashMap<String, Vec<(Vec<u8>, Vec<u8>)>>;

/// A running store. Clones share it.
#[derive(Clone)]
pub struct Store {
    pub address: SocketAddr,
    state: Arc<(Mutex<Topics>, Condvar)>,
}

impl Store {
    pub fn start() -> std::io::Result<Self> {
        let listener = TcpListener::bind(("127.0.0.1", 0))?;
        let store = Self {
            address: listener.local_addr()?,
            state: Arc::default(),
        };
        let shared = store.clone();
        serve(
            listener,
            Arc::new(move |connection, message| shared.answer(connection, &message)),
        );
        Ok(store)
    }

    /// Writes a record as the operator does.
    pub fn put(&self, topic: &str, key: &str, value: &str) {
        let (topics, changed) = &*self.state;
        topics
            .lock()
            .unwrap()
            .entry(topic.to_owned())
            .or_default()
            .push((key.into(), value.into()));
        changed.notify_all();
    }

    fn answer(&self, connection: &mut Connection, message: &Message) -> std::io::Result<()> {
        let (_method, target) = message.target();
        let (path, query) = target.split_once('?').unwrap_or((target, ""));
        let field = |name: &str| {
            query
                .split('&')
                .filter_map(|pair| pair.split_once('='))
                .find(|(known, _)| *known == name)
                .map(|(_, value)| value)
        };
        let number = |name: &str| field(name).and_then(|text| text.parse::<usize>().ok());
        let topic = field("topic").unwrap_or("").to_owned();
        let (status, body) = if path == name("append") {
            self.append(topic, number("at"), &message.body)
        } else if path == name("read") {
            self.read(&topic, number("from").unwrap_or(0), number("waitMs").unwrap_or(0))
        } else if path == name("newest") {
            self.newest(topic)
        } else {
            (404, Vec::new())
        };
        connection.reply(status, &[("store-era", "0")], &body)
    }

    fn append(&self, topic: String, at: Option<usize>, mut body: &[u8]) -> (u16, Vec<u8>) {
        // An append takes some milliseconds.
        std::thread::sleep(Duration::from_millis(2));
        let (topics, changed) = &*self.state;
        let mut topics = topics.lock().unwrap();
        let records = topics.entry(topic).or_default();
        let offset = records.len();
        if at.is_some_and(|at| at != offset) {
            return (412, format!("{{\"endOffset\":{offset}}}").into());
        }
        while body.len() > 4 {
            let length = u32::from_be_bytes([body[0], body[1], body[2], body[3]]) as usize;
            let record = &body[4..4 + length];
            let key_end = 1 + usize::from(record[0]);
            records.push((record[1..key_end].to_vec(), record[key_end..].to_vec()));
            body = &body[4 + length..];
        }
        let end = records.len();
        changed.notify_all();
        (200, format!("{{\"offset\":{offset},\"endOffset\":{end}}}").into())
    }

    fn read(&self, topic: &str, from: usize, wait_ms: usize) -> (u16, Vec<u8>) {
        let until = Instant::now() + Duration::from_millis(wait_ms as u64);
        let (topics, changed) = &*self.state;
        let mut topics = topics.lock().unwrap();
        loop {
            let records = topics.get(topic).map_or(&[][..], |records| records);
            if from > records.len() {
                return (410, b"{\"firstOffset\":0}".to_vec());
            }
            let left = until.saturating_duration_since(Instant::now());
            if from < records.len() || left.is_zero() {
                let mut body = (records.len() as u64).to_be_bytes().to_vec();
                body.extend(0_u64.to_be_bytes());
                for (key, value) in &records[from..] {
                    body.extend(((1 + key.len() + value.len()) as u32).to_be_bytes());
                    body.push(key.len() as u8);
                    body.extend(key);
                    body.extend(value);
                }
                return (200, body);
            }
            topics = changed.wait_timeout(topics, left).unwrap().0;
        }
    }

    fn newest(&self, topic: String) -> (u16, Vec<u8>) {
        let mut topics = self.state.0.lock().unwrap();
        let records = topics.entry(topic).or_default();
        let mut newest = BTreeMap::new();
        for (offset, (key, value)) in records.iter().enumerate() {
            if value.is_empty() {
                newest.remove(key);
            } else {
                newest.insert(key, (offset, value));
            }
        }
        let items: Vec<String> = newest
            .iter()
            .map(|(key, (offset, value))| {
                format!(
                    "{{\"key\":\"{}\",\"value\":\"{}\",\"offset\":{offset}}}",
                    String::from_utf8_lossy(key),
                    base64(value)
                )
            })
            .collect();
        let body = format!(
            "{{\"items\":[{}],\"more\":false,\"endOffset\":{}}}",
            items.join(","),
            records.len()
        );
        (200, body.into())
    }
}
