//! Which ranges this process owns, and which it gives away.
//!
//! One task holds the pure parts ([`crate::ranges`], [`super::duties`],
//! [`super::moves`]) and does their I/O: votes by datagram, grants and releases
//! at the upstream, changes of the map in the store. At most one change of the
//! map and one planned move are under way at a time. The request path reads a
//! copy of the holdings through [`RangeGate`].

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::PoisonError;
use std::time::Duration;

use arc_swap::ArcSwap;
use tokio::sync::Notify;
use tokio::sync::mpsc;
use tokio::sync::watch;

use super::duties::DutyView;
use super::fleet::FleetState;
use super::follow::MAP_KEY;
use super::metrics::SidecarMetrics;
use super::moves::MoveCause;
use super::moves::RangeMove;
use super::moves::ReleaseCall;
use super::settings::SidecarSettings;
use super::upstream::LocalRegistry;
use super::upstream::LocalUpstream;
use super::upstream::ReleaseVerdict;
use super::upstream::UpstreamPort;
use crate::admission::slot_queue::SlotQueue;
use crate::base::boot_clock::since_boot;
use crate::base::collections::FastMap;
use crate::base::collections::FastSet;
use crate::base::hash::pair_score;
use crate::base::ids::Incarnation;
use crate::base::ids::Offset;
use crate::base::timer::TimerService;
use crate::peers::directory::KnownPeer;
use crate::peers::message::PeerDatagram;
use crate::peers::message::UpstreamPhase;
use crate::ranges::RangeKey;
use crate::ranges::edit::HolderCandidate;
use crate::ranges::edit::MapEdit;
use crate::ranges::edit::RangeTransfer;
use crate::ranges::edit::divide_evenly;
use crate::ranges::heat::KeyHeat;
use crate::ranges::holdings::GrantVerdict;
use crate::ranges::holdings::KeyAdmission;
use crate::ranges::holdings::RangeGrant;
use crate::ranges::holdings::RangeHoldings;
use crate::ranges::lease::HolderLease;
use crate::ranges::lease::RENEW_INTERVAL;
use crate::ranges::lease::VOTER_COUNT;
use crate::ranges::lease::VOTER_LEASE;
use crate::ranges::lease::choose_voters;
use crate::ranges::lease::quorum_of;
use crate::ranges::map::RangeHolder;
use crate::ranges::map::RangeMap;
use crate::ranges::map::RangeVoter;
use crate::ranges::map::encode_map;
use crate::ranges::shed::OwnerPressure;
use crate::ranges::shed::plan_shed;
use crate::ranges::voter::VoterLedger;
use crate::store::StateStore;
use crate::store::StoreError;
use crate::store::StoreTopic;
use crate::transport::datagram::DatagramSocket;
use crate::transport::datagram::encode_datagram;

/// How often the keeper looks at what is due.
const STEP_INTERVAL: Duration = Duration::from_millis(50);

/// Events that may wait for the keeper.
pub const KEEPER_QUEUE: usize = 1024;

/// How long a process waits for its peers' first reports before it names
/// voters among fewer than it would like.
const MEETING_TIME: Duration = Duration::from_millis(600);

/// Wait before a change of the map whose answer was lost is tried again.
const RETRY_CHANGE: Duration = Duration::from_millis(200);

/// How long the writer of all changes has for a change before its owner writes
/// it itself, and after which it is asked again.
const WRITER_TIME: Duration = Duration::from_millis(150);

/// Changes that a writer collects into one record at most.
const MOST_COLLECTED: usize = 24;

/// A store that failed counts as away for so long: no move for load begins,
/// since its keys would be closed until it can be written.
const STORE_DOUBT: Duration = Duration::from_millis(1_200);

/// Time between two asks whether a holder has lapsed.
const ASK_INTERVAL: Duration = Duration::from_millis(150);

/// How often the load is compared with that of the other owners.
const SHED_INTERVAL: Duration = Duration::from_millis(250);

/// Least time between two moves for load: the first one has to show first.
const SHED_PAUSE: Duration = Duration::from_millis(800);

/// Each other owner adds so much to the pause, so that the map does not change
/// more often in a larger fleet.
const SHED_PAUSE_PER_OWNER: Duration = Duration::from_millis(40);

