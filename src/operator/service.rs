//! Handlers of the operator API's calls.

use std::collections::VecDeque;
use std::pin::Pin;
use std::sync::Arc;

use futures_util::Stream;
use futures_util::stream;
use tokio::select;
use tokio::sync::watch;
use tokio_util::sync::CancellationToken;
use tonic::Request;
use tonic::Response;
use tonic::Status;
use tonic::metadata::MetadataValue;
use winch_operator_api as api;
use winch_operator_api::operator_service_server::OperatorService;

use super::backend::BackendError;
use super::backend::BackendView;
use super::backend::LossDeclaration;
use super::backend::OperatorBackend;
use super::backend::SubmitVerdict;
use super::change_batch::read_changes;
use super::convert::key_from_api;
use super::convert::key_to_api;
use super::convert::kind_from_api;
use super::convert::object_to_api;
use super::convert::result_to_api;
use super::events::list_events;
use super::explain::explain_key;
use super::status::fleet_status;
use crate::base::document::report_faults;
use crate::base::error::RequestOutcome;
use crate::base::ids::Incarnation;
use crate::base::ids::Offset;
use crate::configuration::settle::settle_change;
use crate::state::folded::ChangeVerdict;
use crate::state::folded::FoldedState;
use crate::state::record::ChangeRecord;

/// Metadata key set on the status of a failed call that certainly appended
/// nothing. Its value is "not-run".
pub const OUTCOME_METADATA_KEY: &str = "winch-outcome";

/// Implementation of the operator API on top of a backend.
#[derive(Debug, Clone)]
pub struct OperatorHandler<B> {
    backend: B,
    stop: CancellationToken,
}

impl<B: OperatorBackend> OperatorHandler<B> {
    /// Creates the handler of a backend. `Watch` streams end when `stop` is
    /// cancelled.
    pub fn new(backend: B, stop: CancellationToken) -> Self {
        Self { backend, stop }
    }

    /// Appends the changes, or with `dry_run` only evaluates them against
    /// the folded state.
    async fn decide_changes(
        &self,
        view: &BackendView,
        changes: Vec<ChangeRecord>,
        dry_run: bool,
    ) -> Result<Vec<SubmitVerdict>, Status> {
        if dry_run {
            let verdicts = changes.iter().map(|change| view.state.judge_change(change));
            return Ok(verdicts.map(SubmitVerdict::Settled).collect());
        }
        if changes.is_empty() {
            return Ok(Vec::new());
        }
        self.backend.submit(changes).await.map_err(unavailable)
    }
}

/// Response stream of a `Watch` call.
pub type WatchStream = Pin<Box<dyn Stream<Item = Result<api::WatchEvent, Status>> + Send>>;

#[tonic::async_trait]
impl<B: OperatorBackend> OperatorService for OperatorHandler<B> {
    async fn apply(
        &self,
        request: Request<api::ApplyRequest>,
    ) -> Result<Response<api::ApplyResponse>, Status> {
        let request = request.into_inner();
        let view = self.backend.view().await;
        let changes = read_changes(&view.state, &request)
            .map_err(|faults| Status::invalid_argument(report_faults(&faults).to_string()))?;
        let verdicts = self
            .decide_changes(&view, changes.clone(), request.dry_run)
            .await?;
        let results: Vec<api::ChangeResult> = changes
            .iter()
            .zip(&verdicts)
            .map(|(change, verdict)| result_to_api(&change.change, Some(&change.object), verdict))
            .collect();
        for (change, verdict) in changes.iter().zip(&verdicts) {
            log_verdict(change, verdict, request.dry_run);
        }
        Ok(Response::new(api::ApplyResponse { results }))
    }

