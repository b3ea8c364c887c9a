//! Keeps the fleet's state up to date from the store.
//!
//! Store calls cost money, so they are kept few. The operator's topic is read
//! with long polls, about one per change. The fleet's topic is read at start,
//! after a conflict and at long intervals, because the writer of a map change
//! also sends it to its peers directly. It then starts after the newest known map, and
//! now and then returns the newest record of each key, so that what was skipped is not
//! missed for good.
//!
//! A connection to the store may go silent without an error, on all sidecars at
//! once if the store itself was silent. The oldest sidecars therefore read the
//! operator's topic with short polls, and every sidecar learns from its peers'
//! reports that it has missed a change. It then reads the store at once and
//! fetches the state from the peer.

use std::sync::Arc;
use std::time::Duration;

use futures_util::FutureExt;
use rand::RngExt;
use tokio::time::Instant;
use tokio::time::sleep;
use tokio::time::sleep_until;

use super::fleet::FleetState;
use super::quarantine::QUARANTINE_PREFIX;
use super::quarantine::decode_verdict;
use super::start_read::StartRead;
use crate::base::boot_clock::since_boot;
use crate::base::ids::Offset;
use crate::base::timer::TimerService;
use crate::log::backoff::RetryBackoff;
use crate::peers::catch_up::CatchUpPlan;
use crate::peers::catch_up::CatchUpStep;
use crate::peers::directory::CatchUpDraw;
use crate::peers::message::MemberRecord;
use crate::ranges::map::decode_map;
use crate::routes::check::check_configuration;
use crate::routes::configuration::RouteConfiguration;
use crate::store::StateStore;
use crate::store::StoreError;
use crate::store::StorePage;
use crate::store::StoreRecord;
use crate::store::StoreTopic;
use crate::store::cursor::TopicCursor;
use crate::store::era::era_of;
use crate::store::read_pace::ReadPace;
use crate::transport::state::fetch_encoded_state;

/// Wait of one long poll, the maximum that the store allows. A silent
/// connection is noticed by other means.
const LONG_POLL_WAIT: Duration = Duration::from_secs(30);

/// Wait of one poll by a watcher. Together with the duration of the call
/// itself, it stays below the time within which a change must take effect.
const WATCHER_POLL_WAIT: Duration = Duration::from_millis(500);

/// How often a sidecar checks whether it has become a watcher.
const WATCHER_CHECK_INTERVAL: Duration = Duration::from_millis(250);

/// First and maximum wait after a failed call.
const RETRY_BACKOFF: (Duration, Duration) = (Duration::from_millis(60), Duration::from_millis(800));

/// Addition to the maximum wait after a failed read of the fleet's topic, per member. A
/// fleet of any size then retries about as often: its pages grow with the fleet, and a
/// store that cannot send them in time must not be asked for more of them.
const FLEET_RETRY_WAIT_PER_MEMBER: Duration = Duration::from_millis(8);

/// Pause after a read of the operator's topic that returned records: of several
/// changes in quick succession only the last one matters. Short compared with
/// the seconds within which a change must take effect.
const OPERATOR_READ_PAUSE: Duration = Duration::from_millis(150);

/// Time from a request to read the fleet's topic to the read. An edit of the map that is
/// on its way here by datagram arrives in it, and need not be read.
const EDIT_ARRIVAL_TIME: Duration = Duration::from_millis(30);

/// Mean pause between two reads of the fleet's topic: a base, and an addition
/// per member so that a larger fleet does not call the store more often.
const FLEET_READ_PAUSE: (Duration, Duration) = (Duration::from_secs(8), Duration::from_millis(400));

/// How often peers' reports are compared with the local state.
pub const COMPARE_INTERVAL: Duration = Duration::from_millis(150);

/// Maximum time to fetch a peer's state.
pub const PEER_FETCH_TIMEOUT: Duration = Duration::from_millis(500);

/// Key of the range map in the fleet's topic.
pub const MAP_KEY: &str = "ranges";

/// Prefix of members' keys in the fleet's topic; the node name follows.
pub const MEMBER_PREFIX: &str = "member/";

/// Key of the configuration in the operator's topic.
const CONFIGURATION_KEY: &str = "config";

