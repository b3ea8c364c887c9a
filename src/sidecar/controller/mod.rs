//! Acquires key ranges for the local upstream, keeps the lease on them, and
//! moves ranges to other owners.
//!
//! One task drives the pure state machines ([`crate::ranges`],
//! [`super::reconcile`], [`super::moves`]) and does their I/O: votes by datagram,
//! grants and releases at the upstream, changes of the map in the store. At
//! most one change of the map and one planned move are in progress at a time.
//! The request path reads a copy of the grants through [`RangeGate`].

mod candidates;
mod gate;
mod heartbeats;
mod lapsed_holders;
mod map_writes;
mod transfers;

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
use crate::ranges::settling::SettlingMove;
use crate::ranges::voter::VoterState;
use crate::sidecar::fleet::FleetState;
use crate::sidecar::metrics::SidecarMetrics;
use crate::sidecar::moves::RangeMove;
use crate::sidecar::moves::ReleaseRequest;
use crate::sidecar::settings::GrantDelivery;
use crate::sidecar::settings::SidecarSettings;
use crate::sidecar::upstream::LocalUpstreamRegistry;
use crate::sidecar::upstream::ReleaseOutcome;
use crate::sidecar::upstream::UpstreamClient;
use crate::store::StateStore;
use crate::store::StoreError;
use crate::transport::datagram::DatagramSocket;

use self::map_writes::WriteBackoff;

pub use self::gate::RangeGate;
pub use self::heartbeats::HeartbeatPort;
pub use self::heartbeats::PendingHeartbeat;

/// Maximum time between two steps; events trigger a step at once.
const STEP_INTERVAL: Duration = Duration::from_millis(50);

/// Capacity of the event queue, in events.
pub const EVENT_QUEUE_CAPACITY: usize = 1024;

/// Maximum number of other owners' changes that are batched into one record.
const MAX_BATCHED_EDITS: usize = 24;

/// Input of the range controller.
#[derive(Debug)]
pub enum ControllerEvent {
    /// A peer's datagram about leases or map writes, with the peer's address.
    Datagram(SocketAddr, PeerDatagram),
    /// A heartbeat of the upstream, which the registry has accepted.
    Heartbeat(PendingHeartbeat),
    /// The outcome of a grant, with the time at which the grant was sent.
    Granted(RangeGrant, Duration, GrantOutcome),
    /// The outcome of a release.
    Released(ReleaseRequest, ReleaseOutcome),
    /// The result of writing a change of the map: the offset of its record, or
    /// why the write failed.
    Written(MapChange, Result<Offset, StoreError>),
}

/// A change of the map that is being written to the store.
#[derive(Debug, Clone)]
pub struct MapChange {
    /// The change, as sent to peers once it is written.
    pub edit: MapEdit,
    /// Offset of the map that the change is based on.
    pub base: Offset,
    /// The map after the change.
    pub map: RangeMap,
    /// Offset at which the record is written; the write fails if the topic no
    /// longer ends there.
    pub record_offset: Offset,
}

/// A change of this holder's voters that may still take effect.
#[derive(Debug, Clone, Copy)]
struct PendingVoters {
    /// Offset at which the record is written.
    record_offset: Offset,
    /// Whether any write of it has an unknown outcome.
    uncertain: bool,
}

/// A silent holder that may have lapsed.
#[derive(Debug, Default)]
struct LapseSuspicion {
    /// Term of the holder that the voters are asked about.
    term: Offset,
    /// Voters that refuse the holder under this term.
    refused: FastSet<Incarnation>,
    /// When the voters are asked next.
    next_ask: Duration,
    /// When a quorum of voters was first seen to refuse the holder.
    proven: Option<Duration>,
}

