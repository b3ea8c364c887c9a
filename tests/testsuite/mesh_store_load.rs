//! Load that sidecars put on the store while their writes of the map conflict.

use std::time::Duration;

use eyre::WrapErr;
use tokio::time::sleep;
use winch_standin::sidecar_files::FLEET_TOPIC;
use winch_standin::sidecar_files::OPERATOR_TOPIC;
use winch_standin::store_standin::StoreFaults;

use crate::mesh::TestMesh;

const SIDECARS: u8 = 4;

/// Time for which conflicts are counted, after the loss of an owner is proven.
const COUNTED_TIME: Duration = Duration::from_secs(3);

/// Conflicts that one sidecar may cause while it cannot read how the topic goes on:
/// each of its appends names the same end.
const MAX_CONFLICTS: u64 = 1;

/// Guards against appends that cannot succeed: owners of keys repeated them every
/// 15 ms with the same expected end, until the store refused half of all calls.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn an_append_that_has_conflicted_is_not_repeated_with_the_same_end() -> eyre::Result<()> {
    let mut mesh = TestMesh::start(SIDECARS).await?;
    mesh.wait_until_served(0).await.wrap_err("at the start")?;
    mesh.store.set_faults(StoreFaults {
        refuse_reads: true,
        ..StoreFaults::default()
    });
    mesh.store.put(FLEET_TOPIC, "another/record", b"value");
    let before = mesh.store.conflicts();

    // The others are to divide the keys of a lost owner.
    mesh.kill(3);
    drop(mesh.upstreams.pop());
    sleep(COUNTED_TIME).await;

    let conflicts = mesh.store.conflicts() - before;
    eyre::ensure!(
        (1..=MAX_CONFLICTS * u64::from(SIDECARS - 1)).contains(&conflicts),
        "{conflicts} appends conflicted"
    );
    mesh.store.set_faults(StoreFaults::default());
    mesh.wait_until_served(1)
        .await
        .wrap_err("with reads again")?;
    mesh.check()
}

/// Guards against a fleet that starts at once and asks the store for twice what its
/// bandwidth allows, since each sidecar reads all newest records before and after it
/// announces itself.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_sidecar_that_starts_reads_the_newest_records_of_each_topic_once() -> eyre::Result<()> {
    let mut mesh = TestMesh::start(SIDECARS).await?;

    mesh.wait_until_served(0).await.wrap_err("at the start")?;

    let reads = [FLEET_TOPIC, OPERATOR_TOPIC].map(|topic| mesh.store.newest_reads(topic));
    eyre::ensure!(
        reads == [u64::from(SIDECARS); 2],
        "{reads:?} reads of {SIDECARS} sidecars"
    );
    mesh.check()
}

/// Guards against a first read that is given up and repeated when it takes longer than
/// the start waits for it.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_first_read_that_outlasts_the_start_is_used_when_it_arrives() -> eyre::Result<()> {
    let mut mesh = TestMesh::start(SIDECARS).await?;
    mesh.wait_until_served(0).await.wrap_err("at the start")?;
    let before = mesh.store.newest_reads(FLEET_TOPIC);
    mesh.kill(1);
    mesh.store.set_faults(StoreFaults {
        delay: Duration::from_secs(1),
        ..StoreFaults::default()
    });

    mesh.restart(1);

    mesh.wait_until_served(1)
        .await
        .wrap_err("after a restart beside a slow store")?;
    let reads = mesh.store.newest_reads(FLEET_TOPIC) - before;
    eyre::ensure!(reads == 1, "{reads} reads of the newest records");
    mesh.check()
}
