//! Records and announcements that another writer left, which name nothing to use.

use std::time::Duration;

use buckthornwinch::sidecar::upstream::LocalUpstreamRegistry;
use eyre::WrapErr;
use tokio::time::Instant;
use tokio::time::sleep;
use winch_platform::announcements::AnnouncementHandler;
use winch_standin::sidecar_files::CONFIGURATION_KEY;
use winch_standin::sidecar_files::FLEET_TOPIC;
use winch_standin::sidecar_files::OPERATOR_TOPIC;

use crate::mesh::TestMesh;
use crate::mesh::configuration;

/// Depth of nesting far beyond what a recursive decoder bears.
const NESTING: usize = 200_000;

/// Nesting that fits into an announcement.
const ANNOUNCED_NESTING: usize = 7_000;

/// Time within which a configuration must be in force.
const CONFIGURATION_TIMEOUT: Duration = Duration::from_secs(3);

fn nested(depth: usize) -> String {
    "[".repeat(depth) + &"]".repeat(depth)
}

fn announcement(address: &str, slots: &str, sequence: &str, other: &str) -> String {
    format!(
        "{{\"service\":\"orders\",\"address\":\"{address}\",\"slots\":{slots},\
         \"state\":\"ready\",\"seq\":{sequence},\"other\":{other}}}"
    )
}

#[tokio::test]
async fn odd_announcements_name_no_upstream_and_leave_the_known_one() {
    const ADDRESS: &str = "127.0.0.1:8000";
    let registry = LocalUpstreamRegistry::new(Duration::from_secs(1));
    let upstream = ADDRESS.parse().expect("an address");
    let handler = AnnouncementHandler::new(registry.clone(), upstream);
    let valid = announcement(ADDRESS, "4", "1", "0");
    handler
        .accept_heartbeat("i-1", valid.as_bytes())
        .expect("valid");
    let known = registry.current();

    for odd in [
        announcement("127.0.0.1:70000", "4", "2", "0"),
        announcement("127.0.0.1:-1", "4", "2", "0"),
        announcement(ADDRESS, "99999999999999999999", "2", "0"),
        announcement(ADDRESS, "4", "1e999", "0"),
        announcement(ADDRESS, "4", "-2", "0"),
        announcement(ADDRESS, &nested(ANNOUNCED_NESTING), "2", "0"),
        nested(ANNOUNCED_NESTING),
        "{\"service\":".into(),
        "\u{0}".into(),
    ] {
        let rejected = handler.accept_heartbeat("i-1", odd.as_bytes());

        assert!(rejected.is_err(), "{}", odd.get(..80).unwrap_or(&odd));
    }
    assert_eq!(registry.current(), known);
    let next = announcement(ADDRESS, "4", "2", &nested(ANNOUNCED_NESTING));
    handler
        .accept_heartbeat("i-1", next.as_bytes())
        .expect("a field that is not known is ignored");
}

/// Guards against sidecars that end, or no longer follow the store, because of a
/// record that cannot be read.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn sidecars_follow_the_store_past_odd_records() -> eyre::Result<()> {
    let mut mesh = TestMesh::start(3).await?;
    mesh.wait_until_served(0).await.wrap_err("at the start")?;
    let odd_number = configuration(7).replace("\"version\":7", "\"version\":1e999");
    let odd_time = configuration(8).replace("\"2s\"", "\"1e300s\"");
    let deep = nested(NESTING);

    for odd in [
        deep.as_bytes(),
        odd_number.as_bytes(),
        odd_time.as_bytes(),
        b"\xff\x00",
    ] {
        mesh.store.put(OPERATOR_TOPIC, CONFIGURATION_KEY, odd);
        mesh.store.put(OPERATOR_TOPIC, "servers/odd", odd);
        for key in [
            "ranges",
            "member/odd",
            "member/node-1",
            "quarantine/1",
            "another",
        ] {
            mesh.store.put(FLEET_TOPIC, key, odd);
        }
    }
    mesh.store.put(FLEET_TOPIC, "", b"");
    // A sidecar that starts reads the newest record of each key.
    mesh.kill(2);
    mesh.restart(2);

    let changed = configuration(9).replace("/prices/", "/offers/");
    mesh.store
        .put(OPERATOR_TOPIC, CONFIGURATION_KEY, changed.as_bytes());
    let written = Instant::now();
    for machine in 0..3 {
        while mesh.send(machine, 1).await != 404 {
            eyre::ensure!(
                written.elapsed() < CONFIGURATION_TIMEOUT,
                "machine {machine} does not follow the store"
            );
            sleep(Duration::from_millis(20)).await;
        }
    }
    Ok(())
}

/// Guards against an overflow of the clock, which closed the connection without an
/// answer.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_request_with_the_largest_deadline_is_served() -> eyre::Result<()> {
    let mut mesh = TestMesh::start(2).await?;
    mesh.wait_until_served(0).await.wrap_err("at the start")?;

    let url = format!("http://{}/prices/1", mesh.machines[0].ports.callers());
    let response = reqwest::Client::new()
        .get(url)
        .header("host", "shop.example")
        .header("request-id", "largest-deadline")
        .header("deadline-ms", u64::MAX.to_string())
        .header("shard-key", "1")
        .send()
        .await?;

    assert_eq!(response.status().as_u16(), 200);
    mesh.check()
}
