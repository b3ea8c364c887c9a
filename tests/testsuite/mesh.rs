//! A mesh on loopback for end-to-end tests: sidecars, store, upstreams and callers.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::AtomicU32;
use std::sync::atomic::Ordering;
use std::time::Duration;
use std::time::Instant;

use tokio::sync::oneshot;
use winch_platform::run::start_sidecar;
use winch_platform::settings::parse_settings;
use winch_standin::invariant_checker::InvariantChecker;
use winch_standin::keyed_standin::KeyedSettings;
use winch_standin::keyed_standin::KeyedStandin;
use winch_standin::relay::TcpRelay;
use winch_standin::sidecar_files::CONFIGURATION_KEY;
use winch_standin::sidecar_files::MachinePorts;
use winch_standin::sidecar_files::OPERATOR_TOPIC;
use winch_standin::sidecar_files::RouteSpec;
use winch_standin::sidecar_files::SidecarFile;
use winch_standin::sidecar_files::configuration_text;
use winch_standin::sidecar_files::free_machine_ports;
use winch_standin::store_standin::StoreStandin;

const SERVICE: &str = "catalogue";

/// Maximum wait for the mesh to serve all keys, which takes a second or two.
const SERVE_TIMEOUT: Duration = Duration::from_secs(30);

/// Time after its deadline for which a caller still waits, so that a failure at the
/// deadline is not taken for a missing answer.
const DEADLINE_MARGIN: Duration = Duration::from_secs(2);

/// First three octets of the machines' loopback addresses.
const NETWORK: [u8; 3] = [127, 0, 77];

#[derive(Debug, Clone, Copy)]
pub(crate) struct TestMachine {
    pub(crate) number: usize,
    pub(crate) ports: MachinePorts,
    /// How grants reach its upstream, as the settings name it.
    grants: &'static str,
}