/// Owns ranges on behalf of the local upstream.
#[derive(Debug)]
#[derive(bon::Builder)]
pub struct RangeController<S, U> {
    settings: Arc<SidecarSettings>,
    fleet: Arc<FleetState>,
    store: S,
    client: U,
    socket: DatagramSocket,
    registry: LocalUpstreamRegistry,
    slots: SlotQueue,
    gate: RangeGate,
    metrics: SidecarMetrics,
    events: mpsc::Receiver<ControllerEvent>,
    sender: mpsc::Sender<ControllerEvent>,
    leaving: watch::Receiver<bool>,
    #[builder(default)]
    grants: GrantTracker,
    #[builder(default = VoterState::new(settings.lease_times()))]
    voter_state: VoterState,
    /// This sidecar's lease; `None` while it is not a holder in the map.
    #[builder(skip)]
    lease: Option<HolderLease>,
    /// Offset of the map that the grants follow.
    #[builder(skip)]
    seen_map: Offset,
    /// The upstream process that the grants belong to.
    #[builder(skip)]
    seen_process: Option<u64>,
    /// Whether the lease was valid at the last step.
    #[builder(skip)]
    lease_valid: bool,
    /// When the next change of the map may be written; `None` while a write is
    /// in progress.
    #[builder(skip = Some(Duration::ZERO))]
    next_change: Option<Duration>,
    #[builder(skip)]
    pending_voters: Option<PendingVoters>,
    /// When the designated writer was asked to write the finished move.
    #[builder(skip)]
    asked_writer: Option<Duration>,
    /// How often a writer was asked for the finished move.
    #[builder(skip)]
    asks: usize,
    /// Changes that other owners asked this sidecar to write, by owner.
    #[builder(skip)]
    requested_edits: FastMap<Incarnation, MapEdit>,
    /// The end of the topic that the last conflicting write expected. No other write
    /// can succeed until the topic is known to go on.
    #[builder(skip)]
    conflicted_at: Option<Offset>,
    /// Waits after writes that failed since the last one that succeeded.
    #[builder(skip = WriteBackoff::default())]
    write_backoff: WriteBackoff,
    /// When a write to the store last failed, other than by a conflict.
    #[builder(skip)]
    write_failed: Option<Duration>,
    /// The planned move in progress.
    #[builder(skip)]
    planned: Option<RangeMove>,
    /// The last finished move.
    #[builder(skip)]
    settling: Option<SettlingMove>,
    /// The newest fence base of this sidecar's ranges, which grows when it gets keys.
    #[builder(skip)]
    newest_base: Option<Offset>,
    /// When this sidecar last got keys.
    #[builder(skip)]
    gained_keys: Duration,
    /// Heartbeats whose reports are not recorded yet.
    #[builder(skip)]
    arrived_heartbeats: Vec<PendingHeartbeat>,
    /// The heartbeat that waits for its answer.
    #[builder(skip)]
    pending_heartbeat: Option<PendingHeartbeat>,
    /// Silent holders of this sidecar's service.
    #[builder(skip)]
    suspicions: FastMap<Incarnation, LapseSuspicion>,
    /// Since when keys of this sidecar's service have had no owner.
    #[builder(skip)]
    unowned_since: Option<Duration>,
    /// Since when this sidecar has been a candidate without being a holder.
    #[builder(skip)]
    candidate_since: Option<Duration>,
    #[builder(skip)]
    next_renewal: Duration,
    /// When the next move may be planned.
    #[builder(skip)]
    next_plan: Duration,
    #[builder(skip)]
    next_decay: Duration,
    #[builder(skip = since_boot())]
    started: Duration,
}

impl<S: StateStore, U: UpstreamClient> RangeController<S, U> {
    /// Runs until the process ends: handles events and takes a step after each
    /// batch of them, after each change of the map or the upstream, and at
    /// short intervals otherwise.
    pub async fn run(mut self) {
        let mut ticks = TimerService.subscribe(STEP_INTERVAL);
        let mut maps = self.fleet.watch_map();
        let mut upstream = self.registry.subscribe();
        loop {
            tokio::select! {
                event = self.events.recv() => match event {
                    Some(event) => self.handle(event),
                    None => return,
                },
                _tick = ticks.next() => {}
                Ok(()) = maps.changed() => {}
                Ok(()) = upstream.changed() => {}
            }
            while let Ok(event) = self.events.try_recv() {
                self.handle(event);
            }
            self.step();
        }
    }

    fn own(&self) -> Incarnation {
        self.fleet.own().incarnation
    }

    fn handle(&mut self, event: ControllerEvent) {
        match event {
            ControllerEvent::Datagram(from, datagram) => self.handle_datagram(from, &datagram),
            ControllerEvent::Heartbeat(heartbeat) => self.arrived_heartbeats.push(heartbeat),
            ControllerEvent::Granted(grant, sent, outcome) => {
                if outcome == GrantOutcome::Gone
                    && let Some(process_number) = self.seen_process
                {
                    self.registry.record_refused_connection(process_number);
                }
                if outcome != GrantOutcome::Granted {
                    log::warn!(first = grant.first, last = grant.last, fence = grant.fence, verdict:? = outcome; "ranges: a grant failed");
                }
                self.grants.record_outcome(&grant, sent, outcome);
            }
            ControllerEvent::Released(release, outcome) => {
                log::info!(first = release.first, last = release.last, fence = release.fence, verdict:? = outcome; "ranges: released");
                if let Some(planned) = &mut self.planned {
                    planned.record_release(release, &outcome, &self.grants);
                }
            }
            ControllerEvent::Written(change, result) => self.handle_written(change, result),
        }
    }

