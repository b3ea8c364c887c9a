//! Sidecars that are behind learn a configuration from their peers while the store
//! does not serve them.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use buckthornwinch::admission::load::OwnerLoad;
use buckthornwinch::base::boot_clock::since_boot;
use buckthornwinch::base::error::ErrorKind;
use buckthornwinch::base::ids::Incarnation;
use buckthornwinch::base::ids::Offset;
use buckthornwinch::base::timer::TimerService;
use buckthornwinch::delivery::message::RequestFailure;
use buckthornwinch::delivery::message::RequestResult;
use buckthornwinch::delivery::message::RoutedRequest;
use buckthornwinch::peers::catch_up::CatchUpPlan;
use buckthornwinch::peers::catch_up::CatchUpStep;
use buckthornwinch::peers::directory::CatchUpDraw;
use buckthornwinch::peers::message::KnownVersions;
use buckthornwinch::peers::message::MemberRecord;
use buckthornwinch::peers::message::PeerReport;
use buckthornwinch::peers::message::UpstreamGauge;
use buckthornwinch::ranges::map::RangeHolder;
use buckthornwinch::ranges::map::RangeMap;
use buckthornwinch::routes::configuration::CallerLimits;
use buckthornwinch::routes::configuration::RouteConfiguration;
use buckthornwinch::sidecar::fleet::FleetState;
use buckthornwinch::sidecar::follow::catch_up;
use buckthornwinch::transport::server::EntrySignals;
use buckthornwinch::transport::server::OwnerRequestHandler;
use buckthornwinch::transport::server::PeerServer;
use bytes::Bytes;
use tokio::net::TcpListener;
use tokio::time::Instant;
use tokio::time::sleep;
use tokio_util::sync::CancellationToken;

/// Time within which an acknowledged configuration must be in force.
const CONFIGURATION_TIMEOUT: Duration = Duration::from_secs(3);

/// Version that the peers have and the sidecar under test lacks.
const NEW_VERSION: u64 = 14;

/// A peer that only serves its state.
#[derive(Debug, Clone)]
struct StateServer(Arc<FleetState>);

impl OwnerRequestHandler for StateServer {
    async fn handle(&self, _request: RoutedRequest, _signals: EntrySignals) -> RequestResult {
        Err(RequestFailure::new(
            ErrorKind::NotOwner,
            "serves state only",
        ))
    }

    fn load(&self) -> OwnerLoad {
        OwnerLoad::default()
    }

    fn newer_state(&self, newer_than: Offset) -> Option<Bytes> {
        self.0.snapshot(newer_than)
    }
}

fn member(incarnation: Incarnation, address: SocketAddr) -> MemberRecord {
    MemberRecord {
        incarnation,
        node: format!("node-{incarnation}").into(),
        address,
        service: "catalogue".into(),
        domain: "zone".into(),
    }
}

