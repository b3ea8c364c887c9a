//! Plans and advances moves of ranges to other owners.

use std::time::Duration;

use super::ControllerEvent;
use super::RangeController;
use crate::admission::slot_queue::SlotGauge;
use crate::base::ids::Incarnation;
use crate::peers::message::MemberRecord;
use crate::peers::message::UpstreamGauge;
use crate::peers::message::UpstreamPhase;
use crate::ranges::edit::RangeTransfer;
use crate::ranges::edit::choose_targets;
use crate::ranges::edit::divide_evenly;
use crate::ranges::map::KeyRange;
use crate::ranges::map::RangeMap;
use crate::ranges::rebalance::OwnerLoad;
use crate::ranges::rebalance::PlannedTransfer;
use crate::ranges::rebalance::plan_transfers;
use crate::ranges::settling::SMOOTHING_TIME;
use crate::ranges::settling::SettlingMove;
use crate::ranges::share_out::plan_shares;
use crate::sidecar::moves::MoveCause;
use crate::sidecar::moves::RangeMove;
use crate::sidecar::reconcile::MapReconciler;
use crate::sidecar::settings::GrantDelivery;
use crate::sidecar::upstream::LocalUpstream;
use crate::sidecar::upstream::UpstreamClient;
use crate::store::StateStore;

/// Time after a store failure in which no move for load begins, since its keys
/// would stay closed until the map can be written.
const STORE_FAILURE_HOLD: Duration = Duration::from_millis(1_200);

/// How often the load is compared with that of other owners.
const LOAD_CHECK_INTERVAL: Duration = Duration::from_millis(250);

/// Pace from which an upstream counts as slowed, in thousandths of the usual time.
const SLOWED_PERMILLE: u16 = 1_500;

/// How often the slot time by key is halved.
const DECAY_INTERVAL: Duration = Duration::from_millis(700);

impl<S: StateStore, U: UpstreamClient> RangeController<S, U> {
    /// Sends the releases of the planned move that are due, and ends the move
    /// once the map shows it.
    pub(super) fn advance_move(&mut self, now: Duration) {
        let upstream = self.registry.current();
        let Some(planned) = &mut self.planned else {
            return;
        };
        let map = self.fleet.map().map;
        planned.drop_lost_targets(|target| {
            let holder = map.holder(target);
            holder.is_some_and(|holder| !self.fleet.is_evacuated(&holder.domain))
        });
        if self.settings.grant_delivery == GrantDelivery::Heartbeats {
            planned.free_expired(&self.grants, now);
            self.finish_move(now);
            return;
        }
        let present = upstream
            .as_ref()
            .is_some_and(|upstream| upstream.phase != UpstreamPhase::Absent);
        let releases = planned.due_releases(&self.grants, present);
        for release in releases {
            let Some(upstream) = &upstream else { return };
            let sender = self.sender.clone();
            let address = upstream.announced.address;
            let releasing =
                self.client
                    .release(address, release.first, release.last, release.fence);
            tokio::spawn(async move {
                let outcome = releasing.await;
                drop(
                    sender
                        .send(ControllerEvent::Released(release, outcome))
                        .await,
                );
            });
        }
        self.finish_move(now);
    }

    /// Ends the planned move once this sidecar owns none of its keys in the
    /// map.
    pub(super) fn finish_move(&mut self, now: Duration) {
        let Some(planned) = &self.planned else { return };
        let Some(transfers) = planned.transfers(now) else {
            return;
        };
        let map = self.fleet.map().map;
        let own = Some(self.own());
        let owned = |part: &RangeTransfer| map.owner(&planned.service, part.first) == own;
        if !transfers.iter().any(owned) {
            log::info!(cause:? = planned.cause, took_ms = (now.saturating_sub(planned.started)).as_millis() as u64; "ranges: finished a move");
            self.settling = Some(SettlingMove::new(planned.targets(), now));
            self.planned = None;
            self.asked_writer = None;
            self.asks = 0;
        }
    }

