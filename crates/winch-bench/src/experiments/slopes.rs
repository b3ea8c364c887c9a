//! `slopes`: the cost of log replay, planning, snapshots and route tables by
//! numbers of members and slices, and the size of renewal datagrams. Runs the
//! real state machines in memory.
//!
//! Sizes go up to the design size: 680 members and 16,384 slices of one
//! service. Times are the minimum of several runs, to exclude the effect of other
//! processes on the machine.

use std::net::SocketAddr;
use std::time::Duration;
use std::time::Instant;

use buckthornwinch::base::collections::FastSet;
use buckthornwinch::base::ids::Incarnation;
use buckthornwinch::base::ids::Offset;
use buckthornwinch::base::ids::Sequence;
use buckthornwinch::declarations::Declaration;
use buckthornwinch::declarations::DivisionMode;
use buckthornwinch::declarations::ServiceDeclaration;
use buckthornwinch::ownership::message::OwnershipMessage;
use buckthornwinch::planner::plan::PlanInputs;
use buckthornwinch::planner::plan::plan;
use buckthornwinch::planner::plan::split_plan;
use buckthornwinch::routing::table::RouteInputs;
use buckthornwinch::routing::table::RouteTable;
use buckthornwinch::state::codec::decode_batch;
use buckthornwinch::state::codec::encode_batch;
use buckthornwinch::state::folded::FoldedState;
use buckthornwinch::state::record::ChangeRecord;
use buckthornwinch::state::record::EndProof;
use buckthornwinch::state::record::LogBatch;
use buckthornwinch::state::record::LogRecord;
use buckthornwinch::state::record::MemberInfo;
use buckthornwinch::state::record::UpstreamInfo;
use buckthornwinch::state::snapshot::decode_state;
use buckthornwinch::state::snapshot::encode_state;
use buckthornwinch::transport::datagram::encode_datagram;
use eyre::WrapErr;
use eyre::bail;
use eyre::eyre;

use super::RunContext;
use crate::results::ExperimentResult;

const SERVICE: &str = "catalogue";
const REGION: &str = "yeongnam";
const DOMAINS: usize = 3;

/// Pairs of members and slices.
const SIZES: [(usize, u16); 6] = [
    (11, 16_384),
    (100, 16_384),
    (340, 16_384),
    (680, 16_384),
    (680, 4_096),
    (680, 1_024),
];

const RUNS: usize = 5;

/// Limit of the plans until the planner settles; prevents an endless loop.
const MAX_PLANS: usize = 1_000;

/// Maximum number of moves that one plan starts.
const MOVE_BUDGET: usize = 64;

/// Incarnation of the first member; the others follow in sequence.
const FIRST_INCARNATION: Incarnation = 1 << 40;

const US_PER_MS: f64 = 1_000.0;

#[expect(
    clippy::unused_async,
    reason = "every experiment is run in the same way"
)]
pub(super) async fn run(context: &RunContext) -> eyre::Result<ExperimentResult> {
    let mut result = ExperimentResult::new("slopes", context.seed);
    for (members, slices) in SIZES {
        eprintln!("slopes: {members} members, {slices} slices");
        measure_size(members, slices, &mut result)?;
    }
    measure_datagrams(&mut result)?;
    Ok(result)
}

/// A log in memory and the state folded from it.
struct LogReplay {
    state: FoldedState,
    offset: Offset,
    sequence: Sequence,
    entries: Vec<bytes::Bytes>,
}

impl LogReplay {
    fn new() -> Self {
        Self {
            state: FoldedState::default(),
            offset: 0,
            sequence: 1,
            entries: Vec::new(),
        }
    }

    fn append(&mut self, author: Incarnation, records: Vec<LogRecord>) -> eyre::Result<()> {
        self.sequence += 1;
        let batch = LogBatch {
            author,
            sequence: self.sequence,
            records,
        };
        let entry =
            encode_batch(&batch).map_err(|error| eyre!("cannot encode a batch: {error:?}"))?;
        self.entries.push(entry);
        let effects = self.state.apply(self.offset, &batch);
        self.offset += 1;
        if let Some(ignored) = effects.iter().find(|effect| !effect.is_accepted()) {
            bail!("a record was not accepted: {ignored:?}");
        }
        Ok(())
    }

