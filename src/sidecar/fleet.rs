//! The newest configuration, range map, orders to evacuate and members that this sidecar
//! knows.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::time::Duration;

use bytes::Bytes;
use serde::Deserialize;
use serde::Serialize;
use tokio::sync::Notify;
use tokio::sync::watch;

use super::quarantine::RequestQuarantine;
use crate::base::boot_clock::since_boot;
use crate::base::ids::Incarnation;
use crate::base::ids::Offset;
use crate::evacuation::orders::EvacuationChange;
use crate::evacuation::orders::EvacuationOrders;
use crate::evacuation::orders::EvacuationRecord;
use crate::evacuation::orders::EvacuationState;
use crate::peers::directory::PeerDirectory;
use crate::peers::message::KnownVersions;
use crate::peers::message::MemberRecord;
use crate::ranges::edit::MapEdit;
use crate::ranges::map::RangeMap;
use crate::routes::configuration::RouteConfiguration;
use crate::routes::matcher::RouteMatcher;
use crate::store::StorePage;
use crate::store::StoreTopic;
use crate::store::era::StoreEra;
use crate::store::era::era_of;

/// Minimum interval between two status reports of a sidecar.
const MIN_REPORT_INTERVAL: Duration = Duration::from_millis(400);

/// Report interval per known member. Above [`MIN_REPORT_INTERVAL`], the
/// interval grows with the fleet, so that the cost of reports per sidecar stays
/// about the same.
const REPORT_INTERVAL_PER_MEMBER: Duration = Duration::from_millis(12);

/// Number of sidecars that poll the operator's topic for the fleet: one, and a
/// second one for when the first is cut off from the store.
const WATCHER_COUNT: usize = 2;

/// Returns the interval between status reports of a sidecar that knows this number of
/// other members.
pub fn report_interval_of(members: usize) -> Duration {
    MIN_REPORT_INTERVAL.max(REPORT_INTERVAL_PER_MEMBER * members as u32)
}

/// A range map with the offset of its record.
#[derive(Debug, Clone, Default)]
pub struct MapView {
    /// The range map; empty if none was written yet.
    pub map: Arc<RangeMap>,
    /// Offset of the map's record in the fleet's topic; 0 if there is none. No
    /// map has offset 0, since a sidecar announces itself in the topic before
    /// it writes a map.
    pub offset: Offset,
}

/// An era of the store.
#[derive(Debug, Clone, Copy, Default)]
struct ObservedEra {
    era: StoreEra,
    /// When a read first showed it, by the clock of [`since_boot`].
    since: Duration,
}

/// State that a sidecar sends to a peer that is behind, such as one that cannot
/// read the store.
#[derive(Debug, Clone)]
#[derive(Serialize, Deserialize)]
pub struct FleetSnapshot {
    /// The configuration in force; `None` if the sender has none yet.
    pub configuration: Option<RouteConfiguration>,
    /// The newest range map that the sender knows; empty if it is not newer than that of
    /// the receiver.
    pub map: RangeMap,
    /// Offset of the map's record; 0 if it is left out.
    pub map_offset: Offset,
    /// The known members, including the sender; none if the receiver has a map.
    pub members: Vec<MemberRecord>,
    /// The orders to evacuate failure domains.
    pub evacuations: EvacuationOrders,
}

/// State of the fleet as this sidecar knows it. The configuration and the map
/// never go back to an older version while the process runs: older ones are
/// ignored.
#[derive(Debug)]
pub struct FleetState {
    own: MemberRecord,
    routes: watch::Sender<Option<Arc<RouteMatcher>>>,
    map: watch::Sender<MapView>,
    evacuations: watch::Sender<EvacuationState>,
    directory: Mutex<PeerDirectory>,
    /// Offset that the next record of the fleet's topic will get, as far as
    /// this sidecar has read.
    end: watch::Sender<Option<Offset>>,
    /// When a read of the store last failed.
    failed: watch::Sender<Option<Duration>>,
    /// The newest era of the store that a read has shown, and when it first did.
    era: watch::Sender<ObservedEra>,
    /// The newest era of the store that this sidecar or a peer has seen.
    newest_era: watch::Sender<StoreEra>,
    /// Notified to write this sidecar's member record to the store again.
    pub announce_request: Notify,
    /// Notified to read the operator's topic at once.
    pub operator_read_request: Notify,
    /// Notified to read the fleet's topic at once.
    pub fleet_read_request: Notify,
    /// Notified to fetch the state of a peer that knows more, at once.
    pub catch_up_request: Notify,
    /// Notified to offer the state to some peers at once, because this sidecar has
    /// caught up.
    pub offer_state: Notify,
    /// Notified to send a status report to all peers at once.
    pub report_now: Notify,
    /// Peers that may not know this sidecar and get a report at once.
    introductions: Mutex<Vec<SocketAddr>>,
    /// Notified when a peer is added to the introductions.
    pub introduce_now: Notify,
    /// Requests that crash upstreams.
    pub quarantine: RequestQuarantine,
}

