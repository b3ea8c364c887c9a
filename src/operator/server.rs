//! Serves operators' calls on a listener.

use eyre::WrapErr;
use tokio::net::TcpListener;
use tokio_util::sync::CancellationToken;
use tonic::transport::Server;
use tonic::transport::server::TcpIncoming;
use winch_operator_api::operator_service_server::OperatorServiceServer;

use super::backend::OperatorBackend;
use super::service::OperatorCalls;

/// Most calls of one connection that are answered at once.
const CALLS_PER_CONNECTION: usize = 32;

/// Largest call, in bytes.
const LARGEST_CALL: usize = 4 * 1024 * 1024;

/// Serves operators' calls until `stop` is cancelled.
pub async fn serve<B: OperatorBackend>(
    listener: TcpListener,
    backend: B,
    stop: CancellationToken,
) -> eyre::Result<()> {
    let calls = OperatorServiceServer::new(OperatorCalls::new(backend, stop.clone()))
        .max_decoding_message_size(LARGEST_CALL);
    Server::builder()
        .concurrency_limit_per_connection(CALLS_PER_CONNECTION)
        .add_service(calls)
        .serve_with_incoming_shutdown(TcpIncoming::from(listener), stop.cancelled_owned())
        .await
        .wrap_err("operator: cannot serve calls")
}
