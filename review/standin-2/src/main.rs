//! Scripts of the review cases 6 to 10. Each starts the sidecar as separate processes,
//! plays one case and exits with 1 if the rule was broken, 0 if it held, and 2 if the
//! case could not run.

mod cases;
mod client;
mod endpoint;
mod fleet;
mod http;
mod ledger;
mod names;
mod record;
mod store;

use std::panic::AssertUnwindSafe;
use std::path::PathBuf;
use std::process::ExitCode;
use std::sync::Arc;
use std::time::Duration;

use crate::cases::Verdict;
use crate::fleet::Places;
use crate::record::Record;

/// Longest time of a run, which ends as one that could not run.
const MAX_RUN: Duration = Duration::from_secs(115);

/// Ends the run if it takes too long.
fn watch_time(temporary: PathBuf) {
    std::thread::spawn(move || {
        std::thread::sleep(MAX_RUN);
        fleet::kill_all();
        let _ = std::fs::remove_dir_all(temporary);
        eprintln!("the run took too long");
        std::process::exit(2);
    });
}

fn main() -> ExitCode {
    let arguments: Vec<String> = std::env::args().collect();
    let [_, case, root, folder] = &*arguments else {
        eprintln!("usage: review-cases CASE REPOSITORY FOLDER");
        return ExitCode::from(2);
    };
    let trouble = std::env::var("TROUBLE").as_deref() != Ok("0");
    let temporary = std::env::temp_dir().join(format!("review-{}", std::process::id()));
    std::fs::create_dir_all(&temporary).expect("a temporary folder");
    let places = Places {
        root: PathBuf::from(root),
        temporary: temporary.clone(),
    };
    let path = PathBuf::from(folder).join("record.txt");
    let record = Arc::new(Record::create(&path).expect("the record can be written"));
    watch_time(temporary.clone());
    let played = std::panic::catch_unwind(AssertUnwindSafe(|| {
        cases::play(case, &places, &record, trouble)
    }));
    fleet::kill_all();
    let verdict = played.unwrap_or_else(|_panic| Verdict::CannotRun("the script failed".into()));
    let code = match verdict {
        Verdict::Broken(text) => {
            record.say(&format!("BROKEN: {text}"));
            1
        }
        Verdict::Held(text) => {
            record.say(&format!("held: {text}"));
            0
        }
        Verdict::CannotRun(text) => {
            record.say(&format!("cannot run: {text}"));
            2
        }
    };
    let _ = std::fs::remove_dir_all(&temporary);
    ExitCode::from(code)
}
