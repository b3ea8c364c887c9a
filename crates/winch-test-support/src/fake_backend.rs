//! A process behind the operators' interface that folds without a log.

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

/// What goes wrong with the fake's log.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum BackendFault {
    /// Nothing.
    #[default]
    None,
    /// Appends take effect, their answers are lost, and reads work.
    AnswersLost,
    /// Appends take effect, their answers are lost, and reads fail; what was
    /// appended is folded when the fault is over.
    AnswersLostUnreadable,
    /// Appends and reads fail.
    Down,
}

#[derive(Debug, Default)]
struct BackendState {
    state: FoldedState,
    sequence: Sequence,
    fault: BackendFault,
    rivals: Vec<ChangeRecord>,
    unread: Vec<LogRecord>,
    ended: FastSet<Incarnation>,
}

/// A process that folds what it is given at once. Clones share their state.
#[derive(Debug, Clone)]
pub struct FakeBackend {
    author: Incarnation,
    shared: Arc<Mutex<BackendState>>,
    metrics: MetricRegistry,
    changes: watch::Sender<Offset>,
}

impl FakeBackend {
    /// Creates a fleet whose first member is the answering process and the
    /// planner. Every member is witnessed by all others.
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

    /// Returns the metrics of the answering process.
    pub fn metrics(&self) -> &MetricRegistry {
        &self.metrics
    }

    /// Sets what goes wrong from now on.
    pub fn set_fault(&self, fault: BackendFault) {
        let mut shared = self.lock();
        shared.fault = fault;
        let unread = std::mem::take(&mut shared.unread);
        drop(shared);
        if !unread.is_empty() {
            self.append_as(self.author, unread);
        }
    }

    /// Folds a rival's change right before the next submitted ones.
    pub fn race(&self, rival: ChangeRecord) {
        self.lock().rivals.push(rival);
    }

    /// Returns how many callers watch.
    pub fn watchers(&self) -> usize {
        self.changes.receiver_count()
    }

    /// Notes that an incarnation's lease ended, which the log does not tell.
    pub fn certify(&self, incarnation: Incarnation) {
        self.lock().ended.insert(incarnation);
    }

    /// Appends holders to every chain of a service, starting with another of
    /// `holders` for each slice.
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

    /// Folds records of a member.
    ///
    /// # Panics
    ///
    /// When the fold ignores one of them.
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
        assert_eq!(ignored, None, "the fold ignored a fixture's record");
        self.changes.send_replace(shared.state.next);
    }

    fn lock(&self) -> MutexGuard<'_, BackendState> {
        self.shared.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Appends records as the present fault lets it; returns the verdict when
    /// it is unknown.
    fn append(&self, records: Vec<LogRecord>) -> Result<Option<SubmitVerdict>, BackendError> {
        let fault = self.lock().fault;
        match fault {
            BackendFault::Down => {
                return Err(BackendError {
                    detail: "the log refuses connections".into(),
                });
            }
            BackendFault::AnswersLostUnreadable => self.lock().unread.extend(records),
            BackendFault::None | BackendFault::AnswersLost => {
                self.append_as(self.author, records);
            }
        }
        let unknown = SubmitVerdict::Unknown("the log's answer did not come".into());
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
            BackendFault::None | BackendFault::AnswersLost => Ok(self.view().await),
            BackendFault::AnswersLostUnreadable | BackendFault::Down => Err(BackendError {
                detail: "the log cannot be read".into(),
            }),
        }
    }

    async fn submit(&self, changes: Vec<ChangeRecord>) -> Result<Vec<SubmitVerdict>, BackendError> {
        let rivals = std::mem::take(&mut self.lock().rivals);
        for rival in rivals {
            self.append_as(self.author, vec![LogRecord::Change(Box::new(rival))]);
        }
        let records = changes
            .iter()
            .map(|change| LogRecord::Change(Box::new(change.clone())));
        let unknown = self.append(records.collect())?;
        let shared = self.lock();
        let verdict = |change: &ChangeRecord| {
            let folded = shared.state.verdict_of(&change.change);
            SubmitVerdict::Settled(folded.expect("every change was judged").clone())
        };
        Ok(changes
            .iter()
            .map(|change| unknown.clone().unwrap_or_else(|| verdict(change)))
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
