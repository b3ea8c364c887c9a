//! Validates the headers of a caller's request.

use std::time::Duration;

use bytes::Bytes;
use warp::http::HeaderMap;
use warp::http::HeaderName;
use warp::http::header;

use super::headers;
use crate::base::error::ErrorKind;
use crate::base::ids::ClassName;
use crate::base::ids::IdempotencyKey;
use crate::base::ids::ServiceName;
use crate::delivery::message::HeaderPair;
use crate::delivery::message::RequestFailure;
use crate::routing::table::RouteTable;

/// Maximum length of a header value that this program interprets, such as the
/// key, the idempotency key or the caller, in bytes.
pub const MAX_HEADER_VALUE_BYTES: usize = 512;

/// Headers that concern one connection only and are not forwarded.
const HOP_BY_HOP_HEADERS: [HeaderName; 7] = [
    header::CONNECTION,
    header::HOST,
    header::CONTENT_LENGTH,
    header::TRANSFER_ENCODING,
    header::UPGRADE,
    header::TE,
    header::TRAILER,
];

/// Prefix of the headers that this program defines.
const OWN_PREFIX: &str = "winch-";

/// Validated headers of a caller's request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RequestHead {
    /// Name of a declared service.
    pub service: ServiceName,
    /// Key that determines the owner.
    pub key: Box<str>,
    /// Name of a declared priority class.
    pub class: ClassName,
    /// Whether the class is idempotent.
    pub idempotent: bool,
    /// How long the caller waits. `None` if neither the caller nor the class
    /// sets a deadline.
    pub deadline: Option<Duration>,
    /// Equal on every attempt of the request; `None` only if the class is
    /// idempotent.
    pub idempotency_key: Option<IdempotencyKey>,
    /// Number of this attempt, from 1.
    pub attempt: u16,
    /// Identifies the caller; empty if the header is absent.
    pub caller: Box<str>,
    /// Maximum size of the service's request bodies, in bytes.
    pub max_body_bytes: usize,
}

/// Validates the headers against the declarations.
///
/// # Errors
///
/// Every failure has the outcome "not run" and names the header.
pub fn check_headers(
    headers: &HeaderMap,
    table: &RouteTable,
    max_deadline: Duration,
) -> Result<RequestHead, RequestFailure> {
    let service_name = required(headers, headers::SERVICE)?;
    let service = table.services.get(service_name).ok_or_else(|| {
        RequestFailure::new(
            ErrorKind::UnknownService,
            format!(
                "{}: no service \"{service_name}\" is declared",
                headers::SERVICE
            ),
        )
    })?;
    let class_name = required(headers, headers::CLASS)?;
    let class = table.classes.get(class_name).ok_or_else(|| {
        RequestFailure::new(
            ErrorKind::UnknownClass,
            format!(
                "{}: no priority class \"{class_name}\" is declared",
                headers::CLASS
            ),
        )
    })?;
    let idempotency_key = text(headers, headers::IDEMPOTENCY_KEY)?.map(Box::from);
    if !class.idempotent && idempotency_key.is_none() {
        return Err(missing(headers::IDEMPOTENCY_KEY));
    }
    Ok(RequestHead {
        service: service_name.into(),
        key: required(headers, headers::KEY)?.into(),
        class: class_name.into(),
        idempotent: class.idempotent,
        deadline: deadline(headers, class.deadline, max_deadline)?,
        idempotency_key,
        attempt: number(headers, headers::ATTEMPT)?.unwrap_or(1),
        caller: text(headers, headers::CALLER)?.unwrap_or_default().into(),
        max_body_bytes: service.declaration.max_body_bytes as usize,
    })
}

/// Returns the headers to forward to the upstream: all but those of the
/// connection and those that this program interprets.
pub fn forwarded_headers(headers: &HeaderMap) -> Vec<HeaderPair> {
    headers
        .iter()
        .filter(|(name, _value)| is_passed_on(name))
        .map(|(name, value)| {
            (
                name.as_str().into(),
                Bytes::copy_from_slice(value.as_bytes()),
            )
        })
        .collect()
}

fn is_passed_on(name: &HeaderName) -> bool {
    let own = name.as_str().starts_with(OWN_PREFIX) || name == headers::IDEMPOTENCY_KEY;
    !own && !HOP_BY_HOP_HEADERS.contains(name)
}

fn required<'a>(headers: &'a HeaderMap, name: &'static str) -> Result<&'a str, RequestFailure> {
    text(headers, name)?.ok_or_else(|| missing(name))
}

fn text<'a>(headers: &'a HeaderMap, name: &'static str) -> Result<Option<&'a str>, RequestFailure> {
    let mut values = headers.get_all(name).iter();
    let Some(value) = values.next() else {
        return Ok(None);
    };
    if values.next().is_some() {
        return Err(malformed(name, "is given twice"));
    }
    let value = value
        .to_str()
        .map_err(|_not_text| malformed(name, "holds other than visible characters"))?;
    if value.is_empty() || value.len() > MAX_HEADER_VALUE_BYTES {
        return Err(malformed(name, "is empty or too long"));
    }
    Ok(Some(value))
}

fn number(headers: &HeaderMap, name: &'static str) -> Result<Option<u16>, RequestFailure> {
    let Some(value) = text(headers, name)? else {
        return Ok(None);
    };
    match value.parse() {
        Ok(number) if number > 0 => Ok(Some(number)),
        _ => Err(malformed(name, "is no number from 1 to 65535")),
    }
}

fn deadline(
    headers: &HeaderMap,
    default: Duration,
    longest: Duration,
) -> Result<Option<Duration>, RequestFailure> {
    let Some(value) = text(headers, headers::DEADLINE_MS)? else {
        return Ok((!default.is_zero()).then_some(default));
    };
    let milliseconds = value.parse().unwrap_or(0);
    let wanted = Duration::from_millis(milliseconds);
    if wanted.is_zero() || wanted > longest {
        let allowed = format!(
            "{}: allowed are 1 to {} ms",
            headers::DEADLINE_MS,
            longest.as_millis()
        );
        return Err(RequestFailure::new(ErrorKind::BadDeadline, allowed));
    }
    Ok(Some(wanted))
}

fn missing(name: &str) -> RequestFailure {
    RequestFailure::new(ErrorKind::MissingHeader, format!("{name}: is required"))
}

fn malformed(name: &str, fault: &str) -> RequestFailure {
    RequestFailure::new(ErrorKind::MalformedHeader, format!("{name}: {fault}"))
}
