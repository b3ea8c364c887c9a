//! Which ranges this process owns, and which it gives away.
//!
//! One task holds the pure parts ([`crate::ranges`], [`super::duties`],
//! [`super::moves`]) and does their I/O: votes by datagram, grants and releases
//! at the upstream, changes of the map in the store. At most one change of the
//! map and one planned move are under way at a time. The request path reads a
//! copy of the holdings through [`RangeGate`].

mod changes;
mod gate;
mod giving;
mod sight;
mod suspects;

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use tokio::sync::mpsc;
use tokio::sync::watch;

use crate::admission::slot_queue::SlotQueue;
use crate::base::boot_clock::since_boot;
use crate::base::collections::FastMap;
use crate::base::collections::FastSet;
use crate::base::ids::Incarnation;
use crate::base::ids::Offset;
use crate::base::timer::TimerService;
use crate::peers::message::PeerDatagram;
use crate::peers::message::UpstreamPhase;
use crate::ranges::edit::MapEdit;
use crate::ranges::grants::GrantOutcome;
use crate::ranges::grants::GrantTracker;
use crate::ranges::grants::RangeGrant;
use crate::ranges::lease::HolderLease;
use crate::ranges::lease::RENEW_INTERVAL;
use crate::ranges::map::RangeHolder;
use crate::ranges::map::RangeMap;
use crate::ranges::voter::VoterState;
use crate::sidecar::fleet::FleetState;
use crate::sidecar::metrics::SidecarMetrics;
use crate::sidecar::moves::RangeMove;
use crate::sidecar::moves::ReleaseCall;
use crate::sidecar::settings::SidecarSettings;
use crate::sidecar::upstream::LocalRegistry;
use crate::sidecar::upstream::ReleaseVerdict;
use crate::sidecar::upstream::UpstreamPort;
use crate::store::StateStore;
use crate::store::StoreError;
use crate::transport::datagram::DatagramSocket;

pub use self::gate::RangeGate;

/// How often the keeper looks at what is due.
const STEP_INTERVAL: Duration = Duration::from_millis(50);

/// Events that may wait for the keeper.
pub const KEEPER_QUEUE: usize = 1024;

/// Changes that a writer collects into one record at most.
const MOST_COLLECTED: usize = 24;

/// Something happened that concerns ownership.
#[derive(Debug)]
pub enum KeeperEvent {
    /// A vote, or a question for one.
    Datagram(SocketAddr, PeerDatagram),
    /// The upstream answered a grant.
    Granted(RangeGrant, Duration, GrantOutcome),
    /// The upstream answered a release.
    Released(ReleaseCall, ReleaseVerdict),
    /// The store answered a change of the map.
    Written(MapChange, Result<Offset, StoreError>),
}

/// A change of the map on its way to the store.
#[derive(Debug, Clone)]
pub struct MapChange {
    /// The change.
    pub edit: MapEdit,
    /// Offset of the map that is changed.
    pub base: Offset,
    /// The changed map.
    pub map: RangeMap,
    /// The offset that its record will have.
    pub at: Offset,
}

/// A change of this holder's voters that may still take effect.
#[derive(Debug, Clone, Copy)]
struct OpenVoters {
    /// The offset that its record would have.
    at: Offset,
    /// Whether a write of it went without a clear answer.
    uncertain: bool,
}

/// A holder that has fallen silent, and what its voters say of it.
#[derive(Debug, Default)]
struct LapseSuspicion {
    term: Offset,
    refused: FastSet<Incarnation>,
    next_ask: Duration,
    proven: Option<Duration>,
}

