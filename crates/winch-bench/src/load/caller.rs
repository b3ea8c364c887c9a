//! Sends one request and retries it under the rules for callers: the attempt
//! number rises only after an attempt that may have run.

use std::net::SocketAddr;
use std::time::Duration;

use reqwest::Client;
use reqwest::Response;
use reqwest::StatusCode;
use reqwest::header::HeaderMap;
use winch_standin::echo::EchoResponse;
use winch_standin::echo::digest_body;

use super::record::AttemptEnd;
use super::record::AttemptRecord;
use super::record::RequestRecord;
use super::record::UnixMicros;
use super::record::unix_micros;
use super::stream::TrafficStream;

const SERVICE_HEADER: &str = "winch-service";
const KEY_HEADER: &str = "winch-key";
const CLASS_HEADER: &str = "winch-class";
const DEADLINE_HEADER: &str = "winch-deadline-ms";
const ATTEMPT_HEADER: &str = "winch-attempt";
const CALLER_HEADER: &str = "winch-caller";
const IDEMPOTENCY_HEADER: &str = "idempotency-key";
const OUTCOME_HEADER: &str = "winch-outcome";
const ERROR_HEADER: &str = "winch-error";
const EPOCH_HEADER: &str = "winch-epoch";
const OWNER_HEADER: &str = "winch-owner";

/// Pause before a retry when the response has no `retry-after` header.
const DEFAULT_RETRY_PAUSE: Duration = Duration::from_millis(20);

/// Upper limit of the pause that `retry-after` asks for.
const MAX_RETRY_PAUSE: Duration = Duration::from_secs(2);

/// One request, before it is sent.
#[derive(Debug, Clone)]
pub struct CallerRequest {
    /// Index of its stream in the load.
    pub stream: usize,
    /// Number that is unique in the run; part of the path and of the
    /// idempotency key.
    pub tag: u64,
    /// Value of the `winch-key` header.
    pub key: Box<str>,
    /// When it is due; latency counts from here.
    pub due: UnixMicros,
    /// Index of the caller that sends it.
    pub caller: usize,
}

/// Sends a request until it is answered or its attempts are used up. Each retry
/// goes to the next address of the target.
pub async fn send(
    client: &Client,
    stream: &TrafficStream,
    request: CallerRequest,
) -> RequestRecord {
    let path = format!("/{}/{}", stream.name, request.tag).into_boxed_str();
    let idempotency_key = stream
        .with_idempotency_key
        .then(|| format!("{}-{}", stream.name, request.tag).into_boxed_str());
    let mut record = RequestRecord {
        stream: request.stream,
        path,
        key: request.key,
        idempotency_key,
        due: request.due,
        attempts: Vec::with_capacity(1),
    };
    let addresses = stream.target.addresses();
    let mut number = 1;
    for round in 0..stream.attempts {
        let address = addresses[(request.caller + usize::from(round)) % addresses.len()];
        let attempt = AttemptSender {
            client,
            stream,
            record: &record,
            caller: request.caller,
            number,
        };
        let (attempt, pause) = attempt.send(address).await;
        let end = attempt.end;
        record.attempts.push(attempt);
        match end {
            AttemptEnd::Answered => break,
            AttemptEnd::NotRun | AttemptEnd::NotSent => {}
            AttemptEnd::Unknown | AttemptEnd::Broken => number += 1,
        }
        if round + 1 < stream.attempts {
            tokio::time::sleep(pause).await;
        }
    }
    record
}

struct AttemptSender<'a> {
    client: &'a Client,
    stream: &'a TrafficStream,
    record: &'a RequestRecord,
    caller: usize,
    number: u16,
}

impl AttemptSender<'_> {
    /// Sends one attempt. Returns its record and the pause before the next.
    async fn send(&self, address: SocketAddr) -> (AttemptRecord, Duration) {
        let body = self.body();
        let digest = digest_body(&body);
        let mut call = self
            .client
            .post(format!("http://{address}{}", self.record.path))
            .timeout(self.stream.timeout)
            .header(KEY_HEADER, &*self.record.key)
            .body(body);
        if self.stream.target.is_routed() {
            call = call
                .header(SERVICE_HEADER, &*self.stream.service)
                .header(CLASS_HEADER, &*self.stream.class)
                .header(ATTEMPT_HEADER, self.number)
                .header(CALLER_HEADER, format!("caller-{}", self.caller));
        }
        if let Some(deadline) = self.stream.deadline {
            call = call.header(DEADLINE_HEADER, deadline.as_millis() as u64);
        }
        if let Some(key) = &self.record.idempotency_key {
            call = call.header(IDEMPOTENCY_HEADER, &**key);
        }

        let sent = unix_micros();
        match call.send().await {
            Ok(response) => self.read(sent, digest, response).await,
            Err(error) if error.is_connect() => failed(sent, AttemptEnd::NotSent),
            Err(_) => failed(sent, AttemptEnd::Broken),
        }
    }

    /// Returns the body: the path, padded with dots to the configured size, so
    /// that each request's body is unique.
    fn body(&self) -> Vec<u8> {
        let mut body = self.record.path.as_bytes().to_vec();
        body.resize(body.len().max(self.stream.body_bytes), b'.');
        body
    }

    async fn read(
        &self,
        sent: UnixMicros,
        digest: u64,
        response: Response,
    ) -> (AttemptRecord, Duration) {
        let status = response.status();
        let headers = response.headers().clone();
        let Ok(body) = response.bytes().await else {
            return failed(sent, AttemptEnd::Broken);
        };
        let own_and_whole = EchoResponse::decode(&body).is_some_and(|answer| {
            answer.key == self.record.key
                && answer.digest == digest
                && *answer.idempotency_key
                    == *self.record.idempotency_key.as_deref().unwrap_or_default()
        });
        let attempt = AttemptRecord {
            sent,
            ended: unix_micros(),
            end: self.end(status, &headers),
            status: status.as_u16(),
            error: text(&headers, ERROR_HEADER).into(),
            epoch: text(&headers, EPOCH_HEADER).parse().unwrap_or_default(),
            owner: text(&headers, OWNER_HEADER).into(),
            own_and_whole,
        };
        (attempt, retry_pause(&headers))
    }

    fn end(&self, status: StatusCode, headers: &HeaderMap) -> AttemptEnd {
        match text(headers, OUTCOME_HEADER) {
            "answered" => AttemptEnd::Answered,
            "not-run" => AttemptEnd::NotRun,
            "" if !self.stream.target.is_routed() && status == StatusCode::OK => {
                AttemptEnd::Answered
            }
            _ => AttemptEnd::Unknown,
        }
    }
}

fn failed(sent: UnixMicros, end: AttemptEnd) -> (AttemptRecord, Duration) {
    let attempt = AttemptRecord {
        sent,
        ended: unix_micros(),
        end,
        status: 0,
        error: Box::default(),
        epoch: 0,
        owner: Box::default(),
        own_and_whole: false,
    };
    (attempt, DEFAULT_RETRY_PAUSE)
}

fn text<'a>(headers: &'a HeaderMap, name: &str) -> &'a str {
    headers
        .get(name)
        .and_then(|value| value.to_str().ok())
        .unwrap_or_default()
}

fn retry_pause(headers: &HeaderMap) -> Duration {
    let seconds: Option<f64> = text(headers, "retry-after").parse().ok();
    let pause = seconds.and_then(|seconds| Duration::try_from_secs_f64(seconds).ok());
    pause.unwrap_or(DEFAULT_RETRY_PAUSE).min(MAX_RETRY_PAUSE)
}
