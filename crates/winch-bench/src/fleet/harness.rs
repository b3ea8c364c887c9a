//! Runs a deployment as processes: one log, and a `winchd` beside each upstream.

use std::ffi::OsString;
use std::net::SocketAddr;
use std::path::Path;
use std::path::PathBuf;
use std::sync::Arc;
use std::time::Duration;

use bon::Builder;
use buckthornwinch::declarations::set::DeclarationSet;
use buckthornwinch::settings::AddressSettings;
use buckthornwinch::settings::LogLevel;
use eyre::WrapErr;
use eyre::bail;
use eyre::eyre;
use reqwest::Client;
use tempfile::TempDir;
use tokio::time::Instant;
use winch_standin::log_standin::LogFaults;
use winch_standin::log_standin::LogStats;
use winch_standin::upstream_standin::LedgerEntry;
use winch_standin::upstream_standin::UpstreamFaults;
use winch_standin::upstream_standin::read_ledger_file;

use super::apply::create_declarations;
use super::deployment::DeploymentSize;
use super::deployment::SERVICE_TIME;
use super::deployment::ServiceSize;
use super::ports::free_address;
use super::process::ChildProcess;
use super::process::ProcessCommand;
use super::process::sibling_program;
use super::settings::NodePlan;
use super::settings::plan_nodes;
use super::settings::write_settings;

const READY_TIMEOUT: Duration = Duration::from_secs(30);
const READY_POLL: Duration = Duration::from_millis(50);
const CALL_TIMEOUT: Duration = Duration::from_secs(2);

/// Options of a fleet, with defaults for most of them.
#[derive(Debug, Clone)]
#[derive(Builder)]
pub struct FleetOptions {
    /// Services, failure domains and sizes.
    pub deployment: DeploymentSize,
    /// Directory of the deployment's declarations.
    pub declarations: PathBuf,
    /// Time that an upstream takes for a request; 2 ms by default.
    #[builder(default = SERVICE_TIME)]
    pub service_time: Duration,
    /// Maximum random time added to `service_time`; 0 by default.
    #[builder(default = Duration::ZERO)]
    pub service_jitter: Duration,
    /// Time after an upstream's start during which its requests run slower; 0 by
    /// default.
    #[builder(default = Duration::ZERO)]
    pub cold_start: Duration,
    /// Maximum time of one request, as upstreams announce it; 300 ms by default.
    #[builder(default = Duration::from_millis(300))]
    pub longest_order: Duration,
    /// Whether upstreams check fencing tokens; `true` by default.
    #[builder(default = true)]
    pub checks_fence: bool,
    /// Slots of each upstream; `None` uses the deployment's.
    pub slots: Option<u16>,
    /// Appends per second that the log accepts; 400 by default.
    #[builder(default = 400)]
    pub log_rate: u32,
    /// Log level of the nodes; `info` by default.
    #[builder(default = LogLevel::Info)]
    pub log_level: LogLevel,
}

/// A `winchd` and the upstream beside it.
#[derive(Debug)]
pub struct FleetNode {
    /// Name of the node.
    pub name: Box<str>,
    /// Its failure domain.
    pub domain: &'static str,
    /// Service of its upstream.
    pub service: ServiceSize,
    /// Listen addresses of the `winchd`.
    pub addresses: AddressSettings,
    /// Listen address of the upstream.
    pub upstream_address: SocketAddr,
    /// The `winchd` process.
    pub winchd: ChildProcess,
    /// The upstream process.
    pub upstream: ChildProcess,
    /// The upstream's ledger files, one for each process that was started.
    ledger_files: Vec<PathBuf>,
    directory: PathBuf,
    options: FleetOptions,
}

/// The processes of a deployment. Dropping it kills them all.
#[derive(Debug)]
pub struct FleetHarness {
    /// Nodes, one for each endpoint, in the order of the services.
    pub nodes: Vec<FleetNode>,
    /// The log process.
    pub log: ChildProcess,
    /// Listen address of the log.
    pub log_address: SocketAddr,
    client: Client,
    options: FleetOptions,
    directory: TempDir,
}

impl FleetHarness {
    /// Starts a fleet, applies the declarations, and waits until every node is
    /// ready.
    ///
    /// # Errors
    ///
    /// When a process cannot be started or is not ready within 30 s.
    pub async fn start(options: FleetOptions) -> eyre::Result<Self> {
        let directory = tempfile::tempdir().wrap_err("cannot create a temporary directory")?;
        let log_address = free_address()?;
        let log = start_log(directory.path(), log_address, options.log_rate)?;
        let client = Client::builder()
            .no_proxy()
            .timeout(CALL_TIMEOUT)
            .build()
            .wrap_err("cannot build an HTTP client")?;
        let mut fleet = Self {
            nodes: Vec::new(),
            log,
            log_address,
            client,
            options,
            directory,
        };
        fleet
            .wait_for(&format!("http://{log_address}/stats"))
            .await?;
        fleet.start_nodes()?;
        fleet.wait_until_up().await?;
        fleet.apply_declarations().await?;
        fleet.wait_until_ready().await?;
        Ok(fleet)
    }

