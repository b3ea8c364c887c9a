//! End-to-end tests on loopback: sidecars, store, upstreams and callers.

use std::net::SocketAddr;
use std::time::Duration;
use std::time::Instant;

use eyre::WrapErr;
use tokio::sync::oneshot;
use winch_platform::run::start_sidecar;
use winch_platform::settings::parse_settings;
use winch_standin::invariant_checker::InvariantChecker;
use winch_standin::keyed_standin::KeyedSettings;
use winch_standin::keyed_standin::KeyedStandin;
use winch_standin::sidecar_files::CONFIGURATION_KEY;
use winch_standin::sidecar_files::FLEET_TOPIC;
use winch_standin::sidecar_files::MachinePorts;
use winch_standin::sidecar_files::OPERATOR_TOPIC;
use winch_standin::sidecar_files::RouteSpec;
use winch_standin::sidecar_files::SidecarFile;
use winch_standin::sidecar_files::configuration_text;
use winch_standin::sidecar_files::free_machine_ports;
use winch_standin::store_standin::StoreFaults;
use winch_standin::store_standin::StoreStandin;

const SERVICE: &str = "catalogue";

/// Maximum wait for the mesh to serve all keys, which takes a second or two.
const SERVE_TIMEOUT: Duration = Duration::from_secs(30);

/// First three octets of the machines' loopback addresses.
const NETWORK: [u8; 3] = [127, 0, 77];

#[derive(Debug, Clone, Copy)]
struct TestMachine {
    number: usize,
    ports: MachinePorts,
    /// How grants reach its upstream, as the settings name it.
    grants: &'static str,
}

impl TestMachine {
    fn settings(self, store: SocketAddr) -> String {
        SidecarFile::builder()
            .node(format!("node-{}", self.number))
            .zone(format!("zone-{}", self.number))
            .service(SERVICE)
            .ports(self.ports)
            .upstream(self.ports.upstream())
            .store(store)
            .grants(self.grants)
            .build()
            .text()
    }
}

/// A sidecar in a thread and a runtime of its own, so that a test can kill it
/// without a shutdown.
struct TestSidecar {
    stop: Option<oneshot::Sender<()>>,
    thread: Option<std::thread::JoinHandle<()>>,
}

impl TestSidecar {
    fn start(machine: TestMachine, store: SocketAddr) -> Self {
        let (stop, stopped) = oneshot::channel::<()>();
        let text = machine.settings(store);
        let thread = std::thread::spawn(move || {
            let runtime = tokio::runtime::Builder::new_current_thread()
                .enable_all()
                .build()
                .expect("a runtime");
            runtime.block_on(async {
                let settings = parse_settings(&text).expect("valid settings");
                let _process = start_sidecar(settings).await.expect("the ports are free");
                drop(stopped.await);
            });
            // Dropping the runtime ends every task and closes every socket.
        });
        Self {
            stop: Some(stop),
            thread: Some(thread),
        }
    }

    fn kill(mut self) {
        drop(self.stop.take());
        if let Some(thread) = self.thread.take() {
            thread.join().expect("no panic");
        }
    }
}

struct TestMesh {
    store: StoreStandin,
    world: InvariantChecker,
    machines: Vec<TestMachine>,
    sidecars: Vec<Option<TestSidecar>>,
    upstreams: Vec<KeyedStandin>,
    client: reqwest::Client,
    next_id: u32,
}

fn configuration(version: u64) -> String {
    let route = RouteSpec::builder().name("prices").service(SERVICE).build();
    configuration_text(version, &[(SERVICE, true)], &[route])
}

impl TestMesh {
    async fn start(count: u8) -> eyre::Result<Self> {
        Self::start_with(count, "direct").await
    }