/// Owns ranges on behalf of the upstream beside this process.
#[derive(Debug)]
#[derive(bon::Builder)]
pub struct RangeKeeper<S, U> {
    settings: Arc<SidecarSettings>,
    fleet: Arc<FleetState>,
    store: S,
    port: U,
    socket: DatagramSocket,
    registry: LocalRegistry,
    slots: SlotQueue,
    gate: RangeGate,
    metrics: SidecarMetrics,
    events: mpsc::Receiver<KeeperEvent>,
    sender: mpsc::Sender<KeeperEvent>,
    leaving: watch::Receiver<bool>,
    #[builder(default)]
    holdings: GrantTracker,
    #[builder(default)]
    ledger: VoterState,
    #[builder(skip)]
    lease: Option<HolderLease>,
    #[builder(skip)]
    seen_map: Offset,
    #[builder(skip)]
    seen_life: Option<u64>,
    #[builder(skip)]
    lease_valid: bool,
    /// Until when no further change of the map is written; none while one is
    /// under way.
    #[builder(skip = Some(Duration::ZERO))]
    next_change: Option<Duration>,
    /// A change of the voters that may still take effect.
    #[builder(skip)]
    open_voters: Option<OpenVoters>,
    /// When the writer of all changes was asked for the finished move.
    #[builder(skip)]
    asked_writer: Option<Duration>,
    /// How often a writer was asked for the finished move.
    #[builder(skip)]
    asks: usize,
    /// Changes that others asked this process to write, by owner.
    #[builder(skip)]
    collected: FastMap<Incarnation, MapEdit>,
    /// When the store last failed.
    #[builder(skip)]
    store_failed: Option<Duration>,
    #[builder(skip)]
    planned: Option<RangeMove>,
    #[builder(skip)]
    suspicions: FastMap<Incarnation, LapseSuspicion>,
    #[builder(skip)]
    unowned_since: Option<Duration>,
    #[builder(skip)]
    next_renewal: Duration,
    #[builder(skip)]
    next_shed: Duration,
    #[builder(skip)]
    next_decay: Duration,
    #[builder(skip = since_boot())]
    started: Duration,
}

impl<S: StateStore, U: UpstreamPort> RangeKeeper<S, U> {
    /// Keeps ranges until the process ends.
    pub async fn run(mut self) {
        let mut ticks = TimerService.subscribe(STEP_INTERVAL);
        let mut maps = self.fleet.watch_map();
        let mut upstream = self.registry.subscribe();
        loop {
            tokio::select! {
                event = self.events.recv() => match event {
                    Some(event) => self.take(event),
                    None => return,
                },
                _tick = ticks.next() => {}
                Ok(()) = maps.changed() => {}
                Ok(()) = upstream.changed() => {}
            }
            while let Ok(event) = self.events.try_recv() {
                self.take(event);
            }
            self.step();
        }
    }

    fn own(&self) -> Incarnation {
        self.fleet.own().incarnation
    }

    fn take(&mut self, event: KeeperEvent) {
        match event {
            KeeperEvent::Datagram(from, datagram) => self.take_datagram(from, &datagram),
            KeeperEvent::Granted(grant, sent, verdict) => {
                if verdict == GrantOutcome::Gone
                    && let Some(life) = self.seen_life
                {
                    self.registry.note_refused(life);
                }
                if verdict != GrantOutcome::Granted {
                    log::warn!(first = grant.first, last = grant.last, fence = grant.fence, verdict:? = verdict; "ranges: a grant failed");
                }
                self.holdings.record_outcome(&grant, sent, verdict);
            }
            KeeperEvent::Released(call, verdict) => {
                log::info!(first = call.first, last = call.last, fence = call.fence, verdict:? = verdict; "ranges: released");
                if let Some(planned) = &mut self.planned {
                    planned.take_release(call, &verdict, &self.holdings);
                }
            }
            KeeperEvent::Written(change, result) => self.take_written(change, result),
        }
    }

    fn take_datagram(&mut self, from: SocketAddr, datagram: &PeerDatagram) {
        let own = self.own();
        let now = since_boot();
        match *datagram {
            PeerDatagram::Renew {
                holder,
                voter,
                term,
                sent,
            } if voter == own => {
                let promised = self.ledger.renew(holder, term, now);
                let vote = PeerDatagram::Vote {
                    voter,
                    holder,
                    term,
                    sent,
                    promised,
                };
                self.socket.send(from, &vote);
            }
            PeerDatagram::AskWrite {
                writer,
                owner,
                ref edit,
            } if writer == own && self.collected.len() < MOST_COLLECTED => {
                self.collected.insert(owner, edit.clone());
            }
            PeerDatagram::Vote {
                voter,
                holder,
                term,
                sent,
                promised,
            } if holder == own => {
                if let Some(lease) = &mut self.lease {
                    if promised {
                        lease.record_promise(voter, term, sent);
                    } else {
                        log::warn!(voter = voter, term = term; "lease: a voter refused");
                        lease.record_refusal(voter, term);
                    }
                }
            }
            PeerDatagram::AskLapse {
                voter,
                holder,
                term,
                ..
            } if voter == own && self.ledger.refuse_if_lapsed(holder, term, now) => {
                self.socket.send(
                    from,
                    &PeerDatagram::Lapsed {
                        voter,
                        holder,
                        term,
                    },
                );
            }
            PeerDatagram::Lapsed {
                voter,
                holder,
                term,
            } => {
                if let Some(suspicion) = self.suspicions.get_mut(&holder)
                    && suspicion.term == term
                {
                    suspicion.refused.insert(voter);
                }
            }
            // For an earlier process at this address, or taken elsewhere.
            _ => {}
        }
    }

