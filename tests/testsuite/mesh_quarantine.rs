//! End-to-end tests of requests that crash every upstream that runs them.

use std::time::Duration;

use eyre::WrapErr;
use tokio::task::JoinSet;
use tokio::time::Instant;
use tokio::time::sleep;
use winch_standin::keyed_standin::KeyedFaults;
use winch_standin::sidecar_files::RouteSpec;
use winch_standin::sidecar_files::configuration_text;
use winch_standin::store_standin::StoreFaults;

use crate::mesh::MeshCaller;
use crate::mesh::MeshOptions;
use crate::mesh::TestMachine;
use crate::mesh::TestMesh;

/// Path of the request that crashes upstreams.
const DEADLY_PATH: &str = "/prices/deadly";

/// Key of that request.
const DEADLY_KEY: u16 = 2_150;

/// Crashes after which a request must reach no further upstream.
const MAX_CRASHES: usize = 3;

/// Time after the last allowed crash within which all sidecars must know of it.
const NOTICE_TIME: Duration = Duration::from_secs(3);

/// Upstreams that may still get the request after that time.
const MAX_LATE_ARRIVALS: usize = 3;

/// Pause between two requests that crash upstreams.
const DEADLY_PAUSE: Duration = Duration::from_millis(90);

/// Time for which requests are sent.
const LOAD_TIME: Duration = Duration::from_secs(8);

/// Pause between two requests of an innocent caller.
const INNOCENT_PAUSE: Duration = Duration::from_millis(40);

/// Highest fraction of innocent requests that may fail. Those that run at a crash
/// may.
const MAX_FAILED_FRACTION: f64 = 0.1;

fn options(sharded: bool) -> MeshOptions {
    let route = RouteSpec::builder()
        .name("prices")
        .service("catalogue")
        .attempts(2)
        .build();
    MeshOptions {
        configuration: configuration_text(4, &[("catalogue", sharded)], &[route]),
        sharded,
        at_most_once_prefix: "/once/",
        crash_prefix: Some(DEADLY_PATH),
        ..MeshOptions::default()
    }
}

/// Returns when the deadly request reached any upstream, in order.
fn deadly_arrivals(mesh: &TestMesh) -> Vec<Instant> {
    let mut arrivals: Vec<Instant> = mesh
        .upstreams
        .iter()
        .flat_map(|upstream| upstream.arrivals_below(DEADLY_PATH))
        .collect();
    arrivals.sort_unstable();
    arrivals
}

async fn send_deadly(caller: &MeshCaller, machine: TestMachine) -> u16 {
    let sent = caller.send_to(machine, DEADLY_PATH, DEADLY_KEY).await;
    sent.map_or(0, |response| response.status().as_u16())
}

/// Sends the deadly request to the machines in turn until `end`.
async fn send_deadly_until(caller: MeshCaller, machines: Vec<TestMachine>, end: Instant) {
    let mut senders = JoinSet::new();
    for machine in machines.into_iter().cycle() {
        if Instant::now() >= end {
            break;
        }
        let caller = caller.clone();
        senders.spawn(async move { send_deadly(&caller, machine).await });
        sleep(DEADLY_PAUSE).await;
    }
    senders.join_all().await;
}

/// Sends requests for different keys to `machine` until `end`, each up to three
/// times. Returns how many were sent and how many were not answered.
async fn send_innocent_until(
    caller: MeshCaller,
    machine: TestMachine,
    end: Instant,
) -> (usize, usize) {
    let (mut sent, mut failed) = (0, 0);
    let mut key = 17_u16;
    while Instant::now() < end {
        key = key.wrapping_add(7_919);
        sent += 1;
        let mut answered = false;
        for _attempt in 0..3 {
            let response = caller.send(machine, key).await;
            answered = response.is_ok_and(|response| response.status() == 200);
            if answered {
                break;
            }
            sleep(Duration::from_millis(300)).await;
        }
        failed += usize::from(!answered);
        sleep(INNOCENT_PAUSE).await;
    }
    (sent, failed)
}

fn check_arrivals(mesh: &TestMesh) -> eyre::Result<()> {
    let arrivals = deadly_arrivals(mesh);
    let Some(third) = arrivals.get(MAX_CRASHES - 1) else {
        return Ok(());
    };
    let late = arrivals
        .iter()
        .filter(|arrival| **arrival > *third + NOTICE_TIME)
        .count();
    eyre::ensure!(
        late <= MAX_LATE_ARRIVALS,
        "{late} of {} arrivals are late",
        arrivals.len()
    );
    Ok(())
}

