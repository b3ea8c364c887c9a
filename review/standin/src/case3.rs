//! RECOVER: all machines lose power and are replaced by machines at other addresses.
//! The keys are never assigned again.

use std::sync::Arc;
use std::sync::atomic::AtomicU16;
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

const MACHINES: u8 = 5;
/// Time after the return of the machines from which requests are to be served.
const RECOVER: Duration = Duration::from_secs(15);
const DOWN: Duration = Duration::from_millis(800);
const PROBES: u16 = 200;

pub fn run(run: &Run) -> Verdict {
    let catalogue = Work {
        slots: 18,
        queue: 72,
        time: Duration::from_millis(20),
        answer_bytes: 0,
        sharded: true,
    };
    configure(
        run,
        1,
        &[Route {
            service: "catalogue",
            idempotent: true,
            sharded: true,
            target_ms: 400,
            timeout_ms: 1_200,
        }],
    );
    let start = |number: u8| -> (Machine, Arc<Endpoint>) {
        let mut machine = run.site.machine(number, "catalogue");
        machine.start(&run.site);
        let endpoint = Endpoint::start(&machine, catalogue, run.site.heartbeat_ms, &run.record, &run.seen);
        (machine, endpoint)
    };
    let mut machines: Vec<(Machine, Arc<Endpoint>)> = (1..=MACHINES).map(start).collect();
    if !wait_ready(
        &machines.iter().map(|(machine, _)| machine).collect::<Vec<_>>(),
        Duration::from_secs(10),
    ) {
        return Verdict::NotRun;
    }
    std::thread::sleep(Duration::from_secs(6));
    let before = probe(run, &machines, "before");
    if run.trouble {
        run.record
            .line("all machines lose power for good and are replaced at other addresses");
        for (machine, endpoint) in &mut machines {
            machine.kill();
            endpoint.stop();
        }
        std::thread::sleep(DOWN);
        machines.clear();
        machines.extend((MACHINES + 1..=2 * MACHINES).map(start));
    }
    std::thread::sleep(RECOVER);
    wait_ready(
        &machines.iter().map(|(machine, _)| machine).collect::<Vec<_>>(),
        Duration::from_secs(5),
    );
    let after = probe(run, &machines, "after");
    std::thread::sleep(RECOVER);
    let later = probe(run, &machines, "later");
    run.record.say(&format!(
        "served before the fault: {before} of {PROBES}; from 15 s after the return of the machines: {after}; from 30 s after it: {later}"
    ));
    if before < PROBES / 4 {
        return Verdict::NotRun;
    }
    if after < PROBES / 4 { Verdict::Broken } else { Verdict::Held }
}

/// Sends requests for keys spread over the whole range and returns how many were
/// served.
fn probe(run: &Run, machines: &[(Machine, Arc<Endpoint>)], name: &str) -> u16 {
    let served = AtomicU16::new(0);
    std::thread::scope(|scope| {
        for (index, (machine, _)) in machines.iter().enumerate() {
            let (at, served) = (machine.outbound(), &served);
            scope.spawn(move || {
                for number in (0..PROBES).filter(|number| usize::from(*number) % machines.len() == index) {
                    let key = number * (u16::MAX / PROBES);
                    let sent = request(run, at, "GET", "catalogue", &format!("{name}-{number}"), Some(key), 2_500, 0);
                    served.fetch_add(u16::from(sent.is_whole), Ordering::Relaxed);
                }
            });
        }
    });
    served.into_inner()
}
