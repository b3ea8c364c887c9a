//! Fault: sidecars are restarted in turn, and the others keep the results that they had
//! for the ended ones for good, until they exceed their memory.

use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicU32;
use std::sync::atomic::Ordering;
use std::time::Duration;
use std::time::Instant;

use crate::Run;
use crate::Verdict;
use crate::client::Route;
use crate::client::configure;
use crate::client::request;
use crate::client::wait_ready;
use crate::endpoint::Endpoint;
use crate::endpoint::Work;
use crate::machine::Machine;

const SERVICES: [&str; 12] = [
    "desk", "desk", "desk", "desk", "desk", "desk", "orders", "orders", "reports", "orders", "orders", "reports",
];
/// Indexes of the machines that are restarted in turn: all but those with the reports.
const ROLLED: [usize; 10] = [0, 1, 2, 3, 4, 5, 6, 7, 9, 10];
const CALLERS_PER_MACHINE: u32 = 4;
const ANSWER_BYTES: usize = 200_000;
/// Time between two SIGTERMs.
const ROLL_GAP: Duration = Duration::from_secs(1);
/// Requesters send a machine no new work after two missed checks of its readiness.
const UNREADY: Duration = Duration::from_secs(2);
/// A process that ends is restarted after a short delay.
const RESTART_DELAY: Duration = Duration::from_millis(100);
/// `memoryMb` of the site's machines.
const MEMORY_KB: u64 = 260 * 1024;
const RUN_TIME: Duration = Duration::from_secs(103);
/// Ends by themselves on a machine, and machines with as many, that make a fault.
const ENDS: u32 = 3;
const MACHINES: usize = 2;

pub fn run(run: &Run) -> Verdict {
    let reports = Work {
        slots: 18,
        queue: 72,
        time: Duration::from_millis(50),
        answer_bytes: ANSWER_BYTES,
        sharded: false,
    };
    let idle = Work {
        answer_bytes: 0,
        ..reports
    };
    let route = |service, idempotent| Route {
        service,
        idempotent,
        sharded: false,
        target_ms: 1_500,
        timeout_ms: 2_500,
    };
    configure(run, 1, &[route("reports", true), route("desk", true), route("orders", false)]);
    let mut machines: Vec<Machine> = Vec::new();
    let mut endpoints = Vec::new();
    for (index, service) in SERVICES.into_iter().enumerate() {
        let mut machine = run.site.machine(index as u8 + 1, service);
        machine.start(&run.site);
        let work = if service == "reports" { reports } else { idle };
        endpoints.push(Endpoint::start(&machine, work, run.site.heartbeat_ms, &run.record, &run.seen));
        machines.push(machine);
    }
    if !wait_ready(&machines.iter().collect::<Vec<_>>(), Duration::from_secs(10)) {
        return Verdict::NotRun;
    }
    std::thread::sleep(Duration::from_secs(3));
    let (over, sent, whole) = (AtomicBool::new(false), AtomicU32::new(0), AtomicU32::new(0));
    let mut ends = [0_u32; SERVICES.len()];
    let mut largest = 0;
    let mut restarts = 0;
    let addresses: Vec<_> = machines.iter().map(Machine::outbound).collect();
    let avoided: Vec<AtomicBool> = machines.iter().map(|_| AtomicBool::new(false)).collect();
    std::thread::scope(|scope| {
        for index in ROLLED {
            let (at, avoided) = (addresses[index], &avoided[index]);
            for caller in 0..CALLERS_PER_MACHINE {
                let (over, sent, whole) = (&over, &sent, &whole);
                scope.spawn(move || {
                    for number in 0_u32.. {
                        if over.load(Ordering::Relaxed) {
                            return;
                        }
                        if avoided.load(Ordering::Relaxed) {
                            std::thread::sleep(Duration::from_millis(50));
                            continue;
                        }
                        let id = format!("report-{index}-{caller}-{number}");
                        let answer = request(run, at, "GET", "reports", &id, None, 5_000, ANSWER_BYTES);
                        sent.fetch_add(1, Ordering::Relaxed);
                        if answer.is_whole {
                            whole.fetch_add(1, Ordering::Relaxed);
                        } else {
                            std::thread::sleep(Duration::from_millis(100));
                        }
                    }
                });
            }
        }
        let started = Instant::now();
        let mut next_roll = started + ROLL_GAP;
        let mut turns = ROLLED.iter().cycle().copied().peekable();
        let mut terminated: Vec<Option<Instant>> = vec![None; machines.len()];
        while started.elapsed() < RUN_TIME && ends.iter().filter(|count| **count >= ENDS).count() < MACHINES {
            std::thread::sleep(Duration::from_millis(20));
            for index in 0..machines.len() {
                let used = machines[index].memory_kb();
                largest = largest.max(used);
                if used > MEMORY_KB {
                    ends[index] += 1;
                    run.record.line(&format!(
                        "Fault: the sidecar of machine {} uses {used} kB and is killed",
                        index + 1
                    ));
                    machines[index].kill();
                    std::thread::sleep(RESTART_DELAY);
                    machines[index].start(&run.site);
                }
            }
            for index in ROLLED {
                if terminated[index].is_some_and(|since| since.elapsed() > UNREADY) {
                    avoided[index].store(true, Ordering::Relaxed);
                }
                if terminated[index].is_some() && machines[index].has_ended() {
                    terminated[index] = None;
                    std::thread::sleep(RESTART_DELAY);
                    machines[index].start(&run.site);
                    restarts += 1;
                } else if terminated[index].is_none() && avoided[index].load(Ordering::Relaxed) {
                    avoided[index].store(!machines[index].is_ready(), Ordering::Relaxed);
                }
            }
            let next = *turns.peek().unwrap_or(&0);
            if run.trouble && Instant::now() >= next_roll && terminated[next].is_none() {
                next_roll += ROLL_GAP;
                let used: Vec<u64> = machines.iter().map(|machine| machine.memory_kb() / 1024).collect();
                run.record
                    .line(&format!("SIGTERM to the sidecar of machine {}; MB used: {used:?}", next + 1));
                machines[next].terminate();
                terminated[next] = Some(Instant::now());
                turns.next();
            }
        }
        over.store(true, Ordering::Relaxed);
    });
    run.record.say(&format!(
        "{} reports sent, {} answered; {restarts} restarts; sidecars ended for their memory, by machine: {ends:?}; largest use {} MB",
        sent.into_inner(),
        whole.load(Ordering::Relaxed),
        largest / 1024
    ));
    if whole.into_inner() == 0 {
        return Verdict::NotRun;
    }
    if ends.iter().filter(|count| **count >= ENDS).count() >= MACHINES {
        Verdict::Broken
    } else {
        Verdict::Held
    }
}