    /// Begins a move if one is due: of all ranges when this sidecar or its
    /// upstream stops serving, otherwise of some keys to balance the load.
    pub(super) fn plan_moves(&mut self, now: Duration) {
        if now >= self.next_decay {
            self.next_decay = now + DECAY_INTERVAL;
            self.gate.key_load().decay();
        }
        let upstream = self.registry.current();
        // The keys of an evacuated upstream do not wait for the effect of a former move.
        let is_due = now >= self.next_plan || is_evacuated(upstream.as_ref());
        if self.planned.is_some() || !is_due || !self.can_release() {
            return;
        }
        self.next_plan = now + LOAD_CHECK_INTERVAL;
        let view = self.fleet.map();
        if view.map.holder(self.own()).is_none() || view.map.owned_by(self.own()).is_empty() {
            return;
        }
        let parts = if *self.leaving.borrow() || !takes_keys(upstream.as_ref()) {
            self.parts_for_leaving(&view.map, now)
                .map(|parts| (MoveCause::Leave, parts))
        } else {
            self.note_gained_keys(&view.map, now);
            let may_move = !self.store_failed_recently(now)
                && self.fleet.unrestored_for().is_none()
                && self.last_move_shows(now);
            may_move
                .then(|| self.parts_for_load(&view.map, now))
                .flatten()
        };
        if let Some((cause, parts)) = parts {
            log::info!(cause:? = cause, parts = parts.len(), first = parts[0].first, last = parts[0].last, target = parts[0].target; "ranges: begins a move");
            let service = self.fleet.own().service.clone();
            self.planned = Some(RangeMove::begin(
                service,
                cause,
                &parts,
                &mut self.grants,
                now,
            ));
            self.metrics
                .range_moves
                .with_label_values(&[cause.name()])
                .inc();
            self.advance_move(now);
        }
    }

    /// Returns whether a read or write of the store failed within
    /// [`STORE_FAILURE_HOLD`].
    pub(super) fn store_failed_recently(&self, now: Duration) -> bool {
        let failed = self
            .write_failed
            .into_iter()
            .chain(self.fleet.last_store_failure());
        failed
            .max()
            .is_some_and(|failed| now < failed + STORE_FAILURE_HOLD)
    }

    /// Divides all ranges that this sidecar owns among the other owners; `None`
    /// if there are no others.
    pub(super) fn parts_for_leaving(
        &self,
        map: &RangeMap,
        now: Duration,
    ) -> Option<Vec<RangeTransfer>> {
        let others: Vec<Incarnation> = self
            .other_owners(map, now)
            .iter()
            .map(|owner| owner.incarnation)
            .collect();
        let owned = map.owned_by(self.own());
        let keys = owned.iter().map(KeyRange::key_count).sum();
        let targets = choose_targets(&others, keys, self.own());
        (!targets.is_empty()).then(|| divide_evenly(&owned, &targets))
    }

    /// Lets the load settle if this sidecar has got keys: its own figures do not show
    /// them yet.
    fn note_gained_keys(&mut self, map: &RangeMap, now: Duration) {
        let owned = map.owned_by(self.own());
        let newest = owned.iter().map(|range| range.fence_base).max();
        if newest > self.newest_base {
            self.newest_base = newest;
            self.gained_keys = now;
        }
    }

    /// Returns whether the load shows the last change of this sidecar's keys.
    fn last_move_shows(&self, now: Duration) -> bool {
        let directory = self.fleet.directory();
        let last_report_at = |target| directory.find(target)?.last_report_at();
        now >= self.gained_keys + SMOOTHING_TIME
            && self
                .settling
                .as_ref()
                .is_none_or(|settling| settling.shows(now, last_report_at))
    }