    fn handle_datagram(&mut self, from: SocketAddr, datagram: &PeerDatagram) {
        let own = self.own();
        let now = since_boot();
        match *datagram {
            PeerDatagram::Renew {
                holder,
                voter,
                term,
                sent,
            } if voter == own => {
                let promised = self.voter_state.renew(holder, term, now);
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
            } if writer == own && self.requested_edits.len() < MAX_BATCHED_EDITS => {
                self.requested_edits.insert(owner, edit.clone());
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
                        log::warn!(voter = voter, term = term; "lease: a voter refused the renewal");
                        lease.record_refusal(voter, term);
                    }
                }
            }
            PeerDatagram::AskLapse {
                voter,
                holder,
                term,
                ..
            } if self.votes_for(voter, holder)
                && self.voter_state.refuse_if_lapsed(holder, term, now) =>
            {
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
            // Addressed to an earlier process at this address, or handled by
            // `receive_datagrams`.
            _ => {}
        }
    }

    /// Applies the current state of the upstream and the map, then does
    /// everything that is due.
    fn step(&mut self) {
        let now = since_boot();
        self.follow_upstream();
        self.follow_map(now);
        self.take_heartbeats();
        self.renew_lease(now);
        if self.settings.grant_delivery == GrantDelivery::Calls {
            self.send_grants(now);
        }
        self.advance_move(now);
        self.check_silent_holders(now);
        self.change_map(now);
        self.plan_moves(now);
        self.answer_heartbeat(now);
        self.gate.publish(&self.grants);
    }

    /// Updates the grants and the planned move when the upstream has
    /// restarted, ended, gone silent or come back.
    fn follow_upstream(&mut self) {
        let upstream = self.registry.current();
        let process_number = upstream.as_ref().map(|upstream| upstream.process_number);
        if process_number.is_some() && process_number != self.seen_process {
            self.seen_process = process_number;
            self.grants.upstream_started();
            if let Some(planned) = &mut self.planned {
                planned.mark_all_free();
            }
        }
        match upstream {
            Some(upstream) if upstream.ended => {
                self.grants.upstream_stopped();
                if let Some(planned) = &mut self.planned {
                    planned.mark_all_free();
                }
            }
            Some(upstream) if upstream.phase != UpstreamPhase::Absent => {
                self.grants.upstream_reachable();
            }
            _ => self.grants.upstream_unreachable(),
        }
    }

    /// Updates the grants, the lease and the suspicions when the map has
    /// changed.
    fn follow_map(&mut self, now: Duration) {
        let view = self.fleet.map();
        let end = self.fleet.fleet_topic_end().unwrap_or(0);
        let holder = view.map.holder(self.own()).cloned();
        if view.offset != self.seen_map {
            self.seen_map = view.offset;
            let owned = view.map.owned_by(self.own());
            self.grants.update_owned(&owned);
            let keys: u32 = owned
                .iter()
                .map(crate::ranges::map::KeyRange::key_count)
                .sum();
            self.metrics
                .owned_ranges
                .set(i64::try_from(owned.len()).unwrap_or(i64::MAX));
            log::info!(offset = view.offset, ranges = owned.len(), keys = keys, holders = view.map.holders.len(); "ranges: follows the map");
            self.follow_term(holder.as_ref(), now);
            self.suspicions
                .retain(|suspect, _| view.map.holder(*suspect).is_some());
        }
        // The topic has grown past this offset and the map shows no new term,
        // so the change was not written there and no longer can be. After the store
        // has come back from a copy, only the map that is written again shows that.
        if self
            .pending_voters
            .is_some_and(|pending| end > pending.record_offset)
            && self.fleet.unrestored_for().is_none()
        {
            self.end_pending_voters();
        }
    }

    /// Starts a new lease if the map names a new term of this holder, and drops
    /// the lease if it is no longer a holder.
    fn follow_term(&mut self, holder: Option<&RangeHolder>, now: Duration) {
        let known = self.lease.as_ref().map(HolderLease::term);
        match holder {
            Some(holder) if known != Some(holder.term) => {
                let lease = HolderLease::new(holder.term, &holder.voters, now);
                self.lease = Some(lease.with_times(self.settings.lease_times()));
                self.pending_voters = None;
                self.next_renewal = now;
            }
            Some(_) => {}
            None => self.lease = None,
        }
    }

    /// Publishes whether the lease is valid, and asks the voters to renew it
    /// every [`RENEW_INTERVAL`].
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

    /// Sends the grants that are due to the upstream. None outlasts the lease
    /// or [`SidecarSettings::max_grant_duration`].
    fn send_grants(&mut self, now: Duration) {
        let Some(until) = self.lease.as_ref().and_then(HolderLease::valid_until) else {
            return;
        };
        let Some(upstream) = self.registry.current() else {
            return;
        };
        let until = until.min(now + self.settings.max_grant_duration);
        for grant in self.grants.due_grants(now, until) {
            self.metrics.grants.inc();
            let sender = self.sender.clone();
            let granting = self.client.grant(upstream.announced.address, grant.clone());
            tokio::spawn(async move {
                let outcome = granting.await;
                drop(
                    sender
                        .send(ControllerEvent::Granted(grant, now, outcome))
                        .await,
                );
            });
        }
    }
}
