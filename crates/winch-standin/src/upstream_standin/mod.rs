//! Stand-in for an upstream.
//!
//! [`server`] accepts requests over HTTP, [`order`] runs them on a bounded number
//! of slots, [`fence`] refuses superseded epochs, [`ledger`] records which
//! requests started and finished, [`announcer`] announces the upstream to the
//! local `winchd`.
//!
//! | call | response |
//! | --- | --- |
//! | `GET /winch/health` | 200 or 503; faults can delay or falsify it |
//! | `GET /winch/load` | `{"slots": n, "running": n, "waiting": n}` |
//! | `DELETE /winch/orders/{id}` | cancels a running request |
//! | `GET /ledger?from=N&limit=M` | JSON list of [`LedgerEntry`] |
//! | `POST /faults`, [`UpstreamFaults`] | 200 |
//! | any other path | runs the request: 200 with an [`EchoAnswer`] |
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
use order::RequestRunner;

/// Settings of the upstream.
#[derive(Debug, Clone)]
#[derive(Builder)]
pub struct UpstreamSettings {
    /// Service that it announces.
    #[builder(into)]
    pub service: Box<str>,
    /// Address to listen on. Default: a free loopback port.
    #[builder(default = SocketAddr::from(([127, 0, 0, 1], 0)))]
    pub address: SocketAddr,
    /// Address at which the local `winchd` accepts announcements; none are sent
    /// when absent.
    pub announce_to: Option<SocketAddr>,
    /// Maximum number of concurrent requests. Default: 20.
    #[builder(default = 20)]
    pub slots: u16,
    /// Number of connections that it announces. Default: 130.
    #[builder(default = 130)]
    pub connections: u16,
    /// Maximum number of requests that wait for a slot; more are refused.
    /// Default: 20.
    #[builder(default = 20)]
    pub backlog: usize,
    /// Minimum time that a request runs. Default: zero.
    #[builder(default = Duration::ZERO)]
    pub service_time: Duration,
    /// Maximum random time added to `service_time`. Default: zero.
    #[builder(default = Duration::ZERO)]
    pub service_jitter: Duration,
    /// Time after the start during which requests run slower. Default: zero.
    #[builder(default = Duration::ZERO)]
    pub cold_start: Duration,
    /// Whether it refuses requests of a superseded epoch or an expired lease.
    /// Default: true.
    #[builder(default = true)]
    pub checks_fence: bool,
    /// Whether it cancels running requests on demand. Default: true.
    #[builder(default = true)]
    pub accepts_cancel: bool,
    /// Maximum time of one request that it announces; not enforced. Default: 2 s.
    #[builder(default = Duration::from_secs(2))]
    pub longest_order: Duration,
    /// Padding of each response, in bytes. Default: 64.
    #[builder(default = 64)]
    pub answer_padding: usize,
    /// File to which the ledger is written as well, so that it survives the
    /// process; none is written when absent.
    pub ledger_file: Option<PathBuf>,
}

/// What the health endpoint reports.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum HealthReport {
    /// Unhealthy if at least half of the requests are set to fail.
    #[default]
    Honest,
    /// Healthy, regardless of the faults.
    AlwaysWell,
    /// Unhealthy, regardless of the faults.
    AlwaysIll,
}

/// Faults, set at run time. Absent fields are off.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
#[derive(Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct UpstreamFaults {
    /// Probability that a request runs and is answered with 500.
    pub fail: f64,
    /// Probability that a request runs and is never answered.
    pub lose_answer: f64,
    /// Probability that a request is refused with 503 and does not run.
    pub refuse: f64,
    /// Delay of each successful response after the request has run, in
    /// milliseconds.
    pub late_ms: u64,
    /// Time added to the run of each request, in milliseconds.
    pub slow_ms: u64,
    /// What the health endpoint reports.
    pub health: HealthReport,
    /// Time for which the health endpoint still reports the previous faults, in
    /// milliseconds.
    pub health_lag_ms: u64,
}

/// A running upstream. It stops when this is dropped.
#[derive(Debug)]
pub struct UpstreamStandin {
    address: SocketAddr,
    runner: Arc<RequestRunner>,
    announcer: Option<UpstreamAnnouncer>,
    task: JoinHandle<()>,
}

impl UpstreamStandin {
    /// Starts an upstream.
    ///
    /// # Errors
    ///
    /// Fails if the address cannot be bound or the ledger file cannot be created.
    pub async fn start(settings: UpstreamSettings) -> eyre::Result<Self> {
        let listener = TcpListener::bind(settings.address)
            .await
            .wrap_err_with(|| format!("cannot listen on {}", settings.address))?;
        let address = listener.local_addr()?;
        let announcer = settings
            .announce_to
            .map(|target| UpstreamAnnouncer::start(target, address, &settings));
        let runner = Arc::new(RequestRunner::new(settings)?);
        let task = tokio::spawn(server::serve(listener, Arc::clone(&runner)));
        Ok(Self {
            address,
            runner,
            announcer,
            task,
        })
    }

    /// Returns the address on which the upstream listens.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Replaces the faults; requests that already run keep the earlier ones.
    pub fn set_faults(&self, faults: UpstreamFaults) {
        self.runner.set_faults(faults);
    }

    /// Returns every request that was started, in order of start.
    pub fn ledger(&self) -> Vec<LedgerEntry> {
        self.runner.ledger().entries(0, usize::MAX)
    }

    /// Withdraws the announcement from the local `winchd` and waits until no
    /// request runs or waits, for `limit` at most.
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
