//! Three processes, each beside an upstream, and their log.

use std::fs::File;
use std::path::Path;
use std::process::Child;
use std::process::Command;
use std::time::Duration;

use buckthornwinch::declarations::set::DeclarationSet;
use buckthornwinch::settings::AddressSettings;
use buckthornwinch::settings::LimitSettings;
use buckthornwinch::settings::LogLevel;
use buckthornwinch::settings::NodeSettings;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use tokio::sync::Mutex;
use tokio::sync::MutexGuard;
use tokio::time::Instant;
use tokio::time::sleep;
use winch_bench::fleet::apply::create_declarations;
use winch_bench::fleet::deployment::DeploymentSize;
use winch_bench::fleet::deployment::ServiceSize;
use winch_bench::fleet::deployment::WorkKind;
use winch_bench::fleet::settings::plan_nodes;
use winch_bench::fleet::settings::write_settings;
use winch_standin::log_standin::LogSettings;
use winch_standin::log_standin::LogStandin;
use winch_standin::upstream_standin::UpstreamSettings;
use winch_standin::upstream_standin::UpstreamStandin;
use winch_test_support::client_crowd::status_of;
use winch_test_support::process_memory::MemoryWatch;
use winch_test_support::process_memory::open_sockets;

const SERVICE: &str = "orders";

const DECLARATIONS: &str = "
kind: PriorityClass
name: orders
spec:
  rank: 0
  target_ms: 500
  deadline_ms: 10000
  idempotent: true
  queue: 200
---
kind: Service
name: orders
spec:
  division: load
  slices: 64
  max_body_bytes: 16777216
";

/// Largest body that the settings and the service allow, in bytes.
pub(crate) const MAX_BODY_BYTES: usize = 16 * 1024 * 1024;

/// Memory that a process may use by its default settings, in bytes.
pub(crate) const MEMORY_BYTES: u64 = 640_000_000;

/// Sockets that a process uses besides those of its callers.
pub(crate) const OTHER_SOCKETS: usize = 100;

/// Bytes that a process holds while it serves ordinary requests only: some connections
/// and kept results.
const CALM_BYTES: u64 = 1024 * 1024;

/// How long a condition is waited for before the test fails. It only ends a run that
/// would hang.
const GIVE_UP: Duration = Duration::from_secs(40);

static TURN: Mutex<()> = Mutex::const_new(());

/// One process. Dropping it ends the process.
pub(crate) struct NodeProgram {
    pub(crate) addresses: AddressSettings,
    process: Child,
}

/// A fleet. Dropping it ends the processes.
pub(crate) struct ClientsFixture {
    pub(crate) nodes: Vec<NodeProgram>,
    _upstreams: Vec<UpstreamStandin>,
    _log: LogStandin,
    _directory: tempfile::TempDir,
    _turn: MutexGuard<'static, ()>,
}

impl ClientsFixture {
    /// Starts a fleet whose upstreams answer with `response_bytes` bytes, and waits until
    /// an ordinary request is answered.
    pub(crate) async fn start(limits: LimitSettings, response_bytes: usize) -> Self {
        let turn = TURN.lock().await;
        let log = LogStandin::start(LogSettings::builder().build());
        let log = log.await.expect("a log");
        let directory = tempfile::tempdir().expect("a directory");
        let plans = plan_nodes(&deployment(), log.address(), LogLevel::Info).expect("free ports");
        let mut nodes = Vec::new();
        let mut upstreams = Vec::new();
        for plan in plans {
            let settings = NodeSettings {
                limits: limits.clone(),
                ..plan.settings
            };
            let upstream = UpstreamSettings::builder()
                .service(SERVICE)
                .announce_to(settings.addresses.local)
                .response_padding(response_bytes)
                .build();
            nodes.push(NodeProgram::start(settings, directory.path()));
            let upstream = UpstreamStandin::start(upstream).await;
            upstreams.push(upstream.expect("an upstream"));
        }
        let file = directory.path().join("declarations.yaml");
        std::fs::write(&file, DECLARATIONS).expect("a file of declarations");
        let declarations = DeclarationSet::load(&[file]).expect("sound declarations");
        let operators = nodes[0].addresses.operators;
        let created = create_declarations(operators, &declarations).await;
        created.expect("the declarations are accepted");
        let mut fixture = Self {
            nodes,
            _upstreams: upstreams,
            _log: log,
            _directory: directory,
            _turn: turn,
        };
        for node in &mut fixture.nodes {
            node.wait_for_service().await;
        }
        fixture
    }
}

