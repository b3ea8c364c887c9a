//! The sections of a settings file.
//!
//! Each section's defaults stand once, in its builder.

use std::net::SocketAddr;
use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;

use crate::base::milliseconds;

/// Where the process listens.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct AddressSettings {
    /// Callers' HTTP.
    pub callers: SocketAddr,
    /// Frames (TCP) and datagrams (UDP) of other processes.
    pub peers: SocketAddr,
    /// Operators' gRPC.
    pub operators: SocketAddr,
    /// The upstream's announcements, health and metrics.
    pub local: SocketAddr,
}

/// How the platform's log is reached.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize, bon::Builder)]
#[serde(deny_unknown_fields)]
pub struct LogSettings {
    /// Base URL of the log.
    #[builder(into)]
    pub address: Box<str>,
    /// How long one append may take.
    #[serde(rename = "append_timeout_ms", default = "LogSettings::append_timeout")]
    #[serde(with = "milliseconds")]
    #[builder(default = LogSettings::append_timeout())]
    pub append_timeout: Duration,
    /// How long one read may take.
    #[serde(rename = "read_timeout_ms", default = "LogSettings::read_timeout")]
    #[serde(with = "milliseconds")]
    #[builder(default = LogSettings::read_timeout())]
    pub read_timeout: Duration,
    /// Pause between two reads that found nothing new.
    #[serde(rename = "poll_interval_ms", default = "LogSettings::poll_interval")]
    #[serde(with = "milliseconds")]
    #[builder(default = LogSettings::poll_interval())]
    pub poll_interval: Duration,
    /// Longest pause between two attempts while the log fails.
    #[serde(rename = "longest_backoff_ms", default = "LogSettings::max_backoff")]
    #[serde(with = "milliseconds")]
    #[builder(default = LogSettings::max_backoff())]
    pub max_backoff: Duration,
    /// Most entries of one read.
    #[serde(default = "LogSettings::read_entries")]
    #[builder(default = LogSettings::read_entries())]
    pub read_entries: u32,
    /// Most appends of this process in a second.
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

/// Bounds of what callers may ask for and of what is kept for them.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize, bon::Builder)]
#[serde(deny_unknown_fields, default)]
pub struct LimitSettings {
    /// Largest body of a request, in bytes; a service may allow less.
    #[builder(default = 1024 * 1024)]
    pub max_body_bytes: u32,
    /// Longest deadline that a caller may ask for.
    #[serde(rename = "max_deadline_ms", with = "milliseconds")]
    #[builder(default = Duration::from_mins(1))]
    pub max_deadline: Duration,
    /// Most connections of callers at once.
    #[builder(default = 4096)]
    pub max_connections: u32,
    /// How long a request's headers may take to arrive.
    #[serde(rename = "header_timeout_ms", with = "milliseconds")]
    #[builder(default = Duration::from_secs(5))]
    pub header_timeout: Duration,
    /// How long a request's body may take to arrive.
    #[serde(rename = "body_timeout_ms", with = "milliseconds")]
    #[builder(default = Duration::from_secs(10))]
    pub body_timeout: Duration,
    /// How long an outcome is kept for repetitions of its request.
    #[serde(rename = "outcome_memory_ms", with = "milliseconds")]
    #[builder(default = Duration::from_mins(10))]
    pub outcome_retention: Duration,
    /// Most outcomes that are kept.
    #[builder(default = 50_000)]
    pub outcome_entries: u32,
    /// Most bytes of answers that are kept with the outcomes.
    #[builder(default = 16 * 1024 * 1024)]
    pub outcome_bytes: u64,
}

impl Default for LimitSettings {
    fn default() -> Self {
        Self::builder().build()
    }
}

/// Times of the lease.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize, bon::Builder)]
#[serde(deny_unknown_fields, default)]
pub struct LeaseSettings {
    /// Pause between two renewals.
    #[serde(rename = "renew_interval_ms", with = "milliseconds")]
    #[builder(default = Duration::from_millis(150))]
    pub renew_interval: Duration,
    /// How long a renewal holds.
    #[serde(rename = "lease_ms", with = "milliseconds")]
    #[builder(default = Duration::from_millis(700))]
    pub lease: Duration,
    /// By how much less a holder relies on a promise than its witness keeps it.
    #[serde(rename = "margin_ms", with = "milliseconds")]
    #[builder(default = Duration::from_millis(50))]
    pub margin: Duration,
    /// Gap between two ticks that counts as a pause of the process.
    #[serde(rename = "tick_gap_ms", with = "milliseconds")]
    #[builder(default = Duration::from_millis(250))]
    pub tick_gap: Duration,
}

impl Default for LeaseSettings {
    fn default() -> Self {
        Self::builder().build()
    }
}

/// Form of a log line.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum LogFormat {
    /// One line of text.
    #[default]
    Text,
    /// One JSON object a line.
    Json,
}

/// Least severe level that is logged.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum LogLevel {
    /// Faults that an operator should mend.
    Error,
    /// Faults that the process copes with.
    Warn,
    /// Placement decisions and changes of state.
    #[default]
    Info,
    /// Routing decisions as well.
    Debug,
    /// Everything.
    Trace,
}

/// How the process logs.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct LoggingSettings {
    /// Form of a line.
    pub format: LogFormat,
    /// Least severe level that is logged.
    pub level: LogLevel,
}

/// How the process leaves.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct DrainSettings {
    /// How long work in flight may take to finish.
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
