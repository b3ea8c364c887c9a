//! A machine: its addresses, its settings file and its sidecar process.

use std::ffi::c_int;
use std::ffi::c_ulong;
use std::fs::File;
use std::net::SocketAddr;
use std::os::unix::process::CommandExt;
use std::path::PathBuf;
use std::process::Child;
use std::process::Command;
use std::process::Stdio;
use std::time::Duration;
use std::time::Instant;

use crate::http::call;
use crate::store::Store;
use crate::wire::name;

unsafe extern "C" {
    fn kill(pid: c_int, signal: c_int) -> c_int;
    fn prctl(option: c_int, argument: c_ulong) -> c_int;
}

const SIGKILL: c_ulong = 9;
const SIGTERM: c_int = 15;
const SET_PARENT_DEATH_SIGNAL: c_int = 1;

/// What is the same for all machines of a run.
pub struct Site {
    pub repository: PathBuf,
    /// Temporary folder for settings files and logs.
    pub folder: PathBuf,
    pub store: Store,
    pub base_port: u16,
    /// Interval of the endpoints' pings, in milliseconds.
    pub heartbeat_ms: u64,
}

/// One machine with its own loopback address.
pub struct Machine {
    pub number: u8,
    pub service: &'static str,
    pub process: Option<Child>,
    base_port: u16,
    settings: PathBuf,
    /// Address at which the other sidecars reach this one; its own if there is none.
    pub advertised: Option<SocketAddr>,
}

impl Site {
    /// Makes the machine `number` with an endpoint of `service`; nothing is started.
    pub fn machine(&self, number: u8, service: &'static str) -> Machine {
        let settings = self.folder.join(format!("machine-{number}.json"));
        let machine = Machine {
            number,
            service,
            process: None,
            base_port: self.base_port,
            settings,
            advertised: None,
        };
        let zone = ["a", "b", "c"][usize::from(number % 3)];
        let text = format!(
            "{{\"node\":\"sidecar-{number}\",\"ip\":\"{ip}\",\"zone\":\"{zone}\",\"service\":\"{service}\",\
             \"listen\":{{\"outbound\":\"{}\",\"readiness\":\"{}\",\"control\":\"{}\"}},\"app\":\"{}\",\
             \"portRange\":[{},{}],\"heartbeat\":\"{}ms\",\"grants\":\"direct\",\
             \"bounds\":{{\"grace\":\"6s\",\"holdMax\":\"10000ms\",\"retryBudgetRatio\":0.2,\"budgetWindow\":\"10s\",\"budgetSlack\":62}},\
             \"platform\":{{\"address\":\"{}\"}}}}",
            machine.outbound(),
            machine.at(1),
            machine.control(),
            machine.app(),
            self.base_port + 4,
            self.base_port + 5,
            self.heartbeat_ms,
            self.store.address,
            ip = machine.outbound().ip(),
        );
        std::fs::write(&machine.settings, text).expect("the temporary folder is writable");
        machine
    }
}

impl Machine {
    fn at(&self, offset: u16) -> SocketAddr {
        SocketAddr::from(([127, 31, 0, self.number], self.base_port + offset))
    }

    pub fn outbound(&self) -> SocketAddr {
        self.at(0)
    }

    pub fn control(&self) -> SocketAddr {
        self.at(2)
    }

    pub fn app(&self) -> SocketAddr {
        self.at(3)
    }

    pub fn peers(&self) -> SocketAddr {
        self.at(4)
    }

    /// Starts the sidecar with the command of the deploy file.
    pub fn start(&mut self, site: &Site) {
        let log = File::options()
            .create(true)
            .append(true)
            .open(site.folder.join(format!("sidecar-{}.log", self.number)));
        let log = log.expect("the temporary folder is writable");
        let mut command = Command::new(site.repository.join("target/release/winch-sidecar"));
        command
            .arg("run")
            .current_dir(&site.repository)
            .env(name("settings"), &self.settings);
        if let Some(address) = self.advertised {
            command.arg("--advertise").arg(address.to_string());
        }
        command
            .stdin(Stdio::null())
            .stderr(log.try_clone().expect("a file can be cloned"))
            .stdout(log);
        // SAFETY: prctl is async-signal-safe, and the closure does nothing else.
        unsafe {
            command.pre_exec(|| {
                prctl(SET_PARENT_DEATH_SIGNAL, SIGKILL);
                Ok(())
            });
        }
        self.process = Some(command.spawn().expect("the deploy file's build has made the program"));
    }

    /// Kills the sidecar and waits until it has ended.
    pub fn kill(&mut self) {
        if let Some(mut process) = self.process.take() {
            let _ = process.kill();
            let _ = process.wait();
        }
    }

    /// Sends SIGTERM to the sidecar.
    pub fn terminate(&self) {
        if let Some(process) = &self.process {
            // SAFETY: the process was started here and has not been waited for.
            unsafe { kill(process.id() as c_int, SIGTERM) };
        }
    }

    /// Waits until the sidecar has ended, at most for `limit`; kills it then.
    pub fn wait_end(&mut self, limit: Duration) -> bool {
        let until = Instant::now() + limit;
        while Instant::now() < until {
            match self.process.as_mut().map(Child::try_wait) {
                Some(Ok(None)) => std::thread::sleep(Duration::from_millis(5)),
                _ => {
                    self.process = None;
                    return true;
                }
            }
        }
        self.kill();
        false
    }

    /// Returns whether the sidecar's process has ended.
    pub fn has_ended(&mut self) -> bool {
        !matches!(self.process.as_mut().map(Child::try_wait), Some(Ok(None)))
    }

    /// Returns the resident memory of the sidecar; 0 if it doesn't run.
    pub fn memory_kb(&self) -> u64 {
        let status = self
            .process
            .as_ref()
            .and_then(|process| std::fs::read_to_string(format!("/proc/{}/status", process.id())).ok());
        let used = status.as_deref().and_then(|status| {
            let line = status.lines().find_map(|line| line.strip_prefix("VmRSS:"))?;
            line.trim().trim_end_matches(" kB").trim().parse().ok()
        });
        used.unwrap_or(0)
    }

    pub fn is_ready(&self) -> bool {
        let answer = call(self.at(1), "GET /ready", &[], &[], Duration::from_millis(500));
        answer.is_ok_and(|answer| answer.status() == 200)
    }
}

impl Drop for Machine {
    fn drop(&mut self) {
        self.kill();
    }
}

/// Returns a first port from which on six are free on all machines' addresses.
pub fn free_base_port(machines: u8) -> u16 {
    let seed = std::time::SystemTime::now()
        .duration_since(std::time::UNIX_EPOCH)
        .map_or(0, |time| time.subsec_nanos());
    let mut port = 20_000 + (seed / 1000 % 25_000) as u16;
    let is_free = |port: u16| {
        (1..=machines).all(|number| {
            (0..6).all(|offset| std::net::TcpListener::bind(SocketAddr::from(([127, 31, 0, number], port + offset))).is_ok())
        })
    };
    while !is_free(port) {
        port += 7;
    }
    port
}
