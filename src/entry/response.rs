//! Reports a request's outcome to its caller in status, headers and body.

use bytes::Bytes;
use serde::Serialize;
use warp::http::HeaderName;
use warp::http::HeaderValue;
use warp::http::Response;
use warp::http::StatusCode;
use warp::http::header;

use super::headers;
use crate::base::error::RequestOutcome;
use crate::delivery::message::RequestFailure;
use crate::delivery::message::RequestResult;
use crate::delivery::message::UpstreamResponse;

/// HTTP response to a caller.
pub type CallerResponse = Response<warp::hyper::body::Bytes>;

/// Problem document as defined by RFC 9457.
#[derive(Debug)]
#[derive(Serialize)]
struct ProblemDocument<'a> {
    r#type: &'a str,
    title: &'a str,
    status: u16,
    detail: &'a str,
    outcome: &'a str,
}

/// Converts a request's result to the response for its caller.
///
/// `owner` names the node that the request was sent to, if any; it is reported
/// in [`headers::OWNER`].
pub fn respond(result: RequestResult, owner: Option<&str>) -> CallerResponse {
    let mut response = match result {
        Ok(response) => success_response(response),
        Err(failure) => failure_response(&failure),
    };
    if let Some(value) = owner.and_then(|owner| HeaderValue::from_str(owner).ok()) {
        response.headers_mut().insert(headers::OWNER, value);
    }
    response
}

fn success_response(upstream: UpstreamResponse) -> CallerResponse {
    let mut response = Response::new(upstream.body);
    *response.status_mut() =
        StatusCode::from_u16(upstream.status).unwrap_or(StatusCode::BAD_GATEWAY);
    for (name, value) in &upstream.headers {
        let name = HeaderName::from_bytes(name.as_bytes());
        let value = HeaderValue::from_bytes(value);
        if let (Ok(name), Ok(value)) = (name, value) {
            response.headers_mut().append(name, value);
        }
    }
    set_outcome(&mut response, RequestOutcome::Answered);
    response
        .headers_mut()
        .insert(headers::EPOCH, upstream.epoch.into());
    response
}

fn failure_response(failure: &RequestFailure) -> CallerResponse {
    let answer = failure.kind.response();
    let document = ProblemDocument {
        r#type: answer.slug,
        title: answer.remedy,
        status: answer.status,
        detail: &failure.detail,
        outcome: answer.outcome.as_str(),
    };
    let body = serde_json::to_vec(&document).unwrap_or_default();
    let mut response = Response::new(Bytes::from(body));
    *response.status_mut() =
        StatusCode::from_u16(answer.status).unwrap_or(StatusCode::INTERNAL_SERVER_ERROR);
    let problem = HeaderValue::from_static("application/problem+json");
    response.headers_mut().insert(header::CONTENT_TYPE, problem);
    set_outcome(&mut response, answer.outcome);
    response
        .headers_mut()
        .insert(headers::ERROR, HeaderValue::from_static(answer.slug));
    if answer.retry_hint {
        let seconds = failure
            .retry_after
            .map_or(1, |after| after.as_secs().max(1));
        response
            .headers_mut()
            .insert(headers::RETRY_AFTER, seconds.into());
    }
    response
}

fn set_outcome(response: &mut CallerResponse, outcome: RequestOutcome) {
    let value = HeaderValue::from_static(outcome.as_str());
    response.headers_mut().insert(headers::OUTCOME, value);
}
