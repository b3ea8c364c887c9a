//! Memory that faulty upstreams can make a sidecar use. The tests count the bytes that
//! this process has allocated, so they run one at a time in a program of their own.

mod counting_allocator;
mod ended_peers;
#[path = "../testsuite/upstream_call.rs"]
mod upstream_call;

use std::io::Read;
use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::net::TcpStream;
use std::sync::Arc;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::time::Duration;

use buckthornwinch::sidecar::upstream::UpstreamClient;
use buckthornwinch::upstream::service::CallError;
use tokio::sync::Mutex;
use tokio::task::JoinSet;
use tokio::time::timeout;
use winch_platform::upstream::HttpUpstreamClient;

use crate::counting_allocator::CountingAllocator;
use crate::upstream_call::upstream_call;

#[global_allocator]
static ALLOCATOR: CountingAllocator = CountingAllocator::new();

/// Keeps tests from being counted together.
static ONE_AT_A_TIME: Mutex<()> = Mutex::const_new(());

/// Requests that get endless responses at the same time.
const ENDLESS_CALLS: usize = 24;

/// Most bytes that the client may hold for them: what it reads of all bodies together,
/// and half a megabyte for each connection.
const MAX_HELD_BYTES: usize = (32 + 12) * 1024 * 1024;

/// Time after which a call is given up, as at its deadline.
const DEADLINE: Duration = Duration::from_secs(3);

/// Size of the body of a proper response.
const PROPER_BYTES: usize = 60_000;

const HEAD: &str = "HTTP/1.1 200 OK\r\nrequest-id: 1\r\nresponse-signature: x\r\n";

/// What a faulty server sends after `start`, again and again.
#[derive(Debug, Clone, Copy)]
struct EndlessResponse {
    start: &'static str,
    repeated: &'static str,
    /// Bytes after which it sends nothing more; `None` if it goes on.
    halts_after: Option<usize>,
}

const BODY_TO_THE_END: EndlessResponse = EndlessResponse {
    start: "connection: close\r\n\r\n",
    repeated: "xxxxxxxxxxxxxxxx",
    halts_after: None,
};

/// With all of these together, little room is left below the client's limit of 32 MiB.
const HALTED_BODY: EndlessResponse = EndlessResponse {
    halts_after: Some(1_396_000),
    ..BODY_TO_THE_END
};

const CHUNKS_OF_ONE_BYTE: EndlessResponse = EndlessResponse {
    start: "transfer-encoding: chunked\r\n\r\n",
    repeated: "1\r\nx\r\n",
    halts_after: None,
};

const CHUNK_EXTENSION: EndlessResponse = EndlessResponse {
    start: "transfer-encoding: chunked\r\n\r\n1;",
    repeated: "extension",
    halts_after: None,
};

const ONE_HEADER: EndlessResponse = EndlessResponse {
    start: "x-filler: ",
    repeated: "xxxxxxxxxxxxxxxx",
    halts_after: None,
};

const MANY_HEADERS: EndlessResponse = EndlessResponse {
    start: "",
    repeated: "x-filler: x\r\n",
    halts_after: None,
};

const AFTER_THE_RESPONSE: EndlessResponse = EndlessResponse {
    start: "content-length: 2\r\n\r\nok",
    repeated: "xxxxxxxxxxxxxxxx",
    halts_after: None,
};

/// Starts a server whose first [`ENDLESS_CALLS`] connections get an endless response,
/// and later ones a proper one. Returns its address and the number of connections.
fn start_server(endless: EndlessResponse) -> (SocketAddr, Arc<AtomicUsize>) {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let address = listener.local_addr().expect("an address");
    let accepted = Arc::new(AtomicUsize::new(0));
    let count = Arc::clone(&accepted);
    std::thread::spawn(move || {
        for stream in listener.incoming().map_while(Result::ok) {
            let is_endless = count.fetch_add(1, Ordering::Relaxed) < ENDLESS_CALLS;
            std::thread::spawn(move || {
                // The client closes the connection, which is the end of an endless one.
                let _closed = if is_endless {
                    send_endless(stream, endless)
                } else {
                    send_proper(stream)
                };
            });
        }
    });
    (address, accepted)
}

