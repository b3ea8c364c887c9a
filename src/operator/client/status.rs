//! Shows the state of the fleet.

use serde_json::Value;
use serde_json::json;
use winch_operator_api as api;

use super::context::ClientContext;
use super::context::call_error;
use super::report::OperationReport;
use super::report::write_incarnation;
use super::report::write_table;

/// The state of the fleet, as one process knows it.
#[derive(Debug, Clone)]
pub struct StatusReport {
    status: api::StatusResponse,
}

/// Fetches the state of the fleet.
pub async fn status(context: &ClientContext) -> eyre::Result<StatusReport> {
    let response = context.calls.clone().status(api::StatusRequest {}).await;
    Ok(StatusReport {
        status: response.map_err(call_error)?.into_inner(),
    })
}

fn member_state(member: &api::MemberStatus) -> &'static str {
    match (member.certified_ended, member.draining) {
        (true, _) => "ended",
        (false, true) => "draining",
        (false, false) => "member",
    }
}

fn write_members(members: &[api::MemberStatus]) -> String {
    let rows = members.iter().map(|member| {
        [
            member.node.clone(),
            member.failure_domain.clone(),
            member.service.clone(),
            member_state(member).to_owned(),
            member.slots.to_string(),
            member.slices.to_string(),
            member.successor_slices.to_string(),
            member.witnesses.join(","),
            write_incarnation(member.incarnation),
        ]
    });
    write_table(
        [
            "NODE",
            "DOMAIN",
            "SERVICE",
            "STATE",
            "SLOTS",
            "SLICES",
            "NEXT",
            "WITNESSES",
            "INCARNATION",
        ],
        rows,
    )
}

fn write_services(services: &[api::ServiceStatus]) -> String {
    let rows = services.iter().map(|service| {
        [
            service.name.clone(),
            service.slices.to_string(),
            service.unowned.to_string(),
            service.without_successor.to_string(),
            format!("{:.1} %", service.imbalance * 100.0),
        ]
    });
    write_table(
        ["SERVICE", "SLICES", "UNOWNED", "NO SUCCESSOR", "IMBALANCE"],
        rows,
    )
}

fn milliseconds(seconds: f64) -> String {
    if seconds.is_infinite() {
        "beyond".to_owned()
    } else {
        format!("{:.2}", seconds * 1000.0)
    }
}

fn write_classes(classes: &[api::ClassStatus]) -> String {
    let rows = classes.iter().map(|class| {
        [
            class.name.clone(),
            class.target_ms.to_string(),
            milliseconds(class.p50_seconds),
            milliseconds(class.p99_seconds),
            class.answered.to_string(),
            class.not_run.to_string(),
            class.unknown.to_string(),
        ]
    });
    write_table(
        [
            "CLASS",
            "TARGET MS",
            "P50 MS <",
            "P99 MS <",
            "ANSWERED",
            "NOT RUN",
            "UNKNOWN",
        ],
        rows,
    )
}

fn write_own_figures(status: &api::StatusResponse) -> String {
    let node = &status.node;
    let upstream = format!(
        "{node} as owner: {} of at most {} requests run, {} wait",
        status.running, status.limit, status.waiting
    );
    let entry = format!(
        "{node} as entry: {:.1} s in which requests found no owner, {} wait for one now",
        status.unavailable_seconds, status.stalled
    );
    let churn = format!(
        "since {node} joined: {} chains moved, {} of them to it",
        status.chain_moves, status.takeovers
    );
    [upstream, entry, churn].join("\n")
}

impl OperationReport for StatusReport {
    fn text(&self) -> String {
        let status = &self.status;
        let planner = match status.planner.as_str() {
            "" => "none",
            planner => planner,
        };
        let mut parts = vec![format!(
            "as seen by {} at offset {}; planner {planner} at term {}",
            status.node, status.next_offset, status.term
        )];
        parts.push(write_members(&status.members));
        parts.push(write_services(&status.services));
        parts.push(write_classes(&status.classes));
        parts.push(write_own_figures(status));
        parts.join("\n\n")
    }

    fn json(&self) -> Value {
        let status = &self.status;
        json!({
            "node": status.node,
            "incarnation": write_incarnation(status.incarnation),
            "next_offset": status.next_offset,
            "term": status.term,
            "planner": status.planner,
            "members": status.members.iter().map(member_json).collect::<Vec<Value>>(),
            "services": status.services.iter().map(service_json).collect::<Vec<Value>>(),
            "classes": status.classes.iter().map(class_json).collect::<Vec<Value>>(),
            "chain_moves": status.chain_moves,
            "takeovers": status.takeovers,
            "running": status.running,
            "waiting": status.waiting,
            "limit": status.limit,
            "unavailable_seconds": status.unavailable_seconds,
            "stalled": status.stalled,
        })
    }
}

fn member_json(member: &api::MemberStatus) -> Value {
    json!({
        "node": member.node,
        "incarnation": write_incarnation(member.incarnation),
        "region": member.region,
        "failure_domain": member.failure_domain,
        "operator_address": member.operator_address,
        "service": member.service,
        "slots": member.slots,
        "state": member_state(member),
        "slices": member.slices,
        "successor_slices": member.successor_slices,
        "witnesses": member.witnesses,
    })
}

fn service_json(service: &api::ServiceStatus) -> Value {
    json!({
        "name": service.name,
        "slices": service.slices,
        "unowned": service.unowned,
        "without_successor": service.without_successor,
        "imbalance": service.imbalance,
    })
}

fn class_json(class: &api::ClassStatus) -> Value {
    json!({
        "name": class.name,
        "rank": class.rank,
        "target_ms": class.target_ms,
        "answered": class.answered,
        "not_run": class.not_run,
        "unknown": class.unknown,
        "p50_seconds": class.p50_seconds,
        "p99_seconds": class.p99_seconds,
    })
}
