//! The actor behind the writer: what waits, and the batch under way.

use std::collections::VecDeque;
use std::time::Duration;

use tokio::sync::oneshot;
use tokio::time::Instant;
use tokio::time::sleep;
use tokio::time::sleep_until;
use xtra::Context;
use xtra::Handler;
use xtra::WeakAddress;

use super::attempt::AttemptResult;
use super::attempt::EffectReceiver;
use super::attempt::LogAttempt;
use super::backoff::RetryBackoff;
use super::batch::AppendError;
use super::batch::OpenBatch;
use super::batch::WaitingAppend;
use super::follower::FollowerHandle;
use super::rate::RateBucket;
use super::service::LogService;
use super::settings::BATCH_OVERHEAD_BYTES;
use super::settings::WriterSettings;
use super::split::encoded_size;
use crate::base::ids::Incarnation;
use crate::base::ids::Sequence;
use crate::state::codec::encode_batch;
use crate::state::effect::FoldEffect;
use crate::state::record::LogBatch;
use crate::state::record::LogRecord;

/// Appends this incarnation's records, one batch at a time.
#[derive(Debug)]
#[derive(xtra::Actor)]
pub struct LogWriter<L: LogService> {
    log: L,
    follower: FollowerHandle,
    author: Incarnation,
    sequence: Sequence,
    waiting: VecDeque<WaitingAppend>,
    open: Option<OpenBatch>,
    /// Whether a [`WakeUp`] is on its way.
    is_resting: bool,
    backoff: RetryBackoff,
    bucket: RateBucket,
    settings: WriterSettings,
}

/// Appends records until a deadline.
pub(super) struct Append {
    pub(super) records: Vec<LogRecord>,
    pub(super) deadline: Instant,
}

struct Expire;

struct WakeUp;

struct AttemptEnded(AttemptResult);

impl<L: LogService> LogWriter<L> {
    pub(super) fn new(
        log: L,
        follower: FollowerHandle,
        author: Incarnation,
        settings: WriterSettings,
    ) -> Self {
        Self {
            log,
            follower,
            author,
            sequence: 0,
            waiting: VecDeque::new(),
            open: None,
            is_resting: false,
            backoff: RetryBackoff::new(settings.retry_base, settings.retry_limit),
            bucket: RateBucket::new(settings.rate, settings.burst, Instant::now()),
            settings,
        }
    }

    fn accept(&mut self, append: WaitingAppend) -> bool {
        let has_room = self.waiting.len() < self.settings.waiting_limit;
        let fits = append.bytes + BATCH_OVERHEAD_BYTES <= self.settings.batch_bytes;
        if !has_room || !fits || append.deadline <= Instant::now() {
            log::warn!(
                "log: refused to append {} bytes, {} appends wait",
                append.bytes,
                self.waiting.len()
            );
            append.fail(AppendError::Unavailable);
            return false;
        }
        self.waiting.push_back(append);
        true
    }

    async fn start_next(&mut self, address: &WeakAddress<Self>) {
        if self.open.is_some() || self.is_resting || self.waiting.is_empty() {
            return;
        }
        if let Err(wait) = self.bucket.take(Instant::now()) {
            self.rest(wait, address);
            return;
        }
        if let Some(batch) = self.next_batch().await {
            self.open = Some(batch);
            self.attempt(Duration::ZERO, address);
        }
    }

    /// Takes what fits from the queue into a batch.
    async fn next_batch(&mut self) -> Option<OpenBatch> {
        let mut size = BATCH_OVERHEAD_BYTES;
        let mut parts = Vec::new();
        let mut records = Vec::new();
        while let Some(append) = self.waiting.pop_front() {
            size += append.bytes;
            if size > self.settings.batch_bytes {
                self.waiting.push_front(append);
                break;
            }
            records.extend_from_slice(&append.records);
            parts.push((append.records.len(), Some(append)));
        }
        self.sequence += 1;
        let batch = LogBatch {
            author: self.author,
            sequence: self.sequence,
            records,
        };
        let Ok(data) = encode_batch(&batch) else {
            log::error!("log: cannot encode batch {}", self.sequence);
            for append in parts.into_iter().filter_map(|(_, append)| append) {
                append.fail(AppendError::Unavailable);
            }
            return None;
        };
        let effects = self
            .follower
            .await_effects(self.author, self.sequence)
            .await;
        Some(OpenBatch {
            sequence: self.sequence,
            data,
            parts,
            effects: Some(effects),
            is_ambiguous: false,
        })
    }

    fn attempt(&mut self, delay: Duration, address: &WeakAddress<Self>) {
        let Some(open) = &mut self.open else { return };
        let Some(effects) = open.effects.take() else {
            return;
        };
        let attempt = LogAttempt {
            log: self.log.clone(),
            data: open.data.clone(),
            delay,
            fold_timeout: self.settings.fold_timeout,
        };
        let address = address.clone();
        tokio::spawn(async move {
            let result = attempt.run(effects).await;
            send_back(&address, AttemptEnded(result)).await;
        });
    }

