//! An endpoint of a service: it pings its sidecar, takes grants and releases, and
//! runs requests.

use std::net::SocketAddr;
use std::net::TcpListener;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::time::Duration;
use std::time::SystemTime;
use std::time::UNIX_EPOCH;

use crate::http::Connection;
use crate::http::Message;
use crate::http::call;
use crate::http::serve;
use crate::machine::Machine;
use crate::record::Record;
use crate::wire::json_field;
use crate::wire::json_number;
use crate::wire::millis;
use crate::wire::name;

/// What an endpoint's service is like.
#[derive(Clone, Copy)]
pub struct Work {
    pub slots: usize,
    /// Requests that wait when all slots are taken.
    pub queue: usize,
    pub time: Duration,
    pub answer_bytes: usize,
    pub sharded: bool,
}

/// A grant that an endpoint accepted. Times are those of the record.
#[derive(Debug, Clone, Copy)]
pub struct Grant {
    pub endpoint: u8,
    pub at: u64,
    pub from: u16,
    pub to: u16,
    pub until: u64,
}

/// A request that an endpoint began to work on.
#[derive(Debug, Clone)]
pub struct Run {
    pub endpoint: u8,
    pub id: String,
    pub key: Option<u16>,
    pub begun: u64,
    pub ended: Option<u64>,
}

/// What all endpoints saw.
#[derive(Default)]
pub struct Seen {
    pub grants: Mutex<Vec<Grant>>,
    pub runs: Mutex<Vec<Run>>,
}

struct Keys {
    /// Fence and end of the hold of each key.
    held: Vec<(u64, u64)>,
    /// Highest fence seen for each key.
    highest: Vec<u64>,
    running: Vec<u32>,
    /// End of the last grant of each key, whether it was released since or not.
    lease_end: Vec<u64>,
}

pub struct Endpoint {
    number: u8,
    id: String,
    service: &'static str,
    address: SocketAddr,
    /// Where its sidecar takes pings.
    control: SocketAddr,
    born: u128,
    pings: AtomicUsize,
    silent: AtomicBool,
    work: Work,
    record: Record,
    seen: Arc<Seen>,
    keys: Mutex<Keys>,
    active: AtomicUsize,
    waiting: AtomicUsize,
    stopped: AtomicBool,
    /// Whether the endpoint is faulty: it writes up to [`EXTRA_SHARE`] of its answers
    /// once more. Set at run time.
    repeats: AtomicBool,
    answers: AtomicUsize,
    extras: AtomicUsize,
}

/// Share of its answers that a faulty endpoint writes once more.
const EXTRA_SHARE: f64 = 0.03;

impl Endpoint {
    /// Starts the endpoint of a machine.
    pub fn start(machine: &Machine, work: Work, heartbeat_ms: u64, record: &Record, seen: &Arc<Seen>) -> Arc<Self> {
        let listener = TcpListener::bind(machine.app()).expect("the endpoint's address is free");
        let endpoint = Arc::new(Self {
            number: machine.number,
            id: format!("i-{}", machine.number),
            service: machine.service,
            address: machine.app(),
            control: machine.control(),
            born: SystemTime::now()
                .duration_since(UNIX_EPOCH)
                .map_or(0, |time| time.as_millis()),
            pings: AtomicUsize::new(0),
            silent: AtomicBool::new(false),
            work,
            record: record.clone(),
            seen: Arc::clone(seen),
            keys: Mutex::new(Keys {
                held: vec![(0, 0); 65536],
                highest: vec![0; 65536],
                running: vec![0; 65536],
                lease_end: vec![0; 65536],
            }),
            active: AtomicUsize::new(0),
            waiting: AtomicUsize::new(0),
            stopped: AtomicBool::new(false),
            repeats: AtomicBool::new(false),
            answers: AtomicUsize::new(0),
            extras: AtomicUsize::new(0),
        });
        let shared = Arc::clone(&endpoint);
        serve(
            listener,
            Arc::new(move |connection, message| shared.answer(connection, &message)),
        );
        let shared = Arc::clone(&endpoint);
        std::thread::spawn(move || {
            while !shared.stopped.load(Ordering::Relaxed) {
                if !shared.silent.load(Ordering::Relaxed) {
                    let ping = shared.next_ping();
                    shared.send_ping(&ping);
                }
                std::thread::sleep(Duration::from_millis(heartbeat_ms));
            }
        });
        endpoint
    }

