//! Writes a node's settings.

use std::net::SocketAddr;
use std::path::Path;

use eyre::WrapErr;
use serde::Serialize;

/// Where a node listens.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[derive(Serialize)]
pub struct NodeAddresses {
    /// Callers' HTTP.
    pub callers: SocketAddr,
    /// Frames and datagrams of other processes.
    pub peers: SocketAddr,
    /// Operators' calls.
    pub operators: SocketAddr,
    /// The upstream's announcements, health and metrics.
    pub local: SocketAddr,
}

/// The log's settings.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize)]
pub struct LogAddress {
    /// Base URL.
    pub address: Box<str>,
}

/// Logging of a node.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize)]
pub struct NodeLogging {
    /// Least severe level.
    pub level: &'static str,
}

/// The settings that an experiment gives; the rest are defaults.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize)]
pub struct NodeSettingsFile {
    /// Name of the node.
    pub node: Box<str>,
    /// Region.
    pub region: Box<str>,
    /// Failure domain.
    pub failure_domain: Box<str>,
    /// Where it listens.
    pub addresses: NodeAddresses,
    /// Processes to ask for the folded state.
    pub peers: Vec<SocketAddr>,
    /// The log.
    pub log: LogAddress,
    /// Logging.
    pub logging: NodeLogging,
}

impl NodeSettingsFile {
    /// Writes the settings.
    ///
    /// # Errors
    ///
    /// When the file cannot be written.
    pub fn write(&self, path: &Path) -> eyre::Result<()> {
        let text = serde_norway::to_string(self).wrap_err("cannot encode the settings")?;
        std::fs::write(path, text).wrap_err_with(|| format!("cannot write {}", path.display()))
    }
}
