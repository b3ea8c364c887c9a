//! Memory that processes which have ended leave behind at those that ran their requests.

use std::time::Duration;

use buckthornwinch::admission::load::OwnerLoad;
use buckthornwinch::base::process_end::ProcessEnd;
use buckthornwinch::delivery::message::RequestResult;
use buckthornwinch::delivery::message::RoutedRequest;
use buckthornwinch::delivery::message::UpstreamResponse;
use buckthornwinch::transport::link::EntryProcess;
use buckthornwinch::transport::link::PeerLink;
use buckthornwinch::transport::server::EntrySignals;
use buckthornwinch::transport::server::OwnerRequestHandler;
use buckthornwinch::transport::server::PeerServer;
use buckthornwinch::upstream::condition::StatedCondition;
use tokio::net::TcpListener;
use tokio::time::sleep;
use tokio::time::timeout;
use tokio_util::sync::CancellationToken;
use winch_test_support::owner::order;

use crate::ALLOCATOR;
use crate::ONE_AT_A_TIME;

const OWNER: u64 = 1_000;

/// Processes that connect one after the other, send requests and end.
const PROCESSES: u64 = 12;

const REQUESTS: u64 = 3;

const RESULT_BYTES: usize = 2 * 1024 * 1024;

/// Most bytes that may be left of all of them together.
const MAX_LEFT_BYTES: usize = 1024 * 1024;

/// Several times the time for which results are kept.
const RELEASE_TIMEOUT: Duration = Duration::from_secs(40);

/// Owner with large results.
#[derive(Debug, Clone)]
struct LargeOwner;

impl OwnerRequestHandler for LargeOwner {
    async fn handle(&self, _request: RoutedRequest, _signals: EntrySignals) -> RequestResult {
        Ok(UpstreamResponse {
            status: 200,
            headers: Vec::new(),
            body: vec![b'x'; RESULT_BYTES].into(),
            epoch: 1,
            stated: StatedCondition::default(),
        })
    }

    fn load(&self) -> OwnerLoad {
        OwnerLoad::default()
    }
}

/// Guards against results that are kept for good for processes that have ended: each
/// restart of a peer took up to 8 MiB, until memory was exhausted.
#[tokio::test]
async fn results_kept_for_processes_that_have_ended_are_released() {
    let _only = ONE_AT_A_TIME.lock().await;
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
    let address = listener.local_addr().expect("an address");
    let server = PeerServer::new(OWNER, LargeOwner);
    tokio::spawn(server.serve(listener, CancellationToken::new()));
    let before = ALLOCATOR.reset_peak();

    for incarnation in 1..=PROCESSES {
        let process = EntryProcess::new(incarnation, ProcessEnd::default());
        let link = PeerLink::start(&process, OWNER, address);
        for _request in 0..REQUESTS {
            let result = link.call(order("orders", "/reorder")).await;
            assert!(result.is_ok(), "{:?}", result.err());
        }
    }

    let left = || ALLOCATOR.reset_peak().saturating_sub(before);
    let released = timeout(RELEASE_TIMEOUT, async {
        while left() > MAX_LEFT_BYTES {
            sleep(Duration::from_millis(100)).await;
        }
    });
    assert!(released.await.is_ok(), "{} bytes are left", left());
}
