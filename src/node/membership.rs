//! Joins the fleet when the upstream has announced itself, and leaves it.

use std::sync::Arc;
use std::time::Duration;

use tokio::sync::mpsc;
use tokio::sync::watch;
use tokio::time::Instant;

use super::datagrams::NodeSender;
use super::inputs::NodeInputs;
use crate::base::ids::Epoch;
use crate::base::ids::Incarnation;
use crate::log::service::LogService;
use crate::log::writer::WriterHandle;
use crate::settings::NodeSettings;
use crate::state::record::ChainKey;
use crate::state::record::EndProof;
use crate::state::record::LapseCertificate;
use crate::state::record::LogRecord;
use crate::state::record::MemberInfo;
use crate::state::record::UpstreamInfo;
use crate::upstream::announce::UpstreamWatch;

/// How long one append of a join may take before it is tried anew.
const JOIN_LIMIT: Duration = Duration::from_secs(10);

/// How long the appends of a leaving process may take.
const LEAVE_LIMIT: Duration = Duration::from_secs(1);

/// How long an append of what others can repeat may take.
const REPORT_LIMIT: Duration = Duration::from_secs(30);

/// Most positions in one record.
const RESIGNS_PER_RECORD: usize = 1024;

/// Most resignations in one append.
const RESIGNS_PER_APPEND: usize = 1024;

/// Appends what concerns this process's membership.
#[derive(Debug, Clone)]
pub struct MembershipClerk<L: LogService> {
    own: Incarnation,
    settings: Arc<NodeSettings>,
    writer: WriterHandle<L>,
    sender: NodeSender,
    inputs: watch::Receiver<NodeInputs>,
}

impl<L: LogService> MembershipClerk<L> {
    /// Creates the clerk of one incarnation.
    pub fn new(
        own: Incarnation,
        settings: Arc<NodeSettings>,
        writer: WriterHandle<L>,
        sender: NodeSender,
        inputs: watch::Receiver<NodeInputs>,
    ) -> Self {
        Self {
            own,
            settings,
            writer,
            sender,
            inputs,
        }
    }

    /// Joins with each change of the upstream's announcement. Returns when the
    /// upstream has left or gone silent after it was there.
    pub async fn follow_upstream(&self, mut announced: UpstreamWatch) {
        let mut was_announced = false;
        loop {
            let upstream = announced.borrow_and_update().clone();
            match upstream {
                Some(upstream) => {
                    was_announced = true;
                    self.join(&upstream).await;
                }
                None if was_announced => return,
                None => {}
            }
            if announced.changed().await.is_err() {
                return;
            }
        }
    }

    async fn join(&self, upstream: &UpstreamInfo) {
        let settings = &self.settings;
        let info = MemberInfo {
            node: settings.node.clone(),
            incarnation: self.own,
            peer_address: settings.addresses.peers,
            caller_address: settings.addresses.callers,
            operator_address: settings.addresses.operators,
            domain: settings.failure_domain.clone(),
            region: settings.region.clone(),
            upstream: upstream.clone(),
        };
        loop {
            let record = LogRecord::Join(Box::new(info.clone()));
            match self.writer.append(vec![record], JOIN_LIMIT).await {
                Ok(effects) => {
                    log::info!("membership: joined as {:x}: {effects:?}", self.own);
                    self.hint();
                    return;
                }
                Err(error) => log::warn!("membership: the log did not take the join: {error:?}"),
            }
        }
    }

    /// Appends certificates, for everybody to fold.
    pub async fn append_ends(self, mut certificates: mpsc::Receiver<LapseCertificate>) {
        while let Some(certificate) = certificates.recv().await {
            let clerk = self.clone();
            tokio::spawn(async move {
                let record = LogRecord::Ended {
                    member: certificate.subject,
                    proof: EndProof::Certificate(certificate),
                };
                clerk.report(vec![record]).await;
            });
        }
    }

    /// Appends resignations, many in one append.
    pub async fn append_resigns(self, mut resigns: mpsc::Receiver<Vec<(ChainKey, Epoch)>>) {
        let mut batch = Vec::new();
        while resigns.recv_many(&mut batch, RESIGNS_PER_APPEND).await > 0 {
            let positions: Vec<(ChainKey, Epoch)> = batch.drain(..).flatten().collect();
            let records = positions.chunks(RESIGNS_PER_RECORD).map(|part| {
                let positions = part.to_vec();
                LogRecord::Resign { positions }
            });
            self.report(records.collect()).await;
        }
    }

    async fn report(&self, records: Vec<LogRecord>) {
        match self.writer.append(records, REPORT_LIMIT).await {
            Ok(_effects) => self.hint(),
            Err(error) => log::warn!("membership: the log did not take a report: {error:?}"),
        }
    }

    /// Tells the fleet that this process drains. Without the log the chains
    /// move to those that stand by all the same.
    pub async fn announce_drain(&self) {
        let record = LogRecord::Drain { member: self.own };
        if let Err(error) = self.writer.append(vec![record], LEAVE_LIMIT).await {
            log::warn!("membership: the log did not take the drain: {error:?}");
        }
        self.hint();
    }

    /// Waits until this process serves nothing that somebody else stands by
    /// for, or until the limit.
    pub async fn wait_until_moved(&self, limit: Duration) {
        let deadline = Instant::now() + limit;
        let mut inputs = self.inputs.clone();
        let moved = inputs.wait_for(|inputs| inputs.view.serving.is_empty());
        if tokio::time::timeout_at(deadline, moved).await.is_err() {
            log::warn!("membership: leaving with chains that nobody took over");
        }
    }

    /// Ends this incarnation in the log.
    pub async fn leave(&self) {
        let record = LogRecord::Ended {
            member: self.own,
            proof: EndProof::Left,
        };
        if let Err(error) = self.writer.append(vec![record], LEAVE_LIMIT).await {
            log::warn!("membership: the log did not take the end: {error:?}");
        }
        self.hint();
    }

    fn hint(&self) {
        let end = self.inputs.borrow().state.next;
        self.sender.hint_log(self.own, end);
    }
}