/// How often request counts by key are halved.
const DECAY_INTERVAL: Duration = Duration::from_millis(700);

/// Something happened that concerns ownership.
#[derive(Debug)]
pub enum KeeperEvent {
    /// A vote, or a question for one.
    Datagram(SocketAddr, PeerDatagram),
    /// The upstream answered a grant.
    Granted(RangeGrant, Duration, GrantVerdict),
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

/// What the request path asks about ranges. Cloning shares it.
#[derive(Debug, Clone, Default)]
pub struct RangeGate {
    holdings: Arc<ArcSwap<RangeHoldings>>,
    heat: Arc<Mutex<KeyHeat>>,
    changed: Arc<Notify>,
}

impl RangeGate {
    /// Tells whether a request for a key may be dispatched now.
    pub fn admit(&self, key: RangeKey) -> KeyAdmission {
        self.holdings.load().admit(key, since_boot())
    }

    /// Waits for the next change of the holdings.
    pub async fn changed(&self) {
        self.changed.notified().await;
    }

    /// Counts a request for a key.
    pub fn count(&self, key: RangeKey) {
        let mut heat = self.heat.lock().unwrap_or_else(PoisonError::into_inner);
        heat.count(key);
    }

    fn publish(&self, holdings: &RangeHoldings) {
        self.holdings.store(Arc::new(holdings.clone()));
        self.changed.notify_waiters();
    }
}

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
    holdings: RangeHoldings,
    #[builder(default)]
    ledger: VoterLedger,
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
    /// Offset at which a change of the voters may still take effect.
    #[builder(skip)]
    open_voters: Option<Offset>,
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
                if verdict == GrantVerdict::Gone
                    && let Some(life) = self.seen_life
                {
                    self.registry.note_refused(life);
                }
                if verdict != GrantVerdict::Granted {
                    log::warn!(first = grant.first, last = grant.last, fence = grant.fence, verdict:? = verdict; "ranges: a grant failed");
                }
                self.holdings.take_verdict(&grant, sent, verdict);
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
                        lease.take_promise(voter, term, sent);
                    } else {
                        log::warn!(voter = voter, term = term; "lease: a voter refused");
                        lease.take_refusal(voter, term);
                    }
                }
            }
            PeerDatagram::AskLapse {
                voter,
                holder,
                term,
                ..
            } if voter == own && self.ledger.refuse_lapsed(holder, term, now) => {
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

    fn take_written(&mut self, change: MapChange, result: Result<Offset, StoreError>) {
        let now = since_boot();
        match result {
            Ok(offset) => {
                log::info!(edit = change.edit.name(), base = change.base, offset = offset; "ranges: wrote the map");
                self.metrics.map_writes.inc();
                self.next_change = Some(now);
                self.fleet.offer_map(change.map, offset);
                self.fleet.reach_end(offset + 1);
                self.tell_change(change.base, offset, change.edit);
            }
            Err(error) => {
                log::info!(edit = change.edit.name(), at = change.at, error:% = error; "ranges: the map was not written");
                self.next_change = Some(now + RETRY_CHANGE);
                if error == StoreError::Conflict {
                    self.next_change = Some(now + Duration::from_millis(15));
                    self.fleet.nudge_fleet.notify_waiters();
                }
                let certain = !matches!(error, StoreError::Unknown(_));
                if certain && self.open_voters == Some(change.at) {
                    self.settle_voters();
                }
                if error != StoreError::Conflict {
                    self.store_failed = Some(now);
                }
            }
        }
    }

    /// Tells the others what this process changed, so that they need not read
    /// the store. A change too large for a datagram shows in the reports.
    fn tell_change(&self, base: Offset, at: Offset, edit: MapEdit) {
        let told = PeerDatagram::MapEdited { base, at, edit };
        if encode_datagram(&told).is_ok() {
            let addresses: Vec<SocketAddr> = {
                let directory = self.fleet.directory();
                directory.peers().map(|peer| peer.member.address).collect()
            };
            for address in addresses {
                self.socket.send(address, &told);
            }
        }
        self.fleet.report_now.notify_one();
    }

    /// The change of voters has not taken effect and never will.
    fn settle_voters(&mut self) {
        self.open_voters = None;
        if let Some(lease) = &mut self.lease {
            lease.unfreeze();
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
            self.holdings.begin_life();
            if let Some(planned) = &mut self.planned {
                planned.free_all();
            }
        }
        match upstream {
            Some(upstream) if upstream.ended => {
                self.holdings.end_life();
                if let Some(planned) = &mut self.planned {
                    planned.free_all();
                }
            }
            Some(upstream) if upstream.phase != UpstreamPhase::Absent => {
                self.holdings.set_present();
            }
            _ => self.holdings.set_absent(),
        }
    }

    fn follow_map(&mut self, now: Duration) {
        let view = self.fleet.map();
        let end = self.fleet.end().unwrap_or(0);
        let holder = view.map.holder(self.own()).cloned();
        if view.offset != self.seen_map {
            self.seen_map = view.offset;
            let owned = view.map.owned_by(self.own());
            self.holdings.follow(&owned);
            let keys: u32 = owned.iter().map(crate::ranges::map::KeyRange::span).sum();
            log::info!(offset = view.offset, ranges = owned.len(), keys = keys, holders = view.map.holders.len(); "ranges: follows the map");
            self.follow_term(holder.as_ref(), now);
            self.suspicions
                .retain(|suspect, _| view.map.holder(*suspect).is_some());
        }
        if self.open_voters.is_some_and(|at| end > at) {
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

    fn advance_move(&mut self, now: Duration) {
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
    fn settle_move(&mut self, now: Duration) {
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

    /// Asks voters of holders that have fallen silent whether they lapsed.
    fn ask_suspects(&mut self, now: Duration) {
        let map = self.fleet.map().map;
        let own = self.fleet.own().clone();
        let is_mate = |holder: &&RangeHolder| {
            holder.service == own.service && holder.incarnation != own.incarnation
        };
        for holder in map.holders.iter().filter(is_mate) {
            if self.fleet.is_live(holder.incarnation) {
                self.suspicions.remove(&holder.incarnation);
                continue;
            }
            if now.saturating_sub(self.started) < VOTER_LEASE {
                continue;
            }
            let suspicion = self.suspicions.entry(holder.incarnation).or_default();
            if suspicion.term != holder.term {
                *suspicion = LapseSuspicion {
                    term: holder.term,
                    ..LapseSuspicion::default()
                };
            }
            if now < suspicion.next_ask {
                continue;
            }
            suspicion.next_ask = now + ASK_INTERVAL;
            for voter in &holder.voters {
                if voter.incarnation == own.incarnation {
                    if self
                        .ledger
                        .refuse_lapsed(holder.incarnation, holder.term, now)
                    {
                        suspicion.refused.insert(voter.incarnation);
                    }
                    continue;
                }
                let ask = PeerDatagram::AskLapse {
                    asker: own.incarnation,
                    voter: voter.incarnation,
                    holder: holder.incarnation,
                    term: holder.term,
                };
                self.socket.send(voter.address, &ask);
            }
            let refused = holder
                .voters
                .iter()
                .filter(|voter| suspicion.refused.contains(&voter.incarnation))
                .count();
            if !holder.voters.is_empty() && refused >= quorum_of(holder.voters.len()) {
                suspicion.proven.get_or_insert(now);
            }
        }
    }

    fn change_map(&mut self, now: Duration) {
        let open = self.next_change.is_some_and(|next| now >= next);
        let Some(at) = self.fleet.end() else { return };
        if !open {
            return;
        }
        let view = self.fleet.map();
        let divided = self.divided();
        let candidates = self.candidates(now);
        let own = self.fleet.own().clone();
        let duties = DutyView {
            own: own.incarnation,
            service: &own.service,
            map: &view.map,
            divided: &divided,
            candidates: &candidates,
        };
        let due = self
            .due_transfers(&duties, now)
            .or_else(|| duties.adopt_candidates())
            .or_else(|| self.due_voters(&view.map, now))
            .or_else(|| self.due_expulsion(&duties, now))
            .or_else(|| self.due_assignment(&duties, now));
        let Some(edit) = due else { return };
        if let Some(map) = edit.apply(&view.map, at) {
            let change = MapChange {
                edit,
                base: view.offset,
                map,
                at,
            };
            self.write(change, now);
        }
    }

    fn write(&mut self, change: MapChange, now: Duration) {
        match &change.edit {
            MapEdit::NameVoters { .. } => {
                if let Some(lease) = &mut self.lease {
                    lease.freeze(now);
                }
                self.open_voters = Some(change.at);
            }
            MapEdit::Adopt { .. }
            | MapEdit::Assign { .. }
            | MapEdit::Batch(_)
            | MapEdit::Expel { .. }
            | MapEdit::Transfer { .. } => {}
        }
        self.next_change = None;
        let store = self.store.clone();
        let sender = self.sender.clone();
        tokio::spawn(async move {
            let encoded = encode_map(&change.map).into();
            let written = store
                .append(StoreTopic::Fleet, MAP_KEY, encoded, Some(change.at))
                .await;
            drop(sender.send(KeeperEvent::Written(change, written)).await);
        });
    }

    /// Returns the finished move of this process and those that others asked
    /// it to write.
    fn due_transfers(&mut self, duties: &DutyView<'_>, now: Duration) -> Option<MapEdit> {
        let mut edits: Vec<MapEdit> = self.collected.drain().map(|(_owner, edit)| edit).collect();
        edits.extend(self.due_transfer(duties, now));
        (!edits.is_empty()).then_some(MapEdit::Batch(edits))
    }

    /// Returns the finished move, if this process is to write it itself: it is
    /// the writer of all changes, or the writer has had its time. After that
    /// another one is asked, since this process may be cut off from the store.
    fn due_transfer(&mut self, duties: &DutyView<'_>, now: Duration) -> Option<MapEdit> {
        let planned = self.planned.as_ref()?;
        let edit = MapEdit::Transfer {
            service: planned.service.clone(),
            owner: self.own(),
            transfers: planned.transfers(now)?,
        };
        let mates = duties.mates();
        let writer = *mates.get(self.asks % mates.len().max(1))?;
        let waited = self.asked_writer.map(|asked| now.saturating_sub(asked));
        if writer == self.own() || waited.is_some_and(|waited| waited > WRITER_TIME) {
            self.asked_writer = None;
            self.asks += usize::from(writer == self.own());
            return Some(edit);
        }
        if waited.is_none() {
            self.asked_writer = Some(now);
            self.asks += 1;
            let address = self.fleet.directory().find(writer)?.member.address;
            let owner = self.own();
            self.socket.send(
                address,
                &PeerDatagram::AskWrite {
                    writer,
                    owner,
                    edit,
                },
            );
        }
        None
    }

    fn due_voters(&self, map: &RangeMap, now: Duration) -> Option<MapEdit> {
        let lease = self.lease.as_ref()?;
        if !lease.needs_voters(now) {
            return None;
        }
        let voters = self.choose_voters(self.own(), now);
        let holder = map.holder(self.own())?;
        // Naming the same voters again would change nothing but the term.
        let same = voters.iter().all(|voter| holder.voters.contains(voter))
            && voters.len() == holder.voters.len();
        let refused = lease
            .valid_until()
            .is_none_or(|until| now > until + VOTER_LEASE);
        if voters.is_empty() || (same && !refused) {
            return None;
        }
        Some(MapEdit::NameVoters {
            holder: self.own(),
            voters,
        })
    }

    fn due_expulsion(&self, duties: &DutyView<'_>, now: Duration) -> Option<MapEdit> {
        self.suspicions.iter().find_map(|(holder, suspicion)| {
            let noticed = now.saturating_sub(suspicion.proven?);
            duties.expel(*holder, suspicion.term, noticed)
        })
    }

    fn due_assignment(&mut self, duties: &DutyView<'_>, now: Duration) -> Option<MapEdit> {
        if !duties.has_unowned() || !duties.mates().contains(&duties.own) {
            self.unowned_since = None;
            return None;
        }
        let since = *self.unowned_since.get_or_insert(now);
        duties.assign_unowned(now.saturating_sub(since))
    }

    fn divided(&self) -> Vec<crate::base::ids::ServiceName> {
        let routes = self.fleet.routes();
        let services = routes
            .iter()
            .flat_map(|table| &table.configuration().services);
        services
            .filter(|policy| policy.divided)
            .map(|policy| policy.name.clone())
            .collect()
    }

    /// Returns the live processes, this one included, that may own ranges.
    fn candidates(&self, now: Duration) -> Vec<HolderCandidate> {
        let divided = self.divided();
        let own = self.fleet.own();
        let ready = self.registry.current().is_some_and(|upstream| {
            upstream.phase == UpstreamPhase::Ready && upstream.notice.service == own.service
        });
        let interval = self.fleet.report_interval();
        let (mut members, known, met): (Vec<_>, usize, usize) = {
            let directory = self.fleet.directory();
            let live = directory.live(now, interval).count();
            let ready_peers = directory
                .live(now, interval)
                .filter(|peer| peer.takes_requests());
            let members = ready_peers.map(|peer| peer.member.clone()).collect();
            (members, directory.peers().count(), live)
        };
        let has_met =
            met >= known.min(VOTER_COUNT) || now.saturating_sub(self.started) > MEETING_TIME;
        if ready && has_met && !*self.leaving.borrow() {
            members.push(own.clone());
        }
        members
            .into_iter()
            .filter(|member| divided.contains(&member.service))
            .map(|member| HolderCandidate {
                incarnation: member.incarnation,
                address: member.address,
                voters: self.choose_voters(member.incarnation, now),
                service: member.service,
                domain: member.domain,
            })
            .collect()
    }

    fn choose_voters(&self, holder: Incarnation, now: Duration) -> Vec<RangeVoter> {
        let interval = self.fleet.report_interval();
        let own = self.fleet.own();
        let directory = self.fleet.directory();
        let live = directory.live(now, interval).filter(|peer| !peer.leaving);
        let members = live
            .map(|peer: &KnownPeer| &peer.member)
            .chain(std::iter::once(own))
            .filter(|member| member.incarnation != holder);
        let candidates = members.map(|member| {
            let voter = RangeVoter {
                incarnation: member.incarnation,
                address: member.address,
            };
            (voter, &*member.domain)
        });
        choose_voters(candidates, |voter| pair_score(holder, voter))
    }

    fn plan_moves(&mut self, now: Duration) {
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

    fn doubts_store(&self, now: Duration) -> bool {
        let failed = self
            .store_failed
            .into_iter()
            .chain(self.fleet.store_failed());
        failed
            .max()
            .is_some_and(|failed| now < failed + STORE_DOUBT)
    }

    /// Divides everything that this process owns among the other owners.
    fn parts_of_leaver(&self, map: &RangeMap, now: Duration) -> Option<Vec<RangeTransfer>> {
        let mates: Vec<Incarnation> = self
            .mates(map, now)
            .iter()
            .map(|mate| mate.incarnation)
            .collect();
        let owned = map.owned_by(self.own());
        (!mates.is_empty()).then(|| divide_evenly(&owned, &mates))
    }

    fn parts_for_load(&self, map: &RangeMap, now: Duration) -> Option<Vec<RangeTransfer>> {
        let candidates = self.candidates(now);
        let divided = self.divided();
        let own = self.fleet.own();
        let duties = DutyView {
            own: own.incarnation,
            service: &own.service,
            map,
            divided: &divided,
            candidates: &candidates,
        };
        if let Some((part, newcomer)) = duties.share_for_newcomer() {
            return Some(vec![transfer_to(part.first, part.last, newcomer)]);
        }
        let gauge = self.slots.gauge();
        let pressure = OwnerPressure {
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
        let plan = plan_shed(pressure, &self.mates(map, now), &owned, &heat);
        let parts: Vec<RangeTransfer> = plan
            .iter()
            .map(|part| transfer_to(part.first, part.last, part.target))
            .collect();
        (!parts.is_empty()).then_some(parts)
    }

    /// Returns the other owners of this process's service that take keys.
    fn mates(&self, map: &RangeMap, now: Duration) -> Vec<OwnerPressure> {
        let interval = self.fleet.report_interval();
        let own = self.fleet.own();
        let directory = self.fleet.directory();
        directory
            .live(now, interval)
            .filter(|peer| peer.member.service == own.service && peer.takes_requests())
            .filter(|peer| map.holder(peer.member.incarnation).is_some())
            .map(|peer| OwnerPressure {
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
        base: 0,
        handover: None,
    }
}
