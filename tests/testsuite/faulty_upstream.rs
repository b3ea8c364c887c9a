//! Upstreams that write bytes which no request asked for, or stop in the middle of a
//! response.

use std::io::Read;
use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::net::TcpStream;
use std::sync::Arc;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::time::Duration;

use buckthornwinch::ranges::FenceNumber;
use buckthornwinch::ranges::grants::GrantOutcome;
use buckthornwinch::ranges::grants::RangeGrant;
use buckthornwinch::sidecar::upstream::ReleaseOutcome;
use buckthornwinch::sidecar::upstream::UpstreamClient;
use buckthornwinch::upstream::service::CallError;
use winch_platform::upstream::HttpUpstreamClient;

use crate::upstream_call::upstream_call;

const REFUSAL: &str = "HTTP/1.1 503 Service Unavailable\r\nNot-Executed: 1\r\n\
                       Request-Id: 1\r\nContent-Length: 0\r\n\r\n";

const ANSWER: &str = "HTTP/1.1 200 OK\r\nRequest-Id: 1\r\nResponse-Signature: s\r\n\
                      Content-Length: 5\r\n\r\nwhole";

/// Starts an upstream that passes each connection, with its number from 0, to `serve`
/// in a thread of its own.
fn start(serve: impl Fn(TcpStream, usize) + Clone + Send + 'static) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let address = listener.local_addr().expect("an address");
    std::thread::spawn(move || {
        for (number, stream) in listener.incoming().flatten().enumerate() {
            let serve = serve.clone();
            std::thread::spawn(move || serve(stream, number));
        }
    });
    address
}

/// Reads one request, which has no body. Returns false if the client has closed.
fn read_request(stream: &mut TcpStream) -> bool {
    let mut head = Vec::new();
    let mut byte = [0];
    while !head.ends_with(b"\r\n\r\n") {
        if !matches!(stream.read(&mut byte), Ok(1)) {
            return false;
        }
        head.push(byte[0]);
    }
    true
}

/// Writes a response; the client may have closed.
fn respond(stream: &mut TcpStream, response: &str) {
    drop(stream.write_all(response.as_bytes()));
}

/// Refuses the first request on the first connection. While it runs a second one
/// there, writes the refusal once more. Answers all requests on other connections.
fn refuse_twice(mut stream: TcpStream, number: usize) {
    while read_request(&mut stream) {
        respond(&mut stream, if number == 0 { REFUSAL } else { ANSWER });
    }
}

/// Guards against a refusal that is taken as the answer to a later try of the same
/// request, which runs: its caller would be told that it did not.
#[tokio::test]
async fn a_repeated_refusal_is_not_taken_as_the_answer_to_the_next_try() {
    let address = start(refuse_twice);
    let client = HttpUpstreamClient::new(address);
    assert_eq!(
        client.clone().run(upstream_call(address, "1")).await,
        Err(CallError::Refused)
    );

    let next = client.run(upstream_call(address, "1")).await;

    assert_eq!(next.map(|response| response.status), Ok(200));
}

#[tokio::test]
async fn a_repeated_refusal_is_not_taken_as_the_answer_to_another_request() {
    let address = start(refuse_twice);
    let client = HttpUpstreamClient::new(address);
    assert_eq!(
        client.clone().run(upstream_call(address, "1")).await,
        Err(CallError::Refused)
    );

    let other = client.run(upstream_call(address, "2")).await;

    assert_eq!(other, Err(CallError::Lost));
}

/// An upstream that closes before its response is complete.
#[tokio::test]
async fn a_response_that_stops_anywhere_is_never_taken_as_complete() {
    for length in 0..ANSWER.len() {
        let address = start(move |mut stream, _number| {
            if read_request(&mut stream) {
                respond(&mut stream, &ANSWER[..length]);
            }
        });

        let result = HttpUpstreamClient::new(address)
            .run(upstream_call(address, "1"))
            .await;

        assert!(
            matches!(result, Err(CallError::Lost | CallError::Truncated)),
            "after {length} bytes: {result:?}"
        );
    }
}

