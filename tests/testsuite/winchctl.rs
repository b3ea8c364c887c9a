//! `winchctl` against a server with a fake backend; the snapshots hold commands,
//! output and exit codes.

use std::fmt::Write;
use std::net::SocketAddr;
use std::path::Path;

use buckthornwinch::base::ids::Incarnation;
use buckthornwinch::declarations::ObjectKey;
use buckthornwinch::declarations::ObjectKind;
use buckthornwinch::operator::client::fleet::FleetStats;
use buckthornwinch::operator::serve;
use buckthornwinch::state::record::ChangeRecord;
use buckthornwinch::state::record::MemberInfo;
use tokio::net::TcpListener;
use tokio::process::Command;
use tokio_util::sync::CancellationToken;
use winch_operator_api::ClassStatus;
use winch_operator_api::StatusResponse;
use winch_test_support::fake_backend::BackendFault;
use winch_test_support::fake_backend::FakeBackend;
use winch_test_support::records::member_info;

const DECLARATIONS: &str = "examples/hanmaru/declarations";

const MEMBERS: [(&str, &str, Incarnation); 3] = [
    ("catalogue-1", "daegu-a", 0x101),
    ("catalogue-2", "daegu-b", 0x102),
    ("catalogue-3", "busan", 0x103),
];

/// Server with a fake backend, and the transcript of the commands run against it.
struct Session {
    backend: FakeBackend,
    address: SocketAddr,
    stop: CancellationToken,
    transcript: String,
}

fn member(number: u16) -> MemberInfo {
    let (node, domain, incarnation) = MEMBERS[usize::from(number)];
    let mut info = member_info(number, incarnation);
    info.node = node.into();
    info.domain = domain.into();
    info.region = "yeongnam".into();
    info.upstream.service = "catalogue".into();
    info.operator_address = SocketAddr::from(([127, 0, 0, 1], number + 1));
    info
}

async fn start_session() -> Session {
    let backend = FakeBackend::new(&[member(0), member(1), member(2)]);
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
    let address = listener.local_addr().expect("a bound listener");
    let stop = CancellationToken::new();
    tokio::spawn(serve(listener, backend.clone(), stop.clone()));
    Session {
        backend,
        address,
        stop,
        transcript: String::new(),
    }
}

fn winchctl(arguments: &str) -> Command {
    let mut command = Command::new(env!("CARGO_BIN_EXE_winchctl"));
    command
        .current_dir(env!("CARGO_MANIFEST_DIR"))
        .args(arguments.split_whitespace())
        .kill_on_drop(true);
    command
}

impl Session {
    /// Runs one command and appends it to the transcript with its output and exit
    /// code.
    async fn run(&mut self, arguments: &str) {
        let output = winchctl(arguments)
            .args(["--operator", "haneul", "--server"])
            .arg(self.address.to_string())
            .output()
            .await
            .expect("winchctl can be started");
        let _ = writeln!(self.transcript, "$ winchctl {arguments}");
        for text in [&output.stdout, &output.stderr] {
            self.transcript.push_str(&String::from_utf8_lossy(text));
        }
        let code = output.status.code().expect("winchctl ends by itself");
        let _ = writeln!(self.transcript, "exit {code}\n");
    }

    /// Finds a printed word by its prefix.
    fn find_word(&self, prefix: &str) -> String {
        let mut words = self.transcript.split([' ', '`', '\n']);
        let word = words.find(|word| word.starts_with(prefix));
        word.expect("the word was printed").to_owned()
    }

    fn finish(self) -> String {
        self.stop.cancel();
        let root = format!("{}/", env!("CARGO_MANIFEST_DIR"));
        self.transcript.replace(&root, "")
    }
}

/// Copies the example declarations with another `queue` of the class `lookups`,
/// and returns their path.
fn write_edited_examples(folder: &Path, queue: u32) -> String {
    for file in ["services.yaml", "classes.yaml", "rules.yaml"] {
        let path = Path::new(env!("CARGO_MANIFEST_DIR"))
            .join(DECLARATIONS)
            .join(file);
        let text = std::fs::read_to_string(path).expect("the example exists");
        let edited = text.replace("queue: 400", &format!("queue: {queue}"));
        std::fs::write(folder.join(file), edited).expect("the folder can be written");
    }
    folder.display().to_string()
}

#[tokio::test]
async fn declarations_are_validated_applied_and_explained() {
    let mut session = start_session().await;

    session.run(&format!("validate {DECLARATIONS}")).await;
    session.run(&format!("diff {DECLARATIONS}")).await;
    let dry_run = format!("apply {DECLARATIONS} --dry-run --change-id first");
    session.run(&dry_run).await;
    let apply = format!("apply {DECLARATIONS} --change-id first");
    session.run(&apply).await;
    session.run(&apply).await;
    session.run("get PriorityClass").await;
    session.run("get service catalogue --output json").await;
    session.run("get Service cooperage").await;
    session.run("explain catalogue 4711").await;
    session
        .backend
        .assign("catalogue", 1024, &[0x101, 0x102, 0x103]);
    session.run("explain catalogue 4711").await;
    session.run("explain orders 4711").await;
    session.run("explain cooperage 4711").await;

    insta::assert_snapshot!(session.finish());
}

