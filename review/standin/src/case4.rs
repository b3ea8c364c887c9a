//! LOST: the machine that took requests gets SIGTERM while they wait for an endpoint.
//! Its sidecar exits before they have an answer.

use std::sync::Mutex;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::time::Duration;

use crate::Run;
use crate::Verdict;
use crate::client::Route;
use crate::client::configure;
use crate::client::request;
use crate::client::wait_ready;
use crate::endpoint::Endpoint;
use crate::endpoint::Work;
use crate::machine::Machine;

const CALLERS: usize = 105;
const DEADLINE_MS: u64 = 8_000;
const GRACE_MS: u64 = 6_000;
const LOST_TIME_MS: u64 = 200;
const WARM_UP: Duration = Duration::from_secs(14);

pub fn run(run: &Run) -> Verdict {
    let archive = Work {
        slots: 6,
        queue: 24,
        time: Duration::from_millis(400),
        answer_bytes: 400,
        sharded: false,
    };
    let desk = Work {
        time: Duration::from_millis(160),
        ..archive
    };
    configure(
        run,
        1,
        &[
            Route {
                service: "archive",
                idempotent: true,
                sharded: false,
                target_ms: DEADLINE_MS,
                timeout_ms: DEADLINE_MS,
            },
            Route {
                service: "desk",
                idempotent: true,
                sharded: false,
                target_ms: 500,
                timeout_ms: 1_500,
            },
        ],
    );
    let mut machines: Vec<Machine> = Vec::new();
    let mut endpoints = Vec::new();
    for (number, service) in [(1, "desk"), (2, "archive"), (3, "desk")] {
        let mut machine = run.site.machine(number, service);
        machine.start(&run.site);
        let work = if service == "archive" { archive } else { desk };
        endpoints.push(Endpoint::start(&machine, work, run.site.heartbeat_ms, &run.record, &run.seen));
        machines.push(machine);
    }
    if !wait_ready(&machines.iter().collect::<Vec<_>>(), Duration::from_secs(10)) {
        return Verdict::NotRun;
    }
    std::thread::sleep(Duration::from_secs(2));
    let at = machines[0].outbound();
    let over = AtomicBool::new(false);
    let answers = Mutex::new(Vec::new());
    let mut terminated = 0;
    std::thread::scope(|scope| {
        for caller in 0..CALLERS {
            let (over, answers) = (&over, &answers);
            scope.spawn(move || {
                for number in 0.. {
                    if over.load(Ordering::Relaxed) {
                        return;
                    }
                    let id = format!("report-{caller}-{number}");
                    let sent = request(run, at, "GET", "archive", &id, None, DEADLINE_MS, 400);
                    let is_whole = sent.is_whole;
                    answers.lock().unwrap().push(sent);
                    if !is_whole {
                        std::thread::sleep(Duration::from_millis(1_000));
                    }
                }
            });
        }
        std::thread::sleep(WARM_UP);
        // From now on the requesters send no new work to the machine.
        over.store(true, Ordering::Relaxed);
        terminated = run.record.now();
        if run.trouble {
            run.record.line("platform: SIGTERM to the sidecar of machine 1");
            machines[0].terminate();
            machines[0].wait_end(Duration::from_millis(GRACE_MS));
            run.record.line("platform: the sidecar of machine 1 has ended");
        }
    });
    let answers = answers.into_inner().unwrap();
    let whole = answers.iter().filter(|sent| sent.is_whole).count();
    let runs = run.seen.runs.lock().unwrap();
    // Not counted: an endpoint was at work on it in the last sixth of the grace
    // period, or its deadline was reached.
    let was_at_work = |id: &str| {
        runs.iter().any(|ran| {
            ran.id == id
                && ran.begun <= terminated + GRACE_MS
                && ran.ended.is_none_or(|ended| ended >= terminated + GRACE_MS * 5 / 6)
        })
    };
    let lost: Vec<_> = answers
        .iter()
        .filter(|sent| sent.status.is_none() && sent.ended > sent.sent + LOST_TIME_MS && sent.ended < sent.sent + DEADLINE_MS)
        .collect();
    let counted: Vec<_> = lost.iter().filter(|sent| !was_at_work(&sent.id)).collect();
    run.record.say(&format!(
        "{} requests sent, {whole} answered, {} connections ended without an answer, {} of them while no endpoint was at work",
        answers.len(),
        lost.len(),
        counted.len()
    ));
    for sent in &counted {
        run.record.line(&format!(
            "LOST: {} was sent {} ms before SIGTERM and cut {} ms after it",
            sent.id,
            terminated.saturating_sub(sent.sent),
            sent.ended.saturating_sub(terminated)
        ));
    }
    if whole == 0 {
        return Verdict::NotRun;
    }
    if counted.is_empty() { Verdict::Held } else { Verdict::Broken }
}
