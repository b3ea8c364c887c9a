//! `winchctl watch`: streams changes of the fleet's state.

use serde_json::Value;
use serde_json::json;
use tonic::Streaming;
use winch_operator_api as api;
use winch_operator_api::watch_event::Event;

use super::context::ClientContext;
use super::context::call_error;
use super::report::OperationReport;
use super::report::write_incarnation;
use crate::operator::convert::key_from_api;

/// Stream of events from one server.
#[derive(Debug)]
pub struct EventStream {
    events: Streaming<api::WatchEvent>,
}

/// One event of the stream.
#[derive(Debug, Clone)]
pub struct EventReport {
    event: api::WatchEvent,
}

/// Opens an event stream. Its first event names the answering node.
///
/// Fails if the call fails.
pub async fn watch(context: &ClientContext) -> eyre::Result<EventStream> {
    let response = context.client.clone().watch(api::WatchRequest {}).await;
    Ok(EventStream {
        events: response.map_err(call_error)?.into_inner(),
    })
}

impl EventStream {
    /// Waits for the next event. Returns `None` when the server stops.
    ///
    /// Fails if the connection fails.
    pub async fn next(&mut self) -> eyre::Result<Option<EventReport>> {
        let event = self.events.message().await.map_err(call_error)?;
        Ok(event.map(|event| EventReport { event }))
    }
}

fn member_event_name(event: api::MemberEvent) -> &'static str {
    match event {
        api::MemberEvent::Unspecified => "changed",
        api::MemberEvent::Joined => "joined",
        api::MemberEvent::Ended => "ended",
        api::MemberEvent::Draining => "draining",
    }
}

fn format_object(object: Option<&api::ObjectKey>) -> String {
    key_from_api(object).map_or_else(|| "unknown object".to_owned(), |key| key.to_string())
}

impl OperationReport for EventReport {
    fn text(&self) -> String {
        let line = match &self.event.event {
            None => "unknown event".to_owned(),
            Some(Event::Started(started)) => format!("watching {}", started.node),
            Some(Event::ObjectChanged(changed)) => {
                let object = format_object(changed.object.as_ref());
                let deleted = if changed.deleted { "deleted, " } else { "" };
                format!(
                    "{object}: {deleted}version {} by {}",
                    changed.version, changed.operator
                )
            }
            Some(Event::MemberChanged(changed)) => {
                let name = member_event_name(changed.event());
                format!("{} ({:x}): {name}", changed.node, changed.incarnation)
            }
            Some(Event::OwnersMoved(moved)) => {
                format!(
                    "{}: {} chains have a new owner",
                    moved.service, moved.chains
                )
            }
            Some(Event::PlannerChanged(changed)) => {
                format!("planner: {} at term {}", changed.node, changed.term)
            }
        };
        format!("{} {line}", self.event.next_offset)
    }

    fn json(&self) -> Value {
        let event = match &self.event.event {
            None => json!({}),
            Some(Event::Started(started)) => json!({ "event": "started", "node": started.node }),
            Some(Event::ObjectChanged(changed)) => json!({
                "event": "object-changed",
                "object": format_object(changed.object.as_ref()),
                "version": changed.version,
                "operator": changed.operator,
                "deleted": changed.deleted,
            }),
            Some(Event::MemberChanged(changed)) => json!({
                "event": format!("member-{}", member_event_name(changed.event())),
                "node": changed.node,
                "incarnation": write_incarnation(changed.incarnation),
            }),
            Some(Event::OwnersMoved(moved)) => json!({
                "event": "owners-moved",
                "service": moved.service,
                "chains": moved.chains,
            }),
            Some(Event::PlannerChanged(changed)) => json!({
                "event": "planner-changed",
                "node": changed.node,
                "term": changed.term,
            }),
        };
        let mut event = event;
        event["next_offset"] = self.event.next_offset.into();
        event
    }
}
