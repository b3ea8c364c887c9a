//! Tests metrics derived from the state: slice counts, imbalance and owner
//! changes, and the counters of log calls.

use std::sync::Arc;

use buckthornwinch::base::ids::Incarnation;
use buckthornwinch::declarations::Declaration;
use buckthornwinch::log::metered::MeteredLog;
use buckthornwinch::log::service::LogService;
use buckthornwinch::node::inputs::NodeInputs;
use buckthornwinch::node::metrics_updater::count_owner_changes;
use buckthornwinch::ownership::view::OwnershipView;
use buckthornwinch::planner::placement::placement_candidates;
use buckthornwinch::routing::slice_counts::SliceCounts;
use buckthornwinch::routing::table::RouteInputs;
use buckthornwinch::state::folded::ChainEntry;
use buckthornwinch::state::folded::FoldedState;
use buckthornwinch::state::folded::HolderChain;
use buckthornwinch::state::folded::MemberState;
use buckthornwinch::state::folded::WitnessSet;
use buckthornwinch::telemetry::metrics::MetricRegistry;
use bytes::Bytes;
use winch_test_support::fake_log::FakeFaults;
use winch_test_support::fake_log::FakeLog;
use winch_test_support::records::SERVICE;
use winch_test_support::records::member_info;
use winch_test_support::records::service;
use winch_test_support::records::slice;

const SLICES: u16 = 8;

/// Members 1 to 3, with the chain of each slice as given.
fn state_of(chains: impl Fn(u16) -> Vec<Incarnation>) -> FoldedState {
    let mut state = FoldedState::default();
    for node in 1..=3_u16 {
        let member = MemberState {
            info: member_info(node, node.into()),
            witnesses: WitnessSet {
                version: 1,
                members: Vec::new(),
            },
            previous_witnesses: WitnessSet::default(),
            draining: false,
            joined_at: 0,
            sequence: 1,
        };
        state.members.insert(node.into(), member);
    }
    for index in 0..SLICES {
        let entries = chains(index).into_iter().map(|holder| ChainEntry {
            holder,
            resigned: false,
        });
        let chain = HolderChain {
            first_epoch: 0,
            entries: entries.collect(),
            target_epoch: 0,
        };
        state.chains.insert(slice(index), chain);
    }
    state
}

fn inputs_of(state: FoldedState, ended: &[Incarnation]) -> NodeInputs {
    NodeInputs {
        state: Arc::new(state),
        view: Arc::new(OwnershipView {
            ended: ended.iter().copied().collect(),
            ..OwnershipView::default()
        }),
        is_leaving: false,
    }
}

fn count_slices(inputs: &NodeInputs) -> SliceCounts {
    let Declaration::Service(declaration) = service(SLICES, 1) else {
        unreachable!("the fixture is a service");
    };
    let route_inputs = RouteInputs {
        state: &inputs.state,
        ended: &inputs.view.ended,
        resigned: &inputs.view.resigned,
    };
    SliceCounts::count(route_inputs, &declaration)
}

#[test]
fn slice_counts_exclude_ended_members() {
    let state = state_of(|index| match index {
        0..4 => vec![1, 2],
        4 => vec![2, 1, 3],
        5 => vec![1],
        _ => Vec::new(),
    });

    let counts = count_slices(&inputs_of(state, &[1]));

    assert_eq!(counts.owned.get(&1), None);
    assert_eq!(counts.owned.get(&2), Some(&5));
    assert_eq!(counts.first_successors.get(&3), Some(&1));
    assert_eq!(counts.without_successor, 4);
    assert_eq!(counts.unowned, 3);
}

#[test]
fn imbalance_compares_the_highest_load_with_the_mean() {
    let inputs = inputs_of(
        state_of(|index| {
            vec![if index < 4 {
                1
            } else {
                u64::from(index % 2) + 2
            }]
        }),
        &[],
    );

    let eligible = placement_candidates(&inputs.state, SERVICE, &inputs.view.ended);
    let imbalance = count_slices(&inputs).imbalance(&eligible);

    assert_eq!(eligible.len(), 3);
    assert!((imbalance - 0.5).abs() < 1e-9, "{imbalance}");
}

#[test]
fn owner_changes_exclude_first_assignments() {
    let before = inputs_of(
        state_of(|index| if index < 6 { vec![1, 2] } else { Vec::new() }),
        &[],
    );
    let certified = inputs_of((*before.state).clone(), &[1]);
    let assigned = inputs_of(state_of(|_| vec![1, 2]), &[]);

    assert_eq!(count_owner_changes(&before, &before), 0);
    assert_eq!(count_owner_changes(&before, &certified), 6);
    assert_eq!(count_owner_changes(&before, &assigned), 0);
}

#[tokio::test]
async fn calls_to_the_log_are_counted() {
    let metrics = MetricRegistry::new().log;
    let fake = FakeLog::new(1);
    let log = MeteredLog::new(fake.clone(), metrics.clone());

    log.append(Bytes::from_static(b"entry"))
        .await
        .expect("the log is up");
    log.read(0, 10).await.expect("the log is up");
    log.read(0, 10).await.expect("the log is up");
    fake.set_faults(FakeFaults {
        is_down: true,
        ..FakeFaults::default()
    });
    let failed = log.read(0, 10).await;

    assert!(failed.is_err(), "the log is down");
    assert_eq!(metrics.appends.get(), 1);
    assert_eq!(metrics.reads.get(), 2);
    assert_eq!(metrics.read_errors.get(), 1);
}
