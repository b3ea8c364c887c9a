//! Stand-in for an upstream: announces itself, takes grants and runs requests.

use std::collections::HashMap;
use std::io::BufReader;
use std::io::Write;
use std::net::Shutdown;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::net::TcpStream;
use std::sync::Arc;
use std::sync::Condvar;
use std::sync::Mutex;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::time::Duration;
use std::time::Instant;
use std::time::SystemTime;
use std::time::UNIX_EPOCH;

use crate::http;
use crate::http::Request;
use crate::ledger::Ledger;
use crate::names::name_of;

const POLL: Duration = Duration::from_millis(5);

/// What an upstream does with a request that it begins to run.
#[derive(Debug, Clone, Copy)]
pub enum Behaviour {
    /// Works for a time and answers.
    Answer(Duration),
    /// Works for a time and ends its process, after it has sent the head and a part of
    /// the body of its answer if `answers_partly`.
    Crash {
        after: Duration,
        answers_partly: bool,
    },
}

type BehaviourOf = dyn Fn(&Request) -> Behaviour + Send + Sync;

/// Settings of an upstream.
#[derive(Clone)]
pub struct EndpointSettings {
    pub instance: String,
    pub service: String,
    pub zone: String,
    pub address: SocketAddr,
    /// Where it announces itself.
    pub control: SocketAddr,
    pub heartbeat: Duration,
    pub slots: u32,
    pub sharded: bool,
    /// Most connections that it accepts at the same time. Beyond that its port is
    /// closed, so that further ones are reset.
    pub max_connections: usize,
    pub behaviour: Arc<BehaviourOf>,
}

#[derive(Debug, Clone)]
struct HeldKeys {
    first: u16,
    last: u16,
    fence: u64,
    until: Instant,
}

#[derive(Debug)]
struct KeyState {
    held: Vec<HeldKeys>,
    /// Highest fence seen of each key.
    fences: Vec<u64>,
    /// Number of running requests by key.
    running: HashMap<u16, u32>,
}

/// One process of an upstream.
pub struct Endpoint {
    pub settings: EndpointSettings,
    ledger: Arc<Ledger>,
    born: u64,
    ended: AtomicBool,
    streams: Mutex<Vec<TcpStream>>,
    open: AtomicUsize,
    keys: Mutex<KeyState>,
    work_ended: Condvar,
    handovers: AtomicU64,
    /// When the next announcement is sent.
    next_beat: Mutex<Instant>,
}

fn number(body: &str, name: &str) -> Option<u64> {
    let start = body.find(&format!("\"{name}\":"))? + name.len() + 3;
    let digits: String = body[start..]
        .chars()
        .skip_while(|next| *next == '"' || *next == ' ')
        .take_while(char::is_ascii_digit)
        .collect();
    digits.parse().ok()
}

impl Endpoint {
    /// Starts an upstream whose first announcement is sent after `first_beat`.
    pub fn start(
        settings: EndpointSettings,
        ledger: Arc<Ledger>,
        first_beat: Duration,
    ) -> Arc<Self> {
        let listener = TcpListener::bind(settings.address).expect("the upstream's port is free");
        listener.set_nonblocking(true).unwrap();
        let born = SystemTime::now().duration_since(UNIX_EPOCH).unwrap();
        let endpoint = Arc::new(Self {
            settings,
            ledger,
            born: born.as_millis() as u64,
            ended: AtomicBool::new(false),
            streams: Mutex::default(),
            open: AtomicUsize::new(0),
            keys: Mutex::new(KeyState {
                held: Vec::new(),
                fences: vec![0; 1 << 16],
                running: HashMap::new(),
            }),
            work_ended: Condvar::new(),
            handovers: AtomicU64::new(0),
            next_beat: Mutex::new(Instant::now() + first_beat),
        });
        let name = &endpoint.settings.instance;
        endpoint
            .ledger
            .record
            .line(&format!("upstream {name} starts"));
        let accepting = Arc::clone(&endpoint);
        std::thread::spawn(move || accepting.accept(listener));
        let announcing = Arc::clone(&endpoint);
        std::thread::spawn(move || announcing.announce());
        endpoint
    }

    pub fn has_ended(&self) -> bool {
        self.ended.load(Ordering::SeqCst)
    }

    /// Ends the process: closes the port and all connections.
    pub fn end(&self) {
        if self.ended.swap(true, Ordering::SeqCst) {
            return;
        }
        let name = &self.settings.instance;
        self.ledger.record_end(name);
        for stream in self.streams.lock().unwrap().drain(..) {
            let _ = stream.shutdown(Shutdown::Both);
        }
    }

    /// Returns the time until the next announcement.
    fn until_beat(&self) -> Duration {
        let next = *self.next_beat.lock().unwrap();
        next.saturating_duration_since(Instant::now())
    }

    /// Returns the number of ranges held.
    pub fn held_ranges(&self) -> usize {
        let keys = self.keys.lock().unwrap();
        let now = Instant::now();
        keys.held.iter().filter(|held| held.until > now).count()
    }

