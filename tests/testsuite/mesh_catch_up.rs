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
use buckthornwinch::peers::message::MemberRecord;
use buckthornwinch::peers::message::PeerReport;
use buckthornwinch::peers::message::UpstreamGauge;
use buckthornwinch::ranges::map::RangeMap;
use buckthornwinch::routes::configuration::CallerLimits;
use buckthornwinch::routes::configuration::RouteConfiguration;
use buckthornwinch::sidecar::fleet::FleetState;
use buckthornwinch::sidecar::follow::catch_up;
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
    async fn handle(&self, _request: RoutedRequest, _gone: CancellationToken) -> RequestResult {
        Err(RequestFailure::new(
            ErrorKind::NotOwner,
            "serves state only",
        ))
    }

    fn load(&self) -> OwnerLoad {
        OwnerLoad::default()
    }

    fn newer_state(&self, _newer_than: Offset) -> Option<Bytes> {
        self.0.snapshot()
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
        leaving: false,
        restricted: Vec::new(),
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
