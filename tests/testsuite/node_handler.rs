//! The owner runs a request only under the chain that its key belongs to. A
//! request that was routed before its key moved to another chain is refused.

use std::sync::Arc;

use buckthornwinch::base::error::ErrorKind;
use buckthornwinch::base::hash::hash_key;
use buckthornwinch::base::hash::slice_of;
use buckthornwinch::declarations::Declaration;
use buckthornwinch::declarations::DivisionMode;
use buckthornwinch::delivery::message::RequestResult;
use buckthornwinch::delivery::message::RoutedRequest;
use buckthornwinch::delivery::owner::OwnerService;
use buckthornwinch::delivery::settings::OwnerSettings;
use buckthornwinch::handover::activity::ChainActivity;
use buckthornwinch::hotkeys::report::KeySampler;
use buckthornwinch::log::follower::start_follower;
use buckthornwinch::log::settings::FollowerSettings;
use buckthornwinch::node::handler::NodeHandler;
use buckthornwinch::state::folded::FoldedState;
use buckthornwinch::state::record::ChainKey;
use buckthornwinch::transport::server::EntrySignals;
use buckthornwinch::transport::server::OwnerRequestHandler;
use buckthornwinch::upstream::announce::UpstreamRegistry;
use buckthornwinch::upstream::http::HttpUpstream;
use winch_test_support::fake_log::FakeLog;
use winch_test_support::fleet::FleetLog;
use winch_test_support::fleet::incarnation;
use winch_test_support::owner::FakeGate;
use winch_test_support::owner::order;
use winch_test_support::records::change;
use winch_test_support::records::key;
use winch_test_support::records::service;
use winch_test_support::records::slice;

const KEY: &str = "shop-1";

/// Number of slices of the service that the fixtures declare.
const SLICES: u16 = 4;

fn slice_of_key() -> ChainKey {
    slice(slice_of(hash_key(KEY.as_bytes()), SLICES))
}

/// Handles a request for the key that was routed under `chain`, at a process
/// whose gate is open and whose upstream is not announced.
async fn handle_under(chain: ChainKey, state: FoldedState) -> RequestResult {
    let request = RoutedRequest {
        chain,
        ..order("urgent", "/")
    };
    handle_request(request, state).await
}

async fn handle_request(request: RoutedRequest, state: FoldedState) -> RequestResult {
    let settings = FollowerSettings::builder().build();
    let follower = start_follower(FakeLog::new(1), FoldedState::default(), settings);
    assert!(follower.install(state).await);
    let owner = OwnerService::new(
        FakeGate::open(),
        HttpUpstream::new(1000).expect("a client"),
        UpstreamRegistry::new().subscribe(),
        OwnerSettings::builder().incarnation(7).build(),
    );
    let handler = NodeHandler::new(
        FakeGate::open(),
        Arc::new(owner),
        ChainActivity::default(),
        KeySampler::default(),
        follower,
    );
    handler.handle(request, EntrySignals::default()).await
}

fn kind_of(result: &RequestResult) -> Option<ErrorKind> {
    result.as_ref().err().map(|failure| failure.kind)
}

#[tokio::test]
async fn request_of_a_key_moved_out_of_its_slice_is_not_run_under_the_slice() {
    let mut log = FleetLog::with_nodes(2);
    log.assign(&slice_of_key(), &[1]);

    let before = handle_under(slice_of_key(), log.state.clone()).await;
    log.assign(&key(hash_key(KEY.as_bytes())), &[2]);
    let after = handle_under(slice_of_key(), log.state.clone()).await;

    assert_ne!(kind_of(&before), Some(ErrorKind::NotOwner));
    assert_eq!(kind_of(&after), Some(ErrorKind::NotOwner));
}

#[tokio::test]
async fn request_is_not_run_under_a_slice_other_than_its_keys() {
    let mut log = FleetLog::with_nodes(2);
    let other = slice((slice_of(hash_key(KEY.as_bytes()), SLICES) + 1) % SLICES);
    log.assign(&slice_of_key(), &[1]);
    log.assign(&other, &[1]);

    let result = handle_under(other, log.state.clone()).await;

    assert_eq!(kind_of(&result), Some(ErrorKind::NotOwner));
}

#[tokio::test]
async fn request_of_a_service_divided_by_load_runs_under_the_chain_of_its_idempotency_key() {
    let mut log = FleetLog::with_nodes(2);
    let Declaration::Service(mut declaration) = service(SLICES, 1000) else {
        unreachable!("the fixture is a service");
    };
    declaration.division = DivisionMode::Load;
    log.append(
        incarnation(1),
        vec![change("by-load", 1, Declaration::Service(declaration))],
    );
    for index in 0..SLICES {
        log.assign(&slice(index), &[1]);
    }
    let own = slice(slice_of(hash_key(b"attempt-7"), SLICES));

    let result = handle_request(
        RoutedRequest {
            chain: own,
            idempotency_key: Some("attempt-7".into()),
            ..order("urgent", "/")
        },
        log.state.clone(),
    )
    .await;

    assert_ne!(kind_of(&result), Some(ErrorKind::NotOwner));
}
