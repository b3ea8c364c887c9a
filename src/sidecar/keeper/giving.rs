//! Planned moves: what this process gives away, to whom, and when.

use std::sync::PoisonError;
use std::time::Duration;

use super::KeeperEvent;
use super::RangeKeeper;
use crate::base::ids::Incarnation;
use crate::peers::message::UpstreamPhase;
use crate::ranges::RangeKey;
use crate::ranges::edit::RangeTransfer;
use crate::ranges::edit::divide_evenly;
use crate::ranges::map::RangeMap;
use crate::ranges::rebalance::OwnerUtilization;
use crate::ranges::rebalance::plan_transfers;
use crate::sidecar::duties::DutyView;
use crate::sidecar::moves::MoveCause;
use crate::sidecar::moves::RangeMove;
use crate::sidecar::upstream::LocalUpstream;
use crate::sidecar::upstream::UpstreamPort;
use crate::store::StateStore;

/// A store that failed counts as away for so long: no move for load begins,
/// since its keys would be closed until it can be written.
const STORE_DOUBT: Duration = Duration::from_millis(1_200);

/// How often the load is compared with that of the other owners.
const SHED_INTERVAL: Duration = Duration::from_millis(250);

/// Least time between two moves for load: the first one has to show first.
const SHED_PAUSE: Duration = Duration::from_millis(800);

/// Each other owner adds so much to the pause, so that the map does not change
/// more often in a larger fleet.
const SHED_PAUSE_PER_OWNER: Duration = Duration::from_millis(40);

/// How often request counts by key are halved.
const DECAY_INTERVAL: Duration = Duration::from_millis(700);

impl<S: StateStore, U: UpstreamPort> RangeKeeper<S, U> {
    pub(super) fn advance_move(&mut self, now: Duration) {
        let upstream = self.registry.current();
        let Some(planned) = &mut self.planned else {
            return;
        };
        let present = upstream
            .as_ref()
            .is_some_and(|upstream| upstream.phase != UpstreamPhase::Absent);
        let calls = planned.due_releases(&self.holdings, present);
        for call in calls {
            let Some(upstream) = &upstream else { return };
            let sender = self.sender.clone();
            let address = upstream.notice.address;
            let releasing = self
                .port
                .release(address, call.first, call.last, call.fence);
            tokio::spawn(async move {
                let verdict = releasing.await;
                drop(sender.send(KeeperEvent::Released(call, verdict)).await);
            });
        }
        self.settle_move(now);
    }

    /// Ends a move that the map shows.
    pub(super) fn settle_move(&mut self, now: Duration) {
        let Some(planned) = &self.planned else { return };
        let Some(transfers) = planned.transfers(now) else {
            return;
        };
        let map = self.fleet.map().map;
        let own = Some(self.own());
        let owned = |part: &RangeTransfer| map.owner(&planned.service, part.first) == own;
        if !transfers.iter().any(owned) {
            log::info!(cause:? = planned.cause, took_ms = (now.saturating_sub(planned.started)).as_millis() as u64; "ranges: moved");
            self.planned = None;
            self.asked_writer = None;
            self.asks = 0;
        }
    }

