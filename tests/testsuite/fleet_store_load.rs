//! What a fleet of hundreds asks of the store, in virtual time.
//!
//! Every sidecar follows a simulated store with the parts of the product.

use std::sync::Arc;
use std::time::Duration;

use buckthornwinch::base::boot_clock::since_boot;
use buckthornwinch::base::ids::Incarnation;
use buckthornwinch::base::ids::Offset;
use buckthornwinch::base::ids::Version;
use buckthornwinch::log::backoff::RetryBackoff;
use buckthornwinch::peers::message::MemberRecord;
use buckthornwinch::peers::message::PeerReport;
use buckthornwinch::peers::message::UpstreamGauge;
use buckthornwinch::ranges::map::KeyRange;
use buckthornwinch::ranges::map::RangeHolder;
use buckthornwinch::ranges::map::RangeMap;
use buckthornwinch::ranges::map::RangeVoter;
use buckthornwinch::ranges::map::ServiceRanges;
use buckthornwinch::ranges::map::encode_map;
use buckthornwinch::routes::configuration::CallerLimits;
use buckthornwinch::routes::configuration::RouteConfiguration;
use buckthornwinch::sidecar::fleet::FleetState;
use buckthornwinch::sidecar::follow::COMPARE_INTERVAL;
use buckthornwinch::sidecar::follow::MAP_KEY;
use buckthornwinch::sidecar::follow::MEMBER_PREFIX;
use buckthornwinch::sidecar::follow::apply_fleet;
use buckthornwinch::sidecar::follow::follow_topic;
use buckthornwinch::sidecar::start_read::StartRead;
use buckthornwinch::store::StateStore;
use buckthornwinch::store::StoreTopic;
use buckthornwinch::store::read_pace::ReadPace;
use bytes::Bytes;
use tokio::time::Instant;
use tokio::time::sleep;

use crate::simulated_store::READ_RATE;
use crate::simulated_store::SimulatedStore;

/// Sidecars of the fleet.
const SIDECARS: usize = 300;

/// Sidecars that own keys and write the map.
const OWNERS: usize = 120;

/// Time within which an acknowledged configuration must be in force.
const CONFIGURATION_TIMEOUT: Duration = Duration::from_secs(3);

/// Most of the store's bandwidth that the map may take. The rest is for configurations and
/// sidecars that start.
const MAX_MAP_SHARE: f64 = 0.5;

/// Time between two maps while upstreams are replaced one after the other.
const MAP_INTERVAL: Duration = Duration::from_millis(80);

const OLD_VERSION: Version = 1;
const NEW_VERSION: Version = 2;

fn incarnation(number: usize) -> Incarnation {
    1 + number as Incarnation
}

fn member(number: usize) -> MemberRecord {
    MemberRecord {
        incarnation: incarnation(number),
        node: format!("sidecar-zone-{number:03}").into(),
        address: ([127, 0, 0, 1], 1 + number as u16).into(),
        service: "orders".into(),
        domain: "zone".into(),
    }
}

fn announce(store: &SimulatedStore, number: usize) {
    let member = member(number);
    let key = format!("{MEMBER_PREFIX}{}", member.node);
    let value = postcard::to_stdvec(&member).expect("a member can be encoded");
    store.put(StoreTopic::Fleet, &key, value.into());
}

fn report_of(number: usize) -> PeerReport {
    PeerReport {
        incarnation: incarnation(number),
        member: Some(member(number)),
        sequence: 1,
        gauge: UpstreamGauge::default(),
        configuration: 0,
        map: 0,
        evacuations: 0,
        era: 0,
        leaving: false,
        restricted: Vec::new(),
        departures: Vec::new(),
    }
}

/// Returns a map in which every owner has voters.
fn full_map() -> RangeMap {
    let voter = |number: usize| RangeVoter {
        incarnation: incarnation(number),
        address: member(number).address,
    };
    let holder = |number: usize| RangeHolder {
        incarnation: incarnation(number),
        address: member(number).address,
        service: "orders".into(),
        domain: "zone".into(),
        term: 1,
        voters: (number + 1..number + 4).map(voter).collect(),
    };
    RangeMap {
        holders: (0..OWNERS).map(holder).collect(),
        services: Vec::new(),
    }
}

