//! HTTP client of the platform's log.
//!
//! Only this module knows the wire format:
//!
//! * `POST /append` with the entry's bytes returns 200 and `{"offset": n}`, or,
//!   without effect, 429 if the rate is exceeded and 503 if the log is down.
//! * `GET /read?from=N&limit=M&wait_ms=K` returns 200 and `{"end": n,
//!   "entries": [{"offset": n, "data": "<hex>"}]}`, after at most `K` ms if
//!   there is nothing new, or 410 and `{"earliest": n}` if `N` has expired.
//! * `GET /earliest` returns 200 and `{"earliest": n}`.

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

/// Maximum size of a response body, in bytes.
const MAX_RESPONSE_BYTES: usize = 256 * 1024 * 1024;

/// Address and timeouts of the log.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(bon::Builder)]
pub struct HttpLogSettings {
    /// Base URL of the log, without a trailing slash.
    #[builder(into)]
    pub base_url: Box<str>,
    /// Timeout for opening a connection. Default 1 s.
    #[builder(default = Duration::from_secs(1))]
    pub connect_timeout: Duration,
    /// Timeout of a read, in addition to `read_wait`. Default 2 s.
    #[builder(default = Duration::from_secs(2))]
    pub read_timeout: Duration,
    /// Maximum time that the log may delay a read while there is nothing new.
    /// Default 1 s.
    #[builder(default = Duration::from_secs(1))]
    pub read_wait: Duration,
    /// Timeout of an append. Default 5 s.
    #[builder(default = Duration::from_secs(5))]
    pub append_timeout: Duration,
}

/// A [`LogService`] over HTTP.
#[derive(Debug, Clone)]
pub struct HttpLogService {
    client: Client,
    settings: HttpLogSettings,
}

#[derive(Debug)]
#[derive(Deserialize)]
struct AppendResponse {
    offset: Offset,
}

#[derive(Debug)]
#[derive(Deserialize)]
struct EarliestResponse {
    earliest: Offset,
}

#[derive(Debug)]
#[derive(Deserialize)]
struct ReadResponse {
    end: Offset,
    entries: Vec<EntryBody>,
}

#[derive(Debug)]
#[derive(Deserialize)]
struct EntryBody {
    offset: Offset,
    data: Box<str>,
}

impl HttpLogService {
    /// Creates a client. Fails if the TLS backend or the resolver cannot be
    /// initialized.
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
                let EarliestResponse { earliest } = parse(response).await?;
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
                let AppendResponse { offset } = parse(response).await.map_err(as_ambiguous)?;
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
        let response: ReadResponse = self.get("/read", &query, timeout).await?;
        let entries = response.entries.into_iter().map(EntryBody::into_entry);
        Ok(LogPage {
            entries: entries.collect(),
            end: response.end,
        })
    }

    async fn earliest(&self) -> Result<Offset, LogError> {
        let timeout = self.settings.read_timeout;
        let response: EarliestResponse = self.get("/earliest", &[], timeout).await?;
        Ok(response.earliest)
    }
}

impl EntryBody {
    /// Converts data that is not valid hex to an empty entry, which the fold
    /// skips as undecodable.
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
            LogError::Ambiguous(format!("no response: {error}").into())
        }
    })
}

async fn parse<T: DeserializeOwned>(mut response: Response) -> Result<T, LogError> {
    let mut body = Vec::new();
    while let Some(chunk) = response
        .chunk()
        .await
        .map_err(|error| refused(format!("response truncated: {error}")))?
    {
        if body.len() + chunk.len() > MAX_RESPONSE_BYTES {
            return Err(refused("response too large".into()));
        }
        body.extend_from_slice(&chunk);
    }
    serde_json::from_slice(&body).map_err(|error| refused(format!("invalid response: {error}")))
}

fn refused(reason: String) -> LogError {
    LogError::Refused(reason.into())
}

/// Maps an error in the body of a 200 response to an append: the append took
/// effect, although its offset is unknown.
fn as_ambiguous(error: LogError) -> LogError {
    match error {
        LogError::Refused(reason) => LogError::Ambiguous(reason),
        other => other,
    }
}

/// Returns whether an append with this status had no effect: client errors and
/// 503 guarantee that.
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
