//! The sidecar processes, relays and stand-ins of a run.

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

/// Third octet of the relays' addresses; the others are those of the machine.
const RELAY_NETWORK: u8 = 79;

/// The service that is sharded by key.
const SHARDED_SERVICE: &str = "catalogue";

/// The service that is not sharded and whose requests may run at most once.
const ORDER_SERVICE: &str = "orders";

/// Settings of a fleet.
#[derive(Debug, Clone)]
pub struct FleetShape {
    /// Number of machines, each with a sidecar and an upstream.
    pub machines: u8,
    /// Path of the sidecar's program.
    pub sidecar: PathBuf,
    /// Directory for settings files and logs.
    pub directory: PathBuf,
}

/// One machine: a sidecar, its upstream and the relays between them and the others.
#[derive(Debug)]
pub struct SoakMachine {
    /// Ports of the machine.
    pub ports: MachinePorts,
    /// Process of the sidecar.
    pub process: ChildProcess,
    /// Whether the sidecar should be running; false while a fault has ended it.
    pub runs: bool,
    /// The upstream; `None` while a fault has stopped it.
    pub upstream: Option<KeyedStandin>,
    /// Name of the present upstream, or of the last one while it is down.
    pub instance: Box<str>,
    upstream_number: u32,
    /// Relay between the sidecar and the store.
    pub store_link: TcpRelay,
    /// Relay between the sidecar and its upstream.
    pub upstream_link: TcpRelay,
    /// Relay between other sidecars and this one.
    pub peer_link: TcpRelay,
}

/// A running fleet. Dropping it ends the processes.
#[derive(Debug)]
pub struct SoakFleet {
    /// Machines by their [`MachineIndex`].
    pub machines: Vec<SoakMachine>,
    /// Store that all sidecars use.
    pub store: StoreStandin,
    /// Invariants that the upstreams check against each other.
    pub world: KeyWorld,
    /// Relay of the datagrams between sidecars.
    pub datagrams: DatagramRelay,
    version: u64,
}

/// Returns the service of a machine's upstream; the two services alternate.
fn service_of(machine: MachineIndex) -> &'static str {
    if machine.is_multiple_of(2) {
        SHARDED_SERVICE
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

/// Returns the text of a configuration. Each version has a route of its own, by
/// which callers probe whether it is in effect.
fn configuration(version: u64) -> String {
    let probe_route = format!("only-{version}");
    let routes = [
        RouteFile::builder()
            .name("prices")
            .service(SHARDED_SERVICE)
            .attempts(2)
            .build(),
        RouteFile::builder()
            .name("slow")
            .service(SHARDED_SERVICE)
            .attempts(2)
            .build(),
        RouteFile::builder()
            .name("orders")
            .service(ORDER_SERVICE)
            .idempotent(false)
            .attempts(2)
            .build(),
        RouteFile::builder()
            .name(probe_route)
            .service(SHARDED_SERVICE)
            .build(),
    ];
    let services = [(SHARDED_SERVICE, true), (ORDER_SERVICE, false)];
    configuration_text(version, &services, &routes)
}

impl SoakFleet {
    /// Starts a fleet and writes its first configuration.
    ///
    /// # Errors
    ///
    /// Fails if a process, a relay or a stand-in cannot be started, or a settings
    /// file cannot be written.
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
                .wrap_err("cannot start a TCP relay")
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
            upstream_number: 0,
            store_link,
            upstream_link,
            peer_link,
        })
    }

    /// Starts the upstream of a machine. If `renamed`, it gets a new name, otherwise
    /// it keeps the old one.
    ///
    /// # Errors
    ///
    /// Fails if its address cannot be bound or its runtime cannot be started.
    pub fn start_upstream(&mut self, machine: MachineIndex, renamed: bool) -> eyre::Result<()> {
        let world = self.world.clone();
        let target = &mut self.machines[machine];
        if renamed {
            target.upstream_number += 1;
            target.instance = format!("upstream-{machine}-{}", target.upstream_number).into();
        }
        let settings = KeyedSettings::builder()
            .instance(&*target.instance)
            .service(service_of(machine))
            .address(target.ports.upstream())
            .announced(target.upstream_link.address())
            .announce_to(target.ports.announcements())
            .divided(service_of(machine) == SHARDED_SERVICE)
            .once_prefix("/orders/")
            .build();
        target.upstream = Some(KeyedStandin::start(settings, world)?);
        Ok(())
    }

    /// Kills a machine's sidecar.
    pub fn kill(&mut self, machine: MachineIndex) {
        let target = &mut self.machines[machine];
        target.runs = false;
        target.process.end();
    }

    /// Restarts a machine's sidecar.
    ///
    /// # Errors
    ///
    /// Fails if the program cannot be started.
    pub fn restart(&mut self, machine: MachineIndex, ledger: &SoakLedger) -> eyre::Result<()> {
        let target = &mut self.machines[machine];
        target.process.restart()?;
        target.runs = true;
        ledger.start_life(machine);
        Ok(())
    }

    /// Sends a signal to a machine's sidecar, unless its process has ended.
    ///
    /// # Errors
    ///
    /// Fails if the signal cannot be sent.
    pub fn signal(&mut self, machine: MachineIndex, signal: ProcessSignal) -> eyre::Result<()> {
        let process = &mut self.machines[machine].process;
        if process.is_running() {
            process.signal(signal)?;
        }
        Ok(())
    }

    /// Writes the next version of the configuration to the store.
    pub fn change_configuration(&mut self, ledger: &SoakLedger) {
        self.version += 1;
        let text = configuration(self.version);
        self.store
            .put(OPERATOR_TOPIC, CONFIGURATION_KEY, text.as_bytes());
        ledger.note_version(self.version);
    }

    /// Records a violation for each sidecar that ended although no fault ended it,
    /// and restarts it.
    ///
    /// # Errors
    ///
    /// Fails if a program cannot be started.
    pub fn check_processes(&mut self, ledger: &SoakLedger) -> eyre::Result<()> {
        for machine in 0..self.machines.len() {
            let target = &mut self.machines[machine];
            if target.runs && !target.process.is_running() {
                ledger.violation(format!(
                    "machine {machine}: the sidecar process ended without a fault"
                ));
                self.restart(machine, ledger)?;
            }
        }
        Ok(())
    }

    /// Ignores violations by grants that reach a machine's upstream until then,
    /// because a fault may have delayed them.
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