    pub(super) fn plan_moves(&mut self, now: Duration) {
        if now >= self.next_decay {
            self.next_decay = now + DECAY_INTERVAL;
            self.gate
                .heat
                .lock()
                .unwrap_or_else(PoisonError::into_inner)
                .decay();
        }
        if self.planned.is_some() || now < self.next_shed {
            return;
        }
        self.next_shed = now + SHED_INTERVAL;
        let view = self.fleet.map();
        if view.map.holder(self.own()).is_none() || view.map.owned_by(self.own()).is_empty() {
            return;
        }
        let upstream = self.registry.current();
        let parts = if *self.leaving.borrow() || !takes_keys(upstream.as_ref()) {
            self.parts_of_leaver(&view.map, now)
                .map(|parts| (MoveCause::Leave, parts))
        } else {
            self.parts_for_load(&view.map, now)
                .filter(|_parts| !self.doubts_store(now))
                .map(|parts| (MoveCause::Load, parts))
        };
        if let Some((cause, parts)) = parts {
            log::info!(cause:? = cause, parts = parts.len(), first = parts[0].first, last = parts[0].last, target = parts[0].target; "ranges: begins a move");
            let service = self.fleet.own().service.clone();
            self.planned = Some(RangeMove::begin(
                service,
                cause,
                &parts,
                &mut self.holdings,
                now,
            ));
            let owners = self.mates(&view.map, now).len() as u32;
            self.next_shed = now + SHED_PAUSE + SHED_PAUSE_PER_OWNER * owners;
            self.advance_move(now);
        }
    }

    pub(super) fn doubts_store(&self, now: Duration) -> bool {
        let failed = self
            .store_failed
            .into_iter()
            .chain(self.fleet.store_failed());
        failed
            .max()
            .is_some_and(|failed| now < failed + STORE_DOUBT)
    }

    /// Divides everything that this process owns among the other owners.
    pub(super) fn parts_of_leaver(
        &self,
        map: &RangeMap,
        now: Duration,
    ) -> Option<Vec<RangeTransfer>> {
        let mates: Vec<Incarnation> = self
            .mates(map, now)
            .iter()
            .map(|mate| mate.incarnation)
            .collect();
        let owned = map.owned_by(self.own());
        (!mates.is_empty()).then(|| divide_evenly(&owned, &mates))
    }

    pub(super) fn parts_for_load(
        &self,
        map: &RangeMap,
        now: Duration,
    ) -> Option<Vec<RangeTransfer>> {
        let candidates = self.candidates(now);
        let divided = self.divided();
        let own = self.fleet.own();
        let duties = DutyView::new(own, map, &divided, &candidates);
        if let Some((part, newcomer)) = duties.share_for_newcomer() {
            return Some(vec![transfer_to(part.first, part.last, newcomer)]);
        }
        let gauge = self.slots.gauge();
        let pressure = OwnerUtilization {
            incarnation: own.incarnation,
            utilization: gauge.utilization,
            slots: gauge.slots as f32,
            rate: gauge.rate,
        };
        let heat = self
            .gate
            .heat
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        let owned = map.owned_by(own.incarnation);
        let plan = plan_transfers(pressure, &self.mates(map, now), &owned, &heat);
        let parts: Vec<RangeTransfer> = plan
            .iter()
            .map(|part| transfer_to(part.first, part.last, part.target))
            .collect();
        (!parts.is_empty()).then_some(parts)
    }

    /// Returns the other owners of this process's service that take keys.
    pub(super) fn mates(&self, map: &RangeMap, now: Duration) -> Vec<OwnerUtilization> {
        let interval = self.fleet.report_interval();
        let own = self.fleet.own();
        let directory = self.fleet.directory();
        directory
            .live(now, interval)
            .filter(|peer| peer.member.service == own.service && peer.accepts_requests())
            .filter(|peer| map.holder(peer.member.incarnation).is_some())
            .map(|peer| OwnerUtilization {
                incarnation: peer.member.incarnation,
                utilization: f32::from(peer.gauge.utilization_permille) / 1000.0,
                slots: f32::from(peer.gauge.slots),
                rate: f32::from(peer.gauge.rate),
            })
            .collect()
    }
}

fn takes_keys(upstream: Option<&LocalUpstream>) -> bool {
    upstream.is_some_and(|upstream| upstream.phase == UpstreamPhase::Ready)
}

fn transfer_to(first: RangeKey, last: RangeKey, target: Incarnation) -> RangeTransfer {
    RangeTransfer {
        first,
        last,
        target: Some(target),
        // Filled in by the move, from what the upstream holds.
        fence_base: 0,
        handover: None,
    }
}