/// A change that loses a race reports the winner. A change whose response was lost
/// is not reported as failed: its verdict is queried, or unknown while the log
/// cannot be read. The last change fails, since nothing was appended.
#[tokio::test]
async fn changes_with_a_conflict_or_a_lost_response_are_settled() {
    let mut session = start_session().await;
    let folder = tempfile::tempdir().expect("a temporary folder");
    session
        .run(&format!("apply {DECLARATIONS} --change-id first"))
        .await;

    let edited = write_edited_examples(folder.path(), 500);
    session.backend.queue_conflicting_change(ChangeRecord {
        change: "rival".into(),
        operator: "minjun".into(),
        object: ObjectKey {
            kind: ObjectKind::PriorityClass,
            name: "lookups".into(),
        },
        base_version: 1,
        declaration: None,
    });
    session
        .run(&format!("apply {edited} --change-id second"))
        .await;
    session.backend.set_fault(BackendFault::ResponsesLost);
    session
        .run(&format!("apply {edited} --change-id third"))
        .await;
    let edited = write_edited_examples(folder.path(), 600);
    session
        .backend
        .set_fault(BackendFault::ResponsesLostUnreadable);
    session.run("ask absent").await;
    session
        .run(&format!("apply {edited} --change-id fourth"))
        .await;
    session.backend.set_fault(BackendFault::Down);
    let edited = write_edited_examples(folder.path(), 700);
    session
        .run(&format!("apply {edited} --change-id fifth"))
        .await;
    session.backend.set_fault(BackendFault::None);
    let fourth = session.find_word("fourth/PriorityClass/lookups");
    session.run(&format!("ask {fourth}")).await;
    session.run("ask fifth/PriorityClass/lookups").await;

    let transcript = session.finish();
    let folder = folder.path().display().to_string();
    insta::assert_snapshot!(transcript.replace(&folder, "FOLDER"));
}

#[tokio::test]
async fn members_are_drained_and_declared_lost() {
    let mut session = start_session().await;
    session
        .run(&format!("apply {DECLARATIONS} --change-id first"))
        .await;
    session
        .backend
        .assign("catalogue", 1024, &[0x101, 0x102, 0x103]);
    let lookups = session.backend.metrics().class("lookups");
    lookups.count_answer(std::time::Duration::from_millis(3));

    session.run("status").await;
    session.run("drain catalogue-2").await;
    session.run("drain catalogue-9").await;
    session.backend.certify_ended(0x103);
    session.run("status").await;
    session.run("explain catalogue 4711").await;
    session
        .run("declare-lost catalogue-3 --incarnation 77")
        .await;
    session
        .run("declare-lost catalogue-3 --incarnation 103")
        .await;
    session.run("status --output json").await;
    session.run("status --all").await;
    session.run("explain catalogue 4711").await;

    insta::assert_snapshot!(session.finish());
}

#[tokio::test]
async fn watch_reports_changes() {
    let mut session = start_session().await;
    session
        .run(&format!("apply {DECLARATIONS} --change-id first"))
        .await;
    let address = session.address.to_string();

    let mut watching = winchctl(&format!("watch --count 4 --server {address}"));
    let watching = watching
        .stdout(std::process::Stdio::piped())
        .spawn()
        .expect("winchctl can be started");
    while session.backend.watchers() == 0 {
        tokio::task::yield_now().await;
    }
    session
        .backend
        .assign("catalogue", 1024, &[0x101, 0x102, 0x103]);
    session.run("drain catalogue-2").await;
    session
        .run("declare-lost catalogue-3 --incarnation 103")
        .await;
    let output = watching.wait_with_output().await.expect("winchctl ends");

    insta::assert_snapshot!(String::from_utf8_lossy(&output.stdout));
}

#[tokio::test]
async fn an_unreachable_server_is_named_in_the_error() {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
    let address = listener.local_addr().expect("a bound listener");
    drop(listener);

    let output = winchctl("status --server")
        .arg(address.to_string())
        .output()
        .await
        .expect("winchctl can be started");

    let message = String::from_utf8_lossy(&output.stderr);
    assert_eq!(output.status.code(), Some(1));
    assert!(
        message.contains(&format!("{address}: ")) && message.contains("--server"),
        "{message}"
    );
}

#[tokio::test]
async fn help_and_errors_are_as_documented() {
    let mut session = start_session().await;

    for command in [
        "--help",
        "validate --help",
        "diff --help",
        "apply --help",
        "ask --help",
        "get --help",
        "status --help",
        "explain --help",
        "drain --help",
        "declare-lost --help",
        "watch --help",
        "validate examples/hanmaru/winchd.yaml",
        "validate absent.yaml",
        "apply",
        "get Server",
    ] {
        session.run(command).await;
    }

    insta::assert_snapshot!(session.finish());
}

/// Guards against counting churn, unavailable time or percentiles more than once:
/// of these the maximum is kept, other statistics are summed.
#[test]
fn statistics_of_several_processes_are_aggregated() {
    let class = |name: &str, rank, answered, p99_seconds| ClassStatus {
        name: name.to_owned(),
        rank,
        answered,
        p99_seconds,
        ..ClassStatus::default()
    };
    let first = StatusResponse {
        node: "catalogue-1".to_owned(),
        chain_moves: 5,
        takeovers: 2,
        unavailable_seconds: 0.3,
        stalled: 1,
        classes: vec![class("orders", 2, 7, 0.5)],
        ..StatusResponse::default()
    };
    let second = StatusResponse {
        node: "catalogue-2".to_owned(),
        chain_moves: 4,
        takeovers: 3,
        unavailable_seconds: 0.2,
        stalled: 2,
        classes: vec![class("checks", 0, 1, 0.1), class("orders", 2, 8, 0.25)],
        ..StatusResponse::default()
    };

    let mut stats = FleetStats::new(&first);
    stats.add(&second);

    assert_eq!(stats.chain_moves, 5);
    assert_eq!(stats.takeovers, 5);
    assert_eq!(stats.stalled, 3);
    assert!((stats.unavailable_seconds - 0.3).abs() < 1e-9);
    let joined = [class("checks", 0, 1, 0.1), class("orders", 2, 15, 0.5)];
    assert_eq!(stats.classes, joined);
}
