//! The processes, links and stand-ins of a run.

use std::net::IpAddr;
use std::net::SocketAddr;
use std::path::Path;
use std::path::PathBuf;

use eyre::WrapErr;
use tokio::time::Instant;
use winch_bench::fleet::process::ChildProcess;
use winch_bench::fleet::process::ProcessCommand;
use winch_bench::fleet::process::ProcessSignal;
use winch_standin::key_world::KeyWorld;
use winch_standin::keyed_standin::KeyedSettings;
use winch_standin::keyed_standin::KeyedStandin;
use winch_standin::relay::TcpRelay;
use winch_standin::sidecar_files::CONFIGURATION_KEY;
use winch_standin::sidecar_files::MachinePorts;
use winch_standin::sidecar_files::OPERATOR_TOPIC;
use winch_standin::sidecar_files::RouteFile;
use winch_standin::sidecar_files::SidecarFile;
use winch_standin::sidecar_files::configuration_text;
use winch_standin::sidecar_files::free_machine_ports;
use winch_standin::store_standin::StoreStandin;

use crate::datagrams::DatagramRelay;
use crate::ledger::SoakLedger;
use crate::plan::MachineIndex;

/// Loopback network of the machines.
const MACHINE_NETWORK: [u8; 3] = [127, 0, 78];

/// Third part of the loopback addresses at which the relays stand.
const RELAY_NETWORK: u8 = 79;

/// The service that is divided by key.
const DIVIDED_SERVICE: &str = "catalogue";

/// The service whose requests may run once at most.
const ORDER_SERVICE: &str = "orders";

/// How a fleet is set up.
#[derive(Debug, Clone)]
pub struct FleetShape {
    /// Number of machines.
    pub machines: u8,
    /// The sidecar's program.
    pub sidecar: PathBuf,
    /// Where settings files and logs go.
    pub directory: PathBuf,
}

/// One machine: a sidecar and an upstream.
#[derive(Debug)]
pub struct SoakMachine {
    /// Its ports.
    pub ports: MachinePorts,
    /// The sidecar.
    pub process: ChildProcess,
    /// Whether the sidecar is to run, as far as the faults go.
    pub runs: bool,
    /// The upstream; none while it is down.
    pub upstream: Option<KeyedStandin>,
    /// Name of the newest upstream.
    pub instance: Box<str>,
    upstream_lives: u32,
    /// Between the sidecar and the store.
    pub store_link: TcpRelay,
    /// Between the sidecar and its upstream.
    pub upstream_link: TcpRelay,
    /// Between other sidecars and this one.
    pub peer_link: TcpRelay,
}

/// Everything that runs. The processes end when this is dropped.
#[derive(Debug)]
pub struct SoakFleet {
    /// The machines.
    pub machines: Vec<SoakMachine>,
    /// The store.
    pub store: StoreStandin,
    /// What the upstreams saw.
    pub world: KeyWorld,
    /// The relay of datagrams.
    pub datagrams: DatagramRelay,
    version: u64,
}

/// Returns the service of a machine's upstream.
fn service_of(machine: MachineIndex) -> &'static str {
    if machine.is_multiple_of(2) {
        DIVIDED_SERVICE
    } else {
        ORDER_SERVICE
    }
}

fn relay_address(address: SocketAddr) -> SocketAddr {
    let IpAddr::V4(ip) = address.ip() else {
        return address;
    };
    let [first, second, _third, fourth] = ip.octets();
    SocketAddr::from(([first, second, RELAY_NETWORK, fourth], address.port()))
}

fn configuration(version: u64) -> String {
    let only = format!("only-{version}");
    let routes = [
        RouteFile::builder()
            .name("prices")
            .service(DIVIDED_SERVICE)
            .attempts(2)
            .build(),
        RouteFile::builder()
            .name("slow")
            .service(DIVIDED_SERVICE)
            .attempts(2)
            .build(),
        RouteFile::builder()
            .name("orders")
            .service(ORDER_SERVICE)
            .idempotent(false)
            .attempts(2)
            .build(),
        RouteFile::builder()
            .name(only)
            .service(DIVIDED_SERVICE)
            .build(),
    ];
    let services = [(DIVIDED_SERVICE, true), (ORDER_SERVICE, false)];
    configuration_text(version, &services, &routes)
}

impl SoakFleet {
    /// Starts a fleet.
    ///
    /// # Errors
    ///
    /// Fails if a part cannot be started.
    pub async fn start(shape: &FleetShape, ledger: &SoakLedger) -> eyre::Result<Self> {
        let store = StoreStandin::start().await?;
        let world = KeyWorld::default();
        let ports = free_machine_ports(MACHINE_NETWORK, shape.machines);
        let peers: Vec<SocketAddr> = ports.iter().map(|ports| ports.peers()).collect();
        let advertised: Vec<SocketAddr> = peers.iter().copied().map(relay_address).collect();
        let datagrams = DatagramRelay::start(peers, &advertised).await?;
        let mut fleet = Self {
            machines: Vec::new(),
            store,
            world,
            datagrams,
            version: 0,
        };
        fleet.change_configuration(ledger);
        for (machine, ports) in ports.into_iter().enumerate() {
            let started = fleet.start_machine(shape, machine, ports).await?;
            fleet.machines.push(started);
            fleet.start_upstream(machine, true)?;
            ledger.start_life(machine);
        }
        Ok(fleet)
    }