    /// Plans and appends until the planner returns no records.
    fn plan_until_settled(&mut self) -> eyre::Result<()> {
        for _ in 0..MAX_PLANS {
            let records = plan_once(&self.state);
            if records.is_empty() {
                return Ok(());
            }
            for batch in split_plan(records) {
                self.append(FIRST_INCARNATION, batch)?;
            }
        }
        bail!("the planner has not settled after {MAX_PLANS} plans")
    }
}

fn plan_once(state: &FoldedState) -> Vec<LogRecord> {
    plan(PlanInputs {
        state,
        ended: &FastSet::default(),
        term: state.term,
        move_budget: MOVE_BUDGET,
        hot_keys: &[],
    })
}

fn measure_size(members: usize, slices: u16, result: &mut ExperimentResult) -> eyre::Result<()> {
    let prefix = format!("members_{members:03}.slices_{slices:05}");
    let mut figure = |name: &str, value: f64| result.figure(format!("{prefix}.{name}"), value);
    let mut log = LogReplay::new();
    for number in 0..members {
        let join = LogRecord::Join(Box::new(member(number)?));
        log.append(incarnation(number), vec![join])?;
    }
    log.append(FIRST_INCARNATION, vec![service_change(slices)])?;
    log.append(FIRST_INCARNATION, vec![LogRecord::Claim { term: 1 }])?;
    let before = log.entries.len();
    let first_plan = shortest(RUNS, || plan_once(&log.state));
    log.plan_until_settled()?;
    let plan_bytes: usize = log.entries[before..].iter().map(bytes::Bytes::len).sum();
    figure("first_plan_ms", first_plan);
    figure("first_plan_appends", (log.entries.len() - before) as f64);
    figure("first_plan_bytes", plan_bytes as f64);

    let idle_plan = shortest(RUNS, || plan_once(&log.state));
    figure("idle_plan_ms", idle_plan);
    let replay = shortest(RUNS, || replay(&log.entries));
    figure("fold_whole_log_ms", replay);
    figure("log_entries", log.entries.len() as f64);

    let snapshot =
        encode_state(&log.state).map_err(|error| eyre!("cannot encode the state: {error:?}"))?;
    figure("snapshot_bytes", snapshot.len() as f64);
    figure(
        "encode_snapshot_ms",
        shortest(RUNS, || encode_state(&log.state)),
    );
    figure(
        "decode_snapshot_ms",
        shortest(RUNS, || decode_state(&snapshot)),
    );
    figure("state_memory_bytes", clone_bytes(&log.state)?);
    figure(
        "derive_routes_ms",
        shortest(RUNS, || derive_routes(&log.state)),
    );

    let lost = LogRecord::Ended {
        member: incarnation(members - 1),
        proof: EndProof::DeclaredLost {
            operator: "winch-bench".into(),
            change: "lost".into(),
        },
    };
    let entries = log.entries.len();
    let bytes_before: usize = log.entries.iter().map(bytes::Bytes::len).sum();
    let started = Instant::now();
    log.append(FIRST_INCARNATION, vec![lost])?;
    figure("fold_loss_ms", milliseconds(started.elapsed()));
    figure(
        "plan_after_loss_ms",
        shortest(RUNS, || plan_once(&log.state)),
    );
    log.plan_until_settled()?;
    let bytes_after: usize = log.entries.iter().map(bytes::Bytes::len).sum();
    figure("loss_appends", (log.entries.len() - entries) as f64);
    figure("loss_append_bytes", (bytes_after - bytes_before) as f64);
    Ok(())
}

fn incarnation(number: usize) -> Incarnation {
    FIRST_INCARNATION + number as Incarnation
}

