//! Stand-in for the platform's append-only log.
//!
//! [`store`] holds the entries and applies the rate limit and the retention,
//! [`server`] serves HTTP. Everything is kept in memory, because the stand-in is
//! needed for one test or benchmark only.
//!
//! | call | response |
//! | --- | --- |
//! | `POST /append`, raw body | 200 `{"offset": n}`, 429 beyond the rate, 503 when down |
//! | `GET /read?from=N&limit=M&wait_ms=K` | 200 `{"end": n, "entries": [{"offset": n, "data": "<hex>"}]}`, 410 `{"earliest": n}` |
//! | `GET /earliest` | `{"earliest": n}` |
//! | `POST /faults`, [`LogFaults`] | 200 |
//! | `GET /stats` | [`LogStats`] |

mod server;
mod store;

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bon::Builder;
use eyre::WrapErr;
use serde::Deserialize;
use serde::Serialize;
use tokio::net::TcpListener;
use tokio::task::JoinHandle;

use store::LogStore;

/// Settings of the log.
#[derive(Debug, Clone)]
#[derive(Builder)]
pub struct LogSettings {
    /// Address to listen on. Default: a free loopback port.
    #[builder(default = SocketAddr::from(([127, 0, 0, 1], 0)))]
    pub address: SocketAddr,
    /// Maximum appends per second; more are refused with 429. Default: 400.
    #[builder(default = 400)]
    pub rate: u32,
    /// Maximum number of entries to keep. Default: unlimited.
    #[builder(default = usize::MAX)]
    pub keep_entries: usize,
    /// How long to keep an entry. Default: unlimited.
    #[builder(default = Duration::MAX)]
    pub keep_time: Duration,
}

/// Faults, set at run time. Absent fields are off.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
#[derive(Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct LogFaults {
    /// Whether appends, reads and calls of `/earliest` are refused with 503.
    pub down: bool,
    /// Delay of each append and read, in milliseconds. An append takes effect after
    /// half of it, even if its caller has disconnected by then.
    pub slow_ms: u64,
    /// Probability that an append takes effect and is never answered.
    pub lose_answer: f64,
    /// Probability that an append is written twice.
    pub duplicate: f64,
}

/// Counters of the log since its start, and its present offsets.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct LogStats {
    /// Appends that took effect.
    pub appends: u64,
    /// Appends refused because of the rate limit.
    pub refused: u64,
    /// Appends refused because of [`LogFaults::down`].
    pub refused_down: u64,
    /// Appends that took effect and were never answered.
    pub answers_lost: u64,
    /// Reads, including those of offsets that are no longer kept.
    pub reads: u64,
    /// Bytes of the appends that took effect.
    pub bytes: u64,
    /// Maximum number of appends accepted by the rate limit within one second.
    pub peak_rate: u64,
    /// Earliest offset that is kept.
    pub earliest: u64,
    /// Offset of the next append.
    pub end: u64,
}

/// A running log. It stops when it is dropped.
#[derive(Debug)]
pub struct LogStandin {
    address: SocketAddr,
    store: Arc<LogStore>,
    task: JoinHandle<()>,
}

impl LogStandin {
    /// Starts an empty log.
    ///
    /// # Errors
    ///
    /// Fails if the address cannot be bound.
    pub async fn start(settings: LogSettings) -> eyre::Result<Self> {
        let listener = TcpListener::bind(settings.address)
            .await
            .wrap_err_with(|| format!("cannot listen on {}", settings.address))?;
        let address = listener.local_addr()?;
        let store = Arc::new(LogStore::new(settings));
        let task = tokio::spawn(server::serve(listener, Arc::clone(&store)));
        Ok(Self {
            address,
            store,
            task,
        })
    }

    /// Returns the address on which the log listens.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Replaces the faults.
    pub fn set_faults(&self, faults: LogFaults) {
        self.store.set_faults(faults);
    }

    /// Returns the counters and offsets as they are now.
    pub fn stats(&self) -> LogStats {
        self.store.stats()
    }
}

impl Drop for LogStandin {
    fn drop(&mut self) {
        self.task.abort();
    }
}