    async fn ask_change(
        &self,
        request: Request<api::AskChangeRequest>,
    ) -> Result<Response<api::AskChangeResponse>, Status> {
        let change = request.into_inner().change_id;
        let verdict = match self.backend.fresh_view().await {
            Ok(view) => settle_change(&view.state, &change),
            Err(error) => {
                let view = self.backend.view().await;
                match settle_change(&view.state, &change) {
                    SubmitVerdict::Unknown(_) => SubmitVerdict::Unknown(error.detail),
                    settled @ SubmitVerdict::Settled(_) => settled,
                }
            }
        };
        let result = result_to_api(&change, None, &verdict);
        Ok(Response::new(api::AskChangeResponse {
            result: Some(result),
        }))
    }

    async fn get(
        &self,
        request: Request<api::GetRequest>,
    ) -> Result<Response<api::GetResponse>, Status> {
        let request = request.into_inner();
        let key = key_from_api(request.object.as_ref()).ok_or_else(|| {
            Status::invalid_argument(
                "missing object or unknown kind; set the object's kind and name",
            )
        })?;
        let view = self.backend.view().await;
        let object = view.state.objects.get(&key).and_then(object_to_api);
        match object {
            Some(object) => Ok(Response::new(api::GetResponse {
                object: Some(object),
            })),
            None => Err(Status::not_found(format!("{key} is not declared"))),
        }
    }

    async fn list(
        &self,
        request: Request<api::ListRequest>,
    ) -> Result<Response<api::ListResponse>, Status> {
        let kind = kind_from_api(request.into_inner().kind);
        let view = self.backend.view().await;
        let mut response = api::ListResponse {
            next_offset: view.state.next,
            ..api::ListResponse::default()
        };
        for (key, object) in &view.state.objects {
            if kind.is_some_and(|kind| kind != key.kind) {
                continue;
            }
            match object_to_api(object) {
                Some(object) => response.objects.push(object),
                None => response.deleted.push(api::DeletedObject {
                    object: Some(key_to_api(key)),
                    version: object.version,
                }),
            }
        }
        Ok(Response::new(response))
    }

    async fn status(
        &self,
        _request: Request<api::StatusRequest>,
    ) -> Result<Response<api::StatusResponse>, Status> {
        let view = self.backend.view().await;
        Ok(Response::new(fleet_status(&view)))
    }

    async fn explain(
        &self,
        request: Request<api::ExplainRequest>,
    ) -> Result<Response<api::ExplainResponse>, Status> {
        let request = request.into_inner();
        let view = self.backend.view().await;
        explain_key(&view, &request.service, &request.key)
            .map(Response::new)
            .ok_or_else(|| {
                Status::not_found(format!("service `{}` is not declared", request.service))
            })
    }

    async fn drain(
        &self,
        request: Request<api::DrainRequest>,
    ) -> Result<Response<api::DrainResponse>, Status> {
        let request = request.into_inner();
        let view = self.backend.view().await;
        let member = find_member(&view, &request.node)?;
        log::info!(
            "operator: {} requested a drain of {} ({member:x})",
            request.operator,
            request.node
        );
        let verdict = self.backend.drain(member).await.map_err(unavailable)?;
        let (verdict, detail) = verdict_to_api(&verdict);
        Ok(Response::new(api::DrainResponse {
            incarnation: member,
            verdict: verdict.into(),
            detail,
        }))
    }

    async fn declare_lost(
        &self,
        request: Request<api::DeclareLostRequest>,
    ) -> Result<Response<api::DeclareLostResponse>, Status> {
        let request = request.into_inner();
        let view = self.backend.view().await;
        let member = find_member(&view, &request.node)?;
        if request.incarnation != member {
            return Err(Status::failed_precondition(format!(
                "{} now runs as incarnation {member:x}; check whether it is still lost",
                request.node
            )));
        }
        log::warn!(
            "operator: {} requested to declare {} ({member:x}) lost",
            request.operator,
            request.node
        );
        let declaration = LossDeclaration {
            member,
            operator: request.operator.into(),
            change: request.change_id.into(),
        };
        let verdict = self.backend.declare_lost(declaration).await;
        let (verdict, detail) = verdict_to_api(&verdict.map_err(unavailable)?);
        Ok(Response::new(api::DeclareLostResponse {
            incarnation: member,
            verdict: verdict.into(),
            detail,
        }))
    }