/// Decodes the configuration from the operator's topic, whose format depends on
/// the platform.
pub trait ConfigurationDecoder: Clone + Send + Sync + 'static {
    /// Decodes the value of a configuration record.
    ///
    /// # Errors
    ///
    /// Fails with the reason if the value is not a configuration.
    fn decode(&self, bytes: &[u8]) -> eyre::Result<RouteConfiguration>;
}

/// What kind of page was read last.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum PageKind {
    /// The newest records, read before this sidecar announced itself. Members that announced
    /// themselves since then may not know it, so that the next read skips nothing.
    First,
    /// One that does not reach the end of the topic.
    Partial,
    /// One that reaches the end of the topic.
    Complete,
}

impl PageKind {
    fn new(page: &StorePage, is_first: bool) -> Self {
        if is_first {
            Self::First
        } else if page.next < page.end {
            Self::Partial
        } else {
            Self::Complete
        }
    }
}

/// Reads `topic` until the process ends and passes each page to `apply`, with whether it
/// has the newest records of all keys instead of those that follow the last page. Begins
/// with the result of `first`, which was begun before this sidecar announced itself. Reads
/// of the fleet's topic keep to `read_pace`.
pub async fn follow_topic<S: StateStore>(
    store: S,
    topic: StoreTopic,
    fleet: Arc<FleetState>,
    first: StartRead,
    mut read_pace: ReadPace,
    apply: impl Fn(&StorePage, bool),
) {
    let mut first = Some(first);
    let mut last_page = None;
    let mut cursor = TopicCursor::default();
    // When records that were skipped are to be made up for.
    let mut newest_due = Instant::now();
    let mut backoff = RetryBackoff::new(RETRY_BACKOFF.0, RETRY_BACKOFF.1);
    loop {
        let is_watcher = topic == StoreTopic::Operator && fleet.is_operator_watcher();
        if topic == StoreTopic::Fleet && last_page == Some(PageKind::Complete) {
            sleep_until(read_pace.next_at().unwrap_or_else(Instant::now)).await;
        }
        if cursor.has_skipped() && Instant::now() >= newest_due {
            cursor.reset();
        }
        let from = match last_page {
            Some(PageKind::First) => cursor.skip_to(0),
            _ => cursor.skip_to(known_until(topic, &fleet)),
        };
        let is_first = first.is_some();
        // The read that begins now serves all requests so far.
        let _served = fleet.request_read(topic).notified().now_or_never();
        let reading = async {
            match first.take() {
                Some(first) => first.finish().await,
                None => read_next(&store, topic, from, is_watcher).await,
            }
        };
        let result = tokio::select! {
            result = reading => result,
            () = until_watcher(&fleet), if topic == StoreTopic::Operator && !is_watcher => continue,
            // Starts a new read on another connection, as this one may be silent. A read
            // that does not wait for news ends soon, and the store would do it twice.
            () = fleet.request_read(topic).notified(), if topic == StoreTopic::Operator => continue,
        };
        match result {
            Ok(page) => {
                if backoff.failures() > 0 {
                    log::info!(topic:? = topic, failures = backoff.failures(); "store: regained");
                }
                backoff.reset();
                fleet.observe_era(era_of(page.end));
                let is_whole = from.is_none();
                let kind = PageKind::new(&page, is_first);
                last_page = Some(kind);
                cursor.advance(&page);
                apply(&page, is_whole);
                // Both depend on the members that the first page shows.
                read_pace.record(page.size(), fleet.directory().count(), Instant::now());
                if is_whole {
                    newest_due = Instant::now() + fleet_read_pause(&fleet);
                }
                let shows_announced = topic == StoreTopic::Fleet && is_whole && !is_first;
                if shows_announced && !has_own_member(&fleet, &page) {
                    fleet.announce_request.notify_one();
                }
                if kind == PageKind::Complete {
                    pause(topic, &fleet, page.records.is_empty()).await;
                }
            }
            Err(StoreError::Expired) => {
                log::info!(topic:? = topic, from = from; "store: records from this offset have expired, reading the newest ones");
                cursor.reset();
            }
            Err(error) => {
                fleet.record_store_failure();
                if backoff.failures() == 0 {
                    log::warn!(topic:? = topic, error:% = error; "store: lost");
                }
                if topic == StoreTopic::Fleet {
                    backoff.set_limit(fleet_retry_limit(&fleet));
                }
                sleep(backoff.next_wait()).await;
            }
        }
    }
}

