//! Keeps the fleet's state up to date from the store.
//!
//! Every call to the store is paid for. The operator's topic is followed by long
//! reads, about one for each change. The fleet's own topic is read at the start,
//! after a conflict, and now and then: whoever changes the map tells the others
//! directly. A connection to the store may fall silent unnoticed, at all
//! processes at once if the store itself was silent. So the oldest few watch the
//! operator's topic with short reads, and the reports of others show a process
//! when it has missed something. It then reads at once, and asks the peer itself.

use std::sync::Arc;
use std::time::Duration;

use rand::RngExt;
use tokio::time::sleep;

use super::fleet::FleetState;
use crate::base::ids::Offset;
use crate::base::timer::TimerService;
use crate::log::backoff::RetryBackoff;
use crate::peers::message::MemberRecord;
use crate::ranges::map::decode_map;
use crate::routes::check::check_configuration;
use crate::routes::configuration::RouteConfiguration;
use crate::store::StateStore;
use crate::store::StoreError;
use crate::store::StorePage;
use crate::store::StoreRecord;
use crate::store::StoreTopic;
use crate::transport::state::fetch_encoded_state;

/// Longest wait of one read, as long as the store allows: silence is noticed by
/// other means.
const LONG_READ: Duration = Duration::from_secs(30);

/// Wait of one read by a process that watches for the fleet. With the time that
/// a call may take besides, it is below that in which a change must be in force.
const WATCH_READ: Duration = Duration::from_millis(500);

/// How often a process looks whether it is to watch for the fleet.
const WATCH_INTERVAL: Duration = Duration::from_millis(250);

/// First and longest wait after a failed call.
const RETRY_WAITS: (Duration, Duration) = (Duration::from_millis(60), Duration::from_millis(800));

/// Pause after a read of the operator's topic that returned something: of
/// changes in quick succession only the last one matters. A small part of the
/// seconds that a change may take.
const OPERATOR_PAUSE: Duration = Duration::from_millis(150);

/// Pause between two reads of the fleet's topic, and what each member adds to
/// it, so that a larger fleet does not call more often.
const FLEET_PAUSE: (Duration, Duration) = (Duration::from_secs(8), Duration::from_millis(400));

/// How often the reports of others are compared with what is known here.
const COMPARE_INTERVAL: Duration = Duration::from_millis(150);

/// Comparisons in a row after which the store is read on a fresh connection.
const NUDGED_AFTER: u32 = 3;

/// How long a peer may take to tell what it knows.
const PEER_LIMIT: Duration = Duration::from_millis(500);

/// Key of the range map in the fleet's topic.
pub const MAP_KEY: &str = "ranges";

/// What the keys of members begin with in the fleet's topic.
pub const MEMBER_PREFIX: &str = "member/";

/// Key of the operator's configuration.
const CONFIGURATION_KEY: &str = "config";

/// Decodes the operator's records.
pub trait ConfigurationDecoder: Clone + Send + Sync + 'static {
    /// Decodes a configuration.
    ///
    /// # Errors
    ///
    /// Fails with the reason if the bytes are none.
    fn decode(&self, bytes: &[u8]) -> eyre::Result<RouteConfiguration>;
}

/// Follows one topic until the process ends.
pub async fn follow_topic<S: StateStore>(
    store: S,
    topic: StoreTopic,
    fleet: Arc<FleetState>,
    apply: impl Fn(&StorePage),
) {
    let mut next: Option<Offset> = None;
    let mut backoff = RetryBackoff::new(RETRY_WAITS.0, RETRY_WAITS.1);
    loop {
        let watches = topic == StoreTopic::Operator && fleet.is_watcher();
        let reading = read_on(&store, topic, next, watches);
        let result = tokio::select! {
            result = reading => result,
            () = begin_watch(&fleet), if topic == StoreTopic::Operator && !watches => continue,
            // Reads again on a fresh connection: the present one may be silent.
            () = fleet.nudge(topic).notified() => continue,
        };
        match result {
            Ok(page) => {
                if backoff.failures() > 0 {
                    log::info!(topic:? = topic, failures = backoff.failures(); "store: regained");
                }
                backoff.reset();
                next = Some(page.next);
                apply(&page);
                if page.next >= page.end {
                    pause(topic, &fleet, page.records.is_empty()).await;
                }
            }
            Err(StoreError::Expired) => {
                log::info!(topic:? = topic, from = next; "store: the history is gone, reading the newest records");
                next = None;
            }
            Err(error) => {
                fleet.note_store_failure();
                if backoff.failures() == 0 {
                    log::warn!(topic:? = topic, error:% = error; "store: lost");
                }
                sleep(backoff.next_wait()).await;
            }
        }
    }
}

