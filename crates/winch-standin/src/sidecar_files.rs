//! Builds what a sidecar reads: its settings file and the operator's
//! configuration.

use std::net::SocketAddr;

use serde_json::Value;
use serde_json::json;

/// Topic of the store that holds the operator's records.
pub const OPERATOR_TOPIC: &str = "keyed.op";

/// Topic of the store that holds the sidecars' own records.
pub const FLEET_TOPIC: &str = "keyed.winch";

/// Key of the configuration's record in [`OPERATOR_TOPIC`].
pub const CONFIGURATION_KEY: &str = "config";

/// Number of consecutive ports of a machine, from [`MachinePorts::base`] on.
const PORTS_PER_MACHINE: u16 = 6;

/// Number of random port ranges that are tried before giving up.
const MAX_PORT_ATTEMPTS: u32 = 200;

/// The consecutive ports of one machine.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct MachinePorts {
    /// IP address of the machine, and its first port.
    pub base: SocketAddr,
}

impl MachinePorts {
    /// Returns the address at which the sidecar accepts requests of callers.
    pub fn callers(self) -> SocketAddr {
        self.at(0)
    }

    /// Returns the address of the sidecar's readiness endpoint.
    pub fn readiness(self) -> SocketAddr {
        self.at(1)
    }

    /// Returns the address at which the sidecar accepts the upstream's
    /// announcements.
    pub fn announcements(self) -> SocketAddr {
        self.at(2)
    }

    /// Returns the address at which the upstream accepts requests.
    pub fn upstream(self) -> SocketAddr {
        self.at(3)
    }

    /// Returns the address at which the sidecar communicates with other sidecars.
    pub fn peers(self) -> SocketAddr {
        self.at(4)
    }

    /// Returns the address at which the sidecar serves its metrics.
    pub fn metrics(self) -> SocketAddr {
        self.at(5)
    }

    fn at(self, offset: u16) -> SocketAddr {
        SocketAddr::new(self.base.ip(), self.base.port() + offset)
    }
}

/// Returns the ports of `count` machines, each with its own address in the
/// loopback network `network`. The ports were free when they were checked, but
/// are not reserved.
///
/// # Panics
///
/// Panics if no free ports are found.
pub fn free_machine_ports(network: [u8; 3], count: u8) -> Vec<MachinePorts> {
    let [first, second, third] = network;
    let machines_at = |port: u16| -> Vec<MachinePorts> {
        (1..=count)
            .map(|number| MachinePorts {
                base: SocketAddr::from(([first, second, third, number], port)),
            })
            .collect()
    };
    let is_free = |machine: &MachinePorts| {
        (0..PORTS_PER_MACHINE).all(|offset| std::net::TcpListener::bind(machine.at(offset)).is_ok())
    };
    (0..MAX_PORT_ATTEMPTS)
        .map(|_attempt| machines_at(20_000 + rand::random::<u16>() % 30_000))
        .find(|machines| machines.iter().all(is_free))
        .expect("the loopback network has free ports")
}

/// Contents of the settings file of one sidecar.
#[derive(Debug, Clone)]
#[derive(bon::Builder)]
pub struct SidecarFile {
    /// Name of the sidecar's node.
    #[builder(into)]
    pub node: Box<str>,
    /// Failure domain of the node.
    #[builder(into)]
    pub zone: Box<str>,
    /// Service of the sidecar's upstream.
    #[builder(into)]
    pub service: Box<str>,
    /// Ports of the sidecar's machine.
    pub ports: MachinePorts,
    /// Address at which the sidecar reaches its upstream.
    pub upstream: SocketAddr,
    /// Address at which the sidecar reaches the store.
    pub store: SocketAddr,
    /// Interval between heartbeats of the upstream, with the unit. Default:
    /// 200 ms.
    #[builder(default = "200ms", into)]
    pub heartbeat: Box<str>,
    /// How grants reach the upstream. Default: `direct`.
    #[builder(default = "direct", into)]
    pub grants: Box<str>,
    /// Time that the sidecar has to shut down, with the unit. Default: 3 s.
    #[builder(default = "3s", into)]
    pub grace: Box<str>,
}

impl SidecarFile {
    /// Returns the text of the file, in JSON.
    pub fn text(&self) -> String {
        let ports = self.ports;
        json!({
            "node": self.node, "ip": ports.peers().ip(), "zone": self.zone,
            "service": self.service, "heartbeat": self.heartbeat,
            "grants": self.grants,
            "listen": {
                "outbound": ports.callers(), "readiness": ports.readiness(),
                "control": ports.announcements(),
            },
            "portRange": [ports.peers().port(), ports.metrics().port()],
            "app": self.upstream,
            "bounds": {
                "grace": self.grace, "holdMax": "10s", "retryBudgetRatio": 0.2,
                "budgetWindow": "10s", "budgetSlack": 60, "coldOver": 1.5, "coldSlack": 8,
            },
            "platform": {"address": self.store},
        })
        .to_string()
    }
}

/// A route of the operator's configuration.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(bon::Builder)]
pub struct RouteSpec {
    /// Name of the route, and the first segment of the paths that it matches.
    #[builder(into)]
    pub name: Box<str>,
    /// Service to which it sends requests.
    #[builder(into)]
    pub service: Box<str>,
    /// Whether its requests may run more than once. Default: true.
    #[builder(default = true)]
    pub idempotent: bool,
    /// Maximum number of attempts for a request. Default: 1.
    #[builder(default = 1)]
    pub attempts: u32,
    /// Latency target, with the unit. Default: 1 s.
    #[builder(default = "1s", into)]
    pub target: Box<str>,
    /// Longest time until a response, with the unit. Default: 2 s.
    #[builder(default = "2s", into)]
    pub timeout: Box<str>,
}

/// Returns the text of a configuration, in JSON, for the host `shop.example`.
/// `services` are names of services and whether they are sharded by key.
pub fn configuration_text(version: u64, services: &[(&str, bool)], routes: &[RouteSpec]) -> String {
    let rules: Vec<Value> = routes
        .iter()
        .map(|route| {
            let kind = if route.idempotent {
                "idempotent"
            } else {
                "non_idempotent"
            };
            json!({
                "name": route.name, "routeType": kind, "targetLatency": route.target, "priority": 0,
                "match": {"pathPrefix": format!("/{}/", route.name)},
                "action": {
                    "service": route.service, "timeout": route.timeout, "maxAttempts": route.attempts,
                },
            })
        })
        .collect();
    let clusters: Vec<Value> = services
        .iter()
        .map(|(name, sharded)| {
            json!({
                "name": name, "healthCheckPath": "/health", "maxConnections": 130,
                "sharding": sharded,
            })
        })
        .collect();
    json!({
        "version": version,
        "limits": {
            "maxHeaderBytes": 16384, "maxBodyBytes": 1_000_000, "headerTimeout": "3s",
            "idleTimeout": "15s",
        },
        "listeners": [{"host": "shop.example", "rules": rules}],
        "clusters": clusters,
    })
    .to_string()
}