    /// Begins or ends a spell in which the endpoint is faulty. The share of its answers
    /// that it writes once more is counted for each spell.
    pub fn set_faulty(&self, faulty: bool) {
        self.answers.store(0, Ordering::Relaxed);
        self.extras.store(0, Ordering::Relaxed);
        self.repeats.store(faulty, Ordering::Relaxed);
    }

    /// Returns the body of the endpoint's next ping, with the state `ready`.
    pub fn next_ping(&self) -> String {
        format!(
            "{{\"service\":\"{}\",\"address\":\"{}\",\"zone\":\"a\",\"version\":\"v1\",\"slots\":{},\
             \"state\":\"ready\",\"coldRemaining\":\"0ms\",\"seq\":{},\"born\":{}}}",
            self.service,
            self.address,
            self.work.slots,
            1 + self.pings.fetch_add(1, Ordering::Relaxed),
            self.born
        )
    }

    /// Sends a ping. The sidecar may be down; the next one follows at its time.
    pub fn send_ping(&self, body: &str) {
        let path = format!("POST {}{}", name("heartbeat"), self.id);
        let headers = [("content-type", "application/json")];
        let _ = call(self.control, &path, &headers, body.as_bytes(), Duration::from_secs(1));
    }

    /// Sends no more pings from now on, and deregisters. Returns whether that was
    /// acknowledged. The endpoint goes on serving.
    pub fn deregister(&self) -> bool {
        self.silent.store(true, Ordering::Relaxed);
        let path = format!("POST {}{}", name("deregister"), self.id);
        call(self.control, &path, &[], &[], Duration::from_secs(1)).is_ok_and(|answer| answer.status() == 200)
    }

    /// The endpoint's machine loses power: it pings, serves and holds no more.
    pub fn stop(&self) {
        self.stopped.store(true, Ordering::Relaxed);
    }

    fn answer(&self, connection: &mut Connection, message: &Message) -> std::io::Result<()> {
        if self.stopped.load(Ordering::Relaxed) {
            return Err(std::io::ErrorKind::ConnectionAborted.into());
        }
        let answers = 1 + self.answers.fetch_add(1, Ordering::Relaxed);
        if let Some(status) = connection.extra.take() {
            self.record.line(&format!(
                "endpoint {} writes an earlier answer {status} once more",
                self.number
            ));
            connection.reply(status, &[], &[])?;
        }
        let (method, path) = message.target();
        if path == "/grant" && self.repeats.load(Ordering::Relaxed) {
            let extras = self.extras.load(Ordering::Relaxed);
            if (extras + 1) as f64 <= answers as f64 * EXTRA_SHARE {
                self.extras.fetch_add(1, Ordering::Relaxed);
                connection.extra = Some(200);
            }
        }
        match (method, path) {
            ("POST", "/grant") => self.grant(connection, message.text()),
            ("POST", "/release") => self.release(connection, message.text()),
            ("GET", "/health") => connection.reply(200, &[("instance-id", &self.id)], &[]),
            _ => self.run(connection, message),
        }
    }

    fn grant(&self, connection: &mut Connection, body: &str) -> std::io::Result<()> {
        let (from, to, fence) = (json_number(body, "from"), json_number(body, "to"), json_number(body, "fence"));
        let hold = millis(json_field(body, "hold_time").unwrap_or("0ms"));
        let now = self.record.now();
        let span = from as usize..=to as usize;
        let accepted = {
            let mut keys = self.keys.lock().unwrap();
            let accepted = keys.highest[span.clone()].iter().all(|highest| *highest <= fence);
            if accepted {
                for key in span {
                    keys.highest[key] = fence;
                    keys.held[key] = (fence, now + hold);
                    keys.lease_end[key] = now + hold;
                }
            }
            accepted
        };
        if accepted {
            self.seen.grants.lock().unwrap().push(Grant {
                endpoint: self.number,
                at: now,
                from: from as u16,
                to: to as u16,
                until: now + hold,
            });
        }
        let answer = if accepted { 200 } else { 409 };
        self.record.line(&format!(
            "endpoint {} grant {from}..{to} fence {fence} hold {hold}ms answer {answer}",
            self.number
        ));
        connection.reply(answer, &[], &[])
    }