fn configuration(version: Version) -> RouteConfiguration {
    RouteConfiguration {
        version,
        limits: CallerLimits {
            header_bytes: 16_384,
            body_bytes: 1_000_000,
            header_timeout: Duration::from_secs(3),
            idle_timeout: Duration::from_secs(15),
        },
        hosts: Vec::new(),
        services: Vec::new(),
    }
}

struct SimulatedFleet {
    store: SimulatedStore,
    sidecars: Arc<[Arc<FleetState>]>,
    map: RangeMap,
}

impl SimulatedFleet {
    /// Starts sidecars that know each other and follow the store, which has their
    /// member records, a map and a configuration.
    async fn start(count: usize) -> Self {
        let store = SimulatedStore::new();
        let map = full_map();
        for number in 0..count {
            announce(&store, number);
        }
        let written = encode_map(map.clone(), count as Offset);
        store.put(StoreTopic::Fleet, MAP_KEY, written.into());
        publish(&store, OLD_VERSION);
        let sidecars: Arc<[Arc<FleetState>]> = (0..count)
            .map(|number| Arc::new(FleetState::new(member(number))))
            .collect();
        for sidecar in sidecars.iter() {
            follow_store(&store.for_sidecar(), sidecar);
        }
        sleep(Duration::from_secs(1)).await;
        for sidecar in sidecars.iter() {
            introduce_all(sidecar, count);
        }
        sleep(Duration::from_secs(4)).await;
        Self {
            store,
            sidecars,
            map,
        }
    }

    /// Writes maps for a time. All sidecars learn each of them by datagram.
    async fn write_maps(&self, time: Duration) {
        let end = Instant::now() + time;
        while Instant::now() < end {
            let base = self.sidecars[0].map().offset;
            let at = self.put_map();
            deliver_edit(&self.sidecars, &self.map, base, at);
            sleep(MAP_INTERVAL).await;
        }
    }

    fn put_map(&self) -> Offset {
        let at = self.store.state().fleet.end();
        let written = encode_map(self.map.clone(), at);
        self.store.put(StoreTopic::Fleet, MAP_KEY, written.into())
    }

    /// Writes a map whose edit fits into no datagram. All sidecars find within a time that
    /// their peers know it.
    fn write_large_edit(&self, time: Duration) {
        self.put_map();
        for sidecar in self.sidecars.iter() {
            let sidecar = Arc::clone(sidecar);
            let found = time.mul_f64(rand::random());
            tokio::spawn(async move {
                sleep(found).await;
                sidecar.fleet_read_request.notify_one();
            });
        }
    }

    /// Lets each owner write one change of the map; returns their tasks.
    fn write_by_owners(&self) -> Vec<tokio::task::JoinHandle<()>> {
        let write = |sidecar: &Arc<FleetState>| {
            let store = self.store.for_sidecar();
            let sidecars = Arc::clone(&self.sidecars);
            let map = self.map.clone();
            tokio::spawn(write_change(store, Arc::clone(sidecar), sidecars, map))
        };
        self.sidecars.iter().take(OWNERS).map(write).collect()
    }

    /// Returns how many sidecars do not have a version in force.
    fn without(&self, version: Version) -> usize {
        let sidecars = self.sidecars.iter();
        sidecars
            .filter(|sidecar| sidecar.configuration_version() < version)
            .count()
    }

    fn summary(&self) -> String {
        let state = self.store.state();
        format!(
            "{} reads refused, {} given up, {} MB sent",
            state.refused,
            state.timed_out,
            state.sent_bytes / 1_000_000
        )
    }
}

fn publish(store: &SimulatedStore, version: Version) {
    let value = Bytes::copy_from_slice(&version.to_be_bytes());
    store.put(StoreTopic::Operator, "config", value);
}

fn introduce_all(sidecar: &FleetState, count: usize) {
    let mut directory = sidecar.directory();
    for number in 0..count {
        directory.record_report(report_of(number), since_boot());
    }
}

fn follow_store(store: &SimulatedStore, sidecar: &Arc<FleetState>) {
    let applied = Arc::clone(sidecar);
    tokio::spawn(follow_topic(
        store.clone(),
        StoreTopic::Operator,
        Arc::clone(sidecar),
        StartRead::begin(store, StoreTopic::Operator),
        ReadPace::new(READ_RATE),
        move |page, _is_whole| {
            for record in &page.records {
                let version = record.value[..].try_into().expect("eight bytes");
                applied.offer_configuration(configuration(Version::from_be_bytes(version)), "test");
            }
        },
    ));
    let applied = Arc::clone(sidecar);
    tokio::spawn(follow_topic(
        store.clone(),
        StoreTopic::Fleet,
        Arc::clone(sidecar),
        StartRead::begin(store, StoreTopic::Fleet),
        ReadPace::new(READ_RATE),
        move |page, _is_whole| apply_fleet(&applied, page),
    ));
}

