//! The upstream, as the rest of the program sees it.

use std::sync::Arc;
use std::time::Duration;

use crate::delivery::message::RoutedRequest;
use crate::delivery::message::UpstreamResponse;
use crate::ownership::gate::FencingToken;
use crate::state::record::UpstreamInfo;

/// Names one dispatch to an upstream, unique over all processes.
pub type DispatchId = Box<str>;

/// One dispatch of a request to an upstream.
#[derive(Debug, Clone)]
pub struct UpstreamRequest {
    /// The upstream.
    pub info: Arc<UpstreamInfo>,
    /// The caller's request.
    pub request: Arc<RoutedRequest>,
    /// The right to dispatch.
    pub token: FencingToken,
    /// Names the dispatch.
    pub id: DispatchId,
    /// Time left until the deadline; none for work that may wait.
    pub remaining: Option<Duration>,
}

/// Why a dispatch got no answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CallError {
    /// No connection was made, so nothing was sent.
    NotSent,
    /// Nothing listens at the upstream's address, so nothing was sent.
    NotListening,
    /// The upstream stated that it did not run the order.
    Refused,
    /// The connection failed after the order was, or may have been, sent.
    Lost,
    /// The answer was cut off or exceeds the limit.
    Truncated,
}

/// Runs orders on an upstream.
pub trait UpstreamService: Clone + Send + Sync + 'static {
    /// Runs an order and returns the whole answer.
    fn run(
        &self,
        request: UpstreamRequest,
    ) -> impl Future<Output = Result<UpstreamResponse, CallError>> + Send + 'static;

    /// Asks the upstream to stop an order; true if it confirmed.
    fn cancel(
        &self,
        info: Arc<UpstreamInfo>,
        id: DispatchId,
    ) -> impl Future<Output = bool> + Send + 'static;

    /// Asks the upstream whether it is healthy. The answer may lag or mislead.
    fn is_healthy(&self, info: Arc<UpstreamInfo>) -> impl Future<Output = bool> + Send + 'static;
}