    fn step(&mut self) {
        let now = since_boot();
        self.follow_upstream();
        self.follow_map(now);
        self.renew_lease(now);
        self.send_grants(now);
        self.advance_move(now);
        self.ask_suspects(now);
        self.change_map(now);
        self.plan_moves(now);
        self.gate.publish(&self.holdings);
    }

    fn follow_upstream(&mut self) {
        let upstream = self.registry.current();
        let life = upstream.as_ref().map(|upstream| upstream.life);
        if life.is_some() && life != self.seen_life {
            self.seen_life = life;
            self.holdings.upstream_started();
            if let Some(planned) = &mut self.planned {
                planned.free_all();
            }
        }
        match upstream {
            Some(upstream) if upstream.ended => {
                self.holdings.upstream_stopped();
                if let Some(planned) = &mut self.planned {
                    planned.free_all();
                }
            }
            Some(upstream) if upstream.phase != UpstreamPhase::Absent => {
                self.holdings.upstream_reachable();
            }
            _ => self.holdings.upstream_unreachable(),
        }
    }

    fn follow_map(&mut self, now: Duration) {
        let view = self.fleet.map();
        let end = self.fleet.end().unwrap_or(0);
        let holder = view.map.holder(self.own()).cloned();
        if view.offset != self.seen_map {
            self.seen_map = view.offset;
            let owned = view.map.owned_by(self.own());
            self.holdings.update_owned(&owned);
            let keys: u32 = owned
                .iter()
                .map(crate::ranges::map::KeyRange::key_count)
                .sum();
            log::info!(offset = view.offset, ranges = owned.len(), keys = keys, holders = view.map.holders.len(); "ranges: follows the map");
            self.follow_term(holder.as_ref(), now);
            self.suspicions
                .retain(|suspect, _| view.map.holder(*suspect).is_some());
        }
        if self.open_voters.is_some_and(|open| end > open.at) {
            self.settle_voters();
        }
    }

    fn follow_term(&mut self, holder: Option<&RangeHolder>, now: Duration) {
        let known = self.lease.as_ref().map(HolderLease::term);
        match holder {
            Some(holder) if known != Some(holder.term) => {
                self.lease = Some(HolderLease::new(holder.term, &holder.voters, now));
                self.open_voters = None;
                self.next_renewal = now;
            }
            Some(_) => {}
            None => self.lease = None,
        }
    }

    fn renew_lease(&mut self, now: Duration) {
        let valid = self
            .lease
            .as_ref()
            .and_then(HolderLease::valid_until)
            .is_some_and(|until| now < until);
        if valid != self.lease_valid {
            self.lease_valid = valid;
            self.metrics.lease_valid.set(i64::from(valid));
            let term = self.lease.as_ref().map(HolderLease::term);
            log::info!(valid = valid, term = term; "lease: changed");
        }
        let Some(lease) = &self.lease else { return };
        if now < self.next_renewal {
            return;
        }
        self.next_renewal = now + RENEW_INTERVAL;
        let map = self.fleet.map().map;
        let Some(holder) = map.holder(self.own()) else {
            return;
        };
        for voter in &holder.voters {
            let renew = PeerDatagram::Renew {
                holder: self.own(),
                voter: voter.incarnation,
                term: lease.term(),
                sent: now,
            };
            self.socket.send(voter.address, &renew);
        }
    }

    fn send_grants(&mut self, now: Duration) {
        let Some(until) = self.lease.as_ref().and_then(HolderLease::valid_until) else {
            return;
        };
        let Some(upstream) = self.registry.current() else {
            return;
        };
        let until = until.min(now + self.settings.longest_hold);
        for grant in self.holdings.due_grants(now, until) {
            self.metrics.grants.inc();
            let sender = self.sender.clone();
            let granting = self.port.grant(upstream.notice.address, grant.clone());
            tokio::spawn(async move {
                let verdict = granting.await;
                drop(sender.send(KeeperEvent::Granted(grant, now, verdict)).await);
            });
        }
    }
}