async fn run_deadly_load(sharded: bool) -> eyre::Result<()> {
    let mut mesh = TestMesh::start_as(4, &options(sharded)).await?;
    mesh.wait_until_served(0).await.wrap_err("at the start")?;
    let end = Instant::now() + LOAD_TIME;

    let mut innocent = JoinSet::new();
    for machine in &mesh.machines {
        innocent.spawn(send_innocent_until(mesh.caller(), *machine, end));
    }
    send_deadly_until(mesh.caller(), mesh.machines.clone(), end).await;
    let counts = innocent.join_all().await;

    check_arrivals(&mesh)?;
    let sent: usize = counts.iter().map(|(sent, _failed)| sent).sum();
    let failed: usize = counts.iter().map(|(_sent, failed)| failed).sum();
    eyre::ensure!(
        failed as f64 <= sent as f64 * MAX_FAILED_FRACTION,
        "{failed} of {sent} innocent requests failed"
    );
    mesh.check()
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_request_that_crashes_the_owners_of_its_key_is_kept_from_further_ones() -> eyre::Result<()>
{
    run_deadly_load(true).await
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_request_that_crashes_any_upstream_is_kept_from_further_ones() -> eyre::Result<()> {
    run_deadly_load(false).await
}

/// Sends the deadly request until it is rejected without having run.
async fn quarantine(mesh: &TestMesh) -> eyre::Result<()> {
    let end = Instant::now() + NOTICE_TIME * 3;
    let mut crashes = 0;
    while Instant::now() < end {
        let before = deadly_arrivals(mesh).len();
        let status = send_deadly(&mesh.caller(), mesh.machines[0]).await;
        crashes = deadly_arrivals(mesh).len();
        if status == 503 && crashes == before && crashes >= 2 {
            return Ok(());
        }
        sleep(Duration::from_millis(200)).await;
    }
    Err(eyre::eyre!("still runs after {crashes} crashes"))
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_restarted_sidecar_learns_what_crashes_upstreams_while_the_store_is_away()
-> eyre::Result<()> {
    let mut mesh = TestMesh::start_as(4, &options(true)).await?;
    mesh.wait_until_served(0).await.wrap_err("at the start")?;
    quarantine(&mesh).await?;
    let crashes = deadly_arrivals(&mesh).len();

    mesh.store.set_faults(StoreFaults {
        down: true,
        ..StoreFaults::default()
    });
    mesh.kill(3);
    mesh.restart(3);
    mesh.store.set_faults(StoreFaults::default());
    mesh.wait_until_served(3)
        .await
        .wrap_err("after a restart")?;
    for _repeat in 0..10 {
        send_deadly(&mesh.caller(), mesh.machines[3]).await;
    }

    assert_eq!(deadly_arrivals(&mesh).len(), crashes);
    mesh.check()
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn sidecars_that_restart_together_learn_from_the_store_what_crashes_upstreams()
-> eyre::Result<()> {
    let mut mesh = TestMesh::start_as(3, &options(true)).await?;
    mesh.wait_until_served(0).await.wrap_err("at the start")?;
    quarantine(&mesh).await?;
    let crashes = deadly_arrivals(&mesh).len();
    // The verdict is written soon after the crash.
    sleep(Duration::from_millis(500)).await;

    for machine in 0..3 {
        mesh.kill(machine);
    }
    for machine in 0..3 {
        mesh.restart(machine);
    }
    mesh.wait_until_served(1)
        .await
        .wrap_err("after all were killed")?;
    for machine in 0..3 {
        send_deadly(&mesh.caller(), mesh.machines[machine]).await;
    }

    assert_eq!(deadly_arrivals(&mesh).len(), crashes);
    mesh.check()
}

/// Guards against blaming a request for connections that break while it runs: its
/// upstream goes on.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_request_whose_connections_are_reset_is_not_blamed() -> eyre::Result<()> {
    const SLOW_PATH: &str = "/prices/slow";
    let options = MeshOptions {
        relayed: true,
        crash_prefix: None,
        ..options(true)
    };
    let mut mesh = TestMesh::start_as(3, &options).await?;
    mesh.wait_until_served(0).await.wrap_err("at the start")?;
    for upstream in &mesh.upstreams {
        upstream.set_faults(KeyedFaults {
            extra_time: Duration::from_millis(150),
            ..KeyedFaults::default()
        });
    }

    for _reset in 0..2 * MAX_CRASHES {
        let (caller, machine) = (mesh.caller(), mesh.machines[0]);
        let sent = tokio::spawn(async move { caller.send_to(machine, SLOW_PATH, 7).await });
        sleep(Duration::from_millis(60)).await;
        for relay in &mesh.relays {
            relay.reset();
        }
        drop(sent.await?);
    }

    let last = mesh
        .caller()
        .send_to(mesh.machines[1], SLOW_PATH, 7)
        .await?;
    assert_eq!(last.status().as_u16(), 200);
    mesh.check()
}

/// Guards against blaming requests that an upstream breaks off as it leaves.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn requests_at_an_upstream_that_leaves_are_not_blamed() -> eyre::Result<()> {
    const SLOW_PATH: &str = "/prices/slow";
    let mut mesh = TestMesh::start_as(4, &options(false)).await?;
    mesh.wait_until_served(0).await.wrap_err("at the start")?;
    for upstream in &mesh.upstreams {
        upstream.set_faults(KeyedFaults {
            extra_time: Duration::from_secs(1),
            ..KeyedFaults::default()
        });
    }

    // One after the other, three of four upstreams announce that they leave, and end
    // while they run the request.
    for _leaving in 0..MAX_CRASHES {
        let mut sent = JoinSet::new();
        for machine in mesh.machines.clone() {
            for _copy in 0..4 {
                let caller = mesh.caller();
                sent.spawn(async move { caller.send_to(machine, SLOW_PATH, 7).await.is_ok() });
            }
        }
        sleep(Duration::from_millis(200)).await;
        let leaving = mesh.upstreams.pop().expect("an upstream");
        leaving.drain();
        sleep(Duration::from_millis(400)).await;
        drop(leaving);
        sent.join_all().await;
    }

    let last = mesh
        .caller()
        .send_to(mesh.machines[0], SLOW_PATH, 7)
        .await?;
    assert_eq!(last.status().as_u16(), 200);
    Ok(())
}