    fn start_nodes(&mut self) -> eyre::Result<()> {
        let options = &self.options;
        for plan in plan_nodes(&options.deployment, self.log_address, options.log_level)? {
            let node = self.start_node(plan)?;
            self.nodes.push(node);
        }
        Ok(())
    }

    fn start_node(&self, plan: NodePlan) -> eyre::Result<FleetNode> {
        let directory = self.directory.path();
        let settings = plan.settings;
        let settings_path = directory.join(format!("{}.yaml", settings.node));
        write_settings(&settings, &settings_path)?;
        let winchd = ChildProcess::start(ProcessCommand {
            name: format!("winchd-{}", settings.node).into(),
            program: sibling_program("winchd")?,
            arguments: vec!["run".into(), settings_path.into()],
            output_directory: directory.to_owned(),
        })?;
        let upstream_address = free_address()?;
        let ledger_file = directory.join(format!("ledger-{}-0", settings.node));
        let upstream = ChildProcess::start(ProcessCommand {
            name: format!("upstream-{}", settings.node).into(),
            program: sibling_program("winch-standin")?,
            arguments: upstream_arguments(
                &self.options,
                &plan.service,
                upstream_address,
                settings.addresses.local,
                &ledger_file,
            ),
            output_directory: directory.to_owned(),
        })?;
        Ok(FleetNode {
            name: settings.node,
            domain: plan.domain,
            service: plan.service,
            addresses: settings.addresses,
            upstream_address,
            winchd,
            upstream,
            ledger_files: vec![ledger_file],
            directory: directory.to_owned(),
            options: self.options.clone(),
        })
    }

    /// Waits until every node responds to health checks.
    async fn wait_until_up(&self) -> eyre::Result<()> {
        for node in &self.nodes {
            let url = format!("http://{}/healthz", node.addresses.local);
            self.wait_for(&url).await?;
        }
        Ok(())
    }

    /// Waits until every node reports that it is ready.
    ///
    /// # Errors
    ///
    /// When a node is not ready within 30 s.
    pub async fn wait_until_ready(&self) -> eyre::Result<()> {
        for node in &self.nodes {
            let url = format!("http://{}/readyz", node.addresses.local);
            self.wait_for(&url).await?;
        }
        Ok(())
    }

    async fn wait_for(&self, url: &str) -> eyre::Result<()> {
        let deadline = Instant::now() + READY_TIMEOUT;
        while Instant::now() < deadline {
            let answer = self.client.get(url).send().await;
            if answer.is_ok_and(|answer| answer.status().is_success()) {
                return Ok(());
            }
            tokio::time::sleep(READY_POLL).await;
        }
        bail!(
            "{url} is not ready after {READY_TIMEOUT:?}; {}",
            self.tail_of_logs()
        )
    }

    /// Returns the last log line of each `winchd`, from its first process.
    fn tail_of_logs(&self) -> String {
        let mut text = String::from("last lines:");
        for node in &self.nodes {
            let path = self
                .directory
                .path()
                .join(format!("winchd-{}-0.log", node.name));
            let log = std::fs::read_to_string(path).unwrap_or_default();
            text.push_str("\n  ");
            text.push_str(&node.name);
            text.push_str(": ");
            text.push_str(log.lines().last().unwrap_or("(nothing)"));
        }
        text
    }

    /// Creates the objects that the deployment declares.
    async fn apply_declarations(&self) -> eyre::Result<()> {
        let node = self
            .nodes
            .first()
            .ok_or_else(|| eyre!("the fleet is empty"))?;
        let set = DeclarationSet::load(std::slice::from_ref(&self.options.declarations))?;
        create_declarations(node.addresses.operators, &set).await
    }

    /// Returns every node's address for callers.
    pub fn entries(&self) -> Arc<[SocketAddr]> {
        self.entries_except(usize::MAX)
    }

    /// Returns the addresses for callers of every node except the one at index
    /// `excluded`.
    pub fn entries_except(&self, excluded: usize) -> Arc<[SocketAddr]> {
        self.nodes
            .iter()
            .enumerate()
            .filter(|(index, _)| *index != excluded)
            .map(|(_, node)| node.addresses.callers)
            .collect()
    }

