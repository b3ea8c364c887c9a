//! OWNER: a faulty endpoint writes some answers to grants once more, late. The sidecar
//! takes such an answer for that to a release and gives the keys away while the
//! endpoint is still at work on them.

use std::sync::Arc;
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
use crate::endpoint::Grant;
use crate::endpoint::Work;
use crate::machine::Machine;

const CALLERS: u32 = 54;
const ROLLS: u8 = 12;
/// How long endpoints are faulty at a time, as in the site file.
const SPELL: Duration = Duration::from_secs(5);
const ROLL_INTERVAL: Duration = Duration::from_millis(2_000);
const GRACE: Duration = Duration::from_secs(6);

pub fn run(run: &Run) -> Verdict {
    let catalogue = Work {
        slots: 18,
        queue: 72,
        time: Duration::from_millis(300),
        answer_bytes: 0,
        sharded: true,
    };
    let orders = Work {
        sharded: false,
        ..catalogue
    };
    configure(
        run,
        1,
        &[
            Route {
                service: "catalogue",
                idempotent: true,
                sharded: true,
                target_ms: 800,
                timeout_ms: 2_500,
            },
            Route {
                service: "orders",
                idempotent: false,
                sharded: false,
                target_ms: 500,
                timeout_ms: 1_500,
            },
        ],
    );
    let mut machines: Vec<Machine> = Vec::new();
    let mut endpoints: Vec<Arc<Endpoint>> = Vec::new();
    for service in ["orders", "catalogue", "catalogue", "catalogue", "catalogue"] {
        let mut machine = run.site.machine(machines.len() as u8 + 1, service);
        machine.start(&run.site);
        let work = if service == "catalogue" { catalogue } else { orders };
        let endpoint = Endpoint::start(&machine, work, run.site.heartbeat_ms, &run.record, &run.seen);
        endpoints.push(endpoint);
        machines.push(machine);
    }
    if !wait_ready(&machines.iter().collect::<Vec<_>>(), Duration::from_secs(10)) {
        return Verdict::NotRun;
    }
    let at = machines[0].outbound();
    std::thread::sleep(Duration::from_secs(4));
    let over = AtomicBool::new(false);
    let answers = Mutex::new(Vec::new());
    std::thread::scope(|scope| {
        for caller in 0..CALLERS {
            let (over, answers) = (&over, &answers);
            scope.spawn(move || {
                for number in 0_u32.. {
                    if over.load(Ordering::Relaxed) {
                        return;
                    }
                    let key = (caller * 1_637 + number * 4_001) as u16;
                    let id = format!("lookup-{caller}-{number}");
                    let sent = request(run, at, "GET", "catalogue", &id, Some(key), 2_500, 0);
                    answers.lock().unwrap().push(sent);
                }
            });
        }
        for _ in 0..ROLLS {
            // Three of the five endpoints are faulty, for a spell of 5 s at a time.
            let spell = std::time::Instant::now();
            let set_faulty = |faulty: bool| {
                for endpoint in &endpoints[1..=3] {
                    endpoint.set_faulty(run.trouble && faulty);
                }
                run.record
                    .line(&format!("endpoints 2 to 4 are faulty: {}", run.trouble && faulty));
            };
            set_faulty(true);
            run.record
                .line("platform: SIGTERM to the sidecar of machine 5, and a new start");
            machines[4].terminate();
            machines[4].wait_end(GRACE);
            machines[4].start(&run.site);
            std::thread::sleep(SPELL.saturating_sub(spell.elapsed()));
            set_faulty(false);
            std::thread::sleep(ROLL_INTERVAL);
        }
        over.store(true, Ordering::Relaxed);
    });
    let answers = answers.into_inner().unwrap();
    let whole = answers.iter().filter(|sent| sent.is_whole).count();
    let grants = run.seen.grants.lock().unwrap();
    let runs = run.seen.runs.lock().unwrap();
    let mut found = 0;
    for ran in runs.iter() {
        let Some(key) = ran.key else { continue };
        let ended = ran.ended.unwrap_or(u64::MAX);
        let covers = |grant: &&Grant| grant.from <= key && key <= grant.to;
        let is_other = |grant: &&Grant| grant.endpoint != ran.endpoint && ran.begun < grant.at && grant.at < ended;
        let Some(other) = grants.iter().filter(covers).find(is_other) else {
            continue;
        };
        let hold_end = grants
            .iter()
            .filter(covers)
            .filter(|grant| grant.endpoint == ran.endpoint && grant.at <= other.at)
            .map(|grant| grant.until)
            .max()
            .unwrap_or(0);
        if hold_end > other.at {
            found += 1;
            run.record.line(&format!(
                "OWNER: endpoint {} was at work on {} (key {key}) from {} to {ended} and its hold lasted until {hold_end}; \
                 endpoint {} was given the key at {}",
                ran.endpoint, ran.id, ran.begun, other.endpoint, other.at
            ));
        }
    }
    run.record.say(&format!(
        "{} lookups sent, {whole} answered; keys given away while another endpoint was at work on them: {found} requests",
        answers.len()
    ));
    if whole * 2 < answers.len() || answers.is_empty() {
        return Verdict::NotRun;
    }
    if found == 0 { Verdict::Held } else { Verdict::Broken }
}