/// Delivers the datagram with an edit of the map at `base` to all sidecars.
fn deliver_edit(sidecars: &[Arc<FleetState>], map: &RangeMap, base: Offset, at: Offset) {
    for sidecar in sidecars {
        if sidecar.map().offset == base {
            sidecar.offer_map(map.clone(), at);
            sidecar.advance_end(at + 1);
        }
    }
}

/// Writes a change of the map as owners do: after a conflict only once the topic is
/// known to go on.
async fn write_change(
    store: SimulatedStore,
    sidecar: Arc<FleetState>,
    sidecars: Arc<[Arc<FleetState>]>,
    map: RangeMap,
) {
    let mut backoff = RetryBackoff::new(Duration::from_millis(15), Duration::from_secs(1));
    let mut conflicted = None;
    loop {
        let Some(at) = sidecar
            .fleet_topic_end()
            .filter(|at| Some(*at) > conflicted)
        else {
            sleep(Duration::from_millis(20)).await;
            continue;
        };
        let base = sidecar.map().offset;
        let written = encode_map(map.clone(), at).into();
        match store
            .append(StoreTopic::Fleet, MAP_KEY, written, Some(at))
            .await
        {
            Ok(offset) => {
                deliver_edit(&sidecars, &map, base, offset);
                return;
            }
            Err(_conflict) => {
                conflicted = Some(at);
                sidecar.fleet_read_request.notify_one();
                sleep(backoff.next_wait()).await;
            }
        }
    }
}

/// Guards against sidecars that read all maps anew that they have received by datagram,
/// until the store's bandwidth is used up and no configuration gets through.
#[tokio::test(start_paused = true)]
async fn a_configuration_does_not_wait_behind_reads_of_maps_that_arrived_by_datagram() {
    let fleet = SimulatedFleet::start(SIDECARS).await;
    fleet.write_maps(Duration::from_secs(12)).await;

    fleet.write_large_edit(Duration::from_secs(2));
    let writers = fleet.write_by_owners();
    sleep(Duration::from_secs(4)).await;
    publish(&fleet.store, NEW_VERSION);
    sleep(CONFIGURATION_TIMEOUT).await;

    let waiting = writers.iter().filter(|writer| !writer.is_finished());
    assert_eq!(
        (fleet.without(NEW_VERSION), waiting.count()),
        (0, 0),
        "late sidecars and owners that cannot write; {}",
        fleet.summary()
    );
}

/// Guards against reads that are begun anew at each request for one, while the store
/// does those that were given up all the same.
#[tokio::test(start_paused = true)]
async fn a_read_of_the_map_in_progress_is_not_begun_anew_when_another_is_requested() {
    let store = SimulatedStore::new();
    announce(&store, 0);
    let sidecar = Arc::new(FleetState::new(member(0)));
    store.state().busy_until = Some(Instant::now() + Duration::from_secs(1));
    follow_store(&store, &sidecar);

    for _request in 0..9 {
        sleep(Duration::from_millis(100)).await;
        sidecar.fleet_read_request.notify_one();
    }
    sleep(Duration::from_secs(1)).await;

    let reads = store.state().fleet_reads;
    assert_eq!(reads, 2, "the first read, and one for all requests");
}

/// Guards against owners that read the whole map after each conflict, though the edit that
/// they conflicted with arrives by datagram a moment later.
#[tokio::test(start_paused = true)]
async fn an_edit_that_arrives_just_after_a_conflict_is_not_read_in_the_store() {
    let fleet = SimulatedFleet::start(4).await;
    let base = fleet.sidecars[0].map().offset;
    let before = fleet.store.state().sent_bytes;

    let at = fleet.put_map();
    for sidecar in fleet.sidecars.iter() {
        sidecar.fleet_read_request.notify_one();
    }
    sleep(Duration::from_millis(10)).await;
    deliver_edit(&fleet.sidecars, &fleet.map, base, at);
    sleep(Duration::from_secs(1)).await;

    let sent = fleet.store.state().sent_bytes - before;
    assert_eq!(sent, 0, "bytes of records that were known");
}

