//! Compares the outcomes that callers received with the requests in the
//! upstreams' ledgers.

use std::collections::HashMap;
use std::collections::HashSet;

use winch_standin::upstream_standin::LedgerEntry;

use crate::load::record::AttemptEnd;
use crate::load::record::RequestRecord;
use crate::results::ExperimentResult;

/// Violations described in a report; further ones are only counted.
const MAX_EXAMPLES: usize = 8;

/// How often each guarantee was violated in a run.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct GuaranteeReport {
    /// Runs of an idempotency key after its first run.
    pub duplicate_runs: u64,
    /// Requests that started after a request with a higher epoch of the same
    /// slice.
    pub superseded_starts: u64,
    /// Starts of a higher epoch of a slice while another upstream still ran a
    /// request with a lower epoch. Reported, but no violation.
    pub overlapping_runs: u64,
    /// Requests that ran on a second upstream under an epoch of their slice.
    pub shared_epochs: u64,
    /// Requests reported to the caller as "not run" that stand in a ledger.
    pub run_though_not_run: u64,
    /// Responses with status 200 that were truncated or belong to another
    /// request.
    pub foreign_answers: u64,
    /// Requests that succeeded and are in no ledger.
    pub missing_runs: u64,
    /// Requests that upstreams started.
    pub orders: u64,
    /// Descriptions of the first violations, at most eight.
    pub examples: Vec<Box<str>>,
}

impl GuaranteeReport {
    /// Adds the counts to a result. Each violation count gets the bound 0;
    /// `overlapping_runs` and `orders_started` get no bound.
    pub fn add_to(&self, result: &mut ExperimentResult) {
        let counts = [
            ("promise.doubled_runs", self.duplicate_runs),
            ("promise.superseded_starts", self.superseded_starts),
            ("promise.shared_epochs", self.shared_epochs),
            ("promise.run_though_not_run", self.run_though_not_run),
            ("promise.foreign_or_cut_answers", self.foreign_answers),
            ("promise.answers_without_run", self.missing_runs),
        ];
        for (name, count) in counts {
            result.at_most(name, count as f64, 0.0);
        }
        result.figure("overlapping_runs", self.overlapping_runs as f64);
        result.figure("orders_started", self.orders as f64);
        for example in &self.examples {
            result.note(example.clone());
        }
    }

    /// Returns whether a guarantee was violated. Overlapping runs do not count.
    pub fn is_violated(&self) -> bool {
        self.duplicate_runs
            + self.superseded_starts
            + self.shared_epochs
            + self.run_though_not_run
            + self.foreign_answers
            + self.missing_runs
            > 0
    }

    fn example(&mut self, text: String) {
        if self.examples.len() < MAX_EXAMPLES {
            self.examples.push(text.into());
        }
    }
}

/// Checks the guarantees. `ledgers` holds one list for each node, with the
/// entries of all processes of its upstream.
pub fn check_guarantees(
    records: &[RequestRecord],
    ledgers: &[Vec<LedgerEntry>],
) -> GuaranteeReport {
    let mut report = GuaranteeReport {
        orders: ledgers.iter().map(|ledger| ledger.len() as u64).sum(),
        ..GuaranteeReport::default()
    };
    check_single_runs(ledgers, &mut report);
    check_epochs(ledgers, &mut report);
    check_answers(records, ledgers, &mut report);
    report
}

fn check_single_runs(ledgers: &[Vec<LedgerEntry>], report: &mut GuaranteeReport) {
    let mut seen: HashMap<&str, &LedgerEntry> = HashMap::new();
    for entry in ledgers.iter().flatten() {
        let Some(key) = &entry.idempotency_key else {
            continue;
        };
        if let Some(first) = seen.insert(key, entry) {
            report.duplicate_runs += 1;
            report.example(format!("{key} ran twice: {first:?} and {entry:?}"));
        }
    }
}

/// One request of a slice, with the upstream that ran it.
#[derive(Debug, Clone, Copy)]
struct SliceOrder<'a> {
    upstream: usize,
    entry: &'a LedgerEntry,
}

fn check_epochs(ledgers: &[Vec<LedgerEntry>], report: &mut GuaranteeReport) {
    let mut slices: HashMap<&str, Vec<SliceOrder<'_>>> = HashMap::new();
    for (upstream, ledger) in ledgers.iter().enumerate() {
        for entry in ledger.iter().filter(|entry| entry.epoch > 0) {
            let orders = slices.entry(&entry.slice).or_default();
            orders.push(SliceOrder { upstream, entry });
        }
    }
    for orders in slices.values_mut() {
        orders.sort_by_key(|order| order.entry.started_unix_us);
        check_slice(orders, report);
    }
}

/// Checks the requests of one slice, sorted by start time.
fn check_slice(orders: &[SliceOrder<'_>], report: &mut GuaranteeReport) {
    let mut owners: HashMap<u64, usize> = HashMap::new();
    let mut highest = 0;
    // The latest finish time of the requests of each epoch.
    let mut latest_finish: HashMap<u64, u64> = HashMap::new();
    for order in orders {
        let entry = order.entry;
        let owner = *owners.entry(entry.epoch).or_insert(order.upstream);
        if owner != order.upstream {
            report.shared_epochs += 1;
            report.example(format!("two upstreams ran under one epoch: {entry:?}"));
        }
        if entry.epoch < highest {
            report.superseded_starts += 1;
            report.example(format!(
                "started after a request of epoch {highest}: {entry:?}"
            ));
        }
        if entry.epoch > highest {
            let still_running = latest_finish.iter().any(|(epoch, finish)| {
                owners[epoch] != order.upstream && *finish > entry.started_unix_us
            });
            report.overlapping_runs += u64::from(still_running);
            highest = entry.epoch;
        }
        // A request without a finish time ended when its upstream was killed.
        let finish = entry.finished_unix_us.unwrap_or(entry.started_unix_us);
        let latest = latest_finish.entry(entry.epoch).or_default();
        *latest = finish.max(*latest);
    }
}

fn check_answers(
    records: &[RequestRecord],
    ledgers: &[Vec<LedgerEntry>],
    report: &mut GuaranteeReport,
) {
    let ran: HashSet<&str> = ledgers.iter().flatten().map(|entry| &*entry.path).collect();
    for record in records {
        let has_run = ran.contains(&*record.path);
        if record.not_run() && has_run {
            report.run_though_not_run += 1;
            report.example(format!("reported as \"not run\" but ran: {record:?}"));
        }
        if record.succeeded() && !has_run {
            report.missing_runs += 1;
            report.example(format!("succeeded but is in no ledger: {record:?}"));
        }
        for attempt in &record.attempts {
            let is_answer = attempt.end == AttemptEnd::Answered && attempt.status == 200;
            if is_answer && !attempt.own_and_whole {
                report.foreign_answers += 1;
                report.example(format!(
                    "response truncated or for another request: {record:?}"
                ));
            }
        }
    }
}