impl FleetState {
    /// Creates the state of the sidecar `own`, with no configuration, map or
    /// peers.
    pub fn new(own: MemberRecord) -> Self {
        let directory = Mutex::new(PeerDirectory::new(own.incarnation));
        Self {
            own,
            routes: watch::channel(None).0,
            map: watch::channel(MapView::default()).0,
            evacuations: watch::channel(EvacuationState::default()).0,
            directory,
            end: watch::channel(None).0,
            failed: watch::channel(None).0,
            era: watch::channel(ObservedEra::default()).0,
            newest_era: watch::channel(StoreEra::default()).0,
            announce_request: Notify::new(),
            operator_read_request: Notify::new(),
            fleet_read_request: Notify::new(),
            catch_up_request: Notify::new(),
            offer_state: Notify::new(),
            report_now: Notify::new(),
            introductions: Mutex::default(),
            introduce_now: Notify::new(),
            quarantine: RequestQuarantine::default(),
        }
    }

    /// Returns the member record of this sidecar.
    pub fn own(&self) -> &MemberRecord {
        &self.own
    }

    /// Returns the routes in force; `None` before the first configuration.
    pub fn routes(&self) -> Option<Arc<RouteMatcher>> {
        self.routes.borrow().clone()
    }

    /// Subscribes to changes of the routes.
    pub fn watch_routes(&self) -> watch::Receiver<Option<Arc<RouteMatcher>>> {
        self.routes.subscribe()
    }

    /// Returns the newest known range map.
    pub fn map(&self) -> MapView {
        self.map.borrow().clone()
    }

    /// Subscribes to changes of the range map.
    pub fn watch_map(&self) -> watch::Receiver<MapView> {
        self.map.subscribe()
    }

    /// Returns the offset that the next record of the fleet's topic will get,
    /// as far as known; `None` before the topic was first read.
    pub fn fleet_topic_end(&self) -> Option<Offset> {
        *self.end.borrow()
    }

    /// Records that the fleet's topic is known up to `end`, exclusive; ignored
    /// unless `end` is higher than before.
    pub fn advance_end(&self, end: Offset) {
        self.end.send_if_modified(|known| {
            let grows = known.is_none_or(|known| end > known);
            if grows {
                *known = Some(end);
            }
            grows
        });
    }

    /// Records the era of the store that a read has shown. If the store has come back
    /// from a copy, the fleet's topic is read at once.
    pub fn observe_era(&self, era: StoreEra) {
        let is_later = self.era.send_if_modified(|known| {
            let is_later = era > known.era;
            if is_later {
                let since = since_boot();
                *known = ObservedEra { era, since };
            }
            is_later
        });
        if is_later {
            self.fleet_read_request.notify_one();
        }
        self.record_newest_era(era);
    }

    /// Records that this sidecar or a peer has seen the store in an era.
    pub fn record_newest_era(&self, era: StoreEra) {
        self.newest_era.send_if_modified(|known| {
            let is_later = era > *known;
            *known = era.max(*known);
            is_later
        });
    }

    /// Returns the newest era of the store that this sidecar or a peer has seen.
    pub fn newest_era(&self) -> StoreEra {
        *self.newest_era.borrow()
    }

    /// Subscribes to the newest era of the store that this sidecar or a peer has seen.
    pub fn watch_newest_era(&self) -> watch::Receiver<StoreEra> {
        self.newest_era.subscribe()
    }

    /// Returns the time since the store was first seen in its present era, if the
    /// newest known map was written in a former one: the store may have lost it.
    /// `None` if the map was written in the present era.
    pub fn unrestored_for(&self) -> Option<Duration> {
        let observed = *self.era.borrow();
        let written = self.map.borrow().offset;
        let is_outdated = written > 0 && era_of(written) < observed.era;
        is_outdated.then(|| since_boot().saturating_sub(observed.since))
    }

    /// Returns whether a live peer knows a range map.
    pub fn is_map_known_to_peers(&self) -> bool {
        let interval = self.report_interval();
        let directory = self.directory();
        directory
            .live(since_boot(), interval)
            .any(|peer| peer.map > 0)
    }

