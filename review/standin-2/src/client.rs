//! Requesters.

use std::io::BufReader;
use std::io::ErrorKind;
use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpStream;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Duration;
use std::time::Instant;

use crate::http;
use crate::record::Record;

static NEXT_ID: AtomicU64 = AtomicU64::new(1);

/// A request of a requester.
#[derive(Debug, Clone, Default)]
pub struct Call {
    pub method: &'static str,
    pub path: String,
    pub key: Option<u16>,
    pub deadline_ms: u64,
    pub body: Vec<u8>,
}

/// How a request ended.
#[derive(Debug, Clone)]
pub struct Ended {
    pub id: String,
    /// The status; `None` if the connection ended without a complete answer, or if
    /// nothing came within the deadline.
    pub status: Option<u16>,
    /// Whether the request was sent completely.
    pub is_sent: bool,
    /// Whether its connection had carried a request before.
    pub is_kept: bool,
    /// Whether the other side closed the connection without a complete answer.
    pub is_closed: bool,
    pub body: Vec<u8>,
    pub error: String,
    /// Time from its sending to its end.
    pub took: Duration,
}

/// A connection of a requester, kept for several requests.
pub struct Connection {
    to: SocketAddr,
    stream: Option<BufReader<TcpStream>>,
}

impl Connection {
    pub fn new(to: SocketAddr) -> Self {
        Self { to, stream: None }
    }

    /// Sends a request and waits for its answer, at most until its deadline and half a
    /// second more.
    pub fn send(&mut self, record: &Record, call: &Call) -> Ended {
        let id = format!("q{:06}", NEXT_ID.fetch_add(1, Ordering::SeqCst));
        record.line(&format!(
            "request {id} ({} {}, key {:?}, {} bytes) to {}",
            call.method,
            call.path,
            call.key,
            call.body.len(),
            self.to
        ));
        let mut ended = Ended {
            id,
            status: None,
            is_sent: false,
            is_kept: self.stream.is_some(),
            is_closed: false,
            body: Vec::new(),
            error: String::new(),
            took: Duration::ZERO,
        };
        let sent = Instant::now();
        if let Err(error) = self.exchange(call, &mut ended) {
            let kind = error.kind();
            ended.is_closed = !matches!(kind, ErrorKind::WouldBlock | ErrorKind::TimedOut);
            ended.error = error.to_string();
            self.stream = None;
        }
        ended.took = sent.elapsed();
        record.line(&format!(
            "request {} ends: {:?} {}",
            ended.id, ended.status, ended.error
        ));
        ended
    }

    fn exchange(&mut self, call: &Call, ended: &mut Ended) -> std::io::Result<()> {
        let limit = Duration::from_millis(call.deadline_ms + 500);
        let mut reader = match self.stream.take() {
            Some(stream) => stream,
            None => {
                let stream = TcpStream::connect_timeout(&self.to, Duration::from_secs(1))?;
                stream.set_nodelay(true)?;
                BufReader::new(stream)
            }
        };
        reader.get_ref().set_read_timeout(Some(limit))?;
        reader.get_ref().set_write_timeout(Some(limit))?;
        let key = call.key.map(|key| format!("Shard-Key: {key}\r\n"));
        let head = format!(
            "{} {} HTTP/1.1\r\nHost: shop.example\r\nRequest-Id: {}\r\nDeadline-Ms: {}\r\n{}Content-Length: {}\r\n\r\n",
            call.method,
            call.path,
            ended.id,
            call.deadline_ms,
            key.unwrap_or_default(),
            call.body.len()
        );
        let stream = reader.get_mut();
        stream.write_all(head.as_bytes())?;
        stream.write_all(&call.body)?;
        ended.is_sent = true;
        let response = http::read_response(&mut reader)?;
        ended.status = Some(response.status);
        let closes = response.message.header("connection");
        if !closes.is_some_and(|value| value.eq_ignore_ascii_case("close")) {
            self.stream = Some(reader);
        }
        ended.body = response.message.body;
        Ok(())
    }
}

/// Requesters that send the same kind of request until they are stopped.
pub struct Load {
    stop: Arc<AtomicBool>,
    threads: Vec<std::thread::JoinHandle<()>>,
    pub ended: Arc<Mutex<Vec<(f64, Ended)>>>,
}

impl Load {
    /// Starts a requester at each of `targets`, which pauses for `pause` between two
    /// requests. `call` returns the next request for a random number.
    pub fn start(
        record: &Arc<Record>,
        targets: &[SocketAddr],
        pause: Duration,
        call: impl Fn(u64) -> Call + Send + Sync + 'static,
    ) -> Self {
        let stop = Arc::new(AtomicBool::new(false));
        let ended = Arc::<Mutex<Vec<_>>>::default();
        let call = Arc::new(call);
        let threads = targets.iter().enumerate().map(|(index, target)| {
            let (stop, ended, call) = (Arc::clone(&stop), Arc::clone(&ended), Arc::clone(&call));
            let (record, target) = (Arc::clone(record), *target);
            std::thread::spawn(move || {
                let mut random = Random::new(index as u64 + 1);
                let mut connection = Connection::new(target);
                while !stop.load(Ordering::SeqCst) {
                    let result = connection.send(&record, &call(random.next()));
                    let failed = result.status != Some(200);
                    ended.lock().unwrap().push((record.seconds(), result));
                    std::thread::sleep(if failed {
                        pause.max(Duration::from_millis(100))
                    } else {
                        pause
                    });
                }
            })
        });
        let threads = threads.collect();
        Self {
            stop,
            threads,
            ended,
        }
    }

    /// Stops the requesters and returns how their requests ended.
    pub fn stop(self) -> Vec<(f64, Ended)> {
        self.stop.store(true, Ordering::SeqCst);
        for thread in self.threads {
            let _ = thread.join();
        }
        let ended = self.ended.lock().unwrap();
        ended.clone()
    }
}

/// A small generator of random numbers (xorshift).
pub struct Random(u64);

impl Random {
    pub fn new(seed: u64) -> Self {
        Self(seed.wrapping_mul(0x9E37_79B9_7F4A_7C15) | 1)
    }

    pub fn next(&mut self) -> u64 {
        self.0 ^= self.0 << 13;
        self.0 ^= self.0 >> 7;
        self.0 ^= self.0 << 17;
        self.0
    }
}