    /// Returns the keys to move to balance the load and why: shares for holders
    /// without keys, or else busy keys for less loaded owners. `None` if no move pays
    /// off.
    pub(super) fn parts_for_load(
        &self,
        map: &RangeMap,
        now: Duration,
    ) -> Option<(MoveCause, Vec<RangeTransfer>)> {
        let candidates = self.candidates(now);
        let sharded = self.sharded_services();
        let own = self.fleet.own();
        let reconciler = MapReconciler::new(own, map, &sharded, &candidates);
        let owned = map.owned_by(own.incarnation);
        let load = own_load(own.incarnation, &self.slots.gauge(), owned.len());
        let others = self.other_owners(map, now);
        let key_load = self.gate.key_load();
        if let Some(new) = reconciler.new_holders() {
            let shares = plan_shares(&load, &others, &new, &owned, &key_load);
            if !shares.is_empty() {
                log::info!(holders = new.targets.len(), givers = new.givers, rate = load.rate, share = shares[0].share; "ranges: shares keys with new holders");
                return Some((MoveCause::NewHolder, transfers_of(&shares)));
            }
        }
        let plan = plan_transfers(&load, &others, &owned, &key_load);
        if plan.transfers.is_empty() {
            return None;
        }
        let share: f32 = plan.transfers.iter().map(|part| part.share).sum();
        let keys: u32 = plan.transfers.iter().map(PlannedTransfer::key_count).sum();
        log::info!(load = plan.load, mean_load = plan.mean_load, capacity = load.capacity(load.slot_time), waiting = load.waiting, targets = plan.transfers.len(), share = share, keys = keys; "ranges: moves keys for load");
        Some((MoveCause::Load, transfers_of(&plan.transfers)))
    }

    /// Returns the load of the other live holders of this sidecar's service
    /// whose upstream takes requests and whose failure domain is not evacuated.
    pub(super) fn other_owners(&self, map: &RangeMap, now: Duration) -> Vec<OwnerLoad> {
        let interval = self.fleet.report_interval();
        let own = self.fleet.own();
        let counts = map.range_counts(&own.service);
        let directory = self.fleet.directory();
        directory
            .live(now, interval)
            .filter(|peer| peer.member.service == own.service && peer.accepts_requests())
            .filter(|peer| map.holder(peer.member.incarnation).is_some())
            .filter(|peer| !self.fleet.is_evacuated(&peer.member.domain))
            .map(|peer| {
                let ranges = counts.get(&peer.member.incarnation);
                reported_load(&peer.member, &peer.gauge, ranges.copied().unwrap_or(0))
            })
            .collect()
    }
}

fn own_load(own: Incarnation, gauge: &SlotGauge, ranges: usize) -> OwnerLoad {
    OwnerLoad {
        incarnation: own,
        ranges,
        slots: gauge.slots as f32,
        slot_time: gauge.service,
        rate: gauge.rate,
        waiting: gauge.waiting as f32,
        rate_limit: gauge.rate_limit.map(|limit| limit.per_second() as f32),
        slowed: gauge.pace.permille() >= SLOWED_PERMILLE,
    }
}

fn is_evacuated(upstream: Option<&LocalUpstream>) -> bool {
    upstream.is_some_and(|upstream| upstream.phase == UpstreamPhase::Evacuated)
}

fn reported_load(owner: &MemberRecord, gauge: &UpstreamGauge, ranges: usize) -> OwnerLoad {
    OwnerLoad {
        incarnation: owner.incarnation,
        ranges,
        slots: f32::from(gauge.slots),
        slot_time: Duration::from_micros(u64::from(gauge.service_micros)),
        rate: f32::from(gauge.rate),
        waiting: f32::from(gauge.waiting),
        rate_limit: gauge.rate_limit.map(|limit| limit.per_second() as f32),
        slowed: gauge.pace_permille >= SLOWED_PERMILLE,
    }
}

fn transfers_of(planned: &[PlannedTransfer]) -> Vec<RangeTransfer> {
    let transfers = planned.iter().map(|part| RangeTransfer {
        first: part.first,
        last: part.last,
        target: Some(part.target),
        // Set by `RangeMove` from the grants.
        fence_base: 0,
        handover: None,
    });
    transfers.collect()
}

fn takes_keys(upstream: Option<&LocalUpstream>) -> bool {
    upstream.is_some_and(|upstream| upstream.phase == UpstreamPhase::Ready)
}
