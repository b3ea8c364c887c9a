//! The cases.

mod capped;
mod lives;
mod partial;
mod replaced;
mod uploads;

use std::sync::Arc;
use std::time::Duration;

use crate::endpoint::Behaviour;
use crate::endpoint::EndpointSettings;
use crate::fleet::Machine;
use crate::fleet::Places;
use crate::http::Request;
use crate::record::Record;

/// Heartbeat interval of the example in the deployment's page.
pub const HEARTBEAT: Duration = Duration::from_millis(870);

/// The outcome of a case.
pub enum Verdict {
    Broken(String),
    Held(String),
    CannotRun(String),
}

pub fn play(case: &str, places: &Places, record: &Arc<Record>, trouble: bool) -> Verdict {
    match case {
        "capped" => capped::play(places, record, trouble),
        "lives" => lives::play(places, record, trouble),
        "partial" => partial::play(places, record, trouble),
        "replaced" => replaced::play(places, record, trouble),
        "uploads" => uploads::play(places, record, trouble),
        _ => Verdict::CannotRun(format!("no case `{case}`")),
    }
}

/// Describes the upstream of a machine.
pub fn upstream_of(
    machine: &Machine,
    instance: &str,
    sharded: bool,
    behaviour: impl Fn(&Request) -> Behaviour + Send + Sync + 'static,
) -> EndpointSettings {
    EndpointSettings {
        instance: instance.to_owned(),
        service: machine.service.clone(),
        zone: machine.zone.clone(),
        address: machine.app(),
        control: machine.control(),
        heartbeat: HEARTBEAT,
        slots: 18,
        sharded,
        max_connections: 130,
        behaviour: Arc::new(behaviour),
    }
}

pub fn pause(milliseconds: u64) {
    std::thread::sleep(Duration::from_millis(milliseconds));
}