fn send_endless(mut stream: TcpStream, endless: EndlessResponse) -> std::io::Result<()> {
    let mut request = [0; 4096];
    let _read = stream.read(&mut request)?;
    stream.write_all(HEAD.as_bytes())?;
    stream.write_all(endless.start.as_bytes())?;
    let filler = endless.repeated.repeat(1_024);
    let mut left = endless.halts_after.unwrap_or(usize::MAX);
    while left > 0 {
        let part = &filler.as_bytes()[..filler.len().min(left)];
        stream.write_all(part)?;
        left -= part.len();
    }
    // Until the client closes.
    let _read = stream.read(&mut request)?;
    Ok(())
}

fn send_proper(mut stream: TcpStream) -> std::io::Result<()> {
    let mut request = [0; 4096];
    while stream.read(&mut request)? > 0 {
        stream.write_all(HEAD.as_bytes())?;
        write!(stream, "content-length: {PROPER_BYTES}\r\n\r\n")?;
        stream.write_all(&vec![b'x'; PROPER_BYTES])?;
    }
    Ok(())
}

async fn call(client: HttpUpstreamClient, address: SocketAddr) -> CallResult {
    timeout(DEADLINE, client.run(upstream_call(address, "1"))).await
}

/// Makes the endless calls, and proper ones beside them and afterwards. Checks that the
/// latter are answered and that the memory is bounded.
async fn assert_bounded(endless: EndlessResponse) {
    let _only = ONE_AT_A_TIME.lock().await;
    let (address, accepted) = start_server(endless);
    let client = HttpUpstreamClient::new(address);
    let before = ALLOCATOR.reset_peak();

    let mut calls = JoinSet::new();
    for _call in 0..ENDLESS_CALLS {
        calls.spawn(call(client.clone(), address));
    }
    while accepted.load(Ordering::Relaxed) < ENDLESS_CALLS && !calls.is_empty() {
        tokio::time::sleep(Duration::from_millis(1)).await;
        while calls.try_join_next().is_some() {}
    }
    let mut beside = Vec::new();
    while !calls.is_empty() {
        beside.push(call(client.clone(), address).await);
        while calls.try_join_next().is_some() {}
    }
    let held = ALLOCATOR.peak() - before;

    assert!(held <= MAX_HELD_BYTES, "{endless:?}: {held}");
    let failed: Vec<_> = beside.iter().filter(|result| !is_proper(result)).collect();
    assert!(
        failed.is_empty(),
        "{endless:?}: {failed:?} of {}",
        beside.len()
    );
    assert!(
        is_proper(&call(client.clone(), address).await),
        "{endless:?}"
    );
}

type CallResult = Result<
    Result<buckthornwinch::delivery::message::UpstreamResponse, CallError>,
    tokio::time::error::Elapsed,
>;

fn is_proper(result: &CallResult) -> bool {
    matches!(result, Ok(Ok(response)) if response.body.len() == PROPER_BYTES)
}

/// Guards against bytes of a faulty upstream that are kept until the process has no
/// memory left, and against answers to other requests that are lost because of them.
#[tokio::test]
async fn endless_bodies_are_bounded_and_leave_other_requests_alone() {
    assert_bounded(BODY_TO_THE_END).await;
    assert_bounded(HALTED_BODY).await;
    assert_bounded(CHUNKS_OF_ONE_BYTE).await;
    assert_bounded(CHUNK_EXTENSION).await;
}

#[tokio::test]
async fn endless_heads_are_bounded_and_leave_other_requests_alone() {
    assert_bounded(ONE_HEADER).await;
    assert_bounded(MANY_HEADERS).await;
}

#[tokio::test]
async fn endless_bytes_after_a_response_are_bounded_and_leave_other_requests_alone() {
    assert_bounded(AFTER_THE_RESPONSE).await;
}
