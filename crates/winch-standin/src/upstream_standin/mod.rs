//! Stand-in of an upstream.
//!
//! [`server`] takes requests over HTTP, [`order`] runs them on a bounded number
//! of slots, [`fence`] refuses superseded epochs, [`ledger`] keeps what was
//! started and finished, [`announcer`] tells the local `winchd` about it.
//!
//! | call | answer |
//! | --- | --- |
//! | `GET /winch/health` | 200 or 503, which may lag or lie |
//! | `GET /winch/load` | `{"slots": n, "running": n, "waiting": n}` |
//! | `DELETE /winch/orders/{id}` | cancels a running order |
//! | `GET /ledger?from=N&limit=M` | JSON list of [`LedgerEntry`] |
//! | `POST /faults`, [`UpstreamFaults`] | 200 |
//! | anything else | an order: 200 with an [`EchoAnswer`] |
//!
//! [`EchoAnswer`]: crate::echo::EchoAnswer

mod announcer;
mod fence;
mod ledger;
mod order;
mod server;

use std::net::SocketAddr;
use std::path::PathBuf;
use std::sync::Arc;
use std::time::Duration;

use bon::Builder;
use eyre::WrapErr;
use serde::Deserialize;
use serde::Serialize;
use tokio::net::TcpListener;
use tokio::task::JoinHandle;

pub use ledger::LedgerEntry;
pub use ledger::read_ledger_file;

use announcer::UpstreamAnnouncer;
use order::OrderRunner;

/// How the upstream behaves.
#[derive(Debug, Clone)]
#[derive(Builder)]
pub struct UpstreamSettings {
    /// Name of the service.
    #[builder(into)]
    pub service: Box<str>,
    /// Where it listens.
    #[builder(default = SocketAddr::from(([127, 0, 0, 1], 0)))]
    pub address: SocketAddr,
    /// Where the local `winchd` takes announcements; none announces nothing.
    pub announce_to: Option<SocketAddr>,
    /// How many orders run at once.
    #[builder(default = 20)]
    pub slots: u16,
    /// How many connections it says that it accepts.
    #[builder(default = 130)]
    pub connections: u16,
    /// How many orders wait for a slot before it sheds load.
    #[builder(default = 20)]
    pub backlog: usize,
    /// Time that an order runs at least.
    #[builder(default = Duration::ZERO)]
    pub service_time: Duration,
    /// Largest random time added to that.
    #[builder(default = Duration::ZERO)]
    pub service_jitter: Duration,
    /// Time after its start during which orders run slower.
    #[builder(default = Duration::ZERO)]
    pub cold_start: Duration,
    /// Whether it refuses orders of a superseded epoch or an ended lease.
    #[builder(default = true)]
    pub checks_fence: bool,
    /// Whether it cancels running orders.
    #[builder(default = true)]
    pub accepts_cancel: bool,
    /// How long it says that one order may run at most.
    #[builder(default = Duration::from_secs(2))]
    pub longest_order: Duration,
    /// Padding of each answer, in bytes.
    #[builder(default = 64)]
    pub answer_padding: usize,
    /// File to which the ledger is also written, so that it outlives the
    /// process.
    pub ledger_file: Option<PathBuf>,
}

/// What the health endpoint says.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum HealthReport {
    /// Whether orders fail.
    #[default]
    Honest,
    /// Well, whatever happens to orders.
    AlwaysWell,
    /// Ill, whatever happens to orders.
    AlwaysIll,
}

/// Faults, switched at run time. Absent fields are off.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
#[derive(Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct UpstreamFaults {
    /// Probability that an order is run and answered with 500.
    pub fail: f64,
    /// Probability that an order is run and never answered.
    pub lose_answer: f64,
    /// Probability that a request is refused with 503 without being run.
    pub refuse: f64,
    /// Time by which each answer is late, in milliseconds.
    pub late_ms: u64,
    /// Time added to each order, in milliseconds.
    pub slow_ms: u64,
    /// What the health endpoint says.
    pub health: HealthReport,
    /// Time by which the health endpoint lags, in milliseconds.
    pub health_lag_ms: u64,
}

/// A running upstream. It stops when this is dropped.
#[derive(Debug)]
pub struct UpstreamStandin {
    address: SocketAddr,
    runner: Arc<OrderRunner>,
    announcer: Option<UpstreamAnnouncer>,
    task: JoinHandle<()>,
}

impl UpstreamStandin {
    /// Starts an upstream.
    ///
    /// # Errors
    ///
    /// When the address cannot be bound or the ledger file cannot be created.
    pub async fn start(settings: UpstreamSettings) -> eyre::Result<Self> {
        let listener = TcpListener::bind(settings.address)
            .await
            .wrap_err_with(|| format!("cannot listen on {}", settings.address))?;
        let address = listener.local_addr()?;
        let announcer = settings
            .announce_to
            .map(|target| UpstreamAnnouncer::start(target, address, &settings));
        let runner = Arc::new(OrderRunner::new(settings)?);
        let task = tokio::spawn(server::serve(listener, Arc::clone(&runner)));
        Ok(Self {
            address,
            runner,
            announcer,
            task,
        })
    }

    /// Returns where the upstream listens.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Switches faults.
    pub fn set_faults(&self, faults: UpstreamFaults) {
        self.runner.set_faults(faults);
    }

    /// Returns every order that was started.
    pub fn ledger(&self) -> Vec<LedgerEntry> {
        self.runner.ledger().entries(0, usize::MAX)
    }

    /// Tells the local `winchd` that it leaves, and waits until the running
    /// orders have finished, at most `limit`.
    pub async fn leave(&mut self, limit: Duration) {
        if let Some(announcer) = self.announcer.take() {
            announcer.leave().await;
        }
        drop(tokio::time::timeout(limit, self.runner.wait_until_idle()).await);
    }
}

impl Drop for UpstreamStandin {
    fn drop(&mut self) {
        self.task.abort();
    }
}
