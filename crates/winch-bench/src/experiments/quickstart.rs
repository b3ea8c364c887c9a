//! `quickstart`: runs a fleet in this process under mixed traffic.

use std::collections::BTreeMap;
use std::fmt;
use std::time::Duration;
use std::time::Instant;

use buckthornwinch::base::document::report_faults;
use buckthornwinch::declarations::set::DeclarationSet;
use comfy_table::Table;

use super::support::OwnerMap;
use super::support::warm_up;
use crate::checks::GuaranteeReport;
use crate::checks::check_guarantees;
use crate::fleet::deployment::CHECK_CLASS;
use crate::fleet::deployment::DeploymentSize;
use crate::fleet::deployment::ServiceSize;
use crate::fleet::deployment::WorkKind;
use crate::fleet::deployment::hanmaru;
use crate::fleet::embedded::EmbeddedFleet;
use crate::load::generator::LoadGenerator;
use crate::load::record::AttemptEnd;
use crate::load::stream::TrafficStream;
use crate::load::stream::TrafficTarget;
use crate::load::stream::numbered_keys;
use crate::load::summary::StreamSummary;
use crate::load::summary::summarize;

/// Hanmaru's declarations, embedded so that `quickstart` needs no files.
const DECLARATIONS: [(&str, &str); 3] = [
    (
        "examples/hanmaru/declarations/classes.yaml",
        include_str!("../../../../examples/hanmaru/declarations/classes.yaml"),
    ),
    (
        "examples/hanmaru/declarations/rules.yaml",
        include_str!("../../../../examples/hanmaru/declarations/rules.yaml"),
    ),
    (
        "examples/hanmaru/declarations/services.yaml",
        include_str!("../../../../examples/hanmaru/declarations/services.yaml"),
    ),
];

const KEYS: usize = 60;
const ATTEMPTS: u16 = 3;
const PROGRESS_INTERVAL: Duration = Duration::from_secs(1);

/// Number of a node's keys that the table names.
const KEYS_SHOWN: usize = 6;

/// Work and keys of one node.
#[derive(Debug, Clone, PartialEq, Eq)]
struct NodeSummary {
    node: Box<str>,
    domain: &'static str,
    service: &'static str,
    orders: usize,
    keys: Vec<Box<str>>,
}

/// Results of a quickstart run, printed as tables by `Display`.
#[derive(Debug)]
pub struct QuickstartReport {
    classes: BTreeMap<Box<str>, StreamSummary>,
    nodes: Vec<NodeSummary>,
    promises: GuaranteeReport,
    appends: u64,
    elapsed: Duration,
}

/// Runs the quickstart; traffic is sent for `duration`.
///
/// # Errors
///
/// When the fleet does not start, a key is not served within 30 s of its
/// service's warm-up, or a node ends.
pub async fn run(duration: Duration, seed: u64) -> eyre::Result<QuickstartReport> {
    let started = Instant::now();
    let deployment = hanmaru();
    let set = DeclarationSet::parse(&DECLARATIONS).map_err(|faults| report_faults(&faults))?;
    eprintln!(
        "quickstart: starts 1 log, {} winchd and as many upstreams",
        deployment
            .services
            .iter()
            .map(|service| service.endpoints)
            .sum::<usize>()
    );
    let fleet = EmbeddedFleet::start(&deployment, &set).await?;
    eprintln!("quickstart: examples/hanmaru is in force, waits until every key is served");
    let mut records = Vec::new();
    let mut owners = OwnerMap::new();
    for service in &deployment.services {
        let keys = numbered_keys(service.name, KEYS);
        let known = warm_up(service, keys, &fleet.entries(), &mut records).await?;
        if service.kind == WorkKind::Lookup {
            owners = known;
        }
    }

    let load = LoadGenerator::start(streams(&deployment, &fleet, duration), seed);
    show_progress(duration).await;
    let mut load = load.finish().await;
    fleet.check_running()?;

    let classes = summarize(&load, 0, u64::MAX);
    records.append(&mut load.records);
    let ledgers = fleet.ledgers();
    let nodes = fleet
        .nodes
        .iter()
        .zip(&ledgers)
        .map(|(node, ledger)| NodeSummary {
            node: node.name.clone(),
            domain: node.domain,
            service: node.service.name,
            orders: ledger.len(),
            keys: keys_owned_by(&owners, &node.name),
        })
        .collect();
    Ok(QuickstartReport {
        classes,
        nodes,
        promises: check_guarantees(&records, &ledgers),
        appends: fleet.appends(),
        elapsed: started.elapsed(),
    })
}

