//! A process that cannot read the log fetches the folded state from its peers.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use buckthornwinch::admission::load::OwnerLoad;
use buckthornwinch::base::error::ErrorKind;
use buckthornwinch::base::ids::Offset;
use buckthornwinch::base::timer::TimerService;
use buckthornwinch::delivery::message::RequestFailure;
use buckthornwinch::delivery::message::RequestResult;
use buckthornwinch::delivery::message::RoutedRequest;
use buckthornwinch::log::follower::FollowerHandle;
use buckthornwinch::log::follower::start_follower;
use buckthornwinch::log::settings::FollowerSettings;
use buckthornwinch::node::catch_up::PeerCatchUp;
use buckthornwinch::state::codec::encode_batch;
use buckthornwinch::state::folded::FoldedState;
use buckthornwinch::state::snapshot::encode_state;
use buckthornwinch::transport::server::EntrySignals;
use buckthornwinch::transport::server::OwnerRequestHandler;
use buckthornwinch::transport::server::PeerServer;
use buckthornwinch::transport::state::fetch_state;
use bytes::Bytes;
use tokio::net::TcpListener;
use tokio_util::sync::CancellationToken;
use winch_test_support::fake_log::FakeFaults;
use winch_test_support::fake_log::FakeLog;
use winch_test_support::records::address;
use winch_test_support::records::batch;
use winch_test_support::records::join;
use winch_test_support::records::random_history;

const TIMEOUT: Duration = Duration::from_secs(20);

#[derive(Clone)]
struct StateHandler(Arc<FoldedState>);

impl OwnerRequestHandler for StateHandler {
    async fn handle(&self, _request: RoutedRequest, _signals: EntrySignals) -> RequestResult {
        Err(RequestFailure::new(ErrorKind::NotOwner, "no orders here"))
    }

    fn load(&self) -> OwnerLoad {
        OwnerLoad::default()
    }

    fn newer_state(&self, newer_than: Offset) -> Option<Bytes> {
        (self.0.next > newer_than).then(|| encode_state(&self.0).unwrap())
    }
}

/// Returns the state folded from the first `length` batches of one history.
fn state_at(length: usize) -> FoldedState {
    let mut state = FoldedState::default();
    for batch in random_history(1, 200).iter().take(length) {
        state.apply(state.next, batch);
    }
    state
}

async fn serve(state: FoldedState) -> SocketAddr {
    let listener = TcpListener::bind(address(0)).await.unwrap();
    let peer = listener.local_addr().unwrap();
    let server = PeerServer::new(1, StateHandler(Arc::new(state)));
    tokio::spawn(server.serve(listener, CancellationToken::new()));
    peer
}

fn follow(log: &FakeLog) -> FollowerHandle {
    let settings = FollowerSettings::builder()
        .poll_interval(Duration::from_millis(5))
        .max_backoff(Duration::from_millis(20))
        .build();
    start_follower(log.clone(), FoldedState::default(), settings)
}

fn unavailable_log() -> FakeLog {
    let log = FakeLog::new(1);
    log.set_faults(FakeFaults {
        is_down: true,
        ..FakeFaults::default()
    });
    log
}

#[tokio::test]
async fn state_of_peer_with_highest_offset_is_adopted() {
    let older = serve(state_at(50)).await;
    let newer = serve(state_at(150)).await;
    let unreachable = address(1);
    let follower = follow(&unavailable_log());
    let own = address(2);

    let catch_up = PeerCatchUp::new(follower.clone(), own, vec![older, newer, unreachable]);
    catch_up.fetch_newer_state().await;

    assert_eq!(*follower.state(), state_at(150));
}

#[tokio::test]
async fn only_a_newer_state_is_sent() {
    let state = state_at(50);
    let peer = serve(state.clone()).await;

    let same = fetch_state(peer, state.next, TIMEOUT).await.unwrap();
    let newer = fetch_state(peer, state.next - 1, TIMEOUT).await.unwrap();

    assert_eq!(same, None);
    assert_eq!(newer, Some(state));
}

#[tokio::test]
async fn process_started_during_log_outage_resumes_from_log_after_recovery() {
    let log = unavailable_log();
    let history = random_history(1, 200);
    for batch in &history[..150] {
        log.write(encode_batch(batch).unwrap());
    }
    let peer = serve(state_at(120)).await;
    let follower = follow(&log);
    let catch_up = PeerCatchUp::new(follower.clone(), address(2), vec![peer]);
    let catch_up_task = tokio::spawn(catch_up.run(TimerService));

    let mut states = follower.states();
    let fetched = states.wait_for(|state| state.next >= 120);
    let fetched = tokio::time::timeout(TIMEOUT, fetched)
        .await
        .unwrap()
        .unwrap();
    let during = Arc::clone(&fetched);
    drop(fetched);
    log.set_faults(FakeFaults::default());
    log.write(encode_batch(&batch(9_999, 1, vec![join(77, 9_999)])).unwrap());
    let returned = states.wait_for(|state| state.members.contains_key(&9_999));
    let after = tokio::time::timeout(TIMEOUT, returned)
        .await
        .unwrap()
        .unwrap();

    assert_eq!(*during, state_at(120));
    assert_eq!(**after, log.replay(|_| {}));
    catch_up_task.abort();
}
