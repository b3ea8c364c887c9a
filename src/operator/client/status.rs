//! `winchctl status`: shows the state of the fleet.

use std::time::Duration;

use serde_json::Value;
use serde_json::json;
use winch_operator_api as api;

use super::context::ClientContext;
use super::context::ConnectOptions;
use super::context::call_error;
use super::fleet::FleetStats;
use super::report::OperationReport;
use super::report::write_incarnation;
use super::report::write_table;

/// Timeout of connecting to one member for its statistics, and of the call.
const MEMBER_TIMEOUT: Duration = Duration::from_secs(2);

/// Options of [`status`].
#[derive(Debug, Clone, Default)]
pub struct StatusOptions {
    /// Whether every member is asked for its statistics. Default: false, which
    /// shows those of the answering process only.
    pub all: bool,
}

/// State of the fleet as one process knows it, and statistics of one or all
/// processes.
#[derive(Debug, Clone)]
pub struct StatusReport {
    status: api::StatusResponse,
    fleet_stats: FleetStats,
}

/// Fetches the state of the fleet.
///
/// Fails if the call fails. A member that does not answer is listed in the report.
pub async fn status(
    context: &ClientContext,
    options: &StatusOptions,
) -> eyre::Result<StatusReport> {
    let status = fetch_status(context).await?;
    let mut fleet_stats = FleetStats::new(&status);
    if options.all {
        let others = status
            .members
            .iter()
            .filter(|member| member.incarnation != status.incarnation);
        for member in others {
            match fetch_member_status(context, member).await {
                Ok(other) => fleet_stats.add(&other),
                Err(_unreachable) => fleet_stats.unreachable.push(member.node.as_str().into()),
            }
        }
    }
    Ok(StatusReport {
        status,
        fleet_stats,
    })
}

async fn fetch_status(context: &ClientContext) -> eyre::Result<api::StatusResponse> {
    let response = context.client.clone().status(api::StatusRequest {}).await;
    Ok(response.map_err(call_error)?.into_inner())
}

async fn fetch_member_status(
    context: &ClientContext,
    member: &api::MemberStatus,
) -> eyre::Result<api::StatusResponse> {
    let options = ConnectOptions::builder()
        .servers(vec![member.operator_address.as_str().into()])
        .operator(context.operator.clone())
        .timeout(MEMBER_TIMEOUT)
        .build();
    fetch_status(&ClientContext::connect(&options).await?).await
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

/// Formats a bucket's upper bound; the last bucket has none.
fn format_milliseconds(seconds: f64) -> String {
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
            format_milliseconds(class.p50_seconds),
            format_milliseconds(class.p99_seconds),
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

fn write_stats(stats: &FleetStats) -> String {
    let title = match stats.nodes.as_slice() {
        [node] => format!("figures of {node}"),
        nodes => format!("figures of {} nodes", nodes.len()),
    };
    let mut lines = vec![
        title,
        format!(
            "as owners: {} of at most {} requests run, {} wait",
            stats.running, stats.limit, stats.waiting
        ),
        format!(
            "as entries: at most {:.1} s in which requests found no owner, {} wait for one now",
            stats.unavailable_seconds, stats.stalled
        ),
        format!(
            "churn: {} chains moved, {} of them to these nodes",
            stats.chain_moves, stats.takeovers
        ),
    ];
    if !stats.unreachable.is_empty() {
        lines.push(format!("without answer: {}", stats.unreachable.join(", ")));
    }
    lines.join("\n")
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
        parts.push(write_classes(&self.fleet_stats.classes));
        parts.push(write_stats(&self.fleet_stats));
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
            "figures": stats_json(&self.fleet_stats),
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

fn stats_json(stats: &FleetStats) -> Value {
    json!({
        "nodes": stats.nodes,
        "silent": stats.unreachable,
        "classes": stats.classes.iter().map(class_json).collect::<Vec<Value>>(),
        "chain_moves": stats.chain_moves,
        "takeovers": stats.takeovers,
        "running": stats.running,
        "waiting": stats.waiting,
        "limit": stats.limit,
        "unavailable_seconds": stats.unavailable_seconds,
        "stalled": stats.stalled,
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
