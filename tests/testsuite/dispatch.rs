//! Retries at the entry node: a request is routed again only if that is safe,
//! and once an attempt may have run, the caller is told so even if a later
//! attempt is refused.

use std::collections::VecDeque;
use std::sync::Arc;
use std::sync::Mutex;

use buckthornwinch::admission::load::OwnerLoad;
use buckthornwinch::base::collections::FastSet;
use buckthornwinch::base::error::ErrorKind;
use buckthornwinch::delivery::message::RequestFailure;
use buckthornwinch::delivery::message::RequestResult;
use buckthornwinch::delivery::message::RoutedRequest;
use buckthornwinch::delivery::message::UpstreamResponse;
use buckthornwinch::entry::dispatch::IncomingRequest;
use buckthornwinch::entry::dispatch::RequestDispatcher;
use buckthornwinch::routing::table::RouteInputs;
use buckthornwinch::routing::table::RoutePublisher;
use buckthornwinch::routing::table::RouteTable;
use buckthornwinch::telemetry::metrics::MetricRegistry;
use buckthornwinch::transport::server::EntrySignals;
use buckthornwinch::transport::server::OwnerRequestHandler;
use buckthornwinch::upstream::condition::StatedCondition;
use bytes::Bytes;
use winch_test_support::fleet::FleetLog;
use winch_test_support::fleet::incarnation;
use winch_test_support::owner::order;
use winch_test_support::records::slice;

/// Owner that fails with the scripted errors in turn and then succeeds.
#[derive(Debug, Clone)]
struct ScriptedOwner {
    script: Arc<Mutex<VecDeque<ErrorKind>>>,
}

impl ScriptedOwner {
    fn new(script: &[ErrorKind]) -> Self {
        Self {
            script: Arc::new(Mutex::new(script.iter().copied().collect())),
        }
    }
}

impl OwnerRequestHandler for ScriptedOwner {
    async fn handle(&self, _order: RoutedRequest, _signals: EntrySignals) -> RequestResult {
        let next = self
            .script
            .lock()
            .expect("no test panics with it")
            .pop_front();
        match next {
            Some(kind) => Err(RequestFailure::new(kind, "scripted")),
            None => Ok(UpstreamResponse {
                status: 200,
                headers: Vec::new(),
                body: Bytes::new(),
                epoch: 0,
                stated: StatedCondition::default(),
            }),
        }
    }

    fn load(&self) -> OwnerLoad {
        OwnerLoad::default()
    }
}

/// Creates a dispatcher whose own process owns every slice.
fn dispatcher(owner: ScriptedOwner) -> RequestDispatcher<ScriptedOwner> {
    let mut log = FleetLog::with_nodes(1);
    for index in 0..4 {
        log.assign(&slice(index), &[1]);
    }
    let inputs = RouteInputs {
        state: &log.state,
        ended: &FastSet::default(),
        resigned: &FastSet::default(),
    };
    let routes = RoutePublisher::default();
    routes.store(RouteTable::derive(inputs, |_member| None));
    RequestDispatcher::builder()
        .incarnation(incarnation(1))
        .domain("domain-1".into())
        .routes(routes)
        .local(owner)
        .metrics(MetricRegistry::new().routing)
        .build()
}

fn entry_order(idempotent: bool) -> IncomingRequest {
    let mut order = order("lookups", "/prices");
    order.chain = slice(0);
    IncomingRequest {
        request: order,
        idempotent,
    }
}

async fn outcome(script: &[ErrorKind], idempotent: bool) -> Result<u16, ErrorKind> {
    let dispatcher = dispatcher(ScriptedOwner::new(script));
    let answer = dispatcher.dispatch(entry_order(idempotent)).await;
    answer
        .result
        .map(|answer| answer.status)
        .map_err(|failure| failure.kind)
}

#[tokio::test(start_paused = true)]
async fn a_request_that_was_not_run_is_routed_again() {
    let outcome = outcome(&[ErrorKind::NotOwner, ErrorKind::LeaseLapsed], false).await;

    assert_eq!(outcome, Ok(200));
}

#[tokio::test(start_paused = true)]
async fn a_request_that_may_have_run_is_retried_only_if_idempotent() {
    let once = outcome(&[ErrorKind::ConnectionLost], false).await;
    let repeated = outcome(&[ErrorKind::ConnectionLost], true).await;

    assert_eq!(once, Err(ErrorKind::ConnectionLost));
    assert_eq!(repeated, Ok(200));
}

#[tokio::test(start_paused = true)]
async fn a_refused_retry_after_a_lost_attempt_is_unknown() {
    let outcome = outcome(&[ErrorKind::ConnectionLost, ErrorKind::Overloaded], true).await;

    assert_eq!(outcome, Err(ErrorKind::ConnectionLost));
}

#[tokio::test(start_paused = true)]
async fn overload_is_reported_without_a_retry() {
    let outcome = outcome(&[ErrorKind::Overloaded], true).await;

    assert_eq!(outcome, Err(ErrorKind::Overloaded));
}
