//! Long responses that many callers read slowly, or not at all.

use buckthornwinch::settings::LimitSettings;
use winch_test_support::client_crowd::gather;
use winch_test_support::client_crowd::read_slowly;

use crate::fixture::ClientsFixture;
use crate::fixture::OTHER_SOCKETS;
use crate::fixture::limits;
use crate::fixture::request;

/// Callers that ask for a long response each.
const CROWD: usize = 60;

/// Size of a long response, in bytes.
const LONG_BYTES: usize = 12 * 1024 * 1024;

/// Connections that the settings allow, and the readers that want more of them.
const MAX_CONNECTIONS: u32 = 50;
const READERS: usize = 80;

/// Size of a response that does not fit into the buffers of two sockets, in bytes.
const UNREAD_BYTES: usize = 6 * 1024 * 1024;

fn head(number: usize) -> String {
    request(number, "Content-Length: 0\r\n")
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn long_responses_that_are_read_slowly_stay_within_memory() {
    let mut fixture = ClientsFixture::start(limits(), LONG_BYTES).await;
    let address = fixture.nodes[0].addresses.callers;
    let watches: Vec<_> = fixture
        .nodes
        .iter()
        .map(super::fixture::NodeProgram::watch_memory)
        .collect();

    let crowd = gather(CROWD, |number| async move {
        read_slowly(address, &head(number)).await
    })
    .await;

    for (node, watch) in fixture.nodes.iter_mut().zip(&watches) {
        node.assert_within_memory(watch);
    }
    fixture.nodes[0].wait_for_service().await;
    drop(crowd);
    for (node, watch) in fixture.nodes.iter_mut().zip(&watches) {
        node.wait_until_calm().await;
        node.assert_within_memory(watch);
    }
}

/// Guards against readers that keep every connection for as long as they like.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn readers_that_stop_do_not_keep_every_connection() {
    let limits = LimitSettings::builder()
        .max_connections(MAX_CONNECTIONS)
        .build();
    let mut fixture = ClientsFixture::start(limits, UNREAD_BYTES).await;
    let address = fixture.nodes[0].addresses.callers;

    let crowd = gather(READERS, |number| async move {
        read_slowly(address, &head(number)).await
    })
    .await;

    assert!(fixture.nodes[0].open_sockets() <= MAX_CONNECTIONS as usize + OTHER_SOCKETS);
    fixture.nodes[0].wait_for_service().await;
    drop(crowd);
}
