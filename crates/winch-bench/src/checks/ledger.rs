//! Compares what callers were told with what upstreams ran.

use std::collections::HashMap;
use std::collections::HashSet;

use winch_standin::upstream_standin::LedgerEntry;

use crate::load::record::AttemptEnd;
use crate::load::record::RequestRecord;
use crate::results::ExperimentResult;

/// How many examples of broken promises are kept.
const MOST_EXAMPLES: usize = 8;

/// How often each promise was broken.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct PromiseReport {
    /// Runs of an idempotency key beyond its first.
    pub doubled: u64,
    /// Orders that started after one of a greater epoch of the same slice.
    pub superseded: u64,
    /// Orders of a smaller epoch that still ran when one of a greater epoch of
    /// the same slice started, on another upstream.
    pub overlapping: u64,
    /// Epochs of a slice under which two upstreams ran orders.
    pub shared_epochs: u64,
    /// Requests that were told "not run" and ran.
    pub run_though_not_run: u64,
    /// Answers with status 200 that were not whole or another request's.
    pub foreign_answers: u64,
    /// Requests that succeeded and stand in no ledger.
    pub missing: u64,
    /// Orders that started.
    pub orders: u64,
    /// Examples, as sentences.
    pub examples: Vec<Box<str>>,
}

impl PromiseReport {
    /// Adds the counts to a result, each with the bound 0.
    pub fn add_to(&self, result: &mut ExperimentResult) {
        let counts = [
            ("promise.doubled_runs", self.doubled),
            ("promise.superseded_starts", self.superseded),
            ("promise.shared_epochs", self.shared_epochs),
            ("promise.run_though_not_run", self.run_though_not_run),
            ("promise.foreign_or_cut_answers", self.foreign_answers),
            ("promise.answers_without_run", self.missing),
        ];
        for (name, count) in counts {
            result.at_most(name, count as f64, 0.0);
        }
        result.figure("overlapping_runs", self.overlapping as f64);
        result.figure("orders_started", self.orders as f64);
        for example in &self.examples {
            result.note(example.clone());
        }
    }

    /// Returns whether a promise was broken.
    pub fn is_broken(&self) -> bool {
        self.doubled
            + self.superseded
            + self.shared_epochs
            + self.run_though_not_run
            + self.foreign_answers
            + self.missing
            > 0
    }

    fn example(&mut self, text: String) {
        if self.examples.len() < MOST_EXAMPLES {
            self.examples.push(text.into());
        }
    }
}

/// Checks the promises. `ledgers` holds one list for each node, over all starts
/// of its upstream.
pub fn check_promises(records: &[RequestRecord], ledgers: &[Vec<LedgerEntry>]) -> PromiseReport {
    let mut report = PromiseReport {
        orders: ledgers.iter().map(|ledger| ledger.len() as u64).sum(),
        ..PromiseReport::default()
    };
    check_single_runs(ledgers, &mut report);
    check_epochs(ledgers, &mut report);
    check_answers(records, ledgers, &mut report);
    report
}

fn check_single_runs(ledgers: &[Vec<LedgerEntry>], report: &mut PromiseReport) {
    let mut seen: HashMap<&str, &LedgerEntry> = HashMap::new();
    for entry in ledgers.iter().flatten() {
        let Some(key) = &entry.idempotency_key else {
            continue;
        };
        if let Some(first) = seen.insert(key, entry) {
            report.doubled += 1;
            report.example(format!("{key} ran twice: {first:?} and {entry:?}"));
        }
    }
}

/// One order of a slice, with the upstream that ran it.
#[derive(Debug, Clone, Copy)]
struct SliceOrder<'a> {
    upstream: usize,
    entry: &'a LedgerEntry,
}

fn check_epochs(ledgers: &[Vec<LedgerEntry>], report: &mut PromiseReport) {
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

/// Checks the orders of one slice, sorted by their start.
fn check_slice(orders: &[SliceOrder<'_>], report: &mut PromiseReport) {
    let mut owners: HashMap<u64, usize> = HashMap::new();
    let mut highest = 0;
    // When the last order of the epochs below the highest finished.
    let mut latest_finish: HashMap<u64, u64> = HashMap::new();
    for order in orders {
        let entry = order.entry;
        let owner = *owners.entry(entry.epoch).or_insert(order.upstream);
        if owner != order.upstream {
            report.shared_epochs += 1;
            report.example(format!("two upstreams ran under one epoch: {entry:?}"));
        }
        if entry.epoch < highest {
            report.superseded += 1;
            report.example(format!("started after epoch {highest} had: {entry:?}"));
        }
        if entry.epoch > highest {
            let still_running = latest_finish.iter().any(|(epoch, finish)| {
                owners[epoch] != order.upstream && *finish > entry.started_unix_us
            });
            report.overlapping += u64::from(still_running);
            highest = entry.epoch;
        }
        // An order that never finished was cut short with its upstream.
        let finish = entry.finished_unix_us.unwrap_or(entry.started_unix_us);
        let latest = latest_finish.entry(entry.epoch).or_default();
        *latest = finish.max(*latest);
    }
}

fn check_answers(
    records: &[RequestRecord],
    ledgers: &[Vec<LedgerEntry>],
    report: &mut PromiseReport,
) {
    let ran: HashSet<&str> = ledgers.iter().flatten().map(|entry| &*entry.path).collect();
    for record in records {
        let has_run = ran.contains(&*record.path);
        if record.not_run() && has_run {
            report.run_though_not_run += 1;
            report.example(format!("ran though told \"not run\": {record:?}"));
        }
        if record.succeeded() && !has_run {
            report.missing += 1;
            report.example(format!("answered and in no ledger: {record:?}"));
        }
        for attempt in &record.attempts {
            let is_answer = attempt.end == AttemptEnd::Answered && attempt.status == 200;
            if is_answer && !attempt.own_and_whole {
                report.foreign_answers += 1;
                report.example(format!("answer not whole or not its own: {record:?}"));
            }
        }
    }
}