    /// Returns the indexes of a service's nodes in [`nodes`](Self::nodes).
    pub fn nodes_of(&self, service: &str) -> Vec<usize> {
        self.nodes
            .iter()
            .enumerate()
            .filter(|(_, node)| node.service.name == service)
            .map(|(index, _)| index)
            .collect()
    }

    /// Reads each node's ledger, with the entries of all processes of its
    /// upstream. Slices are prefixed with their service, so that they are unique
    /// across services.
    ///
    /// # Errors
    ///
    /// When a ledger file cannot be read.
    pub fn ledgers(&self) -> eyre::Result<Vec<Vec<LedgerEntry>>> {
        self.nodes.iter().map(FleetNode::ledger).collect()
    }

    /// Sets the log's faults, in place of earlier ones.
    ///
    /// # Errors
    ///
    /// When the log does not respond within 2 s.
    pub async fn set_log_faults(&self, faults: &LogFaults) -> eyre::Result<()> {
        let url = format!("http://{}/faults", self.log_address);
        self.client.post(url).json(faults).send().await?;
        Ok(())
    }

    /// Returns the log's counters since its start.
    ///
    /// # Errors
    ///
    /// When the log does not respond within 2 s.
    pub async fn log_stats(&self) -> eyre::Result<LogStats> {
        let url = format!("http://{}/stats", self.log_address);
        Ok(self.client.get(url).send().await?.json().await?)
    }

    /// Sets the faults of a node's upstream, in place of earlier ones.
    ///
    /// # Errors
    ///
    /// When the upstream does not respond within 2 s.
    pub async fn set_upstream_faults(
        &self,
        node: usize,
        faults: &UpstreamFaults,
    ) -> eyre::Result<()> {
        let url = format!("http://{}/faults", self.nodes[node].upstream_address);
        self.client.post(url).json(faults).send().await?;
        Ok(())
    }

    /// Returns the directory of the processes' logs, settings and ledgers.
    pub fn directory(&self) -> &Path {
        self.directory.path()
    }

    /// Keeps the directory when the fleet is dropped; by default it is deleted.
    pub fn keep_directory(&mut self) {
        self.directory.disable_cleanup(true);
    }
}

impl FleetNode {
    fn ledger(&self) -> eyre::Result<Vec<LedgerEntry>> {
        let mut ledger = Vec::new();
        for file in &self.ledger_files {
            ledger.append(&mut read_ledger_file(file)?);
        }
        for entry in &mut ledger {
            entry.slice = format!("{}/{}", self.service.name, entry.slice).into();
        }
        Ok(ledger)
    }

    /// Restarts the upstream with a new ledger file. Kills it first if it still
    /// runs.
    ///
    /// # Errors
    ///
    /// When the program cannot be started.
    pub fn restart_upstream(&mut self) -> eyre::Result<()> {
        let number = self.ledger_files.len();
        let file_name = format!("ledger-{}-{number}", self.name);
        let ledger_file = self.directory.join(file_name);
        self.upstream.command_mut().arguments = upstream_arguments(
            &self.options,
            &self.service,
            self.upstream_address,
            self.addresses.local,
            &ledger_file,
        );
        self.ledger_files.push(ledger_file);
        self.upstream.restart()
    }
}

fn start_log(directory: &Path, address: SocketAddr, rate: u32) -> eyre::Result<ChildProcess> {
    ChildProcess::start(ProcessCommand {
        name: "log".into(),
        program: sibling_program("winch-standin")?,
        arguments: vec![
            "log".into(),
            "--listen".into(),
            address.to_string().into(),
            "--rate".into(),
            rate.to_string().into(),
        ],
        output_directory: directory.to_owned(),
    })
}

fn upstream_arguments(
    options: &FleetOptions,
    service: &ServiceSize,
    address: SocketAddr,
    announce_to: SocketAddr,
    ledger_file: &Path,
) -> Vec<OsString> {
    let deployment = &options.deployment;
    let slots = options.slots.unwrap_or(deployment.slots);
    let numbers = [
        ("--slots", u128::from(slots)),
        ("--connections", u128::from(deployment.connections)),
        ("--service-us", options.service_time.as_micros()),
        ("--jitter-us", options.service_jitter.as_micros()),
        ("--cold-start-ms", options.cold_start.as_millis()),
        ("--longest-order-ms", options.longest_order.as_millis()),
    ];
    let mut arguments: Vec<OsString> = vec![
        "upstream".into(),
        "--service".into(),
        service.name.into(),
        "--listen".into(),
        address.to_string().into(),
        "--announce-to".into(),
        announce_to.to_string().into(),
        "--checks-fence".into(),
        options.checks_fence.to_string().into(),
        "--ledger-file".into(),
        ledger_file.into(),
    ];
    for (flag, number) in numbers {
        arguments.push(flag.into());
        arguments.push(number.to_string().into());
    }
    arguments
}
