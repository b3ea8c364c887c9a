//! Fake backend of the operator API: folds records in memory, without a log.

use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;

use buckthornwinch::base::collections::FastSet;
use buckthornwinch::base::ids::Incarnation;
use buckthornwinch::base::ids::Offset;
use buckthornwinch::base::ids::Sequence;
use buckthornwinch::operator::BackendError;
use buckthornwinch::operator::BackendView;
use buckthornwinch::operator::LossDeclaration;
use buckthornwinch::operator::OperatorBackend;
use buckthornwinch::operator::SubmitVerdict;
use buckthornwinch::state::effect::FoldEffect;
use buckthornwinch::state::folded::ChangeVerdict;
use buckthornwinch::state::folded::FoldedState;
use buckthornwinch::state::record::ChainAppend;
use buckthornwinch::state::record::ChainKey;
use buckthornwinch::state::record::ChainSubject;
use buckthornwinch::state::record::ChangeRecord;
use buckthornwinch::state::record::EndProof;
use buckthornwinch::state::record::LogBatch;
use buckthornwinch::state::record::LogRecord;
use buckthornwinch::state::record::MemberInfo;
use buckthornwinch::telemetry::metrics::MetricRegistry;
use tokio::sync::watch;

/// Simulated failure of the log.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum BackendFault {
    /// No failure.
    #[default]
    None,
    /// Appends take effect but their responses are lost. Reads work.
    ResponsesLost,
    /// Appends take effect but their responses are lost, and reads fail. The
    /// records are folded at the next call of [`FakeBackend::set_fault`].
    ResponsesLostUnreadable,
    /// Appends and reads fail.
    Down,
}

#[derive(Debug, Default)]
struct BackendState {
    state: FoldedState,
    sequence: Sequence,
    fault: BackendFault,
    conflicting: Vec<ChangeRecord>,
    unfolded: Vec<LogRecord>,
    ended: FastSet<Incarnation>,
}

/// Backend that folds appended records at once. Clones share their state.
#[derive(Debug, Clone)]
pub struct FakeBackend {
    author: Incarnation,
    shared: Arc<Mutex<BackendState>>,
    metrics: MetricRegistry,
    changes: watch::Sender<Offset>,
}

impl FakeBackend {
    /// Creates a fleet. The first member is the process that answers and the
    /// planner. The witnesses of a member are all other members.
    pub fn new(members: &[MemberInfo]) -> Self {
        let author = members[0].incarnation;
        let backend = Self {
            author,
            shared: Arc::default(),
            metrics: MetricRegistry::new(),
            changes: watch::Sender::new(0),
        };
        for member in members {
            let join = LogRecord::Join(Box::new(member.clone()));
            backend.append_as(member.incarnation, vec![join]);
        }
        backend.append_as(author, vec![LogRecord::Claim { term: 1 }]);
        let incarnations = members.iter().map(|member| member.incarnation);
        for member in incarnations.clone() {
            let others = incarnations.clone().filter(|other| *other != member);
            let record = LogRecord::Witnesses {
                term: 1,
                member,
                version: 1,
                witnesses: others.collect(),
            };
            backend.append_as(author, vec![record]);
        }
        backend
    }

    /// Returns the metrics of the process that answers.
    pub fn metrics(&self) -> &MetricRegistry {
        &self.metrics
    }

    /// Sets the failure, and folds the records that the previous one held back.
    pub fn set_fault(&self, fault: BackendFault) {
        let mut shared = self.lock();
        shared.fault = fault;
        let unfolded = std::mem::take(&mut shared.unfolded);
        drop(shared);
        if !unfolded.is_empty() {
            self.append_as(self.author, unfolded);
        }
    }

    /// Folds another operator's change right before the next submitted changes.
    pub fn queue_conflicting_change(&self, change: ChangeRecord) {
        self.lock().conflicting.push(change);
    }

    /// Returns the number of open `Watch` streams.
    pub fn watchers(&self) -> usize {
        self.changes.receiver_count()
    }

    /// Marks an incarnation as ended by certificate, without a record in the log.
    pub fn certify_ended(&self, incarnation: Incarnation) {
        self.lock().ended.insert(incarnation);
    }