    type WatchStream = WatchStream;

    async fn watch(
        &self,
        _request: Request<api::WatchRequest>,
    ) -> Result<Response<Self::WatchStream>, Status> {
        let changes = self.backend.subscribe();
        let view = self.backend.view().await;
        let started = api::WatchEvent {
            next_offset: view.state.next,
            event: Some(api::watch_event::Event::Started(api::WatchStarted {
                node: view.node.to_string(),
            })),
        };
        let cursor = WatchCursor {
            backend: self.backend.clone(),
            stop: self.stop.clone(),
            changes,
            reported: view.state,
            pending: VecDeque::from([started]),
        };
        let events = stream::unfold(cursor, async |mut cursor| {
            let event = cursor.next().await?;
            Some((Ok(event), cursor))
        });
        Ok(Response::new(Box::pin(events)))
    }
}

/// Progress of one `Watch` stream.
struct WatchCursor<B> {
    backend: B,
    stop: CancellationToken,
    changes: watch::Receiver<Offset>,
    reported: Arc<FoldedState>,
    pending: VecDeque<api::WatchEvent>,
}

impl<B: OperatorBackend> WatchCursor<B> {
    /// Waits for the next event. Returns `None` when the process stops.
    async fn next(&mut self) -> Option<api::WatchEvent> {
        loop {
            if let Some(event) = self.pending.pop_front() {
                return Some(event);
            }
            select! {
                () = self.stop.cancelled() => return None,
                changed = self.changes.changed() => changed.ok()?,
            }
            let state = self.backend.view().await.state;
            self.pending.extend(list_events(&self.reported, &state));
            self.reported = state;
        }
    }
}

fn find_member(view: &BackendView, node: &str) -> Result<Incarnation, Status> {
    view.state
        .members
        .values()
        .filter(|member| &*member.info.node == node)
        .map(|member| member.info.incarnation)
        .max()
        .ok_or_else(|| Status::not_found(format!("node `{node}` is not a member")))
}

fn verdict_to_api(verdict: &SubmitVerdict) -> (api::Verdict, String) {
    match verdict {
        SubmitVerdict::Settled(ChangeVerdict::Accepted(_)) => {
            (api::Verdict::Accepted, String::new())
        }
        SubmitVerdict::Settled(ChangeVerdict::Conflict { .. }) => (
            api::Verdict::Conflict,
            "the member has ended, or the change was made before".to_owned(),
        ),
        SubmitVerdict::Unknown(detail) => (api::Verdict::Unknown, detail.to_string()),
    }
}

#[expect(
    clippy::needless_pass_by_value,
    reason = "the form that `map_err` takes"
)]
fn unavailable(error: BackendError) -> Status {
    let mut status = Status::unavailable(format!("nothing was appended: {error}"));
    let outcome = MetadataValue::from_static(RequestOutcome::NotRun.as_str());
    status.metadata_mut().insert(OUTCOME_METADATA_KEY, outcome);
    status
}

fn log_verdict(change: &ChangeRecord, verdict: &SubmitVerdict, dry_run: bool) {
    let suffix = if dry_run { " (dry run)" } else { "" };
    let id = &change.change;
    let object = &change.object;
    let author = &change.operator;
    match verdict {
        SubmitVerdict::Settled(ChangeVerdict::Accepted(version)) => {
            log::info!(
                "operator: accepted {id} of {author}: {object} is version {version}{suffix}"
            );
        }
        SubmitVerdict::Settled(ChangeVerdict::Conflict {
            version, operator, ..
        }) => {
            log::info!(
                "operator: refused {id} of {author}: {object} is version {version} by {operator}{suffix}"
            );
        }
        SubmitVerdict::Unknown(detail) => {
            log::warn!("operator: outcome of {id} of {author} is unknown: {detail}");
        }
    }
}
