//! A few requesters send requests with large bodies, which the operator's limits allow.

use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::time::Duration;

use super::HEARTBEAT;
use super::Verdict;
use super::pause;
use super::upstream_of;
use crate::client::Call;
use crate::client::Connection;
use crate::client::Load;
use crate::endpoint::Behaviour;
use crate::endpoint::Endpoint;
use crate::fleet::Deployment;
use crate::fleet::Machine;
use crate::fleet::Places;
use crate::fleet::Route;
use crate::fleet::configuration;
use crate::ledger::Ledger;
use crate::record::Record;
use crate::store::Store;

const MACHINES: u8 = 3;

/// `memoryMb` of a machine.
const MEMORY_MB: f64 = 260.0;

/// Requests on kept connections that may end without an answer.
const MAX_LOST: usize = 3;

const ZONES: [&str; 3] = ["daegu-a", "daegu-b", "busan-a"];

pub fn number_of(name: &str, default: usize) -> usize {
    let value = std::env::var(name).ok();
    value
        .and_then(|value| value.parse().ok())
        .unwrap_or(default)
}

/// Returns the resident memory of a process, in MB.
pub fn resident_mb(process: u32) -> f64 {
    let status = std::fs::read_to_string(format!("/proc/{process}/status")).unwrap_or_default();
    let line = status.lines().find_map(|line| line.strip_prefix("VmRSS:"));
    let kilobytes = line.and_then(|line| line.split_whitespace().next()?.parse::<f64>().ok());
    kilobytes.unwrap_or_default() / 1024.0
}

pub fn play(places: &Places, record: &Arc<Record>, trouble: bool) -> Verdict {
    let uploads = number_of("UPLOADS", 24);
    let bytes = if trouble {
        number_of("BYTES", 16_000_000)
    } else {
        300
    };
    let store = Store::start();
    let ledger = Ledger::new(Arc::clone(record));
    let deployment = Deployment::new(places.clone(), Arc::clone(record), store.address, HEARTBEAT);
    let route = Route {
        name: "orders",
        service: "orders",
        kind: "non_idempotent",
        attempts: 2,
        target_ms: 1_500,
        timeout_ms: 5_000,
        priority: 1,
    };
    let text = configuration(1, &[("orders", false)], &[route]);
    let text = text.replace("\"maxBodyBytes\":1000000", "\"maxBodyBytes\":67108864");
    store.put("keyed.op", "config", text.as_bytes());

    let machines: Vec<Arc<Machine>> = (1..=MACHINES)
        .map(|number| deployment.machine(number, "orders", ZONES[usize::from(number) % 3]))
        .collect();
    let _upstreams: Vec<_> = machines
        .iter()
        .enumerate()
        .map(|(number, machine)| {
            machine.start();
            let settings = upstream_of(machine, &format!("i-{number}"), false, |_request| {
                Behaviour::Answer(Duration::from_millis(160))
            });
            Endpoint::start(settings, Arc::clone(&ledger), Duration::from_millis(200))
        })
        .collect();
    if !machines
        .iter()
        .all(|machine| machine.wait_ready(Duration::from_secs(10)))
    {
        return Verdict::CannotRun("a sidecar does not become ready".into());
    }
    pause(3_000);

    let stop = AtomicBool::new(false);
    let mut lost = Vec::new();
    let mut peak: f64 = 0.0;
    std::thread::scope(|scope| {
        // The platform kills a process that exceeds its memory, and starts it again.
        let platform = scope.spawn(|| {
            let mut peak: f64 = 0.0;
            while !stop.load(Ordering::SeqCst) {
                for machine in &machines {
                    let Some(process) = machine.process_id() else {
                        continue;
                    };
                    let resident = resident_mb(process);
                    peak = peak.max(resident);
                    if resident > MEMORY_MB {
                        record.say(&format!(
                            "{} has {resident:.0} MB, the limit is {MEMORY_MB} MB",
                            machine.name
                        ));
                        machine.kill();
                        pause(100);
                        machine.start();
                    }
                }
                pause(2);
            }
            peak
        });
        let targets: Vec<_> = machines
            .iter()
            .flat_map(|machine| std::iter::repeat_n(machine.callers(), 6))
            .collect();
        let load = Load::start(record, &targets, Duration::from_millis(50), |random| Call {
            method: "POST",
            path: format!("/orders/{}", random % 1_000),
            deadline_ms: 3_000,
            body: vec![b'x'; 300],
            ..Call::default()
        });
        pause(2_000);
        for round in 0..3 {
            let target = machines[0].callers();
            let senders: Vec<_> = (0..uploads)
                .map(|_| {
                    scope.spawn(move || {
                        let call = Call {
                            method: "POST",
                            path: "/orders/large".into(),
                            deadline_ms: 5_000,
                            body: vec![b'y'; bytes],
                            ..Call::default()
                        };
                        Connection::new(target).send(record, &call)
                    })
                })
                .collect();
            for sender in senders {
                let ended = sender.join().unwrap();
                record.say(&format!(
                    "round {round}: large request {:?} {}",
                    ended.status, ended.error
                ));
            }
            pause(3_000);
        }
        let ended = load.stop();
        stop.store(true, Ordering::SeqCst);
        peak = platform.join().unwrap();
        lost.extend(
            ended
                .iter()
                .filter(|(_, ended)| ended.is_sent && ended.is_kept && ended.is_closed)
                .cloned(),
        );
        let answered = ended
            .iter()
            .filter(|(_, ended)| ended.status == Some(200))
            .count();
        record.say(&format!(
            "{answered} of {} small requests were answered",
            ended.len()
        ));
    });
    let runs = ledger.runs();
    let passed_on = lost
        .iter()
        .filter(|(_, ended)| runs.iter().any(|run| run.id == ended.id))
        .count();
    let text = format!(
        "peak of {peak:.0} MB; {passed_on} small requests on kept connections had been passed on and ended without an answer, {MAX_LOST} are allowed"
    );
    if passed_on > MAX_LOST {
        Verdict::Broken(text)
    } else {
        Verdict::Held(text)
    }
}
