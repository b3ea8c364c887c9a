//! Applies what is known of the local upstream to its slot queue.

use std::sync::Arc;
use std::time::Duration;

use tokio::time::timeout;

use super::fleet::FleetState;
use super::metrics::SidecarMetrics;
use super::settings::SidecarSettings;
use super::upstream::LocalUpstreamRegistry;
use super::upstream::UpstreamClient;
use crate::admission::deadline_queue::QueueRefusal;
use crate::admission::slot_queue::SlotQueue;
use crate::base::boot_clock::since_boot;
use crate::base::error::ErrorKind;
use crate::base::timer::TimerService;
use crate::peers::message::UpstreamPhase;
use crate::routes::configuration::ServicePolicy;

/// How often the limit of an upstream that is cold, or is to be asked whether it is, is
/// checked.
const COLD_INTERVAL: Duration = Duration::from_millis(50);

/// Time-out of a question to the upstream, which answers at once.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(400);

/// Follows the local upstream and the settings of its service.
#[derive(Debug)]
#[derive(bon::Builder)]
pub(super) struct UpstreamFollower<U> {
    settings: Arc<SidecarSettings>,
    fleet: Arc<FleetState>,
    registry: LocalUpstreamRegistry,
    slots: SlotQueue,
    client: U,
    metrics: SidecarMetrics,
}

impl<U: UpstreamClient> UpstreamFollower<U> {
    /// Follows the upstream until the process ends: the number of slots and the limit
    /// on the rate while it takes requests, otherwise a refusal of all waiting requests.
    pub(super) async fn run(self) {
        let mut upstream = self.registry.subscribe();
        let mut routes = self.fleet.watch_routes();
        let mut ticks = TimerService.subscribe(COLD_INTERVAL);
        let mut was_cold = false;
        loop {
            let policy = routes.borrow_and_update().as_ref().and_then(|routes| {
                routes
                    .configuration()
                    .service(&self.settings.service)
                    .cloned()
            });
            let cold = policy.as_ref().and_then(|policy| policy.cold);
            self.registry
                .set_cold_policy(cold, self.settings.cold_bound);
            loop {
                // Read first, so that an end of the cold state meanwhile is followed.
                let is_watched = self.registry.is_cold_watched();
                self.apply_phase(
                    upstream
                        .borrow_and_update()
                        .as_ref()
                        .map(|known| known.phase),
                );
                self.apply_limit(&mut was_cold);
                self.ask(policy.as_ref());
                tokio::select! {
                    changed = upstream.changed() => if changed.is_err() { return },
                    changed = routes.changed() => match changed {
                        Ok(()) => break,
                        Err(_closed) => return,
                    },
                    _tick = ticks.next(), if is_watched => {}
                }
            }
        }
    }

    fn apply_phase(&self, phase: Option<UpstreamPhase>) {
        if phase != Some(UpstreamPhase::Ready) {
            self.slots.refuse_waiting(QueueRefusal {
                kind: ErrorKind::Draining,
                retry_after: None,
            });
        }
    }

    fn apply_limit(&self, was_cold: &mut bool) {
        let remaining = self.registry.cold_remaining();
        self.metrics
            .upstream
            .cold_seconds
            .set(remaining.as_secs_f64());
        let is_cold = !remaining.is_zero();
        if is_cold != *was_cold {
            log::info!(remaining_ms = remaining.as_millis() as u64; "upstream: changed between warm and cold");
            *was_cold = is_cold;
        }
        if let Some(upstream) = self.registry.current()
            && upstream.phase == UpstreamPhase::Ready
        {
            self.slots.set_rate_limit(self.registry.rate_limit());
            self.slots.set_slots(upstream.announced.slots);
        }
    }

    /// Asks the upstream whether it is cold, if there is a reason to.
    fn ask(&self, policy: Option<&ServicePolicy>) {
        let Some(path) = policy.and_then(|policy| policy.health_path.clone()) else {
            return;
        };
        let Some(instance) = self.registry.begin_cold_inquiry() else {
            return;
        };
        let (registry, asked) = (self.registry.clone(), since_boot());
        let answer = self.client.check_health(path);
        tokio::spawn(async move {
            let answer = timeout(ANSWER_TIMEOUT, answer).await.ok().flatten();
            let answer = answer.filter(|answer| answer.instance == instance);
            let remaining = answer.and_then(|answer| answer.cold_remaining);
            registry.end_cold_inquiry(asked, remaining);
        });
    }
}
