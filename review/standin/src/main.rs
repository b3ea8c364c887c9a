//! Runs one case of the review: real sidecars as processes, with stand-ins of the
//! platform, the endpoints and the requesters. Exits with 1 if the rule was broken,
//! 0 if it held, and 2 if the case could not run.

mod case1;
mod case2;
mod case3;
mod case4;
mod case5;
mod client;
mod endpoint;
mod http;
mod machine;
mod record;
mod relay;
mod store;
mod wire;

use std::path::Path;
use std::path::PathBuf;
use std::time::Duration;

use crate::endpoint::Seen;
use crate::machine::Site;
use crate::record::Record;

/// Ends the run if a case hangs. The sidecars end with it.
const TIME_LIMIT: Duration = Duration::from_secs(115);

/// What a case needs to run.
pub struct Run {
    pub site: Site,
    pub record: Record,
    pub seen: std::sync::Arc<Seen>,
    /// Whether the disruption happens.
    pub trouble: bool,
}

/// How a case ended.
pub enum Verdict {
    Held,
    Broken,
    NotRun,
}

fn main() {
    let arguments: Vec<String> = std::env::args().collect();
    let [_, case, folder] = &arguments[..] else {
        eprintln!("usage: review-standin CASE FOLDER");
        std::process::exit(2);
    };
    std::thread::spawn(|| {
        std::thread::sleep(TIME_LIMIT);
        eprintln!("the case did not end in time");
        std::process::exit(2);
    });
    let folder = Path::new(folder);
    let run = prepare(folder);
    let verdict = match &**case {
        "1" => case1::run(&run),
        "2" => case2::run(&run),
        "3" => case3::run(&run),
        "4" => case4::run(&run),
        "5" => case5::run(&run),
        _ => Verdict::NotRun,
    };
    let (code, text) = match verdict {
        Verdict::Held => (0, "held"),
        Verdict::Broken => (1, "broken"),
        Verdict::NotRun => (2, "could not run"),
    };
    run.record.say(&format!("result: {text}"));
    run.record.flush();
    if std::env::var_os("KEEP").is_none() {
        let _ = std::fs::remove_dir_all(&run.site.folder);
    } else {
        println!("logs: {}", run.site.folder.display());
    }
    std::process::exit(code);
}

fn prepare(folder: &Path) -> Run {
    let repository = folder.join("../..").canonicalize().expect("the case lies in the repository");
    let temporary = std::env::temp_dir().join(format!("review-{}", std::process::id()));
    std::fs::create_dir_all(&temporary).expect("the temporary folder is writable");
    if !repository.join("target/release/winch-sidecar").exists() {
        eprintln!("run the build of the deploy file first");
        std::process::exit(2);
    }
    Run {
        site: Site {
            repository,
            folder: PathBuf::from(&temporary),
            store: store::Store::start().expect("a loopback port is free"),
            base_port: machine::free_base_port(12),
            heartbeat_ms: 870,
        },
        record: Record::create(folder).expect("the case's folder is writable"),
        seen: std::sync::Arc::default(),
        trouble: std::env::var("TROUBLE").map_or(true, |value| value != "0"),
    }
}
