//! Callers that send requests over a persistent connection and reconnect when it
//! is lost.

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

/// Timeout of opening a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);

/// Deadline that callers send with each request.
const REQUEST_DEADLINE: Duration = Duration::from_millis(2_500);

/// Time after the deadline for which callers still wait for a response.
const DEADLINE_MARGIN: Duration = Duration::from_secs(1);

/// Maximum random pause between two requests; a caller sends about 60 requests per
/// second.
const MAX_REQUEST_PAUSE: Duration = Duration::from_millis(30);

/// Pause after a failed attempt to connect.
const RECONNECT_PAUSE: Duration = Duration::from_millis(60);

/// One request in this many probes which configuration is in effect.
const PROBE_INTERVAL: u32 = 8;

/// Maximum distance of a probed configuration from the newest, in versions.
const MAX_PROBE_AGE: u64 = 2;

/// Size of the body of a `POST` to `/orders/`.
const ORDER_BYTES: usize = 300;

/// A caller that sends requests to the sidecar of one machine.
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
    /// Creates a caller. The ids of its requests begin with `name`, which must be
    /// unique; `seed` determines its routes, keys and pauses.
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

    /// Sends random requests until `stop` is true.
    pub async fn run(mut self, stop: Arc<AtomicBool>) {
        while !stop.load(Ordering::Relaxed) {
            let request = self.random_request();
            self.send(request).await;
            let pause = MAX_REQUEST_PAUSE.mul_f64(self.rng.random());
            sleep(pause).await;
        }
    }

    /// Sends one request for each key, or a `POST` to `/orders/` where there is no
    /// key, and removes those that were served.
    pub async fn ask_for(&mut self, unserved: &mut Vec<Option<u16>>) {
        for key in std::mem::take(unserved) {
            let route = if key.is_some() { "prices" } else { "orders" };
            let request = self.new_request(route, key, None);
            if !self.send(request).await {
                unserved.push(key);
            }
        }
    }

    fn random_request(&mut self) -> (SentRequest, Option<u16>) {
        let key = Some(self.rng.random());
        if self.rng.random_ratio(1, PROBE_INTERVAL) {
            let newest = self.ledger.version();
            let oldest = newest.saturating_sub(MAX_PROBE_AGE).max(1);
            let version = self.rng.random_range(oldest..=newest);
            return self.new_request(&format!("only-{version}"), key, Some(version));
        }
        match self.rng.random_range(0..10) {
            0 => self.new_request("slow", key, None),
            1..=3 => self.new_request("orders", None, None),
            _ => self.new_request("prices", key, None),
        }
    }

    fn new_request(
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

    /// Sends a request and returns whether it was served.
    async fn send(&mut self, (mut request, key): (SentRequest, Option<u16>)) -> bool {
        let Some(mut connection) = self.connection().await else {
            sleep(RECONNECT_PAUSE).await;
            return false;
        };
        request.at = Instant::now();
        let life = self.ledger.life(self.machine);
        self.ledger.send(&request);
        let exchange = send_request(&mut connection, &request, key);
        let (outcome, reusable) = match timeout(REQUEST_DEADLINE + DEADLINE_MARGIN, exchange).await
        {
            Ok(result) => result,
            Err(_elapsed) => (CallerOutcome::TimedOut, false),
        };
        self.ledger.end(&request, life, &outcome);
        if reusable {
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
        // A sidecar that is down refuses the connection, which is no violation.
        timeout(CONNECT_TIMEOUT, connect(self.address))
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
        .wrap_err("the HTTP handshake failed")?;
    tokio::spawn(connection);
    Ok(sender)
}

/// Sends a request. Returns its outcome and whether the connection can be reused.
async fn send_request(
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
        .header("deadline-ms", REQUEST_DEADLINE.as_millis().to_string());
    if let Some(key) = key {
        head = head.header("shard-key", key.to_string());
    }
    let sent = head.body(Full::new(body)).expect("the headers are valid");
    let response = match connection.try_send_request(sent).await {
        Ok(response) => response,
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
    let (parts, body) = response.into_parts();
    let Ok(body) = body.collect().await else {
        return (CallerOutcome::Cut, false);
    };
    let text = |name: &str| {
        let value = parts.headers.get(name)?;
        value.to_str().ok().map(Box::from)
    };
    let will_close = text("connection").is_some_and(|value: Box<str>| &*value == "close");
    let answer = CallerAnswer {
        status: parts.status.as_u16(),
        signature: text("response-signature"),
        body: String::from_utf8_lossy(&body.to_bytes()).into(),
    };
    (CallerOutcome::Answer(answer), !will_close)
}
