//! The configuration, the range map and the members, as this process knows
//! them.

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

use crate::base::boot_clock::since_boot;
use crate::base::ids::Incarnation;
use crate::base::ids::Offset;
use crate::peers::directory::PeerDirectory;
use crate::peers::message::MemberRecord;
use crate::ranges::edit::MapEdit;
use crate::ranges::map::RangeMap;
use crate::routes::configuration::RouteConfiguration;
use crate::routes::matcher::RouteMatcher;
use crate::store::StoreTopic;

/// Shortest time between two reports of a process.
const REPORT_INTERVAL: Duration = Duration::from_millis(400);

/// Each known member adds so much to the time between reports, so that their
/// cost stays about the same in a larger fleet.
const REPORT_PER_MEMBER: Duration = Duration::from_millis(12);

/// Processes that watch the operator's records for the fleet: one, and one more
/// that has the news while the first is cut off from the store.
const WATCHERS: usize = 2;

/// The newest range map that is known.
#[derive(Debug, Clone, Default)]
pub struct MapView {
    /// The map.
    pub map: Arc<RangeMap>,
    /// Offset of its record; 0 for none, since a process announces itself in
    /// the topic before it writes a map.
    pub offset: Offset,
}

/// What one process tells another that cannot read the store.
#[derive(Debug, Clone)]
#[derive(Serialize, Deserialize)]
pub struct FleetSnapshot {
    /// The configuration in force.
    pub configuration: Option<RouteConfiguration>,
    /// The newest range map.
    pub map: RangeMap,
    /// Offset of its record.
    pub map_offset: Offset,
    /// The known members.
    pub members: Vec<MemberRecord>,
}

/// What is known of the fleet. Nothing in it goes back in one life of the
/// process: an older configuration or map is ignored.
#[derive(Debug)]
pub struct FleetState {
    own: MemberRecord,
    routes: watch::Sender<Option<Arc<RouteMatcher>>>,
    map: watch::Sender<MapView>,
    directory: Mutex<PeerDirectory>,
    /// Offset that the next record of the fleet's topic will get, as this
    /// process last read it.
    end: watch::Sender<Option<Offset>>,
    /// When a read of the store last failed.
    failed: watch::Sender<Option<Duration>>,
    /// Fires when the operator's topic should be read at once.
    pub nudge_operator: Notify,
    /// Fires when the fleet's topic should be read at once.
    pub nudge_fleet: Notify,
    /// Fires when another process is known to know more.
    pub behind: Notify,
    /// Fires when a report should be sent at once.
    pub report_now: Notify,
}

impl FleetState {
    /// Creates the state of a process that knows only itself.
    pub fn new(own: MemberRecord) -> Self {
        let directory = Mutex::new(PeerDirectory::new(own.incarnation));
        Self {
            own,
            routes: watch::channel(None).0,
            map: watch::channel(MapView::default()).0,
            directory,
            end: watch::channel(None).0,
            failed: watch::channel(None).0,
            nudge_operator: Notify::new(),
            nudge_fleet: Notify::new(),
            behind: Notify::new(),
            report_now: Notify::new(),
        }
    }

    /// Returns this process.
    pub fn own(&self) -> &MemberRecord {
        &self.own
    }

    /// Returns the routes in force.
    pub fn routes(&self) -> Option<Arc<RouteMatcher>> {
        self.routes.borrow().clone()
    }

    /// Subscribes to the routes.
    pub fn watch_routes(&self) -> watch::Receiver<Option<Arc<RouteMatcher>>> {
        self.routes.subscribe()
    }

    /// Returns the newest range map.
    pub fn map(&self) -> MapView {
        self.map.borrow().clone()
    }

    /// Subscribes to the range map.
    pub fn watch_map(&self) -> watch::Receiver<MapView> {
        self.map.subscribe()
    }

    /// Returns where the fleet's topic ends, if it has been read.
    pub fn end(&self) -> Option<Offset> {
        *self.end.borrow()
    }

    /// The fleet's topic was read up to an offset.
    pub fn reach_end(&self, end: Offset) {
        self.end.send_if_modified(|known| {
            let grows = known.is_none_or(|known| end > known);
            if grows {
                *known = Some(end);
            }
            grows
        });
    }

