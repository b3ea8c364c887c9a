//! Stand-in of the platform's append-only log.
//!
//! [`store`] keeps the entries, the rate and the retention, [`server`] speaks
//! HTTP. Everything is kept in memory: the stand-in lives as long as one test
//! or measurement.
//!
//! | call | answer |
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

/// How the log behaves.
#[derive(Debug, Clone)]
#[derive(Builder)]
pub struct LogSettings {
    /// Where it listens.
    #[builder(default = SocketAddr::from(([127, 0, 0, 1], 0)))]
    pub address: SocketAddr,
    /// Appends taken a second.
    #[builder(default = 400)]
    pub rate: u32,
    /// How many entries it keeps.
    #[builder(default = usize::MAX)]
    pub keep_entries: usize,
    /// How long it keeps an entry.
    #[builder(default = Duration::MAX)]
    pub keep_time: Duration,
}

/// Faults, switched at run time. Absent fields are off.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
#[derive(Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct LogFaults {
    /// Every call is refused with 503.
    pub down: bool,
    /// Time that each append and read takes, in milliseconds. The write takes
    /// effect halfway, also when its caller has gone away by then.
    pub slow_ms: u64,
    /// Probability that an append takes effect and is never answered.
    pub lose_answer: f64,
    /// Probability that an append is written twice.
    pub duplicate: f64,
}

/// What the log has done so far.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct LogStats {
    /// Appends that took effect.
    pub appends: u64,
    /// Appends refused beyond the rate.
    pub refused: u64,
    /// Appends refused while down.
    pub refused_down: u64,
    /// Appends whose answer was lost.
    pub answers_lost: u64,
    /// Reads answered.
    pub reads: u64,
    /// Bytes appended.
    pub bytes: u64,
    /// Most appends that took effect within one second.
    pub peak_rate: u64,
    /// Earliest offset kept.
    pub earliest: u64,
    /// Offset of the next append.
    pub end: u64,
}

/// A running log. It stops when this is dropped.
#[derive(Debug)]
pub struct LogStandin {
    address: SocketAddr,
    store: Arc<LogStore>,
    task: JoinHandle<()>,
}

impl LogStandin {
    /// Starts a log.
    ///
    /// # Errors
    ///
    /// When the address cannot be bound.
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

    /// Returns where the log listens.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Switches faults.
    pub fn set_faults(&self, faults: LogFaults) {
        self.store.set_faults(faults);
    }

    /// Returns what the log has done so far.
    pub fn stats(&self) -> LogStats {
        self.store.stats()
    }
}

impl Drop for LogStandin {
    fn drop(&mut self) {
        self.task.abort();
    }
}