    fn announce(&self) {
        let settings = &self.settings;
        for number in 1_u64.. {
            loop {
                if self.has_ended() {
                    return;
                }
                let left = self.until_beat();
                if left.is_zero() {
                    break;
                }
                std::thread::sleep(left.min(POLL));
            }
            *self.next_beat.lock().unwrap() = Instant::now() + settings.heartbeat;
            let body = format!(
                "{{\"service\":\"{}\",\"address\":\"{}\",\"zone\":\"{}\",\"version\":\"v1\",\
                 \"slots\":{},\"state\":\"ready\",\"coldRemaining\":\"0ms\",\"seq\":{number},\"born\":{}}}",
                settings.service, settings.address, settings.zone, settings.slots, self.born
            );
            let line = format!("POST {}{}", name_of("heartbeat"), settings.instance);
            let headers = [("Host", "control"), ("Content-Type", "application/json")];
            let limit = Duration::from_secs(1);
            // A sidecar that is down misses the announcement.
            let _ = http::call(settings.control, &line, &headers, body.as_bytes(), limit);
        }
    }

    fn accept(self: &Arc<Self>, listener: TcpListener) {
        let settings = &self.settings;
        let mut listener = Some(listener);
        while !self.has_ended() {
            let count = self.open.load(Ordering::SeqCst);
            if count >= settings.max_connections {
                if listener.take().is_some() {
                    let name = &settings.instance;
                    let text = format!("{name} has {count} connections and resets further ones");
                    self.ledger.record.line(&text);
                }
                std::thread::sleep(Duration::from_micros(200));
                continue;
            }
            let Some(open) = &listener else {
                listener = TcpListener::bind(settings.address).ok();
                if let Some(listener) = &listener {
                    listener.set_nonblocking(true).unwrap();
                }
                continue;
            };
            match open.accept() {
                Ok((stream, _from)) => self.begin_connection(stream),
                Err(_) => std::thread::sleep(Duration::from_micros(500)),
            }
        }
    }

    fn begin_connection(self: &Arc<Self>, stream: TcpStream) {
        let _ = stream.set_nonblocking(false);
        let _ = stream.set_nodelay(true);
        let Ok(copy) = stream.try_clone() else {
            return;
        };
        self.streams.lock().unwrap().push(copy);
        self.open.fetch_add(1, Ordering::SeqCst);
        let serving = Arc::clone(self);
        std::thread::spawn(move || {
            let ended = Arc::clone(&serving);
            serving.serve(stream);
            ended.open.fetch_sub(1, Ordering::SeqCst);
        });
    }

    fn serve(self: Arc<Self>, mut stream: TcpStream) {
        let Ok(copy) = stream.try_clone() else { return };
        let mut reader = BufReader::new(copy);
        while !self.has_ended() {
            let _ = stream.set_read_timeout(None);
            let Ok(request) = http::read_request(&mut reader) else {
                break;
            };
            let is_open = match &*request.path {
                "/grant" => self.grant(&request, &mut stream),
                "/release" => self.release(&request, &mut stream),
                _ => self.run(&request, &mut stream),
            };
            if !is_open {
                break;
            }
        }
        let _ = stream.shutdown(Shutdown::Both);
    }

    fn send(&self, stream: &mut TcpStream, bytes: &[u8]) -> bool {
        !self.has_ended() && stream.write_all(bytes).is_ok()
    }

    fn grant(&self, request: &Request, stream: &mut TcpStream) -> bool {
        let body = String::from_utf8_lossy(&request.message.body).into_owned();
        let field = |name| number(&body, name).unwrap_or_default();
        let (first, last, fence) = (field("from") as u16, field("to") as u16, field("fence"));
        let hold = Duration::from_millis(field("hold_time"));
        let now = Instant::now();
        let accepted = {
            let mut keys = self.keys.lock().unwrap();
            let range = usize::from(first)..=usize::from(last);
            let accepted = keys.fences[range.clone()].iter().all(|seen| *seen <= fence);
            if accepted {
                keys.fences[range].fill(fence);
                cut(&mut keys.held, first, last, u64::MAX);
                keys.held.retain(|held| held.until > now);
                let until = now + hold;
                keys.held.push(HeldKeys {
                    first,
                    last,
                    fence,
                    until,
                });
            }
            accepted
        };
        let name = &self.settings.instance;
        if accepted {
            self.ledger.record_grant(name, (first, last), fence, hold);
        } else {
            self.ledger.record.line(&format!(
                "{name} refuses a grant of {first} to {last}, fence {fence}"
            ));
        }
        self.send(
            stream,
            &http::response(if accepted { 200 } else { 409 }, &[], b""),
        )
    }