    /// Assigns holders to every slice of a service. `holders` is rotated by one
    /// for each slice, so that the slices are spread evenly.
    pub fn assign(&self, service: &str, slices: u16, holders: &[Incarnation]) {
        let appends = (0..slices).map(|slice| {
            let mut rotated = holders.to_vec();
            rotated.rotate_left(usize::from(slice) % holders.len());
            ChainAppend {
                chain: ChainKey {
                    service: service.into(),
                    subject: ChainSubject::Slice(slice),
                },
                first_epoch: 0,
                holders: rotated,
                supersedes: false,
            }
        });
        let record = LogRecord::Assign {
            term: 1,
            appends: appends.collect(),
        };
        self.append_as(self.author, vec![record]);
    }

    /// Folds records as appended by a member.
    ///
    /// # Panics
    ///
    /// Panics if the fold ignores one of the records.
    pub fn append_as(&self, author: Incarnation, records: Vec<LogRecord>) {
        let mut shared = self.lock();
        shared.sequence += 1;
        let batch = LogBatch {
            author,
            sequence: shared.sequence,
            records,
        };
        let offset = shared.state.next;
        let effects = shared.state.apply(offset, &batch);
        let ignored = effects
            .iter()
            .find(|effect| matches!(effect, FoldEffect::Ignored(_) | FoldEffect::Partial { .. }));
        assert_eq!(
            ignored, None,
            "the fold ignored a record of the fake backend"
        );
        self.changes.send_replace(shared.state.next);
    }

    fn lock(&self) -> MutexGuard<'_, BackendState> {
        self.shared.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Appends records under the current failure. Returns the verdict if it is
    /// unknown.
    fn append(&self, records: Vec<LogRecord>) -> Result<Option<SubmitVerdict>, BackendError> {
        let fault = self.lock().fault;
        match fault {
            BackendFault::Down => {
                return Err(BackendError {
                    detail: "the log refuses connections".into(),
                });
            }
            BackendFault::ResponsesLostUnreadable => self.lock().unfolded.extend(records),
            BackendFault::None | BackendFault::ResponsesLost => {
                self.append_as(self.author, records);
            }
        }
        let unknown = SubmitVerdict::Unknown("the log's response was lost".into());
        Ok((fault != BackendFault::None).then_some(unknown))
    }
}

impl OperatorBackend for FakeBackend {
    async fn view(&self) -> BackendView {
        let shared = self.lock();
        BackendView {
            node: shared.state.members[&self.author].info.node.clone(),
            incarnation: self.author,
            state: Arc::new(shared.state.clone()),
            ended: Arc::new(shared.ended.clone()),
            resigned: Arc::default(),
            metrics: self.metrics.clone(),
        }
    }

    async fn fresh_view(&self) -> Result<BackendView, BackendError> {
        let fault = self.lock().fault;
        match fault {
            BackendFault::None | BackendFault::ResponsesLost => Ok(self.view().await),
            BackendFault::ResponsesLostUnreadable | BackendFault::Down => Err(BackendError {
                detail: "the log cannot be read".into(),
            }),
        }
    }

    async fn submit(&self, changes: Vec<ChangeRecord>) -> Result<Vec<SubmitVerdict>, BackendError> {
        let conflicting = std::mem::take(&mut self.lock().conflicting);
        for change in conflicting {
            self.append_as(self.author, vec![LogRecord::Change(Box::new(change))]);
        }
        let records = changes
            .iter()
            .map(|change| LogRecord::Change(Box::new(change.clone())));
        let unknown = self.append(records.collect())?;
        let shared = self.lock();
        let verdict_of = |change: &ChangeRecord| {
            let verdict = shared.state.verdict_of(&change.change);
            SubmitVerdict::Settled(verdict.expect("every change has a verdict").clone())
        };
        Ok(changes
            .iter()
            .map(|change| unknown.clone().unwrap_or_else(|| verdict_of(change)))
            .collect())
    }

    async fn drain(&self, member: Incarnation) -> Result<SubmitVerdict, BackendError> {
        let unknown = self.append(vec![LogRecord::Drain { member }])?;
        Ok(unknown.unwrap_or(SubmitVerdict::Settled(ChangeVerdict::Accepted(0))))
    }

    async fn declare_lost(
        &self,
        declaration: LossDeclaration,
    ) -> Result<SubmitVerdict, BackendError> {
        let unknown = self.append(vec![LogRecord::Ended {
            member: declaration.member,
            proof: EndProof::DeclaredLost {
                operator: declaration.operator,
                change: declaration.change,
            },
        }])?;
        Ok(unknown.unwrap_or(SubmitVerdict::Settled(ChangeVerdict::Accepted(0))))
    }

    fn subscribe(&self) -> watch::Receiver<Offset> {
        self.changes.subscribe()
    }
}