    /// Returns the number of live members that started before this sidecar.
    pub fn older_members(&self) -> usize {
        let interval = self.report_interval();
        let directory = self.directory();
        let live = directory.live(since_boot(), interval);
        live.filter(|peer| peer.member.incarnation < self.own.incarnation)
            .count()
    }

    /// Records that a read of the store failed now.
    pub fn record_store_failure(&self) {
        self.failed.send_replace(Some(since_boot()));
    }

    /// Returns when a read of the store last failed, by the clock of
    /// [`since_boot`]; `None` if none has failed.
    pub fn last_store_failure(&self) -> Option<Duration> {
        *self.failed.borrow()
    }

    /// Locks and returns the directory of the other members. Must not be held
    /// across an await.
    pub fn directory(&self) -> MutexGuard<'_, PeerDirectory> {
        self.directory
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns the notification that makes the reader of `topic` read at once.
    pub fn request_read(&self, topic: StoreTopic) -> &Notify {
        match topic {
            StoreTopic::Operator => &self.operator_read_request,
            StoreTopic::Fleet => &self.fleet_read_request,
        }
    }

    /// Returns the interval between status reports, for the current number of
    /// members.
    pub fn report_interval(&self) -> Duration {
        report_interval_of(self.directory().count())
    }

    /// Returns whether a peer has reported within the last few report
    /// intervals.
    pub fn is_live(&self, incarnation: Incarnation) -> bool {
        let interval = self.report_interval();
        self.directory()
            .is_live(incarnation, since_boot(), interval)
    }

    /// Returns whether this sidecar polls the operator's topic for the fleet:
    /// the oldest live members do.
    pub fn is_operator_watcher(&self) -> bool {
        let interval = self.report_interval();
        self.directory().is_among_oldest(
            self.own.incarnation,
            WATCHER_COUNT,
            since_boot(),
            interval,
        )
    }

    /// Puts a configuration in force if its version is higher than the current
    /// one; returns whether it was. `source` is where it came from, for the
    /// log.
    pub fn offer_configuration(&self, configuration: RouteConfiguration, source: &str) -> bool {
        let version = configuration.version;
        let newer = self.routes.send_if_modified(|known| {
            let current = known
                .as_ref()
                .map(|matcher| matcher.configuration().version);
            if current.is_some_and(|current| current >= version) {
                return false;
            }
            let matcher = RouteMatcher::new(Arc::new(configuration), rand::random());
            *known = Some(Arc::new(matcher));
            true
        });
        if newer {
            log::info!(version = version, source = source; "routes: put a configuration in force");
        }
        newer
    }

    /// Replaces the range map if `offset` is higher than that of the current
    /// one; returns whether it was.
    pub fn offer_map(&self, map: RangeMap, offset: Offset) -> bool {
        self.map.send_if_modified(|known| {
            let newer = offset > known.offset;
            if newer {
                *known = MapView {
                    map: Arc::new(map),
                    offset,
                };
            }
            newer
        })
    }

    /// Applies a map change that a peer wrote at offset `at`. If the change is
    /// based on a map that this sidecar does not have, it requests to catch up
    /// from a peer.
    pub fn apply_edit(&self, base: Offset, at: Offset, edit: &MapEdit) {
        let view = self.map();
        if view.offset >= at {
            return;
        }
        let edited = (view.offset == base).then(|| edit.apply(&view.map, at));
        match edited.flatten() {
            Some(map) => {
                self.offer_map(map, at);
                self.advance_end(at + 1);
            }
            None => self.catch_up_request.notify_one(),
        }
    }

    /// Returns whether a failure domain is to be evacuated.
    pub fn is_evacuated(&self, domain: &str) -> bool {
        self.evacuations.borrow().is_evacuated(domain)
    }

    /// Subscribes to changes of the evacuated failure domains.
    pub fn watch_evacuations(&self) -> watch::Receiver<EvacuationState> {
        self.evacuations.subscribe()
    }

    /// Applies the orders to evacuate failure domains in a page of the operator's
    /// topic, which has the newest records of all keys if it `is_whole`.
    pub fn apply_orders(&self, page: &StorePage, is_whole: bool) {
        let records = page.records.iter().filter_map(EvacuationRecord::decode);
        let records: Vec<EvacuationRecord> = records.collect();
        self.change_evacuations("store", |state, now| {
            if is_whole {
                state.apply_whole(&records, page.next, now)
            } else {
                state.apply_news(&records, page.next, now)
            }
        });
    }