    fn rest(&mut self, wait: Duration, address: &WeakAddress<Self>) {
        self.is_resting = true;
        let address = address.clone();
        tokio::spawn(async move {
            sleep(wait).await;
            send_back(&address, WakeUp).await;
        });
    }

    /// Puts a refused batch's appends back to the front of the queue.
    fn dissolve(&mut self, batch: OpenBatch) {
        for append in batch
            .parts
            .into_iter()
            .rev()
            .filter_map(|(_, append)| append)
        {
            self.waiting.push_front(append);
        }
    }

    fn settle(&mut self, result: AttemptResult, address: &WeakAddress<Self>) {
        let Some(mut open) = self.open.take() else {
            return;
        };
        match result {
            AttemptResult::Folded(effects) => {
                self.backoff.reset();
                open.answer(effects);
            }
            AttemptResult::Passed => open.fail(AppendError::Unknown),
            AttemptResult::Refused(reason, effects) => {
                self.note_failure(&open, &reason);
                let wait = self.backoff.next_wait();
                if open.is_ambiguous {
                    self.retry(open, effects, wait, address);
                } else {
                    self.dissolve(open);
                    self.rest(wait, address);
                }
            }
            AttemptResult::Ambiguous(reason, effects) => {
                self.note_failure(&open, &reason);
                open.is_ambiguous = true;
                let wait = self.backoff.next_wait();
                self.retry(open, effects, wait, address);
            }
        }
    }

    /// Appends the same batch again, unless nobody waits for it any more.
    fn retry(
        &mut self,
        mut open: OpenBatch,
        effects: EffectReceiver,
        wait: Duration,
        address: &WeakAddress<Self>,
    ) {
        if open.is_abandoned() {
            log::warn!(
                "log: gave up batch {}, which may be in the log",
                open.sequence
            );
            return;
        }
        open.effects = Some(effects);
        self.open = Some(open);
        self.attempt(wait, address);
    }

    fn note_failure(&self, open: &OpenBatch, reason: &str) {
        let sequence = open.sequence;
        if self.backoff.failures() == 0 {
            log::warn!("log: batch {sequence} was not confirmed: {reason}");
        } else {
            log::debug!("log: batch {sequence} was not confirmed: {reason}");
        }
    }

    /// Answers the appends whose time has passed.
    fn expire(&mut self, now: Instant) {
        let waiting = std::mem::take(&mut self.waiting);
        for append in waiting {
            if append.deadline <= now {
                append.fail(AppendError::Unavailable);
            } else {
                self.waiting.push_back(append);
            }
        }
        if let Some(open) = &mut self.open {
            open.expire(now);
        }
    }
}

async fn send_back<L, M>(address: &WeakAddress<LogWriter<L>>, message: M)
where
    L: LogService,
    M: Send + 'static,
    LogWriter<L>: Handler<M, Return = ()>,
{
    // Without a strong address nobody waits for an answer any more.
    if let Some(address) = address.try_upgrade() {
        let _ = address.send(message).await;
    }
}

impl<L: LogService> Handler<Append> for LogWriter<L> {
    type Return = oneshot::Receiver<Result<Vec<FoldEffect>, AppendError>>;

    async fn handle(&mut self, message: Append, ctx: &mut Context<Self>) -> Self::Return {
        let (reply, receiver) = oneshot::channel();
        let append = WaitingAppend {
            bytes: encoded_size(&message.records),
            records: message.records,
            deadline: message.deadline,
            reply,
        };
        if self.accept(append) {
            let address = ctx.mailbox().address();
            let expiry = address.clone();
            tokio::spawn(async move {
                sleep_until(message.deadline).await;
                send_back(&expiry, Expire).await;
            });
            self.start_next(&address).await;
        }
        receiver
    }
}

impl<L: LogService> Handler<Expire> for LogWriter<L> {
    type Return = ();

    async fn handle(&mut self, _message: Expire, _ctx: &mut Context<Self>) {
        self.expire(Instant::now());
    }
}

impl<L: LogService> Handler<WakeUp> for LogWriter<L> {
    type Return = ();

    async fn handle(&mut self, _message: WakeUp, ctx: &mut Context<Self>) {
        self.is_resting = false;
        self.start_next(&ctx.mailbox().address()).await;
    }
}

impl<L: LogService> Handler<AttemptEnded> for LogWriter<L> {
    type Return = ();

    async fn handle(&mut self, message: AttemptEnded, ctx: &mut Context<Self>) {
        let address = ctx.mailbox().address();
        self.settle(message.0, &address);
        self.start_next(&address).await;
    }
}