    async fn start_with(count: u8, grants: &'static str) -> eyre::Result<Self> {
        let store = StoreStandin::start().await?;
        store.put(
            OPERATOR_TOPIC,
            CONFIGURATION_KEY,
            configuration(4).as_bytes(),
        );
        let world = InvariantChecker::default();
        let machines: Vec<_> = free_machine_ports(NETWORK, count)
            .into_iter()
            .enumerate()
            .map(|(number, ports)| TestMachine {
                number,
                ports,
                grants,
            })
            .collect();
        let mut upstreams = Vec::new();
        for machine in &machines {
            let settings = KeyedSettings::builder()
                .instance(format!("instance-{}", machine.number))
                .service(SERVICE)
                .address(machine.ports.upstream())
                .announce_to(machine.ports.announcements())
                .grants_by_heartbeat(grants == "heartbeat")
                .build();
            upstreams.push(KeyedStandin::start(settings, world.clone())?);
        }
        let sidecars = machines
            .iter()
            .map(|machine| Some(TestSidecar::start(*machine, store.address())))
            .collect();
        Ok(Self {
            store,
            world,
            machines,
            sidecars,
            upstreams,
            client: reqwest::Client::builder()
                .timeout(Duration::from_secs(3))
                .build()?,
            next_id: 0,
        })
    }

    /// Sends a request for a key to a machine's sidecar and returns the status;
    /// 0 if there is no response.
    async fn send(&mut self, machine: usize, key: u16) -> u16 {
        self.next_id += 1;
        let url = format!(
            "http://{}/prices/{key}",
            self.machines[machine].ports.callers()
        );
        let request = self
            .client
            .get(url)
            .header("host", "shop.example")
            .header("request-id", format!("request-{}", self.next_id))
            .header("deadline-ms", "2500")
            .header("shard-key", key.to_string());
        request
            .send()
            .await
            .map_or(0, |response| response.status().as_u16())
    }

    /// Waits until requests for keys from all over the range succeed at a
    /// machine's sidecar, and returns how long that took.
    async fn wait_until_served(&mut self, machine: usize) -> eyre::Result<Duration> {
        let start = Instant::now();
        while start.elapsed() < SERVE_TIMEOUT {
            let mut served = true;
            for step in 0..16 {
                served &= self.send(machine, step * 4_000).await == 200;
            }
            if served {
                return Ok(start.elapsed());
            }
            tokio::time::sleep(Duration::from_millis(50)).await;
        }
        Err(eyre::eyre!("keys are not served at machine {machine}"))
    }

    fn kill(&mut self, machine: usize) {
        if let Some(sidecar) = self.sidecars[machine].take() {
            sidecar.kill();
        }
    }

    fn restart(&mut self, machine: usize) {
        let started = TestSidecar::start(self.machines[machine], self.store.address());
        self.sidecars[machine] = Some(started);
    }

