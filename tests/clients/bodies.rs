//! Many large bodies of legal size at once.

use tokio::net::TcpStream;
use winch_test_support::client_crowd::gather;
use winch_test_support::client_crowd::read_status;
use winch_test_support::client_crowd::send_chunks;
use winch_test_support::client_crowd::send_stated;
use winch_test_support::client_crowd::write_while_taken;

use crate::fixture::ClientsFixture;
use crate::fixture::MAX_BODY_BYTES;
use crate::fixture::limits;
use crate::fixture::request;

/// Callers with a large body each.
const CROWD: usize = 40;

/// Callers with many small chunks each.
const CHUNK_CROWD: usize = 800;

/// Size of the pieces of a body that comes piece by piece.
const PIECE_BYTES: usize = 64 * 1024;

fn stated_head(number: usize) -> String {
    request(number, &format!("Content-Length: {MAX_BODY_BYTES}\r\n"))
}

fn chunked_head(number: usize) -> String {
    request(number, "Transfer-Encoding: chunked\r\n")
}

async fn assert_bounded<F>(crowd_size: usize, caller: impl Fn(std::net::SocketAddr, usize) -> F)
where
    F: Future<Output = Option<TcpStream>> + Send + 'static,
{
    let mut fixture = ClientsFixture::start(limits(), 64).await;
    let address = fixture.nodes[0].addresses.callers;
    let watches: Vec<_> = fixture
        .nodes
        .iter()
        .map(super::fixture::NodeProgram::watch_memory)
        .collect();
    let calm_sockets = fixture.nodes[0].open_sockets() + 10;

    let crowd = gather(crowd_size, |number| caller(address, number)).await;

    for (node, watch) in fixture.nodes.iter_mut().zip(&watches) {
        node.assert_within_memory(watch);
    }
    fixture.nodes[0].wait_for_service().await;
    drop(crowd);
    fixture.nodes[0].wait_for_sockets(calm_sockets).await;
    for (node, watch) in fixture.nodes.iter_mut().zip(&watches) {
        node.wait_until_calm().await;
        node.assert_within_memory(watch);
    }
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn whole_bodies_at_once_stay_within_memory() {
    assert_bounded(CROWD, |address, number| async move {
        send_stated(address, &stated_head(number), MAX_BODY_BYTES, 0).await
    })
    .await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn bodies_that_stop_short_of_their_end_stay_within_memory() {
    assert_bounded(CROWD, |address, number| async move {
        send_stated(address, &stated_head(number), MAX_BODY_BYTES, 1).await
    })
    .await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn bodies_that_come_piece_by_piece_stay_within_memory() {
    assert_bounded(CROWD, |address, number| async move {
        send_chunks(address, &chunked_head(number), MAX_BODY_BYTES, PIECE_BYTES).await
    })
    .await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn bodies_in_chunks_of_one_byte_stay_within_memory() {
    assert_bounded(CHUNK_CROWD, |address, number| async move {
        send_chunks(address, &chunked_head(number), MAX_BODY_BYTES, 1).await
    })
    .await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_single_body_of_the_largest_size_is_served() {
    let fixture = ClientsFixture::start(limits(), 64).await;

    for node in &fixture.nodes {
        let address = node.addresses.callers;
        let stated = send_stated(address, &stated_head(0), MAX_BODY_BYTES, 0).await;
        let head = chunked_head(1);
        let chunked = send_chunks(address, &head, MAX_BODY_BYTES, PIECE_BYTES).await;
        let mut chunked = chunked.expect("a connection");
        write_while_taken(&mut chunked, b"0\r\n\r\n").await;

        for mut stream in [stated.expect("a connection"), chunked] {
            assert_eq!(read_status(&mut stream).await, Some(200));
        }
    }
}
