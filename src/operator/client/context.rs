//! Connection to the operator API, shared by the operations.

use std::time::Duration;

use eyre::WrapErr;
use tonic::Status;
use tonic::transport::Channel;
use tonic::transport::Endpoint;
use winch_operator_api::operator_service_client::OperatorServiceClient;

/// Options of [`ClientContext::connect`].
#[derive(Debug, Clone)]
#[derive(bon::Builder)]
pub struct ConnectOptions {
    /// Server addresses as `IP:PORT`, tried in this order until one answers.
    pub servers: Vec<Box<str>>,
    /// Name of the operator, recorded in the log with each change.
    #[builder(into)]
    pub operator: Box<str>,
    /// Timeout of connecting, and of each call. Default: 10 s.
    #[builder(default = Duration::from_secs(10))]
    pub timeout: Duration,
}

/// Connection to the operator API of one server.
#[derive(Debug, Clone)]
pub struct ClientContext {
    /// gRPC client. Cloning it shares the connection.
    pub client: OperatorServiceClient<Channel>,
    /// Name of the operator, recorded in the log with each change.
    pub operator: Box<str>,
}

impl ClientContext {
    /// Connects to the first server that answers.
    ///
    /// Fails with the error of every server.
    pub async fn connect(options: &ConnectOptions) -> eyre::Result<Self> {
        let mut failures = Vec::new();
        for server in &options.servers {
            match connect_channel(server, options.timeout).await {
                Ok(channel) => {
                    return Ok(Self {
                        client: OperatorServiceClient::new(channel),
                        operator: options.operator.clone(),
                    });
                }
                Err(error) => failures.push(format!("{server}: {error:#}")),
            }
        }
        eyre::bail!(
            "no server answers; specify one with --server\n{}",
            failures.join("\n")
        )
    }
}

async fn connect_channel(server: &str, timeout: Duration) -> eyre::Result<Channel> {
    let endpoint = Endpoint::from_shared(format!("http://{server}"))
        .wrap_err("is not an address; specify IP:PORT")?
        .connect_timeout(timeout)
        .timeout(timeout);
    Ok(endpoint.connect().await?)
}

/// Converts the status of a failed call to an error with the server's message.
#[expect(
    clippy::needless_pass_by_value,
    reason = "the form that `map_err` takes"
)]
pub fn call_error(status: Status) -> eyre::Report {
    eyre::eyre!("{}", status.message())
}
