//! Requesters and the operator.

use std::net::SocketAddr;
use std::time::Duration;

use crate::Run;
use crate::endpoint::answer_body;
use crate::http::call;
use crate::machine::Machine;

/// A route of the configuration.
pub struct Route {
    /// Also the first segment of its paths.
    pub service: &'static str,
    pub idempotent: bool,
    pub sharded: bool,
    pub target_ms: u64,
    pub timeout_ms: u64,
}

pub const HOST: &str = "shop.example";

/// Writes the configuration as the operator does.
pub fn configure(run: &Run, version: u64, routes: &[Route]) {
    let rules: Vec<String> = routes
        .iter()
        .map(|route| {
            let kind = if route.idempotent { "idempotent" } else { "non_idempotent" };
            format!(
                "{{\"name\":\"r-{0}\",\"routeType\":\"{kind}\",\"targetLatency\":\"{1}ms\",\"priority\":0,\
                 \"match\":{{\"pathPrefix\":\"/{0}/\"}},\"action\":{{\"service\":\"{0}\",\"timeout\":\"{2}ms\",\"maxAttempts\":2}}}}",
                route.service, route.target_ms, route.timeout_ms
            )
        })
        .collect();
    let clusters: Vec<String> = routes
        .iter()
        .map(|route| {
            let sharding = if route.sharded { ",\"sharding\":true,\"warmup\":\"2s\",\"grants\":\"direct\"" } else { "" };
            format!(
                "{{\"name\":\"{}\",\"healthCheckPath\":\"/health\",\"maxConnections\":130,\"protocol\":\"h1\",\"tls\":false{sharding}}}",
                route.service
            )
        })
        .collect();
    let text = format!(
        "{{\"version\":{version},\"limits\":{{\"maxHeaderBytes\":16384,\"maxBodyBytes\":67108864,\"headerTimeout\":\"3000ms\",\
         \"idleTimeout\":\"15000ms\"}},\"listeners\":[{{\"host\":\"{HOST}\",\"rules\":[{}]}}],\"clusters\":[{}]}}",
        rules.join(","),
        clusters.join(",")
    );
    run.site.store.put("keyed.op", "config", &text);
}

/// What a requester saw of its request.
#[derive(Debug, Clone)]
pub struct Sent {
    pub id: String,
    pub sent: u64,
    pub ended: u64,
    /// Status of the answer; `None` if the connection ended without a whole one.
    pub status: Option<u16>,
    /// Whether a 2xx is the endpoint's whole answer.
    pub is_whole: bool,
}

/// Sends a request at a machine's outbound address on a new connection.
pub fn request(
    run: &Run,
    at: SocketAddr,
    method: &str,
    service: &str,
    id: &str,
    key: Option<u16>,
    deadline_ms: u64,
    answer_bytes: usize,
) -> Sent {
    let path = format!("{method} /{service}/{id}");
    let (deadline, key_text) = (deadline_ms.to_string(), key.map(|key| key.to_string()));
    let mut headers = vec![("host", HOST), ("request-id", id), ("deadline-ms", &*deadline)];
    headers.extend(key_text.as_deref().map(|key| ("shard-key", key)));
    let sent = run.record.line(&format!("requester sends {id} {path} key {key:?}"));
    let answer = call(at, &path, &headers, b"", Duration::from_millis(deadline_ms + 500));
    let status = answer
        .as_ref()
        .ok()
        .map(|answer| answer.status())
        .filter(|status| *status > 0);
    let is_whole = answer.as_ref().is_ok_and(|answer| {
        answer.status() == 200 && answer.header("response-signature").is_some() && answer.body == answer_body(id, answer_bytes)
    });
    let error = answer.err().map_or(String::new(), |error| format!(" {error}"));
    let ended = run
        .record
        .line(&format!("requester has {id} status {status:?} whole {is_whole}{error}"));
    Sent {
        id: id.to_owned(),
        sent,
        ended,
        status,
        is_whole,
    }
}

/// Waits until all machines are ready; false if one is not in time.
pub fn wait_ready(machines: &[&Machine], limit: Duration) -> bool {
    let until = std::time::Instant::now() + limit;
    while !machines.iter().all(|machine| machine.is_ready()) {
        if std::time::Instant::now() > until {
            return false;
        }
        std::thread::sleep(Duration::from_millis(50));
    }
    true
}