    fn check(&self) -> eyre::Result<()> {
        let violations = self.world.violations();
        eyre::ensure!(violations.is_empty(), "{violations:#?}");
        Ok(())
    }
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn keys_of_a_killed_owner_are_served_again_by_the_others() -> eyre::Result<()> {
    let mut mesh = TestMesh::start(3).await?;
    mesh.wait_until_served(0).await.wrap_err("at the start")?;

    mesh.kill(2);
    mesh.wait_until_served(0).await.wrap_err("after a loss")?;
    mesh.restart(2);
    mesh.wait_until_served(2)
        .await
        .wrap_err("after a restart")?;

    mesh.check()
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn owners_keep_serving_while_the_store_is_silent() -> eyre::Result<()> {
    let mut mesh = TestMesh::start(3).await?;
    mesh.wait_until_served(0).await.wrap_err("at the start")?;

    mesh.store.set_faults(StoreFaults {
        silent: true,
        ..StoreFaults::default()
    });
    let silent_since = Instant::now();
    while silent_since.elapsed() < Duration::from_secs(4) {
        for step in 0..8 {
            eyre::ensure!(
                mesh.send(1, step * 8_000).await == 200,
                "request failed while the store is silent"
            );
        }
    }
    mesh.store.set_faults(StoreFaults::default());

    mesh.check()
}

/// Guards against a configuration that takes effect only after the wait of a
/// long poll: polls that were open when the store went silent are never
/// answered.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_configuration_takes_effect_soon_after_the_store_was_silent() -> eyre::Result<()> {
    /// Far below the wait of one long poll.
    const MAX_DELAY: Duration = Duration::from_secs(10);
    let mut mesh = TestMesh::start(3).await?;
    mesh.wait_until_served(0).await.wrap_err("at the start")?;
    mesh.store.set_faults(StoreFaults {
        silent: true,
        ..StoreFaults::default()
    });
    tokio::time::sleep(Duration::from_millis(200)).await;
    mesh.store.set_faults(StoreFaults::default());

    let changed = configuration(5).replace("/prices/", "/offers/");
    mesh.store
        .put(OPERATOR_TOPIC, CONFIGURATION_KEY, changed.as_bytes());

    let written = Instant::now();
    for machine in 0..3 {
        while mesh.send(machine, 1).await != 404 {
            eyre::ensure!(
                written.elapsed() < MAX_DELAY,
                "machine {machine} still uses the old configuration"
            );
            tokio::time::sleep(Duration::from_millis(50)).await;
        }
    }
    Ok(())
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_fleet_serves_its_keys_again_after_all_sidecars_are_killed_at_once() -> eyre::Result<()> {
    let mut mesh = TestMesh::start(3).await?;
    mesh.wait_until_served(0).await.wrap_err("at the start")?;

    for machine in 0..3 {
        mesh.kill(machine);
    }
    mesh.store.truncate_history(FLEET_TOPIC);
    mesh.store.set_faults(StoreFaults {
        lose_response: 0.3,
        delay: Duration::from_millis(20),
        ..StoreFaults::default()
    });
    for machine in 0..3 {
        mesh.restart(machine);
    }
    mesh.wait_until_served(1)
        .await
        .wrap_err("after all were killed")?;

    mesh.check()
}

/// Guards against keys that stay without service: the only voters who could refuse
/// the lost owner have all been replaced by later processes.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn keys_of_a_lost_owner_are_served_again_after_all_its_voters_restart() -> eyre::Result<()> {
    let mut mesh = TestMesh::start(4).await?;
    mesh.wait_until_served(0).await.wrap_err("at the start")?;

    for machine in 0..4 {
        mesh.kill(machine);
    }
    drop(mesh.upstreams.pop());
    for machine in 0..3 {
        mesh.restart(machine);
    }
    mesh.wait_until_served(1)
        .await
        .wrap_err("with one owner lost and the others restarted")?;

    mesh.check()
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn keys_granted_in_heartbeats_survive_the_loss_and_return_of_an_owner() -> eyre::Result<()> {
    let mut mesh = TestMesh::start_with(3, "heartbeat").await?;
    mesh.wait_until_served(0).await.wrap_err("at the start")?;

    mesh.kill(2);
    mesh.wait_until_served(0).await.wrap_err("after a loss")?;
    mesh.restart(2);
    mesh.wait_until_served(2)
        .await
        .wrap_err("after a restart")?;

    mesh.check()
}

/// Guards against keys that are lost with an upstream that drains: they are left
/// out of its answers and go to the others.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn keys_granted_in_heartbeats_leave_a_draining_upstream() -> eyre::Result<()> {
    let mut mesh = TestMesh::start_with(3, "heartbeat").await?;
    mesh.wait_until_served(0).await.wrap_err("at the start")?;

    mesh.upstreams[1].drain();
    tokio::time::sleep(Duration::from_secs(3)).await;
    mesh.wait_until_served(1)
        .await
        .wrap_err("while one upstream drains")?;

    mesh.check()
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn keys_granted_in_heartbeats_are_served_while_the_store_is_silent() -> eyre::Result<()> {
    let mut mesh = TestMesh::start_with(3, "heartbeat").await?;
    mesh.wait_until_served(0).await.wrap_err("at the start")?;

    mesh.store.set_faults(StoreFaults {
        silent: true,
        ..StoreFaults::default()
    });
    let silent_since = Instant::now();
    while silent_since.elapsed() < Duration::from_secs(4) {
        for step in 0..8 {
            eyre::ensure!(
                mesh.send(1, step * 8_000).await == 200,
                "request failed while the store is silent"
            );
        }
    }

    mesh.check()
}
