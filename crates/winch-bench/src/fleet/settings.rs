//! Plans and writes the settings of a deployment's nodes.

use std::net::SocketAddr;
use std::path::Path;

use buckthornwinch::settings::AddressSettings;
use buckthornwinch::settings::LogLevel;
use buckthornwinch::settings::LogSettings;
use buckthornwinch::settings::LoggingSettings;
use buckthornwinch::settings::NodeSettings;
use eyre::WrapErr;

use super::deployment::DeploymentSize;
use super::deployment::ServiceSize;
use super::ports::free_address;

/// A node that is planned and not yet started.
#[derive(Debug, Clone)]
pub struct NodePlan {
    /// Service of its upstream.
    pub service: ServiceSize,
    /// Its failure domain.
    pub domain: &'static str,
    /// Settings of the node, with each other node as a peer.
    pub settings: NodeSettings,
}

/// Plans one node for each endpoint of a deployment, on free ports.
///
/// # Errors
///
/// When no free port is left.
pub fn plan_nodes(
    deployment: &DeploymentSize,
    log_address: SocketAddr,
    log_level: LogLevel,
) -> eyre::Result<Vec<NodePlan>> {
    let mut endpoints = Vec::new();
    for service in &deployment.services {
        for number in 1..=service.endpoints {
            let addresses = AddressSettings {
                callers: free_address()?,
                peers: free_address()?,
                operators: free_address()?,
                local: free_address()?,
            };
            endpoints.push((format!("{}-{number}", service.name), service, addresses));
        }
    }
    let peers: Vec<SocketAddr> = endpoints
        .iter()
        .map(|(_, _, addresses)| addresses.peers)
        .collect();
    let plans = endpoints.into_iter().enumerate();
    Ok(plans
        .map(|(index, (name, service, addresses))| {
            let domain = deployment.domains[index % deployment.domains.len()];
            let other_peers = peers.iter().copied();
            let own_peer = addresses.peers;
            let settings = NodeSettings::builder()
                .node(name)
                .region(deployment.region)
                .failure_domain(domain)
                .addresses(addresses)
                .peers(other_peers.filter(|peer| *peer != own_peer).collect())
                .log(
                    LogSettings::builder()
                        .address(format!("http://{log_address}"))
                        .build(),
                )
                .logging(LoggingSettings {
                    level: log_level,
                    ..LoggingSettings::default()
                })
                .build();
            NodePlan {
                service: service.clone(),
                domain,
                settings,
            }
        })
        .collect())
}

/// Writes the settings as YAML.
///
/// # Errors
///
/// When the file cannot be written.
pub fn write_settings(settings: &NodeSettings, path: &Path) -> eyre::Result<()> {
    let text = serde_norway::to_string(settings).wrap_err("cannot encode the settings")?;
    std::fs::write(path, text).wrap_err_with(|| format!("cannot write {}", path.display()))
}