    async fn start_machine(
        &self,
        shape: &FleetShape,
        machine: MachineIndex,
        ports: MachinePorts,
    ) -> eyre::Result<SoakMachine> {
        let link = async |near: SocketAddr, far: SocketAddr| {
            TcpRelay::start_at(relay_address(near), far)
                .await
                .wrap_err("cannot start a relay")
        };
        let store_link = link(ports.announcements(), self.store.address()).await?;
        let upstream_link = link(ports.upstream(), ports.upstream()).await?;
        let peer_link = link(ports.peers(), ports.peers()).await?;
        let name = format!("node-{machine}");
        let text = SidecarFile::builder()
            .node(&*name)
            .zone(format!("zone-{}", machine % 2))
            .service(service_of(machine))
            .ports(ports)
            .upstream(upstream_link.address())
            .store(store_link.address())
            .build()
            .text();
        let file = shape.directory.join(format!("{name}.json"));
        std::fs::write(&file, text).wrap_err("cannot write a settings file")?;
        let process = ChildProcess::start(ProcessCommand {
            name: name.into(),
            program: shape.sidecar.clone(),
            arguments: sidecar_arguments(&file, peer_link.address()),
            output_directory: shape.directory.clone(),
        })?;
        Ok(SoakMachine {
            ports,
            process,
            runs: true,
            upstream: None,
            instance: Box::default(),
            upstream_lives: 0,
            store_link,
            upstream_link,
            peer_link,
        })
    }

    /// Starts the upstream of a machine, under a new name or its old one.
    ///
    /// # Errors
    ///
    /// Fails if its address cannot be bound.
    pub fn start_upstream(&mut self, machine: MachineIndex, renamed: bool) -> eyre::Result<()> {
        let world = self.world.clone();
        let owner = &mut self.machines[machine];
        if renamed {
            owner.upstream_lives += 1;
            owner.instance = format!("upstream-{machine}-{}", owner.upstream_lives).into();
        }
        let settings = KeyedSettings::builder()
            .instance(&*owner.instance)
            .service(service_of(machine))
            .address(owner.ports.upstream())
            .announced(owner.upstream_link.address())
            .announce_to(owner.ports.announcements())
            .divided(service_of(machine) == DIVIDED_SERVICE)
            .once_prefix("/orders/")
            .build();
        owner.upstream = Some(KeyedStandin::start(settings, world)?);
        Ok(())
    }

    /// Ends a machine's sidecar at once.
    pub fn kill(&mut self, machine: MachineIndex) {
        let struck = &mut self.machines[machine];
        struck.runs = false;
        struck.process.end();
    }

    /// Starts a machine's sidecar again.
    ///
    /// # Errors
    ///
    /// Fails if the program cannot be started.
    pub fn restart(&mut self, machine: MachineIndex, ledger: &SoakLedger) -> eyre::Result<()> {
        let struck = &mut self.machines[machine];
        struck.process.restart()?;
        struck.runs = true;
        ledger.start_life(machine);
        Ok(())
    }

    /// Sends a signal to a machine's sidecar, unless it has ended.
    ///
    /// # Errors
    ///
    /// Fails if it cannot be sent.
    pub fn signal(&mut self, machine: MachineIndex, signal: ProcessSignal) -> eyre::Result<()> {
        let process = &mut self.machines[machine].process;
        if process.is_running() {
            process.signal(signal)?;
        }
        Ok(())
    }

    /// Brings a new configuration into force.
    pub fn change_configuration(&mut self, ledger: &SoakLedger) {
        self.version += 1;
        let text = configuration(self.version);
        self.store
            .put(OPERATOR_TOPIC, CONFIGURATION_KEY, text.as_bytes());
        ledger.note_version(self.version);
    }

    /// Notes sidecars that ended although no fault ended them, and starts them
    /// again.
    ///
    /// # Errors
    ///
    /// Fails if a program cannot be started.
    pub fn check_processes(&mut self, ledger: &SoakLedger) -> eyre::Result<()> {
        for machine in 0..self.machines.len() {
            let struck = &mut self.machines[machine];
            if struck.runs && !struck.process.is_running() {
                ledger.violation(format!("machine {machine}: its process ended by itself"));
                self.restart(machine, ledger)?;
            }
        }
        Ok(())
    }

    /// Grants that reach a machine's upstream until then were held up by a fault
    /// and are not held against their sender.
    pub fn excuse(&self, machine: MachineIndex, until: Instant) {
        self.world.excuse(&self.machines[machine].instance, until);
    }
}

fn sidecar_arguments(file: &Path, advertised: SocketAddr) -> Vec<std::ffi::OsString> {
    vec![
        "run".into(),
        file.into(),
        "--advertise".into(),
        advertised.to_string().into(),
    ]
}
