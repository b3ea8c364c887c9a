//! Runs a whole deployment within this process, for `quickstart`.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use buckthornwinch::declarations::set::DeclarationSet;
use buckthornwinch::node::process::run_node;
use buckthornwinch::settings::LogLevel;
use eyre::bail;
use eyre::eyre;
use tokio::task::JoinHandle;
use tokio_util::sync::CancellationToken;
use winch_standin::log_standin::LogSettings;
use winch_standin::log_standin::LogStandin;
use winch_standin::upstream_standin::LedgerEntry;
use winch_standin::upstream_standin::UpstreamSettings;
use winch_standin::upstream_standin::UpstreamStandin;

use super::apply::create_declarations;
use super::deployment::DeploymentSize;
use super::deployment::SERVICE_TIME;
use super::deployment::ServiceSize;
use super::settings::NodePlan;
use super::settings::plan_nodes;

/// Maximum time of one request, as upstreams announce it.
const MAX_REQUEST_DURATION: Duration = Duration::from_millis(300);

/// A node of an embedded fleet.
#[derive(Debug)]
pub struct EmbeddedNode {
    /// Name of the node.
    pub name: Box<str>,
    /// Its failure domain.
    pub domain: &'static str,
    /// Service of its upstream.
    pub service: ServiceSize,
    /// Address for callers.
    pub callers: SocketAddr,
    /// Address of the operator API.
    pub operators: SocketAddr,
    upstream: UpstreamStandin,
    task: JoinHandle<eyre::Result<()>>,
}

/// A deployment within this process. Dropping it stops all of its nodes.
#[derive(Debug)]
pub struct EmbeddedFleet {
    /// Nodes, one for each endpoint, in the order of the services.
    pub nodes: Vec<EmbeddedNode>,
    log: LogStandin,
}

impl EmbeddedFleet {
    /// Starts a log and, for each endpoint, a node and an upstream; then applies
    /// the declarations.
    ///
    /// # Errors
    ///
    /// When a port cannot be bound or the declarations are not accepted.
    pub async fn start(deployment: &DeploymentSize, set: &DeclarationSet) -> eyre::Result<Self> {
        let log = LogStandin::start(LogSettings::builder().build()).await?;
        let mut nodes = Vec::new();
        for plan in plan_nodes(deployment, log.address(), LogLevel::Warn)? {
            nodes.push(start_node(deployment, plan).await?);
        }
        let fleet = Self { nodes, log };
        let operators = fleet
            .nodes
            .first()
            .map(|node| node.operators)
            .ok_or_else(|| eyre!("the fleet is empty"))?;
        create_declarations(operators, set).await?;
        fleet.check_running()?;
        Ok(fleet)
    }

    /// Returns every node's address for callers.
    pub fn entries(&self) -> Arc<[SocketAddr]> {
        self.nodes.iter().map(|node| node.callers).collect()
    }

    /// Returns each node's ledger. Slices are prefixed with their service, so
    /// that they are unique across services.
    pub fn ledgers(&self) -> Vec<Vec<LedgerEntry>> {
        self.nodes.iter().map(EmbeddedNode::ledger).collect()
    }

    /// Returns the number of appends that the log accepted.
    pub fn appends(&self) -> u64 {
        self.log.stats().appends
    }

    /// Checks that every node still runs.
    ///
    /// # Errors
    ///
    /// When the task of a node has ended.
    pub fn check_running(&self) -> eyre::Result<()> {
        for node in &self.nodes {
            if node.task.is_finished() {
                bail!("node {} has ended unexpectedly", node.name);
            }
        }
        Ok(())
    }
}

impl EmbeddedNode {
    fn ledger(&self) -> Vec<LedgerEntry> {
        let mut ledger = self.upstream.ledger();
        for entry in &mut ledger {
            entry.slice = format!("{}/{}", self.service.name, entry.slice).into();
        }
        ledger
    }
}

impl Drop for EmbeddedNode {
    fn drop(&mut self) {
        self.task.abort();
    }
}

async fn start_node(deployment: &DeploymentSize, plan: NodePlan) -> eyre::Result<EmbeddedNode> {
    let addresses = plan.settings.addresses.clone();
    let name = plan.settings.node.clone();
    let task = tokio::spawn(run_node(plan.settings, CancellationToken::new()));
    let settings = UpstreamSettings::builder()
        .service(plan.service.name)
        .announce_to(addresses.local)
        .slots(deployment.slots)
        .connections(deployment.connections)
        .service_time(SERVICE_TIME)
        .max_request_time(MAX_REQUEST_DURATION)
        .build();
    let upstream = UpstreamStandin::start(settings).await?;
    Ok(EmbeddedNode {
        name,
        domain: plan.domain,
        service: plan.service,
        callers: addresses.callers,
        operators: addresses.operators,
        upstream,
        task,
    })
}
