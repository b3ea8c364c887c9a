//! Events of the `Watch` call: the differences between two folded states.

use std::collections::BTreeMap;

use winch_operator_api as api;
use winch_operator_api::watch_event::Event;

use super::convert::key_to_api;
use crate::base::ids::Incarnation;
use crate::state::folded::FoldedState;
use crate::state::folded::MemberState;

/// Lists the events that lead from one state to a later one.
///
/// Only the two states are compared: changes between them that cancel out
/// produce no event.
pub fn list_events(before: &FoldedState, after: &FoldedState) -> Vec<api::WatchEvent> {
    let mut events = Vec::new();
    events.extend(object_events(before, after));
    events.extend(member_events(before, after));
    events.extend(planner_event(before, after));
    events.extend(move_events(before, after));
    events
        .into_iter()
        .map(|event| api::WatchEvent {
            next_offset: after.next,
            event: Some(event),
        })
        .collect()
}

fn object_events(before: &FoldedState, after: &FoldedState) -> Vec<Event> {
    after
        .objects
        .iter()
        .filter(|(key, object)| {
            before
                .objects
                .get(key)
                .is_none_or(|earlier| earlier.version != object.version)
        })
        .map(|(key, object)| {
            Event::ObjectChanged(api::ObjectChanged {
                object: Some(key_to_api(key)),
                version: object.version,
                operator: object.operator.to_string(),
                deleted: object.declaration.is_none(),
            })
        })
        .collect()
}

fn member_events(before: &FoldedState, after: &FoldedState) -> Vec<Event> {
    let mut events = Vec::new();
    for (incarnation, member) in &before.members {
        if !after.members.contains_key(incarnation) {
            events.push(member_event(member, api::MemberEvent::Ended));
        }
    }
    for (incarnation, member) in &after.members {
        let earlier = before.members.get(incarnation);
        if earlier.is_none() {
            events.push(member_event(member, api::MemberEvent::Joined));
        }
        if member.draining && earlier.is_none_or(|earlier| !earlier.draining) {
            events.push(member_event(member, api::MemberEvent::Draining));
        }
    }
    events
}

fn member_event(member: &MemberState, event: api::MemberEvent) -> Event {
    Event::MemberChanged(api::MemberChanged {
        node: member.info.node.to_string(),
        incarnation: member.info.incarnation,
        event: event.into(),
    })
}

fn planner_event(before: &FoldedState, after: &FoldedState) -> Option<Event> {
    if before.term == after.term {
        return None;
    }
    let node = after
        .planner
        .and_then(|planner| after.members.get(&planner))
        .map_or_else(String::new, |member| member.info.node.to_string());
    Some(Event::PlannerChanged(api::PlannerChanged {
        term: after.term,
        node,
    }))
}

fn move_events(before: &FoldedState, after: &FoldedState) -> Vec<Event> {
    let mut moved: BTreeMap<&str, u32> = BTreeMap::new();
    for (key, chain) in &after.chains {
        let owner = after.serving_position(chain).map(|(_, holder)| holder);
        let earlier = before.chains.get(key).and_then(|chain| {
            let (_, holder): (u64, Incarnation) = before.serving_position(chain)?;
            Some(holder)
        });
        if owner.is_some() && owner != earlier {
            *moved.entry(&key.service).or_default() += 1;
        }
    }
    moved
        .into_iter()
        .map(|(service, chains)| {
            Event::OwnersMoved(api::OwnersMoved {
                service: service.to_owned(),
                chains,
            })
        })
        .collect()
}