    fn release(&self, request: &Request, stream: &mut TcpStream) -> bool {
        let body = String::from_utf8_lossy(&request.message.body).into_owned();
        let field = |name| number(&body, name).unwrap_or_default();
        let (first, last, fence) = (field("from") as u16, field("to") as u16, field("fence"));
        let name = &self.settings.instance;
        self.ledger.record.line(&format!(
            "{name} is to release {first} to {last}, fence {fence}"
        ));
        let mut keys = self.keys.lock().unwrap();
        cut(&mut keys.held, first, last, fence);
        // Work in progress keeps the keys until it has ended.
        while keys
            .running
            .iter()
            .any(|(key, count)| (first..=last).contains(key) && *count > 0)
        {
            if self.has_ended() {
                return false;
            }
            keys = self.work_ended.wait_timeout(keys, POLL).unwrap().0;
        }
        drop(keys);
        self.ledger.record_release(name, (first, last));
        let number = self.handovers.fetch_add(1, Ordering::SeqCst);
        let handover = format!("{name}-{number}");
        self.send(
            stream,
            &http::response(200, &[("Handover", &handover)], b""),
        )
    }

    fn run(&self, request: &Request, stream: &mut TcpStream) -> bool {
        let name = &self.settings.instance;
        let id = request.header("request-id").to_owned();
        let refuse = |status| {
            let headers = [
                (name_of("not-executed"), "1"),
                ("Request-Id", &*id),
                ("Instance-Id", &**name),
            ];
            http::response(status, &headers, b"")
        };
        if id.is_empty() {
            return self.send(stream, &refuse(400));
        }
        if request.header(name_of("expected-instance")) != name {
            self.ledger
                .record
                .line(&format!("{name} refuses {id}: not expected"));
            return self.send(stream, &refuse(421));
        }
        let key: u16 = request.header("shard-key").parse().unwrap_or_default();
        if self.settings.sharded {
            let mut keys = self.keys.lock().unwrap();
            let now = Instant::now();
            let mut held = keys.held.iter();
            if !held.any(|held| held.first <= key && key <= held.last && held.until > now) {
                drop(keys);
                self.ledger
                    .record
                    .line(&format!("{name} refuses {id}: key {key} not held"));
                return self.send(stream, &refuse(421));
            }
            *keys.running.entry(key).or_default() += 1;
        }
        self.ledger.record_run(name, &id, &request.path, key);
        let behaviour = (self.settings.behaviour)(request);
        let (Behaviour::Answer(time) | Behaviour::Crash { after: time, .. }) = behaviour;
        let is_done = self.work(stream, time);
        if self.settings.sharded {
            let mut keys = self.keys.lock().unwrap();
            *keys.running.entry(key).or_default() -= 1;
            self.work_ended.notify_all();
        }
        if !is_done {
            self.ledger
                .record
                .line(&format!("{name} drops {id}, its connection has closed"));
            return false;
        }
        let signature = format!("signed-{id}");
        let headers = [("Request-Id", &*id), ("Response-Signature", &*signature)];
        let body = format!("{name} ran {} for {id}", request.path);
        match behaviour {
            Behaviour::Answer(_) => {
                self.ledger.record.line(&format!("{name} has run {id}"));
                self.send(stream, &http::response(200, &headers, body.as_bytes()))
            }
            Behaviour::Crash { answers_partly, .. } => {
                if answers_partly {
                    let answer = http::response(200, &headers, body.as_bytes());
                    self.send(stream, &answer[..answer.len() - body.len() / 2]);
                    // The process ends while it produces the rest.
                    std::thread::sleep(Duration::from_millis(50));
                }
                self.ledger
                    .record
                    .line(&format!("{name} crashes while it runs {id}"));
                self.end();
                false
            }
        }
    }

    /// Works for a time. Returns false if the connection closes meanwhile.
    fn work(&self, stream: &TcpStream, time: Duration) -> bool {
        let until = Instant::now() + time;
        let _ = stream.set_read_timeout(Some(POLL));
        loop {
            let left = until.saturating_duration_since(Instant::now());
            if self.has_ended() {
                return false;
            }
            if left.is_zero() {
                return true;
            }
            let mut byte = [0];
            match stream.peek(&mut byte) {
                Ok(0) => return false,
                Ok(_) => std::thread::sleep(left.min(POLL)),
                Err(error) => match error.kind() {
                    std::io::ErrorKind::WouldBlock | std::io::ErrorKind::TimedOut => {}
                    _ => return false,
                },
            }
        }
    }
}

/// Removes the keys from `first` to `last` from those held under fences up to `fence`.
fn cut(held: &mut Vec<HeldKeys>, first: u16, last: u16, fence: u64) {
    let mut kept = Vec::new();
    for range in held.drain(..) {
        if range.fence > fence || range.last < first || last < range.first {
            kept.push(range);
            continue;
        }
        if range.first < first {
            kept.push(HeldKeys {
                last: first - 1,
                ..range.clone()
            });
        }
        if range.last > last {
            kept.push(HeldKeys {
                first: last + 1,
                ..range
            });
        }
    }
    *held = kept;
}