/// Waits before the next read; a nudge ends the wait.
async fn pause(topic: StoreTopic, fleet: &FleetState, was_empty: bool) {
    let wait = match topic {
        StoreTopic::Operator if was_empty => return,
        StoreTopic::Operator => OPERATOR_PAUSE,
        StoreTopic::Fleet => {
            let members = fleet.directory().peers().count() as u32;
            let longest = FLEET_PAUSE.0 + FLEET_PAUSE.1 * members;
            longest.mul_f64(rand::rng().random_range(0.7..=1.3))
        }
    };
    tokio::select! {
        () = sleep(wait) => {}
        () = fleet.nudge(topic).notified() => {}
    }
}

/// Waits until this process is to watch for the fleet.
async fn begin_watch(fleet: &FleetState) {
    while !fleet.is_watcher() {
        sleep(WATCH_INTERVAL).await;
    }
}

async fn read_on<S: StateStore>(
    store: &S,
    topic: StoreTopic,
    next: Option<Offset>,
    watches: bool,
) -> Result<StorePage, StoreError> {
    match next {
        Some(from) => {
            let wait = match topic {
                StoreTopic::Operator if watches => WATCH_READ,
                StoreTopic::Operator => LONG_READ,
                StoreTopic::Fleet => Duration::ZERO,
            };
            store.read(topic, from, wait).await
        }
        None => store.newest(topic).await,
    }
}

/// Applies records of the operator.
pub fn apply_operator<D: ConfigurationDecoder>(fleet: &FleetState, decoder: &D, page: &StorePage) {
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

/// Applies records of the fleet.
pub fn apply_fleet(fleet: &FleetState, page: &StorePage) {
    for record in &page.records {
        apply_fleet_record(fleet, record);
    }
    fleet.reach_end(page.next);
}

fn apply_fleet_record(fleet: &FleetState, record: &StoreRecord) {
    if &*record.key == MAP_KEY {
        match decode_map(&record.value) {
            Ok(map) => {
                fleet.offer_map(map, record.offset);
            }
            Err(error) => {
                log::error!(offset = record.offset, error:% = error; "ranges: cannot read a map");
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
            if fleet.directory().record_member(member) {
                fleet.report_now.notify_one();
            }
        }
        Err(error) => {
            log::error!(offset = record.offset, error:% = error; "peers: cannot read a member");
        }
    }
}

/// Watches whether other processes know more than this one, and catches up.
pub async fn catch_up(fleet: Arc<FleetState>, timer: TimerService) {
    let mut ticks = timer.subscribe(COMPARE_INTERVAL);
    let mut behind = 0_u32;
    loop {
        let told = tokio::select! {
            _tick = ticks.next() => false,
            () = fleet.behind.notified() => true,
        };
        let Some(peer) = find_ahead(&fleet) else {
            behind = 0;
            continue;
        };
        behind += 1;
        // The first time this process may just be a moment slower.
        if behind < 2 && !told {
            continue;
        }
        if behind == NUDGED_AFTER {
            fleet.nudge_operator.notify_waiters();
            fleet.nudge_fleet.notify_waiters();
        }
        match fetch_encoded_state(peer.address, 0, PEER_LIMIT).await {
            Ok(Some(encoded)) => match fleet.install(&encoded) {
                Ok(()) => log::info!(peer = &*peer.node; "fleet: caught up from a peer"),
                Err(error) => {
                    log::warn!(peer = &*peer.node, error:% = error; "fleet: cannot read a peer's state");
                }
            },
            Ok(None) => {}
            Err(error) => {
                log::debug!(peer = &*peer.node, error:% = error; "fleet: a peer gave no state");
            }
        }
    }
}

fn find_ahead(fleet: &FleetState) -> Option<MemberRecord> {
    let version = fleet.configuration_version();
    let offset = fleet.map().offset;
    let interval = fleet.report_interval();
    let directory = fleet.directory();
    let now = crate::base::boot_clock::since_boot();
    directory
        .live(now, interval)
        .find(|peer| peer.configuration > version || peer.map > offset)
        .map(|peer| peer.member.clone())
}
