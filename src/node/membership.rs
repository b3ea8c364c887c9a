//! Appends this process's joins, reports and departure to the log.

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

/// Time-out of one append of a join. The join is retried until it succeeds.
const JOIN_TIMEOUT: Duration = Duration::from_secs(10);

/// Time-out of each append of a leaving process, which leaves even if the append
/// fails.
const LEAVE_TIMEOUT: Duration = Duration::from_secs(1);

/// Time-out of an append of certificates or resignations. After it the report
/// is dropped, because others can repeat it.
const REPORT_TIMEOUT: Duration = Duration::from_secs(30);

/// Maximum number of positions in one resignation record.
const MAX_POSITIONS_PER_RECORD: usize = 1024;

/// Maximum number of queued resignations combined into one append.
const MAX_RESIGNATIONS_PER_APPEND: usize = 1024;

/// Appends the records about this process's membership. Clones share the log
/// writer.
#[derive(Debug, Clone)]
pub struct MembershipWriter<L: LogService> {
    own: Incarnation,
    settings: Arc<NodeSettings>,
    writer: WriterHandle<L>,
    sender: NodeSender,
    inputs: watch::Receiver<NodeInputs>,
}

impl<L: LogService> MembershipWriter<L> {
    /// Creates the writer of the incarnation `own`.
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

    /// Appends a join after each change of the upstream's announcement. Returns
    /// when an announced upstream has left or its announcements have stopped.
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
            match self.writer.append(vec![record], JOIN_TIMEOUT).await {
                Ok(effects) => {
                    log::info!("membership: joined as {:x}: {effects:?}", self.own);
                    self.announce_log_end();
                    return;
                }
                Err(error) => log::warn!("membership: join not appended, retrying: {error:?}"),
            }
        }
    }

    /// Appends received certificates to the log, one append each. Returns when
    /// the channel is closed.
    pub async fn append_certificates(self, mut certificates: mpsc::Receiver<LapseCertificate>) {
        while let Some(certificate) = certificates.recv().await {
            let writer = self.clone();
            tokio::spawn(async move {
                let record = LogRecord::Ended {
                    member: certificate.subject,
                    proof: EndProof::Certificate(certificate),
                };
                writer.report(vec![record]).await;
            });
        }
    }

    /// Appends received resignations to the log, several in one append. Returns
    /// when the channel is closed.
    pub async fn append_resignations(
        self,
        mut resignations: mpsc::Receiver<Vec<(ChainKey, Epoch)>>,
    ) {
        let mut batch = Vec::new();
        while resignations
            .recv_many(&mut batch, MAX_RESIGNATIONS_PER_APPEND)
            .await
            > 0
        {
            let positions: Vec<(ChainKey, Epoch)> = batch.drain(..).flatten().collect();
            let records = positions.chunks(MAX_POSITIONS_PER_RECORD).map(|chunk| {
                let positions = chunk.to_vec();
                LogRecord::Resign { positions }
            });
            self.report(records.collect()).await;
        }
    }

    async fn report(&self, records: Vec<LogRecord>) {
        match self.writer.append(records, REPORT_TIMEOUT).await {
            Ok(_effects) => self.announce_log_end(),
            Err(error) => log::warn!("membership: report not appended: {error:?}"),
        }
    }

    /// Appends the drain of this process. If the log is unavailable, the chains
    /// still move to the successors that are already planned for them.
    pub async fn announce_drain(&self) {
        let record = LogRecord::Drain { member: self.own };
        if let Err(error) = self.writer.append(vec![record], LEAVE_TIMEOUT).await {
            log::warn!("membership: cannot append the drain: {error:?}");
        }
        self.announce_log_end();
    }

    /// Waits until this process serves no chain any more, or until `timeout` has
    /// passed. A chain without a successor stays until the time-out.
    pub async fn wait_until_moved(&self, timeout: Duration) {
        let deadline = Instant::now() + timeout;
        let mut inputs = self.inputs.clone();
        let moved = inputs.wait_for(|inputs| inputs.view.serving.is_empty());
        if tokio::time::timeout_at(deadline, moved).await.is_err() {
            log::warn!(
                "membership: leaving while still serving chains that no successor took over"
            );
        }
    }

    /// Appends the end of this incarnation. A failure is logged only.
    pub async fn leave(&self) {
        let record = LogRecord::Ended {
            member: self.own,
            proof: EndProof::Left,
        };
        if let Err(error) = self.writer.append(vec![record], LEAVE_TIMEOUT).await {
            log::warn!("membership: cannot append the end of this incarnation: {error:?}");
        }
        self.announce_log_end();
    }

    fn announce_log_end(&self) {
        let end = self.inputs.borrow().state.next;
        self.sender.announce_log_end(self.own, end);
    }
}
