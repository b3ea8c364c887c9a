//! The client of the local upstream, which the platform provides.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use super::upstream::LocalUpstream;
use crate::base::ids::InstanceId;
use crate::delivery::message::RoutedRequest;
use crate::delivery::message::UpstreamResponse;
use crate::ranges::FenceNumber;
use crate::ranges::RangeKey;
use crate::ranges::grants::GrantOutcome;
use crate::ranges::grants::RangeGrant;
use crate::upstream::service::CallError;
use crate::upstream::work_pace::AnnouncedLoad;

/// A request to the local upstream.
#[derive(Debug, Clone)]
pub struct UpstreamCall {
    /// State of the upstream when the request was dispatched.
    pub upstream: LocalUpstream,
    /// The request to run.
    pub request: Arc<RoutedRequest>,
    /// Time left until the request's deadline.
    pub remaining: Duration,
}

/// Outcome of a release.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ReleaseOutcome {
    /// The upstream no longer holds the keys. Contains the state to hand over
    /// to the next owner's upstream, if any.
    Released(Option<Box<str>>),
    /// No response; the upstream may still hold the keys.
    Unknown,
}

/// The answer of the upstream to a question about its state.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct HealthAnswer {
    /// Name of the upstream that answered.
    pub instance: InstanceId,
    /// How much longer it is cold; `None` if it does not say.
    pub cold_remaining: Option<Duration>,
}

/// Client of the local upstream.
pub trait UpstreamClient: Clone + Send + Sync + 'static {
    /// Runs a request and returns the whole response. Dropping the future
    /// cancels the request.
    fn run(
        &self,
        call: UpstreamCall,
    ) -> impl Future<Output = Result<UpstreamResponse, CallError>> + Send + 'static;

    /// Returns the load that the upstream stated in a response; `None` if it stated
    /// none.
    fn announced_load(&self, response: &UpstreamResponse) -> Option<AnnouncedLoad>;

    /// Returns whether the upstream still accepts connections; true if that
    /// cannot be told.
    fn is_listening(&self) -> impl Future<Output = bool> + Send + 'static;

    /// Asks the upstream about its state, at the path for that. Returns `None` without
    /// a proper answer.
    fn check_health(
        &self,
        path: Box<str>,
    ) -> impl Future<Output = Option<HealthAnswer>> + Send + 'static;

    /// Grants a range of keys to the upstream for a limited time.
    fn grant(
        &self,
        address: SocketAddr,
        grant: RangeGrant,
    ) -> impl Future<Output = GrantOutcome> + Send + 'static;

    /// Asks the upstream to give up keys. Returns `Released` once no request
    /// for them runs any more.
    fn release(
        &self,
        address: SocketAddr,
        first: RangeKey,
        last: RangeKey,
        fence: FenceNumber,
    ) -> impl Future<Output = ReleaseOutcome> + Send + 'static;
}