/// Guards against sidecars that take the time until they read all newest records again from
/// the size of the fleet before their first read, when they know of no member.
#[tokio::test(start_paused = true)]
async fn a_fleet_that_has_just_started_does_not_read_all_newest_records_again() {
    let fleet = SimulatedFleet::start(100).await;
    sleep(Duration::from_secs(10)).await;
    let before = fleet.store.state().sent_bytes;

    for _edit in 0..2 {
        let base = fleet.sidecars[0].map().offset;
        let at = fleet.put_map();
        deliver_edit(&fleet.sidecars, &fleet.map, base, at);
        for sidecar in fleet.sidecars.iter() {
            sidecar.fleet_read_request.notify_one();
        }
        sleep(Duration::from_secs(1)).await;
    }

    let sent = fleet.store.state().sent_bytes - before;
    assert_eq!(sent, 0, "bytes of records that were known");
}

/// Returns how many reads of the fleet's topic a fleet begins in a second while the store
/// refuses them.
async fn retries_per_second(sidecars: usize) -> u64 {
    let fleet = SimulatedFleet::start(sidecars).await;
    fleet.store.state().refuses_fleet = true;
    for sidecar in fleet.sidecars.iter() {
        sidecar.fleet_read_request.notify_one();
    }
    sleep(Duration::from_secs(30)).await;
    let before = fleet.store.state().fleet_reads;
    sleep(Duration::from_secs(10)).await;
    let after = fleet.store.state().fleet_reads;
    (after - before) / 10
}

/// Guards against retries that grow with the fleet, like the pages that they ask for.
#[tokio::test(start_paused = true)]
async fn a_larger_fleet_does_not_ask_a_store_that_fails_more_often() {
    let of_100 = retries_per_second(100).await;

    let of_300 = retries_per_second(300).await;

    // A tenth for the random waits.
    assert!(
        of_300 <= of_100 * 11 / 10,
        "{of_300} a second of 300 sidecars, {of_100} of 100"
    );
}

/// Returns a map with many ranges of keys for each owner.
fn fragmented_map() -> RangeMap {
    const RANGES: u16 = 4_000;
    let range = |number: u16| KeyRange {
        first: number,
        last: number,
        owner: Some(incarnation(usize::from(number) % OWNERS)),
        fence_base: Offset::from(number),
        handover: Some("5c0e7a21d94b36f8".into()),
    };
    RangeMap {
        services: vec![ServiceRanges {
            service: "orders".into(),
            ranges: (0..RANGES).map(range).collect(),
        }],
        ..full_map()
    }
}

/// Guards against a map that is so large and changes so often that what a fleet reads of
/// it leaves no bandwidth for the configuration.
#[tokio::test(start_paused = true)]
async fn a_configuration_does_not_wait_behind_a_large_map_that_changes_all_the_time() {
    let fleet = SimulatedFleet::start(SIDECARS).await;
    let map = fragmented_map();
    let requested = |sidecar: Arc<FleetState>| async move {
        loop {
            sleep(COMPARE_INTERVAL.mul_f64(rand::random())).await;
            sidecar.fleet_read_request.notify_one();
        }
    };
    for sidecar in fleet.sidecars.iter() {
        tokio::spawn(requested(Arc::clone(sidecar)));
    }
    let written = async {
        for _change in 0..140 {
            let at = fleet.store.state().fleet.end();
            let value = encode_map(map.clone(), at).into();
            fleet.store.put(StoreTopic::Fleet, MAP_KEY, value);
            sleep(Duration::from_millis(50)).await;
        }
    };

    let before = fleet.store.state().sent_bytes;
    let published = async {
        sleep(Duration::from_secs(4)).await;
        publish(&fleet.store, NEW_VERSION);
        sleep(CONFIGURATION_TIMEOUT).await;
    };
    let ((), ()) = tokio::join!(written, published);

    let sent = fleet.store.state().sent_bytes - before;
    let time = Duration::from_secs(4) + CONFIGURATION_TIMEOUT;
    let available = READ_RATE * time.as_secs_f64();
    assert!(
        fleet.without(NEW_VERSION) == 0 && sent as f64 <= available * MAX_MAP_SHARE,
        "{} sidecars are late; {}",
        fleet.without(NEW_VERSION),
        fleet.summary()
    );
}
