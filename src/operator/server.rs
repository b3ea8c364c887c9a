//! gRPC server of the operator API.

use eyre::WrapErr;
use tokio::net::TcpListener;
use tokio_util::sync::CancellationToken;
use tonic::transport::Server;
use tonic::transport::server::TcpIncoming;
use winch_operator_api::operator_service_server::OperatorServiceServer;

use super::backend::OperatorBackend;
use super::service::OperatorHandler;

/// Maximum number of concurrent calls on one connection.
const MAX_CALLS_PER_CONNECTION: usize = 32;

/// Maximum size of a request message.
const MAX_REQUEST_BYTES: usize = 4 * 1024 * 1024;

/// Serves the operator API until `stop` is cancelled, and then waits for the
/// calls in progress.
///
/// Fails if the listener fails.
pub async fn serve<B: OperatorBackend>(
    listener: TcpListener,
    backend: B,
    stop: CancellationToken,
) -> eyre::Result<()> {
    let service = OperatorServiceServer::new(OperatorHandler::new(backend, stop.clone()))
        .max_decoding_message_size(MAX_REQUEST_BYTES);
    Server::builder()
        .concurrency_limit_per_connection(MAX_CALLS_PER_CONNECTION)
        .add_service(service)
        .serve_with_incoming_shutdown(TcpIncoming::from(listener), stop.cancelled_owned())
        .await
        .wrap_err("the gRPC server failed")
}