fn member(number: usize) -> eyre::Result<MemberInfo> {
    let address = |port: u16| -> eyre::Result<SocketAddr> {
        let text = format!("10.{}.{}.10:{port}", number / 250, number % 250);
        text.parse().wrap_err("an address is malformed")
    };
    Ok(MemberInfo {
        node: format!("{SERVICE}-{number}").into(),
        incarnation: incarnation(number),
        peer_address: address(7_001)?,
        caller_address: address(7_000)?,
        operator_address: address(7_002)?,
        domain: format!("domain-{}", number % DOMAINS).into(),
        region: REGION.into(),
        upstream: UpstreamInfo {
            service: SERVICE.into(),
            address: address(8_000)?,
            slots: 20,
            connections: 130,
            checks_fence: true,
            accepts_cancel: true,
            max_request_duration: Duration::from_secs(2),
            cold_start: Duration::from_secs(5),
        },
    })
}

fn service_change(slices: u16) -> LogRecord {
    let declaration = Declaration::Service(ServiceDeclaration {
        name: SERVICE.into(),
        slices,
        division: DivisionMode::Key,
        max_body_bytes: 65_536,
    });
    LogRecord::Change(Box::new(ChangeRecord {
        change: "create".into(),
        operator: "winch-bench".into(),
        object: declaration.key(),
        base_version: 0,
        declaration: Some(declaration),
    }))
}

fn replay(entries: &[bytes::Bytes]) -> FoldedState {
    let mut state = FoldedState::default();
    for (offset, entry) in (0..).zip(entries) {
        if let Ok(batch) = decode_batch(entry) {
            state.apply(offset, &batch);
        }
    }
    state
}

fn derive_routes(state: &FoldedState) -> RouteTable {
    let inputs = RouteInputs {
        state,
        ended: &FastSet::default(),
        resigned: &FastSet::default(),
    };
    RouteTable::derive(inputs, |_| None)
}

/// Returns the minimum time of several runs, in milliseconds.
fn shortest<T>(runs: usize, mut work: impl FnMut() -> T) -> f64 {
    let mut best = f64::INFINITY;
    for _ in 0..runs {
        let started = Instant::now();
        let output = std::hint::black_box(work());
        best = best.min(milliseconds(started.elapsed()));
        drop(output);
    }
    best
}

fn milliseconds(time: Duration) -> f64 {
    time.as_micros() as f64 / US_PER_MS
}

/// Returns the resident memory of one copy of the state, in bytes, as the mean
/// growth of this process over several copies.
fn clone_bytes(state: &FoldedState) -> eyre::Result<f64> {
    const COPIES: usize = 8;
    let before = resident_bytes()?;
    let copies = vec![state.clone(); COPIES];
    let after = resident_bytes()?;
    drop(std::hint::black_box(copies));
    Ok((after - before) / COPIES as f64)
}

fn resident_bytes() -> eyre::Result<f64> {
    const BYTES_PER_PAGE: f64 = 4_096.0;
    let text = std::fs::read_to_string("/proc/self/statm").wrap_err("cannot read memory use")?;
    let pages = text.split(' ').nth(1).and_then(|pages| pages.parse().ok());
    let pages: f64 = pages.unwrap_or(f64::NAN);
    Ok(pages * BYTES_PER_PAGE)
}

/// Adds the sizes of the two datagrams of a renewal, without UDP and IP headers.
fn measure_datagrams(result: &mut ExperimentResult) -> eyre::Result<()> {
    let renew = OwnershipMessage::Renew {
        holder: incarnation(0),
        witness: incarnation(1),
        set_version: 3,
        active: 3,
        number: 1_000_000,
    };
    let promise = OwnershipMessage::Promise {
        witness: incarnation(1),
        holder: incarnation(0),
        set_version: 3,
        number: 1_000_000,
    };
    for (name, message) in [("renew", renew), ("promise", promise)] {
        let datagram = encode_datagram(&message)
            .map_err(|error| eyre!("cannot encode a datagram: {error:?}"))?;
        result.figure(format!("datagram.{name}_bytes"), datagram.len() as f64);
    }
    Ok(())
}
