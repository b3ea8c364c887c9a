//! Servers in trouble that send bytes without end, in a head or a body, until the
//! client closes. The client must close, tell the truth about the outcome and
//! hold a bounded number of bytes.

use std::io::Read;
use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::thread::JoinHandle;
use std::time::Duration;

use buckthornwinch::ranges::grants::GrantOutcome;
use buckthornwinch::ranges::grants::RangeGrant;
use buckthornwinch::sidecar::upstream::UpstreamClient;
use buckthornwinch::store::StateStore;
use buckthornwinch::store::StoreError;
use buckthornwinch::store::StoreTopic;
use buckthornwinch::upstream::service::CallError;
use winch_platform::store::StoreClient;
use winch_platform::upstream::HttpUpstreamClient;

use crate::upstream_call::upstream_call;

/// Most bytes that a client may take before it closes: its largest limit, and the
/// buffers of two sockets.
const MAX_TAKEN_BYTES: usize = 48 * 1024 * 1024;

const ENDLESS_BODY: &str =
    "HTTP/1.1 200 OK\r\nrequest-id: 1\r\nresponse-signature: x\r\nconnection: close\r\n\r\n";

const ENDLESS_HEAD: &str = "HTTP/1.1 200 OK\r\nx-filler: ";

/// Starts a server that answers its first request with `head` and then sends
/// bytes until the client closes. The thread returns how many it could send.
fn start_endless(head: &'static str) -> (SocketAddr, JoinHandle<usize>) {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let address = listener.local_addr().expect("an address");
    let thread = std::thread::spawn(move || {
        let (mut stream, _from) = listener.accept().expect("a connection");
        let mut request = [0; 4096];
        let _read = stream.read(&mut request).expect("a request");
        let filler = [b'x'; 16 * 1024];
        let mut sent = 0;
        let mut result = stream.write_all(head.as_bytes());
        while result.is_ok() {
            result = stream.write_all(&filler);
            sent += filler.len();
        }
        sent
    });
    (address, thread)
}

/// Waits until the client has closed the connection and checks how much it took.
/// Waits on another thread, since the client closes on this one.
async fn assert_bounded(server: JoinHandle<usize>) {
    let joined = tokio::task::spawn_blocking(move || server.join()).await;
    let sent = joined.expect("no panic").expect("no panic");
    assert!(sent <= MAX_TAKEN_BYTES, "{sent}");
}

#[tokio::test]
async fn an_endless_response_body_ends_as_truncated() {
    let (address, server) = start_endless(ENDLESS_BODY);

    let result = HttpUpstreamClient::new(address)
        .run(upstream_call(address, "1"))
        .await;

    assert_eq!(result, Err(CallError::Truncated));
    assert_bounded(server).await;
}

#[tokio::test]
async fn an_endless_response_head_ends_as_lost() {
    let (address, server) = start_endless(ENDLESS_HEAD);

    let result = HttpUpstreamClient::new(address)
        .run(upstream_call(address, "1"))
        .await;

    assert_eq!(result, Err(CallError::Lost));
    assert_bounded(server).await;
}

#[tokio::test]
async fn an_endless_response_to_a_grant_leaves_its_outcome_unknown() {
    let (address, server) = start_endless(ENDLESS_BODY);
    let grant = RangeGrant {
        first: 0,
        last: 9,
        fence: 1,
        hold: Duration::from_secs(1),
        handover: None,
    };

    let outcome = HttpUpstreamClient::new(address).grant(address, grant).await;

    assert_eq!(outcome, GrantOutcome::Unknown);
    assert_bounded(server).await;
}

#[tokio::test]
async fn an_endless_response_of_the_store_leaves_an_append_unknown() {
    let (address, server) = start_endless(ENDLESS_BODY);
    let store = StoreClient::new(address);

    let appended = store
        .append(StoreTopic::Fleet, "key", "value".into(), None)
        .await;

    assert!(
        matches!(appended, Err(StoreError::Unknown(_))),
        "{appended:?}"
    );
    assert_bounded(server).await;
}
