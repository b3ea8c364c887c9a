//! The platform's log over HTTP.
//!
//! The one place that knows the wire format:
//!
//! * `POST /append` with the entry's bytes answers 200 and `{"offset": n}`;
//!   429 when the rate is exceeded and 503 when the log is down, both without
//!   effect.
//! * `GET /read?from=N&limit=M&wait_ms=K` answers 200 and `{"end": n,
//!   "entries": [{"offset": n, "data": "<hex>"}]}`, after at most `K` ms when
//!   there is nothing new; 410 and `{"earliest": n}` when `N` has expired.
//! * `GET /earliest` answers 200 and `{"earliest": n}`.

use std::time::Duration;

use bytes::Bytes;
use reqwest::Client;
use reqwest::RequestBuilder;
use reqwest::Response;
use reqwest::StatusCode;
use serde::Deserialize;
use serde::de::DeserializeOwned;

use super::service::LogEntry;
use super::service::LogError;
use super::service::LogPage;
use super::service::LogService;
use crate::base::ids::Offset;

/// Largest answer that is taken, in bytes.
const MAX_ANSWER_BYTES: usize = 256 * 1024 * 1024;

/// How to reach the log.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(bon::Builder)]
pub struct HttpLogSettings {
    /// URL that the paths are appended to, without a slash at its end.
    #[builder(into)]
    pub base_url: Box<str>,
    /// Limit of opening a connection.
    #[builder(default = Duration::from_secs(1))]
    pub connect_timeout: Duration,
    /// Limit of a read, beyond its wait.
    #[builder(default = Duration::from_secs(2))]
    pub read_timeout: Duration,
    /// How long the log may hold a read back when there is nothing new.
    #[builder(default = Duration::from_secs(1))]
    pub read_wait: Duration,
    /// Limit of an append.
    #[builder(default = Duration::from_secs(5))]
    pub append_timeout: Duration,
}

/// The platform's log over HTTP.
#[derive(Debug, Clone)]
pub struct HttpLogService {
    client: Client,
    settings: HttpLogSettings,
}

#[derive(Debug)]
#[derive(Deserialize)]
struct AppendAnswer {
    offset: Offset,
}

#[derive(Debug)]
#[derive(Deserialize)]
struct EarliestAnswer {
    earliest: Offset,
}

#[derive(Debug)]
#[derive(Deserialize)]
struct ReadAnswer {
    end: Offset,
    entries: Vec<EntryAnswer>,
}

#[derive(Debug)]
#[derive(Deserialize)]
struct EntryAnswer {
    offset: Offset,
    data: Box<str>,
}

impl HttpLogService {
    /// Creates a client. Fails if the platform's TLS or resolver cannot be
    /// set up.
    pub fn new(settings: HttpLogSettings) -> Result<Self, reqwest::Error> {
        let client = Client::builder()
            .connect_timeout(settings.connect_timeout)
            .tcp_nodelay(true)
            .no_proxy()
            .build()?;
        Ok(Self { client, settings })
    }

    fn url(&self, path: &str) -> String {
        format!("{}{path}", self.settings.base_url)
    }

    async fn get<T: DeserializeOwned>(
        &self,
        path: &str,
        query: &[(&str, u64)],
        limit: Duration,
    ) -> Result<T, LogError> {
        let request = self.client.get(self.url(path) + &query_string(query));
        let response = send(request, limit).await?;
        match response.status() {
            StatusCode::OK => parse(response).await,
            StatusCode::GONE => {
                let EarliestAnswer { earliest } = parse(response).await?;
                Err(LogError::Expired { earliest })
            }
            status => Err(refused(format!("status {status}"))),
        }
    }
}

impl LogService for HttpLogService {
    async fn append(&self, data: Bytes) -> Result<Offset, LogError> {
        let request = self.client.post(self.url("/append")).body(data);
        let response = send(request, self.settings.append_timeout).await?;
        match response.status() {
            StatusCode::OK => {
                let AppendAnswer { offset } = parse(response).await.map_err(as_ambiguous)?;
                Ok(offset)
            }
            status if is_without_effect(status) => Err(refused(format!("status {status}"))),
            status => Err(LogError::Ambiguous(format!("status {status}").into())),
        }
    }

    async fn read(&self, from: Offset, limit: usize) -> Result<LogPage, LogError> {
        let wait = self.settings.read_wait;
        let query = [
            ("from", from),
            ("limit", limit as u64),
            ("wait_ms", wait.as_millis() as u64),
        ];
        let timeout = self.settings.read_timeout + wait;
        let answer: ReadAnswer = self.get("/read", &query, timeout).await?;
        let entries = answer.entries.into_iter().map(EntryAnswer::into_entry);
        Ok(LogPage {
            entries: entries.collect(),
            end: answer.end,
        })
    }

    async fn earliest(&self) -> Result<Offset, LogError> {
        let timeout = self.settings.read_timeout;
        let answer: EarliestAnswer = self.get("/earliest", &[], timeout).await?;
        Ok(answer.earliest)
    }
}

impl EntryAnswer {
    /// Data that is no hex becomes an empty entry, which no batch is.
    fn into_entry(self) -> LogEntry {
        LogEntry {
            offset: self.offset,
            data: decode_hex(&self.data).unwrap_or_default(),
        }
    }
}

fn query_string(query: &[(&str, u64)]) -> String {
    let pairs: Vec<String> = query
        .iter()
        .map(|(name, value)| format!("{name}={value}"))
        .collect();
    if pairs.is_empty() {
        String::new()
    } else {
        format!("?{}", pairs.join("&"))
    }
}

async fn send(request: RequestBuilder, limit: Duration) -> Result<Response, LogError> {
    request.timeout(limit).send().await.map_err(|error| {
        if error.is_connect() || error.is_builder() {
            refused(format!("cannot connect: {error}"))
        } else {
            LogError::Ambiguous(format!("no answer: {error}").into())
        }
    })
}

async fn parse<T: DeserializeOwned>(mut response: Response) -> Result<T, LogError> {
    let mut body = Vec::new();
    while let Some(chunk) = response
        .chunk()
        .await
        .map_err(|error| refused(format!("answer cut off: {error}")))?
    {
        if body.len() + chunk.len() > MAX_ANSWER_BYTES {
            return Err(refused("answer too large".into()));
        }
        body.extend_from_slice(&chunk);
    }
    serde_json::from_slice(&body).map_err(|error| refused(format!("bad answer: {error}")))
}

fn refused(reason: String) -> LogError {
    LogError::Refused(reason.into())
}

/// An append that was answered 200 took effect, whatever the body said.
fn as_ambiguous(error: LogError) -> LogError {
    match error {
        LogError::Refused(reason) => LogError::Ambiguous(reason),
        other => other,
    }
}

/// Client errors and "down" promise that the append had no effect.
fn is_without_effect(status: StatusCode) -> bool {
    status.is_client_error() || status == StatusCode::SERVICE_UNAVAILABLE
}

fn decode_hex(text: &str) -> Option<Bytes> {
    let digits = text.as_bytes();
    if !digits.len().is_multiple_of(2) {
        return None;
    }
    let decoded: Option<Vec<u8>> = digits
        .chunks_exact(2)
        .map(|pair| Some(hex_digit(pair[0])? << 4 | hex_digit(pair[1])?))
        .collect();
    decoded.map(Bytes::from)
}

fn hex_digit(digit: u8) -> Option<u8> {
    match digit {
        b'0'..=b'9' => Some(digit - b'0'),
        b'a'..=b'f' => Some(digit - b'a' + 10),
        _ => None,
    }
}
