//! Trait through which the rest of the program calls an upstream.

use std::sync::Arc;
use std::time::Duration;

use crate::delivery::message::RoutedRequest;
use crate::delivery::message::UpstreamResponse;
use crate::ownership::gate::FencingToken;
use crate::state::record::UpstreamInfo;

/// Identifies one dispatch of a request; unique over all processes.
pub type DispatchId = Box<str>;

/// One dispatch of a request to an upstream.
#[derive(Debug, Clone)]
pub struct UpstreamRequest {
    /// Announcement of the upstream, with its address.
    pub info: Arc<UpstreamInfo>,
    /// Request to run.
    pub request: Arc<RoutedRequest>,
    /// Epoch and lease expiry under which the request is dispatched, for an
    /// upstream that checks them.
    pub token: FencingToken,
    /// Identifies the dispatch, for example to cancel it.
    pub id: DispatchId,
    /// Time left until the deadline; `None` if there is no deadline.
    pub remaining: Option<Duration>,
}

/// Reason why a dispatch got no usable response.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CallError {
    /// No connection was established, so nothing was sent.
    NotSent,
    /// Nothing listens at the upstream's address, so nothing was sent.
    NotListening,
    /// The upstream stated that it did not run the request.
    Refused,
    /// The connection failed after the request was, or may have been, sent.
    Lost,
    /// The response was cut off or exceeds the size limit.
    Truncated,
}

/// Client of an upstream.
pub trait UpstreamService: Clone + Send + Sync + 'static {
    /// Runs a request on the upstream and returns the complete response.
    fn run(
        &self,
        request: UpstreamRequest,
    ) -> impl Future<Output = Result<UpstreamResponse, CallError>> + Send + 'static;

    /// Asks the upstream to cancel a request. Returns whether it confirmed.
    fn cancel(
        &self,
        info: Arc<UpstreamInfo>,
        id: DispatchId,
    ) -> impl Future<Output = bool> + Send + 'static;

    /// Asks the upstream whether it is healthy. The result is only a hint: it
    /// may be outdated or wrong.
    fn is_healthy(&self, info: Arc<UpstreamInfo>) -> impl Future<Output = bool> + Send + 'static;
}
