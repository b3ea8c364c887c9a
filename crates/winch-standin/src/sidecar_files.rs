//! What a sidecar reads: its settings file and the operator's configuration.

use std::net::SocketAddr;

use serde_json::Value;
use serde_json::json;

/// Topic of the operator's records.
pub const OPERATOR_TOPIC: &str = "keyed.op";

/// Topic of the sidecars' own records.
pub const FLEET_TOPIC: &str = "keyed.winch";

/// Key of the operator's configuration.
pub const CONFIGURATION_KEY: &str = "config";

/// Ports that a machine needs from [`MachinePorts::base`] on.
const MACHINE_PORTS: u16 = 6;

/// How often free ports are looked for.
const PORT_TRIES: u32 = 200;

/// The ports of one machine, in a row from a base.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct MachinePorts {
    /// Address of the first port.
    pub base: SocketAddr,
}

impl MachinePorts {
    /// Returns where the sidecar takes callers.
    pub fn callers(self) -> SocketAddr {
        self.at(0)
    }

    /// Returns where the sidecar tells whether it takes callers.
    pub fn readiness(self) -> SocketAddr {
        self.at(1)
    }

    /// Returns where the sidecar takes the upstream's announcements.
    pub fn announcements(self) -> SocketAddr {
        self.at(2)
    }

    /// Returns where the upstream takes requests.
    pub fn upstream(self) -> SocketAddr {
        self.at(3)
    }

    /// Returns where the sidecar talks to others.
    pub fn peers(self) -> SocketAddr {
        self.at(4)
    }

    /// Returns where the sidecar serves its metrics.
    pub fn metrics(self) -> SocketAddr {
        self.at(5)
    }

    fn at(self, offset: u16) -> SocketAddr {
        SocketAddr::new(self.base.ip(), self.base.port() + offset)
    }
}

/// Returns the ports of `count` machines, each on an address of its own in the
/// loopback network `network`, that were free a moment ago.
///
/// # Panics
///
/// Panics if no ports are free.
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
        (0..MACHINE_PORTS).all(|offset| std::net::TcpListener::bind(machine.at(offset)).is_ok())
    };
    (0..PORT_TRIES)
        .map(|_try| machines_at(20_000 + rand::random::<u16>() % 30_000))
        .find(|machines| machines.iter().all(is_free))
        .expect("free ports")
}

/// What the settings file of one sidecar names.
#[derive(Debug, Clone)]
#[derive(bon::Builder)]
pub struct SidecarFile {
    /// Name of the node.
    #[builder(into)]
    pub node: Box<str>,
    /// Failure domain.
    #[builder(into)]
    pub zone: Box<str>,
    /// Service of the upstream beside it.
    #[builder(into)]
    pub service: Box<str>,
    /// The machine's ports.
    pub ports: MachinePorts,
    /// Where the sidecar reaches its upstream.
    pub upstream: SocketAddr,
    /// Where the sidecar reaches the store.
    pub store: SocketAddr,
    /// Time between announcements, with its unit.
    #[builder(default = "200ms", into)]
    pub heartbeat: Box<str>,
    /// Time to leave, with its unit.
    #[builder(default = "3s", into)]
    pub grace: Box<str>,
}

impl SidecarFile {
    /// Returns the file's text.
    pub fn text(&self) -> String {
        let ports = self.ports;
        json!({
            "node": self.node, "ip": ports.peers().ip(), "zone": self.zone,
            "service": self.service, "heartbeat": self.heartbeat,
            "listen": {
                "outbound": ports.callers(), "readiness": ports.readiness(),
                "control": ports.announcements(),
            },
            "portRange": [ports.peers().port(), ports.metrics().port()],
            "app": self.upstream,
            "bounds": {
                "grace": self.grace, "holdMax": "10s", "retryBudgetRatio": 0.2,
                "budgetWindow": "10s", "budgetSlack": 60,
            },
            "platform": {"address": self.store},
        })
        .to_string()
    }
}

/// A route of the operator's configuration.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(bon::Builder)]
pub struct RouteFile {
    /// Its name, and the part of the path between the first two slashes.
    #[builder(into)]
    pub name: Box<str>,
    /// The service that it leads to.
    #[builder(into)]
    pub service: Box<str>,
    /// Whether its requests may run more than once.
    #[builder(default = true)]
    pub idempotent: bool,
    /// Upstreams that a request may be sent to.
    #[builder(default = 1)]
    pub attempts: u32,
}

/// Returns the text of a configuration for the host `shop.example`, with the
/// services and whether they are divided by key.
pub fn configuration_text(version: u64, services: &[(&str, bool)], routes: &[RouteFile]) -> String {
    let rules: Vec<Value> = routes
        .iter()
        .map(|route| {
            let kind = if route.idempotent {
                "idempotent"
            } else {
                "non_idempotent"
            };
            json!({
                "name": route.name, "routeType": kind, "targetLatency": "1s", "priority": 0,
                "match": {"pathPrefix": format!("/{}/", route.name)},
                "action": {
                    "service": route.service, "timeout": "2s", "maxAttempts": route.attempts,
                },
            })
        })
        .collect();
    let clusters: Vec<Value> = services
        .iter()
        .map(|(name, divided)| {
            json!({
                "name": name, "healthCheckPath": "/health", "maxConnections": 130,
                "sharding": divided,
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
