//! Upstreams end and start again at once, while their sidecars go on.

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

/// One of these at a time is an eighth of the service's upstreams.
const MACHINES: u8 = 8;

/// How often an upstream ends, each time on the next machine.
const ROUNDS: usize = 6;

/// Time from the end of an upstream until it is started again.
const RESTART_DELAY: Duration = Duration::from_millis(100);

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
    let machines: Vec<Arc<Machine>> = (1..=MACHINES)
        .map(|number| deployment.machine(number, "catalogue", ZONES[usize::from(number) % 3]))
        .collect();
    let start_upstream = |number: usize, start: usize, first_beat: Duration| {
        let instance = format!("i-{number}-{start}");
        let settings = upstream_of(&machines[number], &instance, true, |_request| {
            Behaviour::Answer(Duration::from_millis(120))
        });
        Endpoint::start(settings, Arc::clone(&ledger), first_beat)
    };
    for machine in &machines {
        machine.start();
    }
    let mut upstreams: Vec<_> = (0..machines.len())
        .map(|number| start_upstream(number, 1, Duration::from_millis(200)))
        .collect();
    if !machines
        .iter()
        .all(|machine| machine.wait_ready(Duration::from_secs(10)))
    {
        return Verdict::CannotRun("a sidecar does not become ready".into());
    }
    pause(4_000);
    let targets: Vec<_> = machines.iter().map(|machine| machine.callers()).collect();
    let load = Load::start(record, &targets, Duration::from_secs(1), |random| Call {
        method: "GET",
        path: "/prices/list".into(),
        key: Some((random >> 16) as u16),
        deadline_ms: 2_500,
        ..Call::default()
    });
    pause(3_000);
    if trouble {
        for round in 0..ROUNDS {
            let number = round % machines.len();
            upstreams[number].end();
            std::thread::sleep(RESTART_DELAY);
            // It announces itself every heartbeat, for the first time after one.
            upstreams[number] = start_upstream(number, 2 + round, HEARTBEAT);
            pause(6_000);
        }
    } else {
        pause(10_000);
    }
    let ended = load.stop();
    let answered = ended
        .iter()
        .filter(|(_, ended)| ended.status == Some(200))
        .count();
    record.say(&format!(
        "{answered} of {} requests were answered",
        ended.len()
    ));
    let low = ledger.low_fences();
    for grant in &low {
        record.line(&format!("low fence: {grant}"));
    }
    match low.first() {
        Some(first) => Verdict::Broken(format!(
            "{} grants were taken under a generation number that another upstream had for the same keys, first {first}",
            low.len()
        )),
        None => Verdict::Held("every generation number was above those of other upstreams".into()),
    }
}
