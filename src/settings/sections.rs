//! The sections of a settings file.
//!
//! Each section's defaults are defined once, in its builder.

use std::net::SocketAddr;
use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;

use crate::base::milliseconds;
use crate::held_bytes::limits::ProcessLimits;

/// Addresses on which the process listens.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct AddressSettings {
    /// Callers' HTTP interface.
    pub callers: SocketAddr,
    /// Frames (TCP) and datagrams (UDP) of other processes. Announced to them, so
    /// it must be reachable from other VMs.
    pub peers: SocketAddr,
    /// Operators' gRPC interface.
    pub operators: SocketAddr,
    /// The upstream's announcements, health checks and metrics.
    pub local: SocketAddr,
}

/// Access to the platform's log.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize, bon::Builder)]
#[serde(deny_unknown_fields)]
pub struct LogSettings {
    /// Base URL of the log.
    #[builder(into)]
    pub address: Box<str>,
    /// Time-out of one append. Default 1 s.
    #[serde(rename = "append_timeout_ms", default = "LogSettings::append_timeout")]
    #[serde(with = "milliseconds")]
    #[builder(default = LogSettings::append_timeout())]
    pub append_timeout: Duration,
    /// Time-out of one read. Default 1 s.
    #[serde(rename = "read_timeout_ms", default = "LogSettings::read_timeout")]
    #[serde(with = "milliseconds")]
    #[builder(default = LogSettings::read_timeout())]
    pub read_timeout: Duration,
    /// Pause after a read that returned no new entries. Default 200 ms.
    #[serde(rename = "poll_interval_ms", default = "LogSettings::poll_interval")]
    #[serde(with = "milliseconds")]
    #[builder(default = LogSettings::poll_interval())]
    pub poll_interval: Duration,
    /// Maximum pause between two attempts while the log fails. Default 5 s.
    #[serde(rename = "longest_backoff_ms", default = "LogSettings::max_backoff")]
    #[serde(with = "milliseconds")]
    #[builder(default = LogSettings::max_backoff())]
    pub max_backoff: Duration,
    /// Maximum number of entries in one read. Default 1000.
    #[serde(default = "LogSettings::read_entries")]
    #[builder(default = LogSettings::read_entries())]
    pub read_entries: u32,
    /// Maximum rate of this process's appends. Default 20 per second.
    #[serde(default = "LogSettings::appends_per_second")]
    #[builder(default = LogSettings::appends_per_second())]
    pub appends_per_second: u32,
}

impl LogSettings {
    const fn append_timeout() -> Duration {
        Duration::from_secs(1)
    }

    const fn read_timeout() -> Duration {
        Duration::from_secs(1)
    }

    const fn poll_interval() -> Duration {
        Duration::from_millis(200)
    }

    const fn max_backoff() -> Duration {
        Duration::from_secs(5)
    }

    const fn read_entries() -> u32 {
        1000
    }

    const fn appends_per_second() -> u32 {
        20
    }
}

/// Limits of callers' requests and of stored outcomes.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize, bon::Builder)]
#[serde(deny_unknown_fields, default)]
pub struct LimitSettings {
    /// Maximum body size of a request; a service may allow less. Default 1 MiB.
    #[builder(default = 1024 * 1024)]
    pub max_body_bytes: u32,
    /// Maximum deadline that a caller may request. Default 1 min.
    #[serde(rename = "max_deadline_ms", with = "milliseconds")]
    #[builder(default = Duration::from_mins(1))]
    pub max_deadline: Duration,
    /// Maximum number of concurrent connections of callers. Default 4096.
    #[builder(default = 4096)]
    pub max_connections: u32,
    /// Time-out of receiving a request's headers. Default 5 s.
    #[serde(rename = "header_timeout_ms", with = "milliseconds")]
    #[builder(default = Duration::from_secs(5))]
    pub header_timeout: Duration,
    /// Time-out of receiving a request's body. Default 10 s.
    #[serde(rename = "body_timeout_ms", with = "milliseconds")]
    #[builder(default = Duration::from_secs(10))]
    pub body_timeout: Duration,
    /// How long an outcome is stored to answer retries of its request. Default
    /// 10 min.
    #[serde(rename = "outcome_memory_ms", with = "milliseconds")]
    #[builder(default = Duration::from_mins(10))]
    pub outcome_retention: Duration,
    /// Maximum number of stored outcomes. Default 50 000.
    #[builder(default = 50_000)]
    pub outcome_entries: u32,
    /// Maximum size of the responses stored with the outcomes, in total. Default
    /// 16 MiB.
    #[builder(default = 16 * 1024 * 1024)]
    pub outcome_bytes: u64,
    /// Memory that the process may use, in bytes. Default 640 MB.
    #[builder(default = 640_000_000)]
    pub memory_bytes: u64,
}

impl LimitSettings {
    /// Returns the limits of the process from which its bounds follow.
    pub fn process_limits(&self) -> ProcessLimits {
        ProcessLimits {
            memory_bytes: usize::try_from(self.memory_bytes).unwrap_or(usize::MAX),
            ..ProcessLimits::default()
        }
    }
}

impl Default for LimitSettings {
    fn default() -> Self {
        Self::builder().build()
    }
}

/// Timing of the lease. `lease` must be the same on every node.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize, bon::Builder)]
#[serde(deny_unknown_fields, default)]
pub struct LeaseSettings {
    /// Interval between two renewals; at most a third of `lease`. Default 150 ms.
    #[serde(rename = "renew_interval_ms", with = "milliseconds")]
    #[builder(default = Duration::from_millis(150))]
    pub renew_interval: Duration,
    /// How long the lease is valid after a renewal. Default 700 ms.
    #[serde(rename = "lease_ms", with = "milliseconds")]
    #[builder(default = Duration::from_millis(700))]
    pub lease: Duration,
    /// How much earlier a holder stops relying on a promise than its witness stops
    /// keeping it; less than half of `lease`. Default 50 ms.
    #[serde(rename = "margin_ms", with = "milliseconds")]
    #[builder(default = Duration::from_millis(50))]
    pub margin: Duration,
    /// Gap between two ticks from which the process counts as paused; less than
    /// `lease`. Default 250 ms.
    #[serde(rename = "tick_gap_ms", with = "milliseconds")]
    #[builder(default = Duration::from_millis(250))]
    pub tick_gap: Duration,
}

impl Default for LeaseSettings {
    fn default() -> Self {
        Self::builder().build()
    }
}

/// Format of log lines.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum LogFormat {
    /// One line of text.
    #[default]
    Text,
    /// One JSON object per line.
    Json,
}

/// Least severe level that is logged.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum LogLevel {
    /// Faults that an operator has to correct.
    Error,
    /// Faults from which the process recovers by itself.
    Warn,
    /// Placement decisions and changes of state.
    #[default]
    Info,
    /// As `Info`, and a line for each routing decision.
    Debug,
    /// Everything.
    Trace,
}

/// Format and level of the process's log lines.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct LoggingSettings {
    /// Format of a line. Default text.
    pub format: LogFormat,
    /// Least severe level that is logged. Default info.
    pub level: LogLevel,
}

/// Limits of leaving the fleet.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct DrainSettings {
    /// How long chains may take to move away, and then running requests to finish.
    /// Default 30 s.
    #[serde(rename = "timeout_ms", with = "milliseconds")]
    pub timeout: Duration,
}

impl Default for DrainSettings {
    fn default() -> Self {
        Self {
            timeout: Duration::from_secs(30),
        }
    }
}
