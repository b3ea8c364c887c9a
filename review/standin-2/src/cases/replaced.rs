//! All machines lose power and are replaced by new ones at other addresses.

use std::sync::Arc;
use std::time::Duration;

use super::HEARTBEAT;
use super::Verdict;
use super::pause;
use super::upstream_of;
use crate::client::Call;
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

const MACHINES: u8 = 5;

/// Time without any machine.
const DOWN_TIME: u64 = 1_100;

/// `recover`, in milliseconds.
const RECOVER: u64 = 15_000;

const ZONES: [&str; 3] = ["daegu-a", "daegu-b", "busan-a"];

pub fn play(places: &Places, record: &Arc<Record>, trouble: bool) -> Verdict {
    let store = Store::start();
    let ledger = Ledger::new(Arc::clone(record));
    let deployment = Deployment::new(places.clone(), Arc::clone(record), store.address, HEARTBEAT);
    let route = Route {
        name: "prices",
        service: "catalogue",
        kind: "idempotent",
        attempts: 2,
        target_ms: 400,
        timeout_ms: 1_200,
        priority: 0,
    };
    let text = configuration(1, &[("catalogue", true)], &[route]);
    store.put("keyed.op", "config", text.as_bytes());
    let start_machines = |first: u8| -> Vec<(Arc<Machine>, Arc<Endpoint>)> {
        let numbers = first..first + MACHINES;
        let started = numbers.map(|number| {
            let zone = ZONES[usize::from(number) % 3];
            let machine = deployment.machine(number, "catalogue", zone);
            machine.start();
            let settings = upstream_of(&machine, &format!("i-{number}"), true, |_request| {
                Behaviour::Answer(Duration::from_millis(120))
            });
            let first_beat = Duration::from_millis(200);
            let upstream = Endpoint::start(settings, Arc::clone(&ledger), first_beat);
            (machine, upstream)
        });
        started.collect()
    };
    let wait_ready = |machines: &[(Arc<Machine>, Arc<Endpoint>)]| {
        let mut machines = machines.iter();
        machines.all(|(machine, _)| machine.wait_ready(Duration::from_secs(10)))
    };
    // Sends requests for some seconds; returns how many were served, and all.
    let measure = |machines: &[(Arc<Machine>, Arc<Endpoint>)]| {
        let targets: Vec<_> = machines
            .iter()
            .flat_map(|(machine, _)| std::iter::repeat_n(machine.callers(), 4))
            .collect();
        let load = Load::start(record, &targets, Duration::from_millis(100), |random| {
            Call {
                method: "GET",
                path: "/prices/list".into(),
                key: Some((random >> 16) as u16),
                deadline_ms: 2_500,
                ..Call::default()
            }
        });
        pause(5_000);
        let ended = load.stop();
        let served = ended.iter().filter(|(_, ended)| ended.status == Some(200));
        (served.count(), ended.len())
    };

    let first = start_machines(1);
    if !wait_ready(&first) {
        return Verdict::CannotRun("a sidecar does not become ready".into());
    }
    pause(5_000);
    let before = measure(&first);
    record.say(&format!(
        "{} of {} requests were served",
        before.0, before.1
    ));
    for (machine, upstream) in &first {
        machine.kill();
        upstream.end();
    }
    pause(DOWN_TIME);
    // Without the disruption the same machines come back.
    let second = start_machines(if trouble { 1 + MACHINES } else { 1 });
    if !wait_ready(&second) {
        return Verdict::CannotRun("a new sidecar does not become ready".into());
    }
    record.say("the machines are back");
    pause(RECOVER);
    let after = measure(&second);
    record.say(&format!("{} of {} requests were served", after.0, after.1));
    pause(RECOVER);
    let later = measure(&second);
    record.say(&format!("{} of {} requests were served", later.0, later.1));
    let text = format!(
        "{} of {} requests were served before, {} of {} later than {RECOVER} ms after the machines were back",
        before.0,
        before.1,
        after.0 + later.0,
        after.1 + later.1
    );
    let was_served = before.0 * 4 >= before.1;
    if was_served && (after.0 + later.0) * 4 < after.1 + later.1 {
        Verdict::Broken(text)
    } else {
        Verdict::Held(text)
    }
}
