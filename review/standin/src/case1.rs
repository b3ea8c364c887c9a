//! TWICE: connections between sidecars are reset while large answers to requests
//! that are not idempotent are on their way.

use std::collections::HashMap;
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
use crate::endpoint::Work;
use crate::relay::Link;
use crate::relay::relay_address;
use crate::relay::relay_datagrams;

/// 500 Mbit/s: half of the link of 1,000 Mbit/s that a machine has.
const LINK_BYTES_PER_S: f64 = 62.5e6;

const CALLERS: usize = 10;
const ANSWER_BYTES: usize = 2_000_000;
const RESETS: u32 = 6;
const RESET_INTERVAL: Duration = Duration::from_millis(4_330);

pub fn run(run: &Run) -> Verdict {
    let orders = Work {
        slots: 18,
        queue: 72,
        time: Duration::from_millis(160),
        answer_bytes: ANSWER_BYTES,
        sharded: false,
    };
    let desk = Work {
        answer_bytes: 0,
        ..orders
    };
    configure(
        run,
        1,
        &[
            Route {
                service: "orders",
                idempotent: false,
                sharded: false,
                target_ms: 2_500,
                timeout_ms: 6_000,
            },
            Route {
                service: "desk",
                idempotent: true,
                sharded: false,
                target_ms: 400,
                timeout_ms: 1_200,
            },
        ],
    );
    // A reset concerns machines 1 and 2, which are a share of 0.33.
    let mut machines = [
        run.site.machine(1, "desk"),
        run.site.machine(2, "orders"),
        run.site.machine(3, "desk"),
        run.site.machine(4, "desk"),
        run.site.machine(5, "desk"),
        run.site.machine(6, "desk"),
    ];
    let links: Vec<Link> = machines
        .iter()
        .map(|machine| Link::start(machine, LINK_BYTES_PER_S))
        .collect();
    relay_datagrams(&machines.iter().collect::<Vec<_>>());
    let mut endpoints = Vec::new();
    for machine in &mut machines {
        machine.advertised = Some(relay_address(machine));
        machine.start(&run.site);
        let work = if machine.service == "orders" { orders } else { desk };
        endpoints.push(Endpoint::start(machine, work, run.site.heartbeat_ms, &run.record, &run.seen));
    }
    if !wait_ready(&machines.iter().collect::<Vec<_>>(), Duration::from_secs(10)) {
        return Verdict::NotRun;
    }
    std::thread::sleep(Duration::from_secs(3));
    let at = machines[0].outbound();
    let over = Arc::new(AtomicBool::new(false));
    let answers = Mutex::new(Vec::new());
    std::thread::scope(|scope| {
        for caller in 0..CALLERS {
            let (over, answers) = (Arc::clone(&over), &answers);
            scope.spawn(move || {
                for number in 0.. {
                    if over.load(Ordering::Relaxed) {
                        return;
                    }
                    let id = format!("order-{caller}-{number}");
                    let sent = request(run, at, "POST", "orders", &id, None, 6_000, ANSWER_BYTES);
                    answers.lock().unwrap().push(sent);
                }
            });
        }
        for _ in 0..RESETS {
            std::thread::sleep(RESET_INTERVAL);
            if run.trouble {
                run.record.line("link: resets the connections between the sidecars");
                links[1].reset();
            }
        }
        std::thread::sleep(RESET_INTERVAL);
        over.store(true, Ordering::Relaxed);
    });
    // What was sent once more runs by now.
    std::thread::sleep(Duration::from_secs(2));
    let answers = answers.into_inner().unwrap();
    let whole = answers.iter().filter(|sent| sent.is_whole).count();
    let mut runs: HashMap<String, u32> = HashMap::new();
    for ran in run.seen.runs.lock().unwrap().iter() {
        *runs.entry(ran.id.clone()).or_default() += 1;
    }
    let twice: Vec<&String> = runs.iter().filter(|(_, count)| **count > 1).map(|(id, _)| id).collect();
    run.record.say(&format!(
        "{} requests sent, {whole} answered with the whole answer, {} ran, {} of them more than once; {} MB relayed",
        answers.len(),
        runs.len(),
        twice.len(),
        links[1].bytes() / 1_000_000
    ));
    for id in &twice {
        run.record.line(&format!("TWICE: {id} ran {} times", runs[*id]));
    }
    if whole * 2 < answers.len() || answers.is_empty() {
        return Verdict::NotRun;
    }
    if twice.is_empty() { Verdict::Held } else { Verdict::Broken }
}
