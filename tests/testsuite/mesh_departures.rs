//! End-to-end tests of upstreams that leave while their sidecar is killed: what a
//! sidecar has acknowledged binds the process that replaces it.

use std::time::Duration;

use eyre::WrapErr;
use tokio::time::Instant;
use tokio::time::sleep;
use tokio::time::sleep_until;
use winch_standin::keyed_standin::KeyedFaults;
use winch_standin::sidecar_files::RouteSpec;
use winch_standin::sidecar_files::configuration_text;
use winch_standin::store_standin::StoreFaults;

use crate::mesh::MeshOptions;
use crate::mesh::TestMesh;

/// Machine whose upstream leaves.
const LEAVING: usize = 1;

/// Time after the acknowledgement from which on no request may reach the upstream.
const DRAIN_LIMIT: Duration = Duration::from_millis(2_500);

/// Time for which requests are sent after the late announcement. An upstream counts
/// as present for 600 ms after an announcement.
const CALL_TIME: Duration = Duration::from_secs(1);

/// How an upstream tells its sidecar that it leaves.
#[derive(Debug, Clone, Copy)]
enum Departure {
    Deregisters,
    AnnouncesDraining,
    /// Its responses say so, its announcements do not.
    StatesLeaving,
}

async fn start_mesh() -> eyre::Result<TestMesh> {
    let route = RouteSpec::builder()
        .name("prices")
        .service("catalogue")
        .build();
    let options = MeshOptions {
        configuration: configuration_text(4, &[("catalogue", false)], &[route]),
        sharded: false,
        ..MeshOptions::default()
    };
    let mut mesh = TestMesh::start_as(3, &options).await?;
    for machine in 0..3 {
        mesh.wait_until_served(machine)
            .await
            .wrap_err("at the start")?;
    }
    Ok(mesh)
}

/// Lets the upstream leave and waits for the acknowledgement.
async fn leave(mesh: &TestMesh, departure: Departure) -> eyre::Result<Instant> {
    let upstream = &mesh.upstreams[LEAVING];
    match departure {
        Departure::Deregisters => upstream.deregister().await?,
        Departure::AnnouncesDraining => {
            upstream.drain();
            while !mesh.world.is_draining("instance-1") {
                sleep(Duration::from_millis(5)).await;
            }
        }
        Departure::StatesLeaving => {
            upstream.set_faults(KeyedFaults {
                leaving: true,
                ..KeyedFaults::default()
            });
            let before = upstream.arrivals().len();
            while upstream.arrivals().len() == before {
                mesh.caller().send(mesh.machines[LEAVING], 0).await?;
            }
            // The sidecar writes and reports it.
            sleep(Duration::from_secs(1)).await;
            mesh.world.record_drain("instance-1", Instant::now());
        }
    }
    Ok(Instant::now())
}

/// Delivers a late announcement once no request may reach the upstream any more, sends
/// requests, and returns how many reached it.
async fn count_late_arrivals(mesh: &mut TestMesh, acknowledged: Instant) -> eyre::Result<usize> {
    sleep_until(acknowledged + DRAIN_LIMIT).await;
    for machine in 0..3 {
        mesh.wait_until_served(machine).await?;
    }
    let before = mesh.upstreams[LEAVING].arrivals().len();
    mesh.upstreams[LEAVING].repeat_announcement().await?;
    let end = Instant::now() + CALL_TIME;
    while Instant::now() < end {
        for machine in 0..3 {
            mesh.send(machine, 0).await;
        }
        sleep(Duration::from_millis(5)).await;
    }
    mesh.check()?;
    Ok(mesh.upstreams[LEAVING].arrivals().len() - before)
}

/// Guards against a deregistration that only the killed process knew: its successor
/// took a late announcement for news and sent requests to the upstream that leaves.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_late_announcement_brings_no_requests_to_a_deregistered_upstream() -> eyre::Result<()> {
    let mut mesh = start_mesh().await?;

    let acknowledged = leave(&mesh, Departure::Deregisters).await?;
    mesh.kill(LEAVING);
    mesh.restart(LEAVING);

    assert_eq!(count_late_arrivals(&mut mesh, acknowledged).await?, 0);
    Ok(())
}