/// Returns the maximum wait after a failed read of the fleet's topic.
fn fleet_retry_limit(fleet: &FleetState) -> Duration {
    let members = fleet.directory().count() as u32;
    RETRY_BACKOFF.1.max(FLEET_RETRY_WAIT_PER_MEMBER * members)
}

/// Returns whether the newest records include the member record of this sidecar. A
/// store that has come back from a copy may have lost it.
fn has_own_member(fleet: &FleetState, page: &StorePage) -> bool {
    let own = fleet.own();
    let key = format!("{MEMBER_PREFIX}{}", own.node);
    let record = page.records.iter().find(|record| *record.key == *key);
    let member = record.and_then(|record| postcard::from_bytes::<MemberRecord>(&record.value).ok());
    member.is_some_and(|member| member.incarnation >= own.incarnation)
}

/// Returns the offset before which the records of a topic are known from elsewhere or
/// superseded by what is known: maps also arrive by datagram, and members introduce
/// themselves. 0 for none.
fn known_until(topic: StoreTopic, fleet: &FleetState) -> Offset {
    match topic {
        StoreTopic::Operator => 0,
        StoreTopic::Fleet => match fleet.map().offset {
            0 => 0,
            map => map + 1,
        },
    }
}

/// Waits before the next read, unless one is requested earlier.
async fn pause(topic: StoreTopic, fleet: &FleetState, was_empty: bool) {
    let wait = match topic {
        StoreTopic::Operator if was_empty => return,
        StoreTopic::Operator => OPERATOR_READ_PAUSE,
        StoreTopic::Fleet => fleet_read_pause(fleet),
    };
    tokio::select! {
        () = sleep(wait) => {}
        () = fleet.request_read(topic).notified() => {
            if topic == StoreTopic::Fleet {
                sleep(EDIT_ARRIVAL_TIME).await;
            }
        }
    }
}

/// Returns a random pause between two reads of the fleet's topic.
fn fleet_read_pause(fleet: &FleetState) -> Duration {
    let members = fleet.directory().count() as u32;
    let mean = FLEET_READ_PAUSE.0 + FLEET_READ_PAUSE.1 * members;
    mean.mul_f64(rand::rng().random_range(0.7..=1.3))
}

/// Waits until this sidecar is a watcher.
async fn until_watcher(fleet: &FleetState) {
    while !fleet.is_operator_watcher() {
        sleep(WATCHER_CHECK_INTERVAL).await;
    }
}

/// Reads from offset `from` on, or the newest record of each key if `from` is
/// `None`.
async fn read_next<S: StateStore>(
    store: &S,
    topic: StoreTopic,
    from: Option<Offset>,
    is_watcher: bool,
) -> Result<StorePage, StoreError> {
    match from {
        Some(from) => {
            let wait = match topic {
                StoreTopic::Operator if is_watcher => WATCHER_POLL_WAIT,
                StoreTopic::Operator => LONG_POLL_WAIT,
                StoreTopic::Fleet => Duration::ZERO,
            };
            store.read(topic, from, wait).await
        }
        None => store.newest(topic).await,
    }
}

/// Applies records of the operator's topic: the orders to evacuate failure domains
/// and the configuration. A configuration that cannot be decoded or fails its checks
/// is logged and skipped. `is_whole` as for [`FleetState::apply_orders`].
pub fn apply_operator<D: ConfigurationDecoder>(
    fleet: &FleetState,
    decoder: &D,
    page: &StorePage,
    is_whole: bool,
) {
    // Before the configuration, with which this sidecar begins to serve.
    fleet.apply_orders(page, is_whole);
    for record in &page.records {
        if &*record.key != CONFIGURATION_KEY || record.value.is_empty() {
            continue;
        }
        let checked = decoder.decode(&record.value).and_then(|configuration| {
            check_configuration(&configuration)?;
            Ok(configuration)
        });
        match checked {
            Ok(configuration) => {
                fleet.offer_configuration(configuration, "store");
            }
            Err(error) => {
                log::warn!(offset = record.offset, error:% = error; "routes: skipped a configuration");
            }
        }
    }
}