impl TestMachine {
    pub(crate) fn settings(self, store: SocketAddr) -> String {
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

/// How a test ends a sidecar.
enum SidecarStop {
    /// It shuts down.
    Terminate,
    Kill,
}

/// A sidecar in a thread and a runtime of its own, so that a test can kill it
/// without a shutdown.
pub(crate) struct TestSidecar {
    stop: Option<oneshot::Sender<SidecarStop>>,
    thread: Option<std::thread::JoinHandle<()>>,
}

impl TestSidecar {
    pub(crate) fn start(machine: TestMachine, store: SocketAddr) -> Self {
        let (stop, stopped) = oneshot::channel();
        let text = machine.settings(store);
        let thread = std::thread::spawn(move || {
            let runtime = tokio::runtime::Builder::new_current_thread()
                .enable_all()
                .build()
                .expect("a runtime");
            runtime.block_on(async {
                let settings = parse_settings(&text).expect("valid settings");
                let process = start_sidecar(settings).await.expect("the ports are free");
                if let Ok(SidecarStop::Terminate) = stopped.await {
                    process.shut_down().await;
                }
            });
            // Dropping the runtime ends every task and closes every socket.
        });
        Self {
            stop: Some(stop),
            thread: Some(thread),
        }
    }

    pub(crate) fn kill(self) {
        self.end(SidecarStop::Kill);
    }

    /// Shuts the sidecar down and returns when its process would have ended.
    pub(crate) fn terminate(self) {
        self.end(SidecarStop::Terminate);
    }

    fn end(mut self, how: SidecarStop) {
        if let Some(stop) = self.stop.take() {
            // It has ended only if it panicked, which the join shows.
            let _is_running = stop.send(how).is_ok();
        }
        if let Some(thread) = self.thread.take() {
            thread.join().expect("no panic");
        }
    }
}

pub(crate) struct TestMesh {
    pub(crate) store: StoreStandin,
    pub(crate) world: InvariantChecker,
    pub(crate) machines: Vec<TestMachine>,
    pub(crate) sidecars: Vec<Option<TestSidecar>>,
    pub(crate) upstreams: Vec<KeyedStandin>,
    /// The relays to the upstreams, if [`MeshOptions::relayed`].
    pub(crate) relays: Vec<TcpRelay>,
    caller: MeshCaller,
}

/// Sends requests to a mesh. Clones share the count of requests.
#[derive(Debug, Clone)]
pub(crate) struct MeshCaller {
    client: reqwest::Client,
    sent: Arc<AtomicU32>,
}

impl MeshCaller {
    fn new() -> eyre::Result<Self> {
        let client = reqwest::Client::builder()
            .timeout(Duration::from_secs(3))
            .build()?;
        Ok(Self {
            client,
            sent: Arc::default(),
        })
    }

    /// Sends a request for a key to a machine's sidecar.
    pub(crate) async fn send(
        &self,
        machine: TestMachine,
        key: u16,
    ) -> reqwest::Result<reqwest::Response> {
        self.send_to(machine, &format!("/prices/{key}"), key).await
    }

    /// Sends a request with a path and a key to a machine's sidecar.
    pub(crate) async fn send_to(
        &self,
        machine: TestMachine,
        path: &str,
        key: u16,
    ) -> reqwest::Result<reqwest::Response> {
        let url = format!("http://{}{path}", machine.ports.callers());
        self.client
            .get(url)
            .header("host", "shop.example")
            .header("request-id", &*self.next_id())
            .header("deadline-ms", "2500")
            .header("shard-key", key.to_string())
            .send()
            .await
    }

    /// Sends a request without a key to a machine's sidecar and waits for the complete
    /// response until after the deadline. Returns the id, and the status and the
    /// `Retry-After` of the response.
    pub(crate) async fn send_until(
        &self,
        machine: TestMachine,
        path: &str,
        deadline: Duration,
    ) -> (Box<str>, reqwest::Result<(u16, Option<String>)>) {
        let id = self.next_id();
        let url = format!("http://{}{path}", machine.ports.callers());
        let call = self
            .client
            .get(url)
            .timeout(deadline + DEADLINE_MARGIN)
            .header("host", "shop.example")
            .header("request-id", &*id)
            .header("deadline-ms", deadline.as_millis().to_string());
        let received = async {
            let response = call.send().await?;
            let status = response.status().as_u16();
            let retry_after = response.headers().get("retry-after");
            let retry_after = retry_after.and_then(|value| value.to_str().ok().map(str::to_owned));
            response.bytes().await?;
            Ok((status, retry_after))
        };
        (id, received.await)
    }

    fn next_id(&self) -> Box<str> {
        let number = self.sent.fetch_add(1, Ordering::Relaxed);
        format!("request-{number}").into()
    }
}

pub(crate) fn configuration(version: u64) -> String {
    let route = RouteSpec::builder().name("prices").service(SERVICE).build();
    configuration_text(version, &[(SERVICE, true)], &[route])
}

/// How a mesh differs from the usual one.
#[derive(Debug, Clone)]
pub(crate) struct MeshOptions {
    /// How grants reach the upstreams, as the settings name it.
    pub(crate) grants: &'static str,
    /// The operator's configuration.
    pub(crate) configuration: String,
    /// Whether the service is sharded by key.
    pub(crate) sharded: bool,
    /// Prefix of the paths whose requests may run at most once.
    pub(crate) at_most_once_prefix: &'static str,
    /// Prefix of the paths whose requests crash the upstream that runs them.
    pub(crate) crash_prefix: Option<&'static str>,
    /// Whether each sidecar reaches its upstream through a relay.
    pub(crate) relayed: bool,
}

impl Default for MeshOptions {
    fn default() -> Self {
        Self {
            grants: "direct",
            configuration: configuration(4),
            sharded: true,
            at_most_once_prefix: "/",
            crash_prefix: None,
            relayed: false,
        }
    }
}

/// Returns an address of the loopback network that is free at this moment.
fn free_address() -> eyre::Result<SocketAddr> {
    let listener = std::net::TcpListener::bind(("127.0.0.1", 0))?;
    Ok(listener.local_addr()?)
}

impl TestMesh {
    pub(crate) async fn start(count: u8) -> eyre::Result<Self> {
        Self::start_with(count, "direct").await
    }

    pub(crate) async fn start_with(count: u8, grants: &'static str) -> eyre::Result<Self> {
        let options = MeshOptions {
            grants,
            ..MeshOptions::default()
        };
        Self::start_as(count, &options).await
    }

    pub(crate) async fn start_as(count: u8, options: &MeshOptions) -> eyre::Result<Self> {
        let grants = options.grants;
        let store = StoreStandin::start().await?;
        store.put(
            OPERATOR_TOPIC,
            CONFIGURATION_KEY,
            options.configuration.as_bytes(),
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
        let mut relays = Vec::new();
        for machine in &machines {
            let address = if options.relayed {
                free_address()?
            } else {
                machine.ports.upstream()
            };
            if options.relayed {
                relays.push(TcpRelay::start_at(machine.ports.upstream(), address).await?);
            }
            let settings = KeyedSettings::builder()
                .instance(format!("instance-{}", machine.number))
                .service(SERVICE)
                .address(address)
                .announced_address(machine.ports.upstream())
                .announce_to(machine.ports.announcements())
                .grants_by_heartbeat(grants == "heartbeat")
                .sharded(options.sharded)
                .at_most_once_prefix(options.at_most_once_prefix)
                .maybe_crash_prefix(options.crash_prefix)
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
            relays,
            caller: MeshCaller::new()?,
        })
    }

    /// Sends a request for a key to a machine's sidecar and returns the status;
    /// 0 if there is no response.
    pub(crate) async fn send(&mut self, machine: usize, key: u16) -> u16 {
        let sent = self.caller.send(self.machines[machine], key).await;
        sent.map_or(0, |response| response.status().as_u16())
    }

    /// Returns a sender of requests that can be moved into a task.
    pub(crate) fn caller(&self) -> MeshCaller {
        self.caller.clone()
    }

    /// Waits until requests for keys from all over the range succeed at a
    /// machine's sidecar, and returns how long that took.
    pub(crate) async fn wait_until_served(&mut self, machine: usize) -> eyre::Result<Duration> {
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

    pub(crate) fn kill(&mut self, machine: usize) {
        if let Some(sidecar) = self.sidecars[machine].take() {
            sidecar.kill();
        }
    }

    /// Starts the shutdown of a machine's sidecar. The returned thread ends with it.
    pub(crate) fn terminate(&mut self, machine: usize) -> std::thread::JoinHandle<()> {
        let sidecar = self.sidecars[machine].take();
        std::thread::spawn(move || sidecar.into_iter().for_each(TestSidecar::terminate))
    }

    pub(crate) fn restart(&mut self, machine: usize) {
        let started = TestSidecar::start(self.machines[machine], self.store.address());
        self.sidecars[machine] = Some(started);
    }

    pub(crate) fn check(&self) -> eyre::Result<()> {
        let violations = self.world.violations();
        eyre::ensure!(violations.is_empty(), "{violations:#?}");
        Ok(())
    }
}
