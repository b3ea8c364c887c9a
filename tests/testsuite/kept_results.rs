//! Results that an owner keeps in case their requests are sent again.

use std::net::SocketAddr;
use std::time::Duration;

use buckthornwinch::admission::load::OwnerLoad;
use buckthornwinch::base::process_end::ProcessEnd;
use buckthornwinch::delivery::message::RequestResult;
use buckthornwinch::delivery::message::RoutedRequest;
use buckthornwinch::delivery::message::UpstreamResponse;
use buckthornwinch::held_bytes::budget::ByteBudget;
use buckthornwinch::transport::inbound::InboundDecision;
use buckthornwinch::transport::inbound::InboundRequests;
use buckthornwinch::transport::kept_results::KeptResults;
use buckthornwinch::transport::link::EntryProcess;
use buckthornwinch::transport::link::PeerLink;
use buckthornwinch::transport::server::EntrySignals;
use buckthornwinch::transport::server::OwnerRequestHandler;
use buckthornwinch::transport::server::PeerServer;
use buckthornwinch::upstream::condition::StatedCondition;
use bytes::Bytes;
use tokio::net::TcpListener;
use tokio::time::Instant;
use tokio_util::sync::CancellationToken;
use winch_test_support::owner::order;

const OWNER: u64 = 1000;

const ENTRIES: u64 = 24;

const RESPONSE_BYTES: usize = 512 * 1024;

/// Has room for the responses to all entry nodes, and for little else beside them.
const BUDGET_BYTES: usize = 16 * 1024 * 1024;

/// Owner that answers each request with bytes held within the budget.
#[derive(Debug, Clone)]
struct LeasingOwner {
    budget: ByteBudget,
}

impl OwnerRequestHandler for LeasingOwner {
    async fn handle(&self, _request: RoutedRequest, _signals: EntrySignals) -> RequestResult {
        let mut lease = self.budget.lease();
        lease.try_grow(RESPONSE_BYTES).expect("room");
        Ok(UpstreamResponse {
            status: 200,
            headers: Vec::new(),
            body: lease.attach(Bytes::from(vec![b'x'; RESPONSE_BYTES])),
            epoch: 1,
            stated: StatedCondition::default(),
        })
    }

    fn load(&self) -> OwnerLoad {
        OwnerLoad::default()
    }
}

async fn serve(budget: &ByteBudget) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await;
    let listener = listener.expect("a free port");
    let address = listener.local_addr().expect("an address");
    let owner = LeasingOwner {
        budget: budget.clone(),
    };
    let server = PeerServer::new(OWNER, owner).with_budget(budget.clone());
    tokio::spawn(server.serve(listener, CancellationToken::new()));
    address
}

/// Guards against results that take the room of new requests: many entry nodes together
/// have many times what one may have.
#[tokio::test]
async fn results_kept_for_many_entry_nodes_leave_room_for_requests() {
    let budget = ByteBudget::new(BUDGET_BYTES);
    let address = serve(&budget).await;
    let links: Vec<PeerLink> = (0..ENTRIES)
        .map(|entry| EntryProcess::new(entry, ProcessEnd::default()))
        .map(|process| PeerLink::start(&process, OWNER, address))
        .collect();

    for link in &links {
        let result = link.call(order("orders", "/reorder")).await;
        assert_eq!(result.map(|answer| answer.status), Ok(200));
    }

    let mut lease = budget.lease();
    let grown = lease
        .grow_by(
            BUDGET_BYTES / 2,
            Instant::now() + Duration::from_millis(500),
        )
        .await;
    assert_eq!(grown, Ok(()), "{} bytes are held", budget.held());
}

/// An entry node that has less than an equal part loses nothing to one that has more.
#[test]
fn the_entry_node_with_the_most_results_loses_them_first() {
    let now = Instant::now();
    let kept = KeptResults::new(1000);
    let mut small = InboundRequests::new(&kept);
    let mut large = InboundRequests::new(&kept);
    let deadline = now + Duration::from_secs(3);
    drop(small.receive(1, deadline));
    small.complete(1, Bytes::from_static(&[0; 300]).into(), now);

    for id in 0..4 {
        drop(large.receive(id, deadline));
        large.complete(id, Bytes::from_static(&[0; 300]).into(), now);
    }
    small.remove_expired(now);

    assert_eq!(kept.bytes(), 900);
    let resent = [small.receive(1, deadline), large.receive(0, deadline)];
    assert!(
        matches!(
            resent,
            [InboundDecision::Completed(_), InboundDecision::Dropped]
        ),
        "{resent:?}"
    );
    drop(large);
    assert_eq!(kept.bytes(), 300);
}
