//! The keys that are busy change again and again, so that each owner has more and more
//! ranges, and its sidecar more and more connections.

use std::sync::Arc;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
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

/// Endpoints of `vaktljos`, with their slots, connections and mean work.
const MACHINES: u8 = 4;
const SLOTS: u32 = 6;
const MAX_CONNECTIONS: usize = 62;
const WORK: Duration = Duration::from_millis(160);

/// Requesters at each machine, and their pause between two requests. Together they send
/// 67 requests a second; the site sends 86 of `lamp-status`.
const REQUESTERS: usize = 6;
const REQUEST_PAUSE: Duration = Duration::from_millis(200);

/// Part of the requests that are for the busy keys, in hundredths, and their number.
const BUSY_SHARE: u64 = 44;
const BUSY_KEYS: u64 = 200;

/// How often other keys become busy, and the time between two changes.
const CHANGES: u64 = 40;
const CHANGE_INTERVAL: u64 = 2_000;

/// Longest time for which two upstreams may hold the same keys, in seconds.
const MAX_OVERLAP: f64 = 0.5;

const ZONES: [&str; 3] = ["keflavik", "grindavik", "sandgerdi"];

pub fn play(places: &Places, record: &Arc<Record>, trouble: bool) -> Verdict {
    let store = Store::start();
    let ledger = Ledger::new(Arc::clone(record));
    let deployment = Deployment::new(places.clone(), Arc::clone(record), store.address, HEARTBEAT);
    let route = Route {
        name: "lamps",
        service: "vaktljos",
        kind: "idempotent",
        attempts: 2,
        target_ms: 500,
        timeout_ms: 1_500,
        priority: 0,
    };
    let text = configuration(1, &[("vaktljos", true)], &[route]);
    let text = text.replace(
        "\"maxConnections\":130",
        &format!("\"maxConnections\":{MAX_CONNECTIONS}"),
    );
    store.put("keyed.op", "config", text.as_bytes());
    let machines: Vec<Arc<Machine>> = (1..=MACHINES)
        .map(|number| deployment.machine(number, "vaktljos", ZONES[usize::from(number) % 3]))
        .collect();
    let upstreams: Vec<_> = machines
        .iter()
        .enumerate()
        .map(|(number, machine)| {
            machine.start();
            let mut settings = upstream_of(machine, &format!("i-{number}"), true, |_request| {
                Behaviour::Answer(WORK)
            });
            settings.slots = SLOTS;
            settings.max_connections = MAX_CONNECTIONS;
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

    // Number of the present busy keys; 0 for none.
    let busy = Arc::new(AtomicU64::new(0));
    let targets: Vec<_> = machines
        .iter()
        .flat_map(|machine| std::iter::repeat_n(machine.callers(), REQUESTERS))
        .collect();
    let chosen = Arc::clone(&busy);
    let load = Load::start(record, &targets, REQUEST_PAUSE, move |random| {
        let busy = chosen.load(Ordering::SeqCst);
        let key = if busy > 0 && random % 100 < BUSY_SHARE {
            busy.wrapping_mul(0x9E37_79B9) + (random >> 16) % BUSY_KEYS
        } else {
            random >> 24
        };
        Call {
            method: "GET",
            path: "/lamps/status".into(),
            key: Some(key as u16),
            deadline_ms: 3_000,
            ..Call::default()
        }
    });
    for change in 1..=CHANGES {
        if trouble {
            busy.store(change, Ordering::SeqCst);
        }
        pause(CHANGE_INTERVAL);
        if change % 5 == 0 {
            let ranges: Vec<usize> = upstreams
                .iter()
                .map(|upstream| upstream.held_ranges())
                .collect();
            record.say(&format!(
                "after change {change} the upstreams hold {ranges:?} ranges"
            ));
        }
    }
    let ended = load.stop();
    let answered = ended
        .iter()
        .filter(|(_, ended)| ended.status == Some(200))
        .count();
    record.say(&format!(
        "{answered} of {} requests were answered with success",
        ended.len()
    ));

    let overlaps = ledger.overlaps(MAX_OVERLAP);
    for overlap in &overlaps {
        record.line(&format!("overlap: {overlap:?}"));
    }
    let longest = overlaps
        .iter()
        .max_by(|left, right| (left.until - left.from).total_cmp(&(right.until - right.from)));
    match longest {
        Some(overlap) => Verdict::Broken(format!(
            "keys were held by two upstreams for over {MAX_OVERLAP} s, {} times at sampled keys; key {} for {:.3} s by {:?}",
            overlaps.len(),
            overlap.key,
            overlap.until - overlap.from,
            overlap.holders
        )),
        None => Verdict::Held(format!(
            "no key was held by two upstreams for over {MAX_OVERLAP} s"
        )),
    }
}