    /// A read of the store failed.
    pub fn note_store_failure(&self) {
        self.failed.send_replace(Some(since_boot()));
    }

    /// Returns when a read of the store last failed.
    pub fn store_failed(&self) -> Option<Duration> {
        *self.failed.borrow()
    }

    /// Locks the directory of members, for a moment.
    pub fn directory(&self) -> MutexGuard<'_, PeerDirectory> {
        self.directory
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns what fires when a topic should be read at once.
    pub fn nudge(&self, topic: StoreTopic) -> &Notify {
        match topic {
            StoreTopic::Operator => &self.nudge_operator,
            StoreTopic::Fleet => &self.nudge_fleet,
        }
    }

    /// Returns how often reports are sent.
    pub fn report_interval(&self) -> Duration {
        let members = self.directory().peers().count() as u32;
        REPORT_INTERVAL.max(REPORT_PER_MEMBER * members)
    }

    /// Tells whether a member has reported lately.
    pub fn is_live(&self, incarnation: Incarnation) -> bool {
        let interval = self.report_interval();
        self.directory()
            .is_live(incarnation, since_boot(), interval)
    }

    /// Tells whether this process watches the operator's records for the fleet.
    pub fn is_watcher(&self) -> bool {
        let interval = self.report_interval();
        self.directory()
            .is_among_oldest(self.own.incarnation, WATCHERS, since_boot(), interval)
    }

    /// Puts a configuration in force if it is newer. True if it is.
    pub fn offer_configuration(&self, configuration: RouteConfiguration, source: &str) -> bool {
        let version = configuration.version;
        let newer = self.routes.send_if_modified(|known| {
            let current = known.as_ref().map(|table| table.configuration().version);
            if current.is_some_and(|current| current >= version) {
                return false;
            }
            *known = Some(Arc::new(RouteMatcher::new(Arc::new(configuration))));
            true
        });
        if newer {
            log::info!(version = version, source = source; "routes: put a configuration in force");
        }
        newer
    }

    /// Takes a range map if it is newer. True if it is.
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

    /// Takes a change of the map that another process wrote. One that is based
    /// on a map which this process does not know is caught up with.
    pub fn take_edit(&self, base: Offset, at: Offset, edit: &MapEdit) {
        let view = self.map();
        if view.offset >= at {
            return;
        }
        let edited = (view.offset == base).then(|| edit.apply(&view.map, at));
        match edited.flatten() {
            Some(map) => {
                self.offer_map(map, at);
                self.reach_end(at + 1);
            }
            None => self.behind.notify_one(),
        }
    }

    /// Introduces this process again to the one at an address.
    pub fn forget_heard(&self, address: SocketAddr) {
        self.directory().clear_last_report(address);
    }

    /// Returns the version of the configuration in force; 0 for none.
    pub fn configuration_version(&self) -> u64 {
        let routes = self.routes.borrow();
        routes
            .as_ref()
            .map_or(0, |table| table.configuration().version)
    }

    /// Encodes what this process knows, for one that cannot read the store.
    pub fn snapshot(&self) -> Option<Bytes> {
        let view = self.map();
        let mut members: Vec<MemberRecord> = {
            let directory = self.directory();
            directory.peers().map(|peer| peer.member.clone()).collect()
        };
        members.push(self.own.clone());
        let snapshot = FleetSnapshot {
            configuration: self
                .routes()
                .map(|table| RouteConfiguration::clone(table.configuration())),
            map: RangeMap::clone(&view.map),
            map_offset: view.offset,
            members,
        };
        match postcard::to_stdvec(&snapshot) {
            Ok(bytes) => Some(bytes.into()),
            Err(error) => {
                log::error!("fleet: cannot encode a snapshot: {error}");
                None
            }
        }
    }

    /// Takes what another process knows.
    ///
    /// # Errors
    ///
    /// Fails if the bytes are no snapshot.
    pub fn install(&self, encoded: &[u8]) -> Result<(), postcard::Error> {
        let snapshot: FleetSnapshot = postcard::from_bytes(encoded)?;
        if let Some(configuration) = snapshot.configuration {
            self.offer_configuration(configuration, "peer");
        }
        self.offer_map(snapshot.map, snapshot.map_offset);
        let mut directory = self.directory();
        for member in snapshot.members {
            directory.record_member(member);
        }
        Ok(())
    }
}
