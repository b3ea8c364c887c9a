//! Callers that use a connection until it or the process is gone.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::time::Duration;

use bytes::Bytes;
use eyre::WrapErr;
use http_body_util::BodyExt;
use http_body_util::Full;
use hyper::Request;
use hyper::client::conn::http1::SendRequest;
use hyper_util::rt::TokioIo;
use rand::RngExt;
use rand::SeedableRng;
use rand::rngs::StdRng;
use tokio::net::TcpStream;
use tokio::time::Instant;
use tokio::time::sleep;
use tokio::time::timeout;

use crate::ledger::CallerAnswer;
use crate::ledger::CallerOutcome;
use crate::ledger::SentRequest;
use crate::ledger::SoakLedger;
use crate::plan::MachineIndex;

/// How long callers wait for a connection.
const CONNECT_LIMIT: Duration = Duration::from_secs(1);

/// The callers' deadline.
const DEADLINE: Duration = Duration::from_millis(2_500);

/// How long after their deadline callers wait before they leave.
const PATIENCE: Duration = Duration::from_secs(1);

/// Longest pause between two requests of a caller: about 60 requests a second.
const LONGEST_PAUSE: Duration = Duration::from_millis(30);

/// Pause after a connection could not be made.
const RECONNECT_PAUSE: Duration = Duration::from_millis(60);

/// One request in so many asks which configuration is in force.
const PROBE_PART: u32 = 8;

/// How far back asked-for configurations go.
const PROBE_BACK: u64 = 2;

/// Bytes of an order's body.
const ORDER_BYTES: usize = 300;

/// A caller of one machine.
#[derive(Debug)]
pub struct SoakCaller {
    machine: MachineIndex,
    address: SocketAddr,
    name: Box<str>,
    rng: StdRng,
    sent: u32,
    ledger: SoakLedger,
    connection: Option<SendRequest<Full<Bytes>>>,
}

impl SoakCaller {
    /// Creates a caller whose requests bear its name.
    pub fn new(
        name: &str,
        seed: u64,
        machine: MachineIndex,
        address: SocketAddr,
        ledger: SoakLedger,
    ) -> Self {
        Self {
            machine,
            address,
            name: name.into(),
            rng: StdRng::seed_from_u64(seed),
            sent: 0,
            ledger,
            connection: None,
        }
    }

    /// Sends requests until it is told to stop.
    pub async fn run(mut self, stop: Arc<AtomicBool>) {
        while !stop.load(Ordering::Relaxed) {
            let request = self.draw();
            self.ask(request).await;
            let pause = LONGEST_PAUSE.mul_f64(self.rng.random());
            sleep(pause).await;
        }
    }

    /// Asks for keys once each, or places an order where there is no key, and
    /// removes what was served.
    pub async fn ask_for(&mut self, unserved: &mut Vec<Option<u16>>) {
        for key in std::mem::take(unserved) {
            let route = if key.is_some() { "prices" } else { "orders" };
            let request = self.request(route, key, None);
            if !self.ask(request).await {
                unserved.push(key);
            }
        }
    }

    fn draw(&mut self) -> (SentRequest, Option<u16>) {
        let key = Some(self.rng.random());
        if self.rng.random_ratio(1, PROBE_PART) {
            let newest = self.ledger.version();
            let oldest = newest.saturating_sub(PROBE_BACK).max(1);
            let version = self.rng.random_range(oldest..=newest);
            return self.request(&format!("only-{version}"), key, Some(version));
        }
        match self.rng.random_range(0..10) {
            0 => self.request("slow", key, None),
            1..=3 => self.request("orders", None, None),
            _ => self.request("prices", key, None),
        }
    }

    fn request(
        &mut self,
        route: &str,
        key: Option<u16>,
        version: Option<u64>,
    ) -> (SentRequest, Option<u16>) {
        self.sent += 1;
        let request = SentRequest {
            id: format!("{}-{}", self.name, self.sent).into(),
            machine: self.machine,
            path: format!("/{route}/{}", self.sent).into(),
            keyed: key.is_some(),
            version,
            at: Instant::now(),
        };
        (request, key)
    }

    /// Sends a request and tells whether it was served.
    async fn ask(&mut self, (mut request, key): (SentRequest, Option<u16>)) -> bool {
        let Some(mut connection) = self.connection().await else {
            sleep(RECONNECT_PAUSE).await;
            return false;
        };
        request.at = Instant::now();
        let life = self.ledger.life(self.machine);
        self.ledger.send(&request);
        let exchange = exchange(&mut connection, &request, key);
        let (outcome, kept) = match timeout(DEADLINE + PATIENCE, exchange).await {
            Ok(result) => result,
            Err(_elapsed) => (CallerOutcome::TimedOut, false),
        };
        self.ledger.end(&request, life, &outcome);
        if kept {
            self.connection = Some(connection);
        }
        matches!(outcome, CallerOutcome::Answer(answer) if answer.status == 200)
    }

    /// Returns the open connection, or a new one.
    async fn connection(&mut self) -> Option<SendRequest<Full<Bytes>>> {
        if let Some(connection) = self.connection.take()
            && !connection.is_closed()
        {
            return Some(connection);
        }
        // A machine whose process is away has no connection to offer.
        timeout(CONNECT_LIMIT, connect(self.address))
            .await
            .ok()?
            .ok()
    }
}

async fn connect(address: SocketAddr) -> eyre::Result<SendRequest<Full<Bytes>>> {
    let stream = TcpStream::connect(address).await?;
    stream.set_nodelay(true)?;
    let (sender, connection) = hyper::client::conn::http1::handshake(TokioIo::new(stream))
        .await
        .wrap_err("cannot open a connection")?;
    tokio::spawn(connection);
    Ok(sender)
}

/// Sends a request. Returns its outcome and whether the connection is kept.
async fn exchange(
    connection: &mut SendRequest<Full<Bytes>>,
    request: &SentRequest,
    key: Option<u16>,
) -> (CallerOutcome, bool) {
    let is_order = request.path.starts_with("/orders/");
    let (method, body) = if is_order {
        ("POST", Bytes::from(vec![b'o'; ORDER_BYTES]))
    } else {
        ("GET", Bytes::new())
    };
    let mut head = Request::builder()
        .method(method)
        .uri(&*request.path)
        .header("host", "shop.example")
        .header("request-id", &*request.id)
        .header("deadline-ms", DEADLINE.as_millis().to_string());
    if let Some(key) = key {
        head = head.header("shard-key", key.to_string());
    }
    let sent = head.body(Full::new(body)).expect("valid headers");
    let answer = match connection.try_send_request(sent).await {
        Ok(answer) => answer,
        Err(mut error) => {
            let unsent = error.take_message().is_some();
            let outcome = if unsent {
                CallerOutcome::Unsent
            } else {
                CallerOutcome::Cut
            };
            return (outcome, false);
        }
    };
    let (parts, body) = answer.into_parts();
    let Ok(body) = body.collect().await else {
        return (CallerOutcome::Cut, false);
    };
    let text = |name: &str| {
        let value = parts.headers.get(name)?;
        value.to_str().ok().map(Box::from)
    };
    let closes = text("connection").is_some_and(|value: Box<str>| &*value == "close");
    let answer = CallerAnswer {
        status: parts.status.as_u16(),
        signature: text("response-signature"),
        body: String::from_utf8_lossy(&body.to_bytes()).into(),
    };
    (CallerOutcome::Answer(answer), !closes)
}