/// Applies records of the fleet's topic: the range map and the members.
pub fn apply_fleet(fleet: &FleetState, page: &StorePage) {
    for record in &page.records {
        apply_fleet_record(fleet, record);
    }
    fleet.advance_end(page.next);
}

fn apply_fleet_record(fleet: &FleetState, record: &StoreRecord) {
    if &*record.key == MAP_KEY {
        match decode_map(&record.value) {
            Ok(written) => {
                fleet.offer_map(written.map, written.offset);
            }
            Err(error) => {
                log::error!(offset = record.offset, error:% = error; "ranges: cannot decode a map record");
            }
        }
        return;
    }
    if record.key.starts_with(QUARANTINE_PREFIX) {
        match decode_verdict(&record.value) {
            Ok(verdict) => {
                if let Some(verdict) = verdict {
                    fleet.quarantine.merge(verdict, "store");
                }
            }
            Err(error) => {
                log::error!(offset = record.offset, error:% = error; "quarantine: cannot decode a verdict");
            }
        }
        return;
    }
    let Some(node) = record.key.strip_prefix(MEMBER_PREFIX) else {
        return;
    };
    if record.value.is_empty() {
        fleet.directory().remove(node);
        return;
    }
    match postcard::from_bytes::<MemberRecord>(&record.value) {
        Ok(member) => {
            let address = member.address;
            let is_new = fleet.directory().record_member(member);
            if is_new {
                fleet.introduce_to(address);
            }
        }
        Err(error) => {
            log::error!(offset = record.offset, error:% = error; "peers: cannot decode a member record");
        }
    }
}

/// Compares peers' reports with the local state until the process ends, and
/// fetches the state of a peer that knows more.
pub async fn catch_up(fleet: Arc<FleetState>, timer: TimerService) {
    let mut ticks = timer.subscribe(COMPARE_INTERVAL);
    let mut plan = CatchUpPlan::default();
    loop {
        let requested = tokio::select! {
            _tick = ticks.next() => false,
            () = fleet.catch_up_request.notified() => true,
        };
        fleet.expire_evacuations();
        let step = compare_with_peers(&fleet, &mut plan, requested);
        if step.read_operator {
            fleet.operator_read_request.notify_one();
        }
        if step.read_fleet {
            fleet.fleet_read_request.notify_one();
        }
        if let Some(peer) = step.ask {
            fetch_state_of(&peer, &fleet, plan.times_behind()).await;
        }
    }
}

fn compare_with_peers(fleet: &FleetState, plan: &mut CatchUpPlan, requested: bool) -> CatchUpStep {
    let known = fleet.versions();
    let interval = fleet.report_interval();
    let draw = CatchUpDraw {
        member: rand::rng().random(),
        turn: rand::rng().random(),
    };
    plan.compare(
        &fleet.directory(),
        known,
        since_boot(),
        interval,
        requested,
        draw,
    )
}

/// Fetches the state of `peer` and merges it into `fleet`.
async fn fetch_state_of(peer: &MemberRecord, fleet: &FleetState, times_behind: u32) {
    let known_map = fleet.map().offset;
    match fetch_encoded_state(peer.address, known_map, PEER_FETCH_TIMEOUT).await {
        Ok(Some(encoded)) => match fleet.install(&encoded) {
            Ok(()) => {
                log::info!(peer = &*peer.node; "fleet: caught up from a peer");
                fleet.offer_state.notify_one();
            }
            Err(error) => {
                log::warn!(peer = &*peer.node, error:% = error; "fleet: cannot decode a peer's state");
            }
        },
        Ok(None) => {}
        Err(error) => {
            fleet.directory().discard_offer(peer.incarnation);
            log::info!(
                peer = &*peer.node, error:% = error, times_behind = times_behind,
                configuration = fleet.configuration_version(), map = fleet.map().offset;
                "fleet: cannot fetch a peer's state"
            );
        }
    }
}
