//! Serves the local address: announcements of the upstream, health checks and
//! metrics.

use tokio::net::TcpListener;
use tokio::sync::watch;
use tokio_util::sync::CancellationToken;
use warp::Filter;
use warp::http::StatusCode;

use super::inputs::NodeInputs;
use crate::telemetry::metrics::MetricRegistry;
use crate::upstream::announce::UpstreamRegistry;
use crate::upstream::announce::announce_routes;

/// Serves the local address until `stop` is cancelled.
pub async fn serve_local(
    listener: TcpListener,
    registry: UpstreamRegistry,
    metrics: MetricRegistry,
    inputs: watch::Receiver<NodeInputs>,
    stop: CancellationToken,
) {
    let health = warp::path!("healthz").map(|| StatusCode::OK);
    let ready = warp::path!("readyz").map(move || readiness(&inputs.borrow()));
    let text = warp::path!("metrics").map(move || metrics.encode());
    let routes = announce_routes(registry).or(health).or(ready).or(text);
    warp::serve(routes)
        .incoming(listener)
        .graceful(async move { stop.cancelled().await })
        .run()
        .await;
}

/// Returns 200 while the lease is live and the process is not leaving, and 503
/// otherwise.
fn readiness(inputs: &NodeInputs) -> StatusCode {
    if inputs.view.lease_live && !inputs.is_leaving {
        StatusCode::OK
    } else {
        StatusCode::SERVICE_UNAVAILABLE
    }
}
