//! The deployments of the two users, in their current sizes.

use std::time::Duration;

/// Kind of work that a service does.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum WorkKind {
    /// Idempotent lookups, sharded by key.
    Lookup,
    /// Orders, which run at most once; sent with idempotency keys.
    Order,
    /// Deferrable batch work.
    Batch,
}

/// Name and size of one service.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ServiceSize {
    /// Name of the service.
    pub name: &'static str,
    /// Priority class of its requests.
    pub class: &'static str,
    /// Kind of its work.
    pub kind: WorkKind,
    /// Number of endpoints, each an upstream with a node beside it.
    pub endpoints: usize,
}

/// Sizes of a deployment.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct DeploymentSize {
    /// Name; also the directory of its declarations under `examples`.
    pub name: &'static str,
    /// Region of all its nodes.
    pub region: &'static str,
    /// Failure domains, assigned to the nodes in round-robin order.
    pub domains: [&'static str; 3],
    /// Services, one of each [`WorkKind`].
    pub services: Vec<ServiceSize>,
    /// Requests that one endpoint runs at the same time.
    pub slots: u16,
    /// Connections that one endpoint accepts.
    pub connections: u16,
}

/// Default time that an upstream takes for a request.
pub const SERVICE_TIME: Duration = Duration::from_millis(2);

/// Priority class of internal checks, the same in both deployments.
pub const CHECK_CLASS: &str = "checks";

/// Returns the deployment of Hanmaru.
pub fn hanmaru() -> DeploymentSize {
    DeploymentSize {
        name: "hanmaru",
        region: "yeongnam",
        domains: ["daegu-a", "daegu-b", "busan"],
        services: vec![
            service("catalogue", "lookups", WorkKind::Lookup, 5),
            service("orders", "orders", WorkKind::Order, 3),
            service("reports", "reports", WorkKind::Batch, 3),
        ],
        slots: 20,
        connections: 130,
    }
}

/// Returns the deployment of Samtök Skvassljósa Íslands.
pub fn reykjanes() -> DeploymentSize {
    DeploymentSize {
        name: "reykjanes",
        region: "reykjanes",
        domains: ["keflavik", "grindavik", "vogar"],
        services: vec![
            service("lamp-status", "lamp-status", WorkKind::Lookup, 4),
            service("relamping", "relamping", WorkKind::Order, 3),
            service("records", "records", WorkKind::Batch, 3),
        ],
        slots: 6,
        connections: 60,
    }
}

fn service(
    name: &'static str,
    class: &'static str,
    kind: WorkKind,
    endpoints: usize,
) -> ServiceSize {
    ServiceSize {
        name,
        class,
        kind,
        endpoints,
    }
}

impl DeploymentSize {
    /// Returns the first service with the given kind of work.
    ///
    /// # Panics
    ///
    /// When the deployment has none.
    pub fn service(&self, kind: WorkKind) -> &ServiceSize {
        self.services
            .iter()
            .find(|service| service.kind == kind)
            .expect("each deployment has a service of each kind")
    }
}
