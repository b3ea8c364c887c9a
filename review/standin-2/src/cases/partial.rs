//! A request that crashes each upstream that begins to run it, after the upstream has
//! sent the head and a part of its answer.

use std::sync::Arc;
use std::sync::Mutex;
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

const MACHINES: u8 = 8;

/// Time after which a crashed upstream is back.
const RESTART_DELAY: Duration = Duration::from_secs(3);

/// `stableWindow`, in seconds.
const STABLE_WINDOW: f64 = 3.0;

/// Retries that the rule allows.
const MAX_RETRIES: usize = 3;

const ZONES: [&str; 3] = ["daegu-a", "daegu-b", "busan-a"];

pub fn play(places: &Places, record: &Arc<Record>, trouble: bool) -> Verdict {
    let answers_partly = std::env::var("PARTLY").as_deref() != Ok("0");
    let store = Store::start();
    let ledger = Ledger::new(Arc::clone(record));
    let deployment = Deployment::new(places.clone(), Arc::clone(record), store.address, HEARTBEAT);
    let route = |name, service| Route {
        name,
        service,
        kind: "idempotent",
        attempts: 2,
        target_ms: 1_500,
        timeout_ms: 2_500,
        priority: 2,
    };
    let text = configuration(1, &[("reports", false)], &[route("stock", "reports")]);
    store.put("keyed.op", "config", text.as_bytes());

    let machines: Vec<Arc<Machine>> = (1..=MACHINES)
        .map(|number| deployment.machine(number, "reports", ZONES[usize::from(number) % 3]))
        .collect();
    let behaviour = move |request: &crate::http::Request| {
        if trouble && request.path.starts_with("/stock/deadly") {
            Behaviour::Crash {
                after: Duration::from_millis(100),
                answers_partly,
            }
        } else {
            Behaviour::Answer(Duration::from_millis(100))
        }
    };
    let start_upstream = |number: usize, start: u32, ledger: &Arc<Ledger>| {
        let instance = format!("i-{number}-{start}");
        let settings = upstream_of(&machines[number], &instance, false, behaviour);
        Endpoint::start(settings, Arc::clone(ledger), Duration::from_millis(200))
    };
    for machine in &machines {
        machine.start();
    }
    let upstreams: Vec<_> = (0..machines.len())
        .map(|number| Mutex::new((start_upstream(number, 1, &ledger), 1)))
        .collect();
    if !machines
        .iter()
        .all(|machine| machine.wait_ready(Duration::from_secs(10)))
    {
        return Verdict::CannotRun("a sidecar does not become ready".into());
    }
    pause(3_000);

    let stop = AtomicBool::new(false);
    std::thread::scope(|scope| {
        scope.spawn(|| {
            // Brings crashed upstreams back, each as a new one on the same machine.
            while !stop.load(Ordering::SeqCst) {
                for (number, upstream) in upstreams.iter().enumerate() {
                    let mut upstream = upstream.lock().unwrap();
                    if !upstream.0.has_ended() {
                        continue;
                    }
                    let ended = &upstream.0.settings.instance;
                    let at = ledger.ends().into_iter().find(|(_, name)| name == ended);
                    let due = at
                        .is_some_and(|(at, _)| record.seconds() > at + RESTART_DELAY.as_secs_f64());
                    if due {
                        let start = upstream.1 + 1;
                        *upstream = (start_upstream(number, start, &ledger), start);
                    }
                }
                pause(20);
            }
        });
        let targets: Vec<_> = machines.iter().map(|machine| machine.callers()).collect();
        let load = Load::start(record, &targets, Duration::from_millis(50), |random| Call {
            method: "GET",
            path: format!("/stock/report-{}", random % 1_000),
            deadline_ms: 5_000,
            ..Call::default()
        });
        // One requester asks for the same thing every two seconds, at each machine in turn.
        for round in 0..20 {
            let target = targets[round % targets.len()];
            let call = Call {
                method: "GET",
                path: "/stock/deadly".into(),
                deadline_ms: 5_000,
                ..Call::default()
            };
            let ended = Connection::new(target).send(record, &call);
            record.say(&format!("deadly request {round}: {:?}", ended.status));
            pause(2_000);
        }
        let ended = load.stop();
        let answered = ended
            .iter()
            .filter(|(_, ended)| ended.status == Some(200))
            .count();
        record.say(&format!(
            "{answered} of {} other requests were answered",
            ended.len()
        ));
        stop.store(true, Ordering::SeqCst);
    });

    let runs = ledger.runs();
    let deadly: Vec<f64> = runs
        .iter()
        .filter(|run| run.path.starts_with("/stock/deadly"))
        .map(|run| run.at)
        .collect();
    let crashes = ledger.ends();
    let Some((third, _)) = crashes.get(2) else {
        return Verdict::Held(format!("{} crashes", crashes.len()));
    };
    let later = deadly
        .iter()
        .filter(|at| **at > third + STABLE_WINDOW)
        .count();
    let text = format!(
        "{} runs of the deadly request, {} crashes; {later} runs began later than {STABLE_WINDOW} s after the third crash at {third:.3}, {MAX_RETRIES} are allowed",
        deadly.len(),
        crashes.len()
    );
    if later > MAX_RETRIES {
        Verdict::Broken(text)
    } else {
        Verdict::Held(text)
    }
}
