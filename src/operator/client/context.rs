//! A connection to one of several processes, shared by the operations.

use std::time::Duration;

use eyre::WrapErr;
use tonic::Status;
use tonic::transport::Channel;
use tonic::transport::Endpoint;
use winch_operator_api::operator_service_client::OperatorServiceClient;

/// How to reach the operators' interface.
#[derive(Debug, Clone)]
#[derive(bon::Builder)]
pub struct ConnectOptions {
    /// Addresses as `IP:PORT`; the first that answers is used.
    pub servers: Vec<Box<str>>,
    /// Who operates; stands in the log beside each change.
    #[builder(into)]
    pub operator: Box<str>,
    /// How long one call may take.
    #[builder(default = Duration::from_secs(10))]
    pub timeout: Duration,
}

/// A connection to the operators' interface.
#[derive(Debug, Clone)]
pub struct ClientContext {
    /// The calls.
    pub calls: OperatorServiceClient<Channel>,
    /// Who operates.
    pub operator: Box<str>,
}

impl ClientContext {
    /// Connects to the first server that answers.
    ///
    /// Fails with what each server said.
    pub async fn connect(options: &ConnectOptions) -> eyre::Result<Self> {
        let mut failures = Vec::new();
        for server in &options.servers {
            match connect_channel(server, options.timeout).await {
                Ok(channel) => {
                    return Ok(Self {
                        calls: OperatorServiceClient::new(channel),
                        operator: options.operator.clone(),
                    });
                }
                Err(error) => failures.push(format!("{server}: {error:#}")),
            }
        }
        eyre::bail!(
            "no server answers; name one with --server\n{}",
            failures.join("\n")
        )
    }
}

async fn connect_channel(server: &str, timeout: Duration) -> eyre::Result<Channel> {
    let endpoint = Endpoint::from_shared(format!("http://{server}"))
        .wrap_err("is no address; name IP:PORT")?
        .connect_timeout(timeout)
        .timeout(timeout);
    Ok(endpoint.connect().await?)
}

/// Turns the status of a failed call into an error with the server's words.
///
/// Takes the status by value, as `map_err` hands it over.
#[expect(
    clippy::needless_pass_by_value,
    reason = "the form that `map_err` takes"
)]
pub fn call_error(status: Status) -> eyre::Report {
    eyre::eyre!("{}", status.message())
}