fn keys_owned_by(owners: &OwnerMap, node: &str) -> Vec<Box<str>> {
    let owned = owners.iter().filter(|(_, owner)| &***owner == node);
    owned.map(|(key, _)| key.clone()).collect()
}

fn streams(
    deployment: &DeploymentSize,
    fleet: &EmbeddedFleet,
    duration: Duration,
) -> Vec<TrafficStream> {
    let stream = |service: &ServiceSize, class: &str, rate: f64| {
        TrafficStream::builder()
            .name(class)
            .service(service.name)
            .class(class)
            .rate(rate)
            .target(TrafficTarget::Entries(fleet.entries()))
            .keys(numbered_keys(service.name, KEYS))
            .duration(duration)
            .with_idempotency_key(service.kind == WorkKind::Order)
            .attempts(ATTEMPTS)
            .build()
    };
    let lookups = deployment.service(WorkKind::Lookup);
    let orders = deployment.service(WorkKind::Order);
    let reports = deployment.service(WorkKind::Batch);
    vec![
        stream(lookups, CHECK_CLASS, 50.0),
        stream(lookups, lookups.class, 400.0),
        stream(orders, orders.class, 100.0),
        stream(reports, reports.class, 50.0),
    ]
}

async fn show_progress(duration: Duration) {
    let started = Instant::now();
    let mut ticks = tokio::time::interval(PROGRESS_INTERVAL);
    loop {
        ticks.tick().await;
        let elapsed = started.elapsed().min(duration);
        eprint!(
            "\rquickstart: sends mixed traffic, {} of {} s",
            elapsed.as_secs(),
            duration.as_secs()
        );
        if elapsed == duration {
            eprintln!();
            return;
        }
    }
}

impl QuickstartReport {
    /// Returns whether no guarantee was violated and every class had a successful
    /// request.
    pub fn is_sound(&self) -> bool {
        let all_served = self.classes.values().all(|class| class.succeeded > 0);
        all_served && !self.promises.is_violated()
    }

    fn class_table(&self) -> Table {
        let mut table = Table::new();
        table.set_header([
            "class", "sent", "answered", "not run", "unknown", "p50 ms", "p99 ms",
        ]);
        for (name, class) in &self.classes {
            let not_run = class.ended(AttemptEnd::NotRun) + class.ended(AttemptEnd::NotSent);
            let unknown = class.ended(AttemptEnd::Unknown) + class.ended(AttemptEnd::Broken);
            table.add_row([
                name.to_string(),
                class.sent.to_string(),
                class.ended(AttemptEnd::Answered).to_string(),
                not_run.to_string(),
                unknown.to_string(),
                format!("{:.1}", class.latency.quantile_ms(0.5)),
                format!("{:.1}", class.latency.quantile_ms(0.99)),
            ]);
        }
        table
    }

    fn node_table(&self) -> Table {
        let mut table = Table::new();
        table.set_header(["node", "failure domain", "service", "orders run", "owns"]);
        for line in &self.nodes {
            let shown: Vec<&str> = line
                .keys
                .iter()
                .take(KEYS_SHOWN)
                .map(|key| &**key)
                .collect();
            let owns = match line.keys.len() {
                0 => "any endpoint serves".to_owned(),
                count if count > KEYS_SHOWN => {
                    format!("{count} keys: {}, ...", shown.join(", "))
                }
                count => format!("{count} keys: {}", shown.join(", ")),
            };
            table.add_row([
                line.node.to_string(),
                line.domain.to_owned(),
                line.service.to_owned(),
                line.orders.to_string(),
                owns,
            ]);
        }
        table
    }
}

impl fmt::Display for QuickstartReport {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let promises = &self.promises;
        writeln!(f, "requests by class\n{}", self.class_table())?;
        writeln!(f, "where keys were routed\n{}", self.node_table())?;
        writeln!(
            f,
            "{} orders run: {} twice, {} under a superseded epoch, {} though told \"not run\"; \
             {} answers cut or another's; {} appends to the log; {:.1} s",
            promises.orders,
            promises.duplicate_runs,
            promises.superseded_starts + promises.shared_epochs,
            promises.run_though_not_run,
            promises.foreign_answers + promises.missing_runs,
            self.appends,
            self.elapsed.as_secs_f64()
        )?;
        for example in &promises.examples {
            writeln!(f, "broken promise: {example}")?;
        }
        let verdict = if self.is_sound() { "kept" } else { "BROKEN" };
        writeln!(f, "promises {verdict}")
    }
}