/// A response without a length ends with its connection. If the head stops, there is
/// no response yet, so its end must not be taken for that of an empty body.
#[tokio::test]
async fn a_head_that_stops_is_no_response_without_a_length() {
    const HEAD: &str = "HTTP/1.1 200 OK\r\nRequest-Id: 1\r\nResponse-Signature: s\r\n\r\n";
    for length in 0..HEAD.len() {
        let address = start(move |mut stream, _number| {
            if read_request(&mut stream) {
                respond(&mut stream, &HEAD[..length]);
            }
        });

        let result = HttpUpstreamClient::new(address)
            .run(upstream_call(address, "1"))
            .await;

        assert_eq!(result, Err(CallError::Lost), "after {length} bytes");
    }
}

/// Reads the head and the body of a request; returns its path, or `None` if the client
/// has closed.
fn read_call(stream: &mut TcpStream) -> Option<String> {
    let mut head = Vec::new();
    let mut byte = [0];
    while !head.ends_with(b"\r\n\r\n") {
        stream.read_exact(&mut byte).ok()?;
        head.push(byte[0]);
    }
    let head = String::from_utf8_lossy(&head).to_ascii_lowercase();
    let length = head
        .lines()
        .find_map(|line| line.strip_prefix("content-length: "))
        .map_or(0, |length| length.parse().expect("a length"));
    stream.read_exact(&mut vec![0; length]).ok()?;
    head.split(' ').nth(1).map(str::to_owned)
}

const GRANTED: &str = "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n";

const HIGHER_FENCE: &str = "HTTP/1.1 409 Conflict\r\nContent-Length: 0\r\n\r\n";

/// Answers calls with `answer_to`, each after it has written its last answer on the same
/// connection once more. Never answers a release, as a request for the keys goes on.
fn repeat_answers(mut stream: TcpStream, answer_to: impl Fn(&str) -> &'static str) {
    let mut last = None;
    while let Some(path) = read_call(&mut stream) {
        if let Some(last) = last {
            respond(&mut stream, last);
        }
        if path == "/release" {
            // Until the client closes.
            let _closed = stream.read(&mut [0]);
            return;
        }
        let answer = answer_to(&path);
        respond(&mut stream, answer);
        last = Some(answer);
    }
}

fn grant(fence: FenceNumber) -> RangeGrant {
    RangeGrant {
        first: 0,
        last: 99,
        fence,
        hold: Duration::from_secs(2),
        handover: None,
    }
}

/// Guards against keys that are given away while the upstream still works on them: an
/// answer to a grant that was written once more was taken for that to a release.
#[tokio::test]
async fn a_repeated_answer_to_a_grant_is_not_taken_as_that_to_a_release() {
    let address = start(|stream, _number| repeat_answers(stream, |_path| GRANTED));
    let client = HttpUpstreamClient::new(address);
    assert_eq!(client.grant(address, grant(1)).await, GrantOutcome::Granted);

    let outcome = client.release(address, 0, 99, 1).await;

    assert_eq!(outcome, ReleaseOutcome::Unknown);
}

/// Guards against a grant that the upstream refuses and that counts as accepted.
#[tokio::test]
async fn a_repeated_answer_to_a_grant_is_not_taken_as_that_to_the_next_one() {
    let calls = Arc::new(AtomicUsize::new(0));
    let address = start(move |stream, _number| {
        let calls = Arc::clone(&calls);
        repeat_answers(stream, move |_path| {
            let is_first = calls.fetch_add(1, Ordering::Relaxed) == 0;
            if is_first { GRANTED } else { HIGHER_FENCE }
        });
    });
    let client = HttpUpstreamClient::new(address);
    assert_eq!(client.grant(address, grant(1)).await, GrantOutcome::Granted);

    let outcome = client.grant(address, grant(2)).await;

    assert_eq!(outcome, GrantOutcome::Refused);
}
