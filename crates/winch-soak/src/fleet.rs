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
use winch_standin::store_standin::StoreCopy;
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
pub struct FleetSettings {
    /// Number of machines, each with a sidecar and an upstream.
    pub machines: u8,
    /// Path of the sidecar's program.
    pub sidecar: PathBuf,
    /// Directory for settings files and logs.
    pub directory: PathBuf,
    /// Whether upstreams take their keys from the answers to their heartbeats, and
    /// not by calls.
    pub grants_by_heartbeat: bool,
}

/// One machine: a sidecar, its upstream and the relays between them and the others.
#[derive(Debug)]
pub struct SoakMachine {
    /// Ports of the machine.
    pub ports: MachinePorts,
    /// Process of the sidecar.
    pub process: ChildProcess,
    /// Whether the sidecar should be running; false while a fault has ended it.
    pub expected_running: bool,
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
    /// Checks invariants across all upstreams of the fleet.
    pub checker: InvariantChecker,
    /// Relay of the datagrams between sidecars.
    pub datagrams: DatagramRelay,
    grants_by_heartbeat: bool,
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
        RouteSpec::builder()
            .name("prices")
            .service(SHARDED_SERVICE)
            .attempts(2)
            .build(),
        RouteSpec::builder()
            .name("slow")
            .service(SHARDED_SERVICE)
            .attempts(2)
            .build(),
        RouteSpec::builder()
            .name("orders")
            .service(ORDER_SERVICE)
            .idempotent(false)
            .attempts(2)
            .build(),
        RouteSpec::builder()
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
    pub async fn start(settings: &FleetSettings, ledger: &SoakLedger) -> eyre::Result<Self> {
        let store = StoreStandin::start().await?;
        let checker = InvariantChecker::default();
        let ports = free_machine_ports(MACHINE_NETWORK, settings.machines);
        let peers: Vec<SocketAddr> = ports.iter().map(|ports| ports.peers()).collect();
        let advertised: Vec<SocketAddr> = peers.iter().copied().map(relay_address).collect();
        let datagrams = DatagramRelay::start(peers, &advertised).await?;
        let mut fleet = Self {
            machines: Vec::new(),
            store,
            checker,
            datagrams,
            grants_by_heartbeat: settings.grants_by_heartbeat,
            version: 0,
        };
        fleet.change_configuration(ledger);
        for (machine, ports) in ports.into_iter().enumerate() {
            let started = fleet.start_machine(settings, machine, ports).await?;
            fleet.machines.push(started);
            fleet.start_upstream(machine, true)?;
            ledger.record_process_start(machine);
        }
        Ok(fleet)
    }

    async fn start_machine(
        &self,
        settings: &FleetSettings,
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
            .grants(if settings.grants_by_heartbeat {
                "heartbeat"
            } else {
                "direct"
            })
            .build()
            .text();
        let file = settings.directory.join(format!("{name}.json"));
        std::fs::write(&file, text).wrap_err("cannot write a settings file")?;
        let process = ChildProcess::start(ProcessCommand {
            name: name.into(),
            program: settings.sidecar.clone(),
            arguments: sidecar_arguments(&file, peer_link.address()),
            output_directory: settings.directory.clone(),
        })?;
        Ok(SoakMachine {
            ports,
            process,
            expected_running: true,
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
        let checker = self.checker.clone();
        let target = &mut self.machines[machine];
        if renamed {
            target.upstream_number += 1;
            target.instance = format!("upstream-{machine}-{}", target.upstream_number).into();
        }
        let settings = KeyedSettings::builder()
            .instance(&*target.instance)
            .service(service_of(machine))
            .address(target.ports.upstream())
            .announced_address(target.upstream_link.address())
            .announce_to(target.ports.announcements())
            .sharded(service_of(machine) == SHARDED_SERVICE)
            .at_most_once_prefix("/orders/")
            .grants_by_heartbeat(self.grants_by_heartbeat)
            .build();
        target.upstream = Some(KeyedStandin::start(settings, checker)?);
        Ok(())
    }

    /// Kills a machine's sidecar.
    pub fn kill(&mut self, machine: MachineIndex) {
        let target = &mut self.machines[machine];
        target.expected_running = false;
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
        target.expected_running = true;
        ledger.record_process_start(machine);
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
        ledger.record_version(self.version);
    }

    /// Replaces the records of the store by those of a copy, and writes the newest
    /// configuration again, as operators do.
    pub fn restore_store(&mut self, copy: StoreCopy) {
        self.store.restore(copy);
        let text = configuration(self.version);
        self.store
            .put(OPERATOR_TOPIC, CONFIGURATION_KEY, text.as_bytes());
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
            if target.expected_running && !target.process.is_running() {
                ledger.record_violation(format!(
                    "machine {machine}: the sidecar process ended without a fault"
                ));
                self.restart(machine, ledger)?;
            }
        }
        Ok(())
    }

    /// Ignores violations by grants that reach a machine's upstream until then,
    /// because a fault may have delayed them.
    pub fn ignore_grants_until(&self, machine: MachineIndex, until: Instant) {
        self.checker
            .ignore_grants_until(&self.machines[machine].instance, until);
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