    /// Ends evacuations that the store has lost and the operator has not ordered again.
    pub fn expire_evacuations(&self) {
        self.change_evacuations("not ordered again", EvacuationState::expire);
    }

    fn change_evacuations(
        &self,
        source: &str,
        change: impl FnOnce(&mut EvacuationState, Duration) -> EvacuationChange,
    ) {
        let mut changed = EvacuationChange::default();
        self.evacuations.send_if_modified(|state| {
            let was_known = state.is_known();
            changed = change(state, since_boot());
            !changed.is_empty() || was_known != state.is_known()
        });
        if changed.is_empty() {
            return;
        }
        let state = self.evacuations.borrow().clone();
        for domain in &changed.begun {
            log::info!(domain = &**domain, offset = state.offset_of(domain), source = source; "evacuation: begins");
        }
        for (domain, lasted) in &changed.ended {
            log::info!(domain = &**domain, offset = state.end(), source = source, lasted_ms = lasted.as_millis() as u64; "evacuation: ends");
        }
        self.offer_state.notify_one();
    }

    /// Returns the versions of the shared state that this sidecar knows.
    pub fn versions(&self) -> KnownVersions {
        KnownVersions {
            configuration: self.configuration_version(),
            map: self.map.borrow().offset,
            evacuations: self.evacuations.borrow().end(),
        }
    }

    /// Sends a report with this sidecar's member record to the peer at `address`
    /// at once, ahead of those to all peers.
    ///
    /// When a whole fleet starts, every member is new to every other one. Reports to
    /// all peers for each of them would grow with the cube of the fleet.
    pub fn introduce_to(&self, address: SocketAddr) {
        let mut introductions = self.introductions();
        if !introductions.contains(&address) {
            introductions.push(address);
        }
        drop(introductions);
        self.introduce_now.notify_one();
    }

    /// Removes and returns the peers that get a report at once.
    pub fn take_introductions(&self) -> Vec<SocketAddr> {
        std::mem::take(&mut *self.introductions())
    }

    fn introductions(&self) -> MutexGuard<'_, Vec<SocketAddr>> {
        self.introductions
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns the version of the configuration in force; 0 if there is none.
    pub fn configuration_version(&self) -> u64 {
        let routes = self.routes.borrow();
        routes
            .as_ref()
            .map_or(0, |matcher| matcher.configuration().version)
    }

    /// Encodes this state as a [`FleetSnapshot`] for a peer whose range map has the offset
    /// `newer_than`; `None` if encoding fails. The map is left out unless it is newer, and
    /// the members if the peer has a map, as it got their records with its first one.
    pub fn snapshot(&self, newer_than: Offset) -> Option<Bytes> {
        let view = self.map();
        let view = if view.offset > newer_than {
            view
        } else {
            MapView::default()
        };
        let members = if newer_than == 0 {
            self.member_records()
        } else {
            Vec::new()
        };
        let snapshot = FleetSnapshot {
            configuration: self
                .routes()
                .map(|matcher| RouteConfiguration::clone(matcher.configuration())),
            map: RangeMap::clone(&view.map),
            map_offset: view.offset,
            members,
            evacuations: self.evacuations.borrow().orders().clone(),
        };
        match postcard::to_stdvec(&snapshot) {
            Ok(bytes) => Some(bytes.into()),
            Err(error) => {
                log::error!("fleet: cannot encode a snapshot: {error}");
                None
            }
        }
    }

    /// Returns the records of all known members and of this sidecar.
    fn member_records(&self) -> Vec<MemberRecord> {
        let directory = self.directory();
        let others = directory.peers().map(|peer| peer.member.clone());
        others.chain([self.own.clone()]).collect()
    }

    /// Merges an encoded [`FleetSnapshot`] from a peer; parts that are older
    /// than what is known here are ignored.
    ///
    /// # Errors
    ///
    /// Fails if the bytes cannot be decoded as a snapshot.
    pub fn install(&self, encoded: &[u8]) -> Result<(), postcard::Error> {
        let snapshot: FleetSnapshot = postcard::from_bytes(encoded)?;
        // Before the configuration, with which this sidecar begins to serve.
        self.change_evacuations("peer", |state, now| state.merge(&snapshot.evacuations, now));
        if let Some(configuration) = snapshot.configuration {
            self.offer_configuration(configuration, "peer");
        }
        if snapshot.map_offset > 0 {
            self.offer_map(snapshot.map, snapshot.map_offset);
            self.advance_end(snapshot.map_offset + 1);
        }
        let mut directory = self.directory();
        for member in snapshot.members {
            directory.record_member(member);
        }
        Ok(())
    }
}
