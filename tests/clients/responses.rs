//! Long responses that many callers read slowly, or not at all.

use buckthornwinch::settings::LimitSettings;
use winch_test_support::client_crowd::gather;
use winch_test_support::client_crowd::read_slowly;

use crate::fixture::ClientsFixture;
use crate::fixture::OTHER_SOCKETS;
use crate::fixture::request;

/// Connections that the settings allow, and the readers that want more of them.
const MAX_CONNECTIONS: u32 = 50;
const READERS: usize = 80;

/// Size of a response that does not fit into the buffers of two sockets, in bytes.
const UNREAD_BYTES: usize = 6 * 1024 * 1024;

fn head(number: usize) -> String {
    request(number, "Content-Length: 0\r\n")
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