    fn release(&self, connection: &mut Connection, body: &str) -> std::io::Result<()> {
        let (from, to, fence) = (json_number(body, "from"), json_number(body, "to"), json_number(body, "fence"));
        let span = from as usize..=to as usize;
        for held in &mut self.keys.lock().unwrap().held[span.clone()] {
            if held.0 <= fence {
                *held = (held.0, 0);
            }
        }
        self.record
            .line(&format!("endpoint {} release {from}..{to} fence {fence}", self.number));
        while self.keys.lock().unwrap().running[span.clone()]
            .iter()
            .any(|running| *running > 0)
        {
            std::thread::sleep(Duration::from_millis(2));
        }
        connection.reply(200, &[("handover", &format!("h{fence}"))], &[])
    }

    fn run(&self, connection: &mut Connection, message: &Message) -> std::io::Result<()> {
        let id = message.header("request-id").unwrap_or("").to_owned();
        let refuse = |connection: &mut Connection, status: u16| {
            connection.reply(
                status,
                &[(name("refused"), "1"), ("request-id", &id), ("instance-id", &self.id)],
                &[],
            )
        };
        if message.header(name("expected")).is_some_and(|expected| expected != self.id) {
            return refuse(connection, 421);
        }
        let key: Option<u16> = message
            .header("shard-key")
            .and_then(|text| text.parse().ok())
            .filter(|_| self.work.sharded);
        if self.waiting.fetch_add(1, Ordering::Relaxed) >= self.work.queue + self.work.slots {
            self.waiting.fetch_sub(1, Ordering::Relaxed);
            return refuse(connection, 503);
        }
        // Waits for a slot.
        while self.active.fetch_add(1, Ordering::AcqRel) >= self.work.slots {
            self.active.fetch_sub(1, Ordering::AcqRel);
            if connection.closes_within(Duration::from_millis(5)) {
                self.waiting.fetch_sub(1, Ordering::Relaxed);
                return Err(std::io::ErrorKind::ConnectionAborted.into());
            }
        }
        let begun = self.begin(&id, key);
        let Some(index) = begun else {
            self.active.fetch_sub(1, Ordering::AcqRel);
            self.waiting.fetch_sub(1, Ordering::Relaxed);
            return refuse(connection, 421);
        };
        self.record.line(&format!("endpoint {} begins {id}", self.number));
        // A request is dropped when its connection closes, as at most endpoints.
        let closed = connection.closes_within(self.work.time);
        self.active.fetch_sub(1, Ordering::AcqRel);
        self.waiting.fetch_sub(1, Ordering::Relaxed);
        if let Some(key) = key {
            self.keys.lock().unwrap().running[usize::from(key)] -= 1;
        }
        let ended = self.record.line(&format!(
            "endpoint {} ends {id}{}",
            self.number,
            if closed { " (connection closed)" } else { "" }
        ));
        self.seen.runs.lock().unwrap()[index].ended = Some(ended);
        if closed || self.stopped.load(Ordering::Relaxed) {
            return Err(std::io::ErrorKind::ConnectionAborted.into());
        }
        // Work that outlasts its lease fails.
        if key.is_some_and(|key| self.keys.lock().unwrap().lease_end[usize::from(key)] <= ended) {
            return connection.reply(500, &[("request-id", &id), ("response-signature", &format!("s-{id}"))], &[]);
        }
        let body = answer_body(&id, self.work.answer_bytes);
        connection.reply(200, &[("request-id", &id), ("response-signature", &format!("s-{id}"))], &body)
    }

    /// Begins to work on a request; `None` if its key is not held.
    fn begin(&self, id: &str, key: Option<u16>) -> Option<usize> {
        let now = self.record.now();
        if let Some(key) = key {
            let mut keys = self.keys.lock().unwrap();
            if keys.held[usize::from(key)].1 <= now {
                return None;
            }
            keys.running[usize::from(key)] += 1;
        }
        let mut runs = self.seen.runs.lock().unwrap();
        runs.push(Run {
            endpoint: self.number,
            id: id.to_owned(),
            key,
            begun: now,
            ended: None,
        });
        Some(runs.len() - 1)
    }
}

/// Returns the whole body of the answer to a request.
pub fn answer_body(id: &str, bytes: usize) -> Vec<u8> {
    let mut body = format!("answer to {id};").into_bytes();
    body.resize(bytes.max(body.len()), b'.');
    body
}
