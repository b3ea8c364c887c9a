//! A whole deployment within this process, for a first look.

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

/// Longest time of one order, as upstreams announce it.
const LONGEST_ORDER: Duration = Duration::from_millis(300);

/// A node of an embedded fleet.
#[derive(Debug)]
pub struct EmbeddedNode {
    /// Its name.
    pub name: Box<str>,
    /// Its failure domain.
    pub domain: &'static str,
    /// Its upstream's service.
    pub service: ServiceSize,
    /// Where it takes callers.
    pub callers: SocketAddr,
    /// Where it takes operators.
    pub operators: SocketAddr,
    upstream: UpstreamStandin,
    task: JoinHandle<eyre::Result<()>>,
}

/// A deployment within this process. It ends when this is dropped.
#[derive(Debug)]
pub struct EmbeddedFleet {
    /// The nodes.
    pub nodes: Vec<EmbeddedNode>,
    log: LogStandin,
}

impl EmbeddedFleet {
    /// Starts a log, and a node and an upstream for each endpoint, and applies
    /// declarations.
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

    /// Returns the callers' addresses.
    pub fn entries(&self) -> Arc<[SocketAddr]> {
        self.nodes.iter().map(|node| node.callers).collect()
    }

    /// Returns each node's ledger, with slices named by their service.
    pub fn ledgers(&self) -> Vec<Vec<LedgerEntry>> {
        self.nodes.iter().map(EmbeddedNode::ledger).collect()
    }

    /// Returns how many appends the log has taken.
    pub fn appends(&self) -> u64 {
        self.log.stats().appends
    }

    /// Checks that every node runs.
    ///
    /// # Errors
    ///
    /// When one has ended.
    pub fn check_running(&self) -> eyre::Result<()> {
        for node in &self.nodes {
            if node.task.is_finished() {
                bail!("{} has ended", node.name);
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
        .max_request_time(LONGEST_ORDER)
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
