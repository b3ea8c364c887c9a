//! Announces the upstream to its local `winchd`.

use std::net::SocketAddr;
use std::time::Duration;

use serde::Serialize;
use tokio::task::JoinHandle;

use super::UpstreamSettings;

const ANNOUNCE_INTERVAL: Duration = Duration::from_millis(500);
const ANNOUNCE_TIMEOUT: Duration = Duration::from_millis(400);

#[derive(Debug, Clone)]
#[derive(Serialize)]
struct AnnounceBody {
    service: Box<str>,
    address: SocketAddr,
    slots: u16,
    connections: u16,
    checks_fence: bool,
    accepts_cancel: bool,
    longest_order_ms: u64,
    cold_start_ms: u64,
}

/// Sends the announcement periodically until it is dropped.
#[derive(Debug)]
pub(super) struct UpstreamAnnouncer {
    client: reqwest::Client,
    url: String,
    body: AnnounceBody,
    task: JoinHandle<()>,
}

impl UpstreamAnnouncer {
    /// Starts sending announcements to `target`.
    pub(super) fn start(
        target: SocketAddr,
        address: SocketAddr,
        settings: &UpstreamSettings,
    ) -> Self {
        let body = AnnounceBody {
            service: settings.service.clone(),
            address,
            slots: settings.slots,
            connections: settings.connections,
            checks_fence: settings.checks_fence,
            accepts_cancel: settings.accepts_cancel,
            longest_order_ms: settings.longest_order.as_millis() as u64,
            cold_start_ms: settings.cold_start.as_millis() as u64,
        };
        let client = reqwest::Client::new();
        let url = format!("http://{target}/v1/announce");
        let task = tokio::spawn(announce_periodically(
            client.clone(),
            url.clone(),
            body.clone(),
        ));
        Self {
            client,
            url,
            body,
            task,
        }
    }

    /// Stops the announcements and withdraws the upstream.
    pub(super) async fn leave(self) {
        self.task.abort();
        let call = self
            .client
            .delete(&self.url)
            .timeout(ANNOUNCE_TIMEOUT)
            .json(&self.body);
        if let Err(error) = call.send().await {
            log::warn!("upstream: cannot withdraw the announcement: {error}");
        }
    }
}

impl Drop for UpstreamAnnouncer {
    fn drop(&mut self) {
        self.task.abort();
    }
}

async fn announce_periodically(client: reqwest::Client, url: String, body: AnnounceBody) {
    let mut ticks = tokio::time::interval(ANNOUNCE_INTERVAL);
    loop {
        ticks.tick().await;
        let call = client.post(&url).timeout(ANNOUNCE_TIMEOUT).json(&body);
        if let Err(error) = call.send().await {
            log::debug!("upstream: announcement failed: {error}");
        }
    }
}