impl NodeProgram {
    fn start(settings: NodeSettings, directory: &Path) -> Self {
        let file = directory.join(format!("{}.yaml", settings.node));
        write_settings(&settings, &file).expect("a settings file");
        let log = File::create(directory.join(format!("{}.log", settings.node)));
        let process = Command::new(env!("CARGO_BIN_EXE_winchd"))
            .args(["run".as_ref(), file.as_os_str()])
            .stdout(log.expect("a log file"))
            .spawn()
            .expect("winchd starts");
        Self {
            addresses: settings.addresses,
            process,
        }
    }

    /// Waits until an ordinary request is answered.
    pub(crate) async fn wait_for_service(&mut self) {
        let give_up = Instant::now() + GIVE_UP;
        while self.ordinary_status().await != Some(200) {
            assert!(Instant::now() < give_up, "no ordinary request is answered");
            self.assert_lives();
            sleep(Duration::from_millis(200)).await;
        }
    }

    async fn ordinary_status(&self) -> Option<u16> {
        let head = request(
            rand::random::<u32>() as usize,
            "Content-Length: 4\r\nConnection: close\r\n",
        );
        status_of(self.addresses.callers, format!("{head}body").as_bytes()).await
    }

    /// Starts to watch the memory of the process.
    pub(crate) fn watch_memory(&self) -> MemoryWatch {
        let listeners = vec![self.addresses.callers, self.addresses.peers];
        MemoryWatch::start(self.process.id(), listeners)
    }

    /// Checks that the process lives and that its memory and the bytes that it had not
    /// read were within its limit together.
    pub(crate) fn assert_within_memory(&mut self, watch: &MemoryWatch) {
        self.assert_lives();
        let peak = watch.peak_counted();
        println!("peak of resident memory and unread bytes: {peak}");
        assert!(peak <= MEMORY_BYTES, "{peak} of {MEMORY_BYTES} bytes");
    }

    /// Returns the number of sockets that the process has open.
    pub(crate) fn open_sockets(&self) -> usize {
        open_sockets(self.process.id())
    }

    /// Waits until the process has at most `count` sockets open.
    pub(crate) async fn wait_for_sockets(&mut self, count: usize) {
        let give_up = Instant::now() + GIVE_UP;
        while self.open_sockets() > count {
            let open = self.open_sockets();
            assert!(Instant::now() < give_up, "{open} sockets stay open");
            self.assert_lives();
            sleep(Duration::from_millis(200)).await;
        }
    }

    /// Waits until the process holds little for others, by its metrics.
    pub(crate) async fn wait_until_calm(&mut self) {
        let give_up = Instant::now() + GIVE_UP;
        loop {
            let held = self.held_bytes().await;
            if held.is_some_and(|held| held <= CALM_BYTES) {
                return;
            }
            assert!(Instant::now() < give_up, "{held:?} bytes stay held");
            self.assert_lives();
            sleep(Duration::from_millis(200)).await;
        }
    }

    /// Returns the bytes that the process holds for others; `None` while it serves no
    /// metrics, because one incarnation has ended and the next has not started.
    async fn held_bytes(&self) -> Option<u64> {
        let mut stream = TcpStream::connect(self.addresses.local).await.ok()?;
        let head = "GET /metrics HTTP/1.1\r\nHost: metrics\r\nConnection: close\r\n\r\n";
        stream.write_all(head.as_bytes()).await.ok()?;
        let mut text = String::new();
        stream.read_to_string(&mut text).await.ok()?;
        let line = text
            .lines()
            .find_map(|line| line.strip_prefix("winch_held_bytes "))?;
        Some(line.parse().expect("a number"))
    }

    pub(crate) fn assert_lives(&mut self) {
        let ended = self.process.try_wait().expect("a child");
        assert!(ended.is_none(), "the process ended: {ended:?}");
    }
}

impl Drop for NodeProgram {
    fn drop(&mut self) {
        drop(self.process.kill());
        drop(self.process.wait());
    }
}

/// Returns limits that allow bodies of [`MAX_BODY_BYTES`].
pub(crate) fn limits() -> LimitSettings {
    LimitSettings::builder()
        .max_body_bytes(MAX_BODY_BYTES as u32)
        .build()
}

/// Returns the head of a request for the key `number`, with the given further header
/// lines.
pub(crate) fn request(number: usize, headers: &str) -> String {
    format!(
        "POST /orders HTTP/1.1\r\nHost: shop.example\r\nWinch-Service: {SERVICE}\r\n\
         Winch-Key: {number}\r\nWinch-Class: orders\r\nWinch-Deadline-Ms: 9000\r\n\
         {headers}\r\n"
    )
}

fn deployment() -> DeploymentSize {
    DeploymentSize {
        name: "clients",
        region: "region-1",
        domains: ["domain-1", "domain-2", "domain-3"],
        services: vec![ServiceSize {
            name: SERVICE,
            class: "orders",
            kind: WorkKind::Lookup,
            endpoints: 3,
        }],
        slots: 20,
        connections: 130,
    }
}
