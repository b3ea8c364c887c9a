//! DRAIN: a sidecar has acknowledged that its endpoint leaves and is killed. The new
//! process takes a late ping of the endpoint for news and sends it requests.

use std::collections::HashMap;
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

const CALLERS: u32 = 10;
/// Index of the machine whose endpoint leaves; it is in the zone of the requesters.
const LEAVING: usize = 3;
const DRAIN_MS: u64 = 2_000;
const STABLE_WINDOW_MS: u64 = 3_000;
/// A process that is killed is restarted after a short delay.
const RESTART_DELAY: Duration = Duration::from_millis(100);
/// How late the ping arrives that the endpoint sent before it deregistered.
const PING_DELAY: Duration = Duration::from_millis(2_500);
/// How long the endpoint serves after it has deregistered.
const SERVES_ON: Duration = Duration::from_secs(9);

pub fn run(run: &Run) -> Verdict {
    let orders = Work {
        slots: 18,
        queue: 72,
        time: Duration::from_millis(160),
        answer_bytes: 400,
        sharded: false,
    };
    configure(
        run,
        1,
        &[
            Route {
                service: "orders",
                idempotent: false,
                sharded: false,
                target_ms: 500,
                timeout_ms: 1_500,
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
    let mut machines: Vec<Machine> = Vec::new();
    let mut endpoints = Vec::new();
    for (number, service) in [(1, "desk"), (2, "orders"), (3, "orders"), (4, "orders")] {
        let mut machine = run.site.machine(number, service);
        machine.start(&run.site);
        endpoints.push(Endpoint::start(
            &machine,
            orders,
            run.site.heartbeat_ms,
            &run.record,
            &run.seen,
        ));
        machines.push(machine);
    }
    if !wait_ready(&machines.iter().collect::<Vec<_>>(), Duration::from_secs(10)) {
        return Verdict::NotRun;
    }
    std::thread::sleep(Duration::from_secs(5));
    let at = machines[0].outbound();
    let over = AtomicBool::new(false);
    let answers = Mutex::new(Vec::new());
    let (mut acknowledged, mut restarted) = (0, 0);
    std::thread::scope(|scope| {
        for caller in 0..CALLERS {
            let (over, answers) = (&over, &answers);
            scope.spawn(move || {
                for number in 0_u32.. {
                    if over.load(Ordering::Relaxed) {
                        return;
                    }
                    let sent = request(
                        run,
                        at,
                        "POST",
                        "orders",
                        &format!("order-{caller}-{number}"),
                        None,
                        3_000,
                        400,
                    );
                    answers.lock().unwrap().push(sent);
                }
            });
        }
        std::thread::sleep(Duration::from_secs(4));
        let late_ping = endpoints[LEAVING].next_ping();
        if endpoints[LEAVING].deregister() {
            acknowledged = run.record.line("endpoint 4 has deregistered, acknowledged by its sidecar");
        }
        std::thread::sleep(Duration::from_millis(100));
        if run.trouble {
            run.record.line("kills the sidecar of machine 4");
            machines[LEAVING].kill();
            std::thread::sleep(RESTART_DELAY);
            machines[LEAVING].start(&run.site);
            restarted = run.record.line("restarted the sidecar of machine 4");
        }
        std::thread::sleep(PING_DELAY);
        run.record
            .line("the ping that endpoint 4 sent before it deregistered arrives");
        endpoints[LEAVING].send_ping(&late_ping);
        std::thread::sleep(SERVES_ON - PING_DELAY);
        run.record.line("endpoint 4 ends");
        endpoints[LEAVING].stop();
        std::thread::sleep(Duration::from_secs(2));
        over.store(true, Ordering::Relaxed);
    });
    let answers = answers.into_inner().unwrap();
    let whole = answers.iter().filter(|sent| sent.is_whole).count();
    let sent_at: HashMap<&str, u64> = answers.iter().map(|sent| (&*sent.id, sent.sent)).collect();
    // The machines that sent the request on must have been in touch, and the request
    // be sent later than `drain` after the acknowledgement.
    let bound = (acknowledged + DRAIN_MS).max(restarted + STABLE_WINDOW_MS);
    let runs = run.seen.runs.lock().unwrap();
    let late: Vec<_> = runs
        .iter()
        .filter(|ran| ran.endpoint == 4 && sent_at.get(&*ran.id).is_some_and(|sent| *sent > bound))
        .collect();
    for ran in &late {
        run.record.line(&format!(
            "DRAIN: {} was sent {} ms after the acknowledgement and reached endpoint 4",
            ran.id,
            sent_at[&*ran.id] - acknowledged
        ));
    }
    run.record.say(&format!(
        "{} orders sent, {whole} answered; {} of those sent later than {} ms after the acknowledgement reached the endpoint",
        answers.len(),
        late.len(),
        bound - acknowledged
    ));
    if acknowledged == 0 || whole * 2 < answers.len() {
        return Verdict::NotRun;
    }
    if late.is_empty() { Verdict::Held } else { Verdict::Broken }
}
