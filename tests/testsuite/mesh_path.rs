//! The whole path on loopback: sidecars, store, upstreams and callers.

use std::net::SocketAddr;
use std::time::Duration;
use std::time::Instant;

use eyre::WrapErr;
use serde_json::json;
use tokio::sync::oneshot;
use winch_platform::run::start_sidecar;
use winch_platform::settings::parse_settings;
use winch_standin::keyed_standin::KeyWorld;
use winch_standin::keyed_standin::KeyedSettings;
use winch_standin::keyed_standin::KeyedStandin;
use winch_standin::store_standin::StoreFaults;
use winch_standin::store_standin::StoreStandin;

const SERVICE: &str = "catalogue";

/// How long a test waits for something that takes a second or two.
const PATIENCE: Duration = Duration::from_secs(30);

/// One machine: its address, and ports that were free a moment ago.
#[derive(Debug, Clone, Copy)]
struct TestMachine {
    number: u8,
    base: u16,
}

impl TestMachine {
    fn at(self, offset: u16) -> SocketAddr {
        SocketAddr::from(([127, 0, 77, self.number], self.base + offset))
    }

    fn settings(self, store: SocketAddr) -> String {
        json!({
            "node": format!("node-{}", self.number), "ip": self.at(0).ip(),
            "zone": format!("zone-{}", self.number), "service": SERVICE, "heartbeat": "200ms",
            "listen": {"outbound": self.at(0), "readiness": self.at(1), "control": self.at(2)},
            "portRange": [self.base + 4, self.base + 5], "app": self.at(3),
            "bounds": {
                "grace": "3s", "holdMax": "10s", "retryBudgetRatio": 0.2,
                "budgetWindow": "10s", "budgetSlack": 60,
            },
            "platform": {"address": store},
        })
        .to_string()
    }
}

/// A sidecar in a thread and a runtime of its own, so that it can be killed.
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
    world: KeyWorld,
    machines: Vec<TestMachine>,
    sidecars: Vec<Option<TestSidecar>>,
    _upstreams: Vec<KeyedStandin>,
    client: reqwest::Client,
    next_id: u32,
}

fn configuration(version: u64) -> String {
    json!({
        "version": version,
        "limits": {"maxHeaderBytes": 16384, "maxBodyBytes": 1_000_000, "headerTimeout": "3s", "idleTimeout": "15s"},
        "listeners": [{"host": "shop.example", "rules": [{
            "name": "lookup", "routeType": "idempotent", "targetLatency": "1s", "priority": 0,
            "match": {"pathPrefix": "/prices/"},
            "action": {"service": SERVICE, "timeout": "2s", "maxAttempts": 1},
        }]}],
        "clusters": [{"name": SERVICE, "healthCheckPath": "/health", "maxConnections": 130, "sharding": true}],
    })
    .to_string()
}

/// Finds ports that are free on every machine's address.
fn free_base(count: u8) -> u16 {
    (0..200)
        .map(|_try| 20_000 + rand::random::<u16>() % 30_000)
        .find(|base| {
            (1..=count).all(|number| {
                (0..6).all(|offset| {
                    let address = SocketAddr::from(([127, 0, 77, number], base + offset));
                    std::net::TcpListener::bind(address).is_ok()
                })
            })
        })
        .expect("free ports")
}

impl TestMesh {
    async fn start(count: u8) -> eyre::Result<Self> {
        let store = StoreStandin::start().await?;
        store.put("keyed.op", "config", configuration(4).as_bytes());
        let world = KeyWorld::default();
        let base = free_base(count);
        let machines: Vec<_> = (1..=count)
            .map(|number| TestMachine { number, base })
            .collect();
        let mut upstreams = Vec::new();
        for machine in &machines {
            let settings = KeyedSettings::builder()
                .instance(format!("instance-{}", machine.number))
                .service(SERVICE)
                .address(machine.at(3))
                .announce_to(machine.at(2))
                .build();
            upstreams.push(KeyedStandin::start(settings, world.clone()).await?);
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
            _upstreams: upstreams,
            client: reqwest::Client::builder()
                .timeout(Duration::from_secs(3))
                .build()?,
            next_id: 0,
        })
    }

    /// Sends a request for a key and returns its status; 0 without an answer.
    async fn ask(&mut self, machine: usize, key: u16) -> u16 {
        self.next_id += 1;
        let url = format!("http://{}/prices/{key}", self.machines[machine].at(0));
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
            .map_or(0, |answer| answer.status().as_u16())
    }

    /// Waits until keys from every part are answered at a machine, and returns
    /// how long that took.
    async fn wait_until_served(&mut self, machine: usize) -> eyre::Result<Duration> {
        let start = Instant::now();
        while start.elapsed() < PATIENCE {
            let mut served = true;
            for step in 0..16 {
                served &= self.ask(machine, step * 4_000).await == 200;
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
async fn owners_serve_on_while_the_store_is_away() -> eyre::Result<()> {
    let mut mesh = TestMesh::start(3).await?;
    mesh.wait_until_served(0).await.wrap_err("at the start")?;

    mesh.store.set_faults(StoreFaults {
        silent: true,
        ..StoreFaults::default()
    });
    let away = Instant::now();
    while away.elapsed() < Duration::from_secs(4) {
        for step in 0..8 {
            eyre::ensure!(
                mesh.ask(1, step * 8_000).await == 200,
                "refused while the store is away"
            );
        }
    }
    mesh.store.set_faults(StoreFaults::default());

    mesh.check()
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_fleet_that_is_killed_at_once_takes_up_its_keys_again() -> eyre::Result<()> {
    let mut mesh = TestMesh::start(3).await?;
    mesh.wait_until_served(0).await.wrap_err("at the start")?;

    for machine in 0..3 {
        mesh.kill(machine);
    }
    mesh.store.drop_history("keyed.winch");
    mesh.store.set_faults(StoreFaults {
        lose_answer: 0.3,
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