/// As above, for an upstream that announced that it drains and then fell silent.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_late_announcement_brings_no_requests_to_a_draining_upstream() -> eyre::Result<()> {
    let mut mesh = start_mesh().await?;

    let acknowledged = leave(&mesh, Departure::AnnouncesDraining).await?;
    mesh.upstreams[LEAVING].fall_silent();
    mesh.kill(LEAVING);
    mesh.restart(LEAVING);

    assert_eq!(count_late_arrivals(&mut mesh, acknowledged).await?, 0);
    Ok(())
}

/// Guards against a departure that is kept by the fleet alone.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_departure_is_known_after_all_sidecars_were_killed() -> eyre::Result<()> {
    let mut mesh = start_mesh().await?;

    let acknowledged = leave(&mesh, Departure::Deregisters).await?;
    for machine in 0..3 {
        mesh.kill(machine);
    }
    for machine in 0..3 {
        mesh.restart(machine);
    }

    assert_eq!(count_late_arrivals(&mut mesh, acknowledged).await?, 0);
    Ok(())
}

/// Guards against a departure that is kept in the store alone.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_departure_is_known_while_the_store_is_silent() -> eyre::Result<()> {
    let mut mesh = start_mesh().await?;
    mesh.store.set_faults(StoreFaults {
        silent: true,
        ..StoreFaults::default()
    });

    let acknowledged = leave(&mesh, Departure::Deregisters).await?;
    mesh.kill(LEAVING);
    mesh.restart(LEAVING);

    assert_eq!(count_late_arrivals(&mut mesh, acknowledged).await?, 0);
    Ok(())
}

/// Guards against a departure that the store lost when it came back from a copy.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_departure_is_known_after_the_store_came_back_from_a_copy() -> eyre::Result<()> {
    let mut mesh = start_mesh().await?;
    let copy = mesh.store.copy();

    let acknowledged = leave(&mesh, Departure::Deregisters).await?;
    mesh.store.restore(copy);
    // The sidecars see the new era and write again what they know.
    sleep(Duration::from_secs(2)).await;
    for machine in 0..3 {
        mesh.kill(machine);
    }
    for machine in 0..3 {
        mesh.restart(machine);
    }

    assert_eq!(count_late_arrivals(&mut mesh, acknowledged).await?, 0);
    Ok(())
}

/// Guards against a departure that outlives one restart only: the second process had it
/// from the peers and had not reported it yet.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_departure_is_known_after_two_restarts_while_the_store_is_silent() -> eyre::Result<()> {
    let mut mesh = start_mesh().await?;
    mesh.store.set_faults(StoreFaults {
        silent: true,
        ..StoreFaults::default()
    });

    let acknowledged = leave(&mesh, Departure::AnnouncesDraining).await?;
    mesh.upstreams[LEAVING].fall_silent();
    for pause in [50, 900] {
        mesh.kill(LEAVING);
        mesh.restart(LEAVING);
        sleep(Duration::from_millis(pause)).await;
    }

    assert_eq!(count_late_arrivals(&mut mesh, acknowledged).await?, 0);
    Ok(())
}

/// What entries have passed on is lost with them.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_stated_departure_is_known_after_all_sidecars_were_killed() -> eyre::Result<()> {
    let mut mesh = start_mesh().await?;

    let acknowledged = leave(&mesh, Departure::StatesLeaving).await?;
    mesh.upstreams[LEAVING].fall_silent();
    mesh.upstreams[LEAVING].set_faults(KeyedFaults::default());
    for machine in 0..3 {
        mesh.kill(machine);
    }
    for machine in 0..3 {
        mesh.restart(machine);
    }

    assert_eq!(count_late_arrivals(&mut mesh, acknowledged).await?, 0);
    Ok(())
}