fn configuration(version: u64) -> RouteConfiguration {
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

async fn listen() -> (TcpListener, SocketAddr) {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
    let address = listener.local_addr().expect("an address");
    (listener, address)
}

/// Starts a peer with the configuration `version` and the map offset `map`.
async fn start_peer(incarnation: Incarnation, version: u64, map: Offset) -> MemberRecord {
    let (listener, address) = listen().await;
    let record = member(incarnation, address);
    let fleet = Arc::new(FleetState::new(record.clone()));
    fleet.offer_configuration(configuration(version), "test");
    fleet.offer_map(RangeMap::default(), map);
    let server = PeerServer::new(incarnation, StateServer(fleet));
    tokio::spawn(server.serve(listener, CancellationToken::new()));
    record
}

/// Starts a peer that accepts connections and never responds.
async fn start_silent_peer(incarnation: Incarnation) -> MemberRecord {
    let (listener, address) = listen().await;
    tokio::spawn(async move {
        let mut open = Vec::new();
        while let Ok((stream, _from)) = listener.accept().await {
            open.push(stream);
        }
    });
    member(incarnation, address)
}

fn record_report(fleet: &FleetState, member: &MemberRecord, version: u64, map: Offset) {
    let report = PeerReport {
        incarnation: member.incarnation,
        member: Some(member.clone()),
        sequence: 1,
        gauge: UpstreamGauge::default(),
        configuration: version,
        map,
        evacuations: 0,
        era: 0,
        leaving: false,
        restricted: Vec::new(),
        departures: Vec::new(),
    };
    fleet.directory().record_report(report, since_boot());
}

async fn wait_for_version(fleet: &FleetState) -> eyre::Result<()> {
    let since = Instant::now();
    while fleet.configuration_version() != NEW_VERSION {
        eyre::ensure!(
            since.elapsed() < CONFIGURATION_TIMEOUT,
            "version {} is still in force",
            fleet.configuration_version()
        );
        sleep(Duration::from_millis(20)).await;
    }
    Ok(())
}

/// Guards against asking the same overloaded peer again and again.
#[tokio::test]
async fn a_sidecar_that_is_behind_asks_another_peer_when_one_does_not_respond() -> eyre::Result<()>
{
    let own = Arc::new(FleetState::new(member(100, "127.0.0.1:1".parse()?)));
    record_report(&own, &start_silent_peer(1).await, NEW_VERSION, 0);
    for incarnation in 2..6 {
        let peer = start_peer(incarnation, NEW_VERSION, 0).await;
        record_report(&own, &peer, NEW_VERSION, 0);
    }

    tokio::spawn(catch_up(Arc::clone(&own), TimerService));

    wait_for_version(&own).await
}

/// Guards against asking only a peer that knows a newer map and an old
/// configuration, while the map changes all the time.
#[tokio::test]
async fn a_sidecar_that_lacks_a_configuration_asks_a_peer_that_has_it() -> eyre::Result<()> {
    let own = Arc::new(FleetState::new(member(100, "127.0.0.1:1".parse()?)));
    own.offer_configuration(configuration(11), "test");
    let with_map = start_peer(1, 11, 400).await;
    let with_configuration = start_peer(2, NEW_VERSION, 0).await;
    record_report(&own, &with_configuration, NEW_VERSION, 0);
    // The peer's map is always ahead of the one that it can still send.
    record_report(&own, &with_map, 11, 500);

    tokio::spawn(catch_up(Arc::clone(&own), TimerService));

    wait_for_version(&own).await
}

/// Returns how many of 300 sidecars that are behind ask at once if `ahead` of their
/// peers are not, and how many of them the most asked peer gets.
fn asks(ahead: u64) -> (usize, usize) {
    const FLEET: u64 = 300;
    let own = FleetState::new(member(FLEET, "127.0.0.1:1".parse().expect("an address")));
    for incarnation in 1..FLEET {
        let version = if incarnation <= ahead { NEW_VERSION } else { 1 };
        let peer = member(incarnation, "127.0.0.1:2".parse().expect("an address"));
        record_report(&own, &peer, version, 0);
    }
    let known = KnownVersions {
        configuration: 1,
        ..KnownVersions::default()
    };
    let directory = own.directory();
    let asked: Vec<Incarnation> = (0..FLEET)
        .filter_map(|number| {
            let draw = CatchUpDraw {
                member: (number * 7 % FLEET) as f64 / FLEET as f64,
                turn: number as f64 / FLEET as f64,
            };
            let chosen =
                directory.choose_ahead(known, since_boot(), Duration::from_secs(1), draw)?;
            chosen.is_turn.then_some(chosen.peer.member.incarnation)
        })
        .collect();
    let most = asked
        .iter()
        .map(|peer| asked.iter().filter(|other| *other == peer).count())
        .max();
    (asked.len(), most.unwrap_or(0))
}

/// Guards against a fleet that asks the only sidecar that knows a new map all at once:
/// 309 of its questions timed out within a second.
#[test]
fn few_sidecars_at_a_time_ask_the_first_one_that_is_ahead() {
    let (from_one, most_of_one) = asks(1);
    let (from_ten, most_of_ten) = asks(10);
    let (from_all, most_of_all) = asks(290);

    assert!((1..=10).contains(&from_one), "{from_one}");
    assert_eq!(most_of_one, from_one);
    assert!((60..=90).contains(&from_ten), "{from_ten}");
    assert!(most_of_ten <= 12, "{most_of_ten}");
    assert_eq!(from_all, 300);
    assert!(most_of_all <= 3, "{most_of_all}");
}

/// Guards against a sidecar whose long read of the store hangs and that reads it anew
/// only if it is also its turn to ask a peer.
#[test]
fn a_sidecar_that_stays_behind_reads_the_store_anew_without_a_turn() {
    let own = FleetState::new(member(300, "127.0.0.1:1".parse().expect("an address")));
    for incarnation in 1..300 {
        let version = if incarnation == 1 { NEW_VERSION } else { 1 };
        let peer = member(incarnation, "127.0.0.1:2".parse().expect("an address"));
        record_report(&own, &peer, version, 0);
    }
    let known = KnownVersions {
        configuration: 1,
        ..KnownVersions::default()
    };
    let never = CatchUpDraw {
        member: 0.0,
        turn: 1.0,
    };
    let mut plan = CatchUpPlan::default();
    let interval = Duration::from_secs(1);

    let steps: Vec<CatchUpStep> = (0..4)
        .map(|_comparison| {
            plan.compare(
                &own.directory(),
                known,
                since_boot(),
                interval,
                false,
                never,
            )
        })
        .collect();

    assert!(steps.iter().all(|step| step.ask.is_none()), "{steps:?}");
    assert!(steps.iter().any(|step| step.read_operator), "{steps:?}");
}

/// Returns the size of the state that a sidecar of a fleet sends to one that has its map.
fn state_size(members: u64) -> usize {
    let own = FleetState::new(member(members, "127.0.0.1:1".parse().expect("an address")));
    own.offer_configuration(configuration(NEW_VERSION), "test");
    let holder = |incarnation: Incarnation| RangeHolder {
        incarnation,
        address: "127.0.0.1:2".parse().expect("an address"),
        service: "catalogue".into(),
        domain: "zone".into(),
        term: 1,
        voters: Vec::new(),
    };
    let map = RangeMap {
        holders: (1..members).map(holder).collect(),
        services: Vec::new(),
    };
    own.offer_map(map, 500);
    for incarnation in 1..members {
        let peer = member(incarnation, "127.0.0.1:2".parse().expect("an address"));
        own.directory().record_member(peer);
    }
    own.snapshot(500)
        .expect("a state that can be encoded")
        .len()
}

/// Guards against a configuration that waits behind the range map and all members on the
/// link of the peer that sends it.
#[test]
fn the_state_for_a_sidecar_that_lacks_a_configuration_only_does_not_grow_with_the_fleet() {
    let of_10 = state_size(10);

    let of_300 = state_size(300);

    assert_eq!(of_300, of_10);
}

/// Guards against a sidecar that has a map, lacks a newer one and is sent none.
#[tokio::test]
async fn a_sidecar_with_an_older_map_gets_the_newer_one_of_a_peer() -> eyre::Result<()> {
    let own = Arc::new(FleetState::new(member(100, "127.0.0.1:1".parse()?)));
    own.offer_map(RangeMap::default(), 400);
    let peer = start_peer(1, NEW_VERSION, 500).await;
    record_report(&own, &peer, NEW_VERSION, 500);

    tokio::spawn(catch_up(Arc::clone(&own), TimerService));

    wait_for_version(&own).await?;
    eyre::ensure!(own.map().offset == 500, "{}", own.map().offset);
    Ok(())
}

/// Returns how often a sidecar reads the map in the store in 24 comparisons, if a peer is
/// always ahead and the sidecar's own map is newer by `progress` at each of them.
fn map_reads(progress: Offset) -> usize {
    let own = FleetState::new(member(2, "127.0.0.1:1".parse().expect("an address")));
    let peer = member(1, "127.0.0.1:2".parse().expect("an address"));
    record_report(&own, &peer, 1, 10_000);
    let draw = CatchUpDraw {
        member: 0.0,
        turn: 0.0,
    };
    let mut plan = CatchUpPlan::default();
    let steps = (0..24).map(|comparison| {
        let known = KnownVersions {
            configuration: 1,
            map: 400 + comparison * progress,
            ..KnownVersions::default()
        };
        let interval = Duration::from_secs(1);
        plan.compare(&own.directory(), known, since_boot(), interval, false, draw)
    });
    steps.filter(|step| step.read_fleet).count()
}

/// Guards against a fleet that reads the map in the store whenever it changes faster than
/// sidecars compare themselves, though it reaches them by other ways.
#[test]
fn a_sidecar_whose_map_makes_progress_does_not_read_it_in_the_store() {
    let with_progress = map_reads(20);

    let without = map_reads(0);

    assert_eq!((with_progress, without), (0, 4));
}
