//! The writer's actor: the queue of pending appends and the batch in flight.

use std::collections::VecDeque;
use std::time::Duration;

use tokio::sync::oneshot;
use tokio::time::Instant;
use tokio::time::sleep;
use tokio::time::sleep_until;
use xtra::Context;
use xtra::Handler;
use xtra::WeakAddress;

use super::attempt::AppendAttempt;
use super::attempt::AttemptResult;
use super::attempt::EffectReceiver;
use super::backoff::RetryBackoff;
use super::batch::AppendError;
use super::batch::InFlightBatch;
use super::batch::PendingAppend;
use super::follower::FollowerHandle;
use super::service::LogService;
use super::settings::BATCH_OVERHEAD_BYTES;
use super::settings::WriterSettings;
use super::split::encoded_size;
use super::token_bucket::TokenBucket;
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
    pending: VecDeque<PendingAppend>,
    in_flight: Option<InFlightBatch>,
    /// Whether a [`WakeUp`] is scheduled; no batch starts before it.
    is_waiting: bool,
    backoff: RetryBackoff,
    bucket: TokenBucket,
    settings: WriterSettings,
}

/// Asks to append records; fails if they are not folded by the deadline.
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
            pending: VecDeque::new(),
            in_flight: None,
            is_waiting: false,
            backoff: RetryBackoff::new(settings.initial_backoff, settings.max_backoff),
            bucket: TokenBucket::new(
                settings.batches_per_second,
                settings.burst_batches,
                Instant::now(),
            ),
            settings,
        }
    }

    fn accept(&mut self, append: PendingAppend) -> bool {
        let has_room = self.pending.len() < self.settings.max_pending_appends;
        let fits = append.bytes + BATCH_OVERHEAD_BYTES <= self.settings.max_batch_bytes;
        if !has_room || !fits || append.deadline <= Instant::now() {
            log::warn!(
                "log: refused to append {} bytes while {} appends are pending",
                append.bytes,
                self.pending.len()
            );
            append.fail(AppendError::Unavailable);
            return false;
        }
        self.pending.push_back(append);
        true
    }

    async fn start_next(&mut self, address: &WeakAddress<Self>) {
        if self.in_flight.is_some() || self.is_waiting || self.pending.is_empty() {
            return;
        }
        if let Err(wait) = self.bucket.take(Instant::now()) {
            self.wait(wait, address);
            return;
        }
        if let Some(batch) = self.next_batch().await {
            self.in_flight = Some(batch);
            self.attempt(Duration::ZERO, address);
        }
    }

    /// Takes as many appends from the queue as fit into one batch.
    async fn next_batch(&mut self) -> Option<InFlightBatch> {
        let mut size = BATCH_OVERHEAD_BYTES;
        let mut parts = Vec::new();
        let mut records = Vec::new();
        while let Some(append) = self.pending.pop_front() {
            size += append.bytes;
            if size > self.settings.max_batch_bytes {
                self.pending.push_front(append);
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
        Some(InFlightBatch {
            sequence: self.sequence,
            data,
            parts,
            effects: Some(effects),
            is_ambiguous: false,
        })
    }

    fn attempt(&mut self, delay: Duration, address: &WeakAddress<Self>) {
        let Some(batch) = &mut self.in_flight else {
            return;
        };
        let Some(effects) = batch.effects.take() else {
            return;
        };
        let attempt = AppendAttempt {
            log: self.log.clone(),
            data: batch.data.clone(),
            delay,
            fold_timeout: self.settings.fold_timeout,
        };
        let address = address.clone();
        tokio::spawn(async move {
            let result = attempt.run(effects).await;
            send_back(&address, AttemptEnded(result)).await;
        });
    }

    fn wait(&mut self, wait: Duration, address: &WeakAddress<Self>) {
        self.is_waiting = true;
        let address = address.clone();
        tokio::spawn(async move {
            sleep(wait).await;
            send_back(&address, WakeUp).await;
        });
    }

    /// Returns the appends of a refused batch to the front of the queue.
    fn requeue(&mut self, batch: InFlightBatch) {
        for append in batch
            .parts
            .into_iter()
            .rev()
            .filter_map(|(_, append)| append)
        {
            self.pending.push_front(append);
        }
    }

    fn handle_result(&mut self, result: AttemptResult, address: &WeakAddress<Self>) {
        let Some(mut batch) = self.in_flight.take() else {
            return;
        };
        match result {
            AttemptResult::Folded(effects) => {
                self.backoff.reset();
                batch.complete(effects);
            }
            AttemptResult::EffectsMissed => batch.fail(AppendError::Unknown),
            AttemptResult::Refused(reason, effects) => {
                self.log_failure(&batch, &reason);
                let wait = self.backoff.next_wait();
                if batch.is_ambiguous {
                    self.retry(batch, effects, wait, address);
                } else {
                    self.requeue(batch);
                    self.wait(wait, address);
                }
            }
            AttemptResult::Ambiguous(reason, effects) => {
                self.log_failure(&batch, &reason);
                batch.is_ambiguous = true;
                let wait = self.backoff.next_wait();
                self.retry(batch, effects, wait, address);
            }
        }
    }

    /// Appends the same batch again, unless none of its appends is waiting.
    fn retry(
        &mut self,
        mut batch: InFlightBatch,
        effects: EffectReceiver,
        wait: Duration,
        address: &WeakAddress<Self>,
    ) {
        if batch.is_abandoned() {
            log::warn!(
                "log: no longer retrying batch {}, which may be in the log",
                batch.sequence
            );
            return;
        }
        batch.effects = Some(effects);
        self.in_flight = Some(batch);
        self.attempt(wait, address);
    }

    fn log_failure(&self, batch: &InFlightBatch, reason: &str) {
        let sequence = batch.sequence;
        if self.backoff.failures() == 0 {
            log::warn!("log: batch {sequence} was not confirmed: {reason}");
        } else {
            log::debug!("log: batch {sequence} was not confirmed: {reason}");
        }
    }

    /// Fails the appends whose deadline has passed: pending ones as unavailable,
    /// those in flight as unknown.
    fn expire(&mut self, now: Instant) {
        let pending = std::mem::take(&mut self.pending);
        for append in pending {
            if append.deadline <= now {
                append.fail(AppendError::Unavailable);
            } else {
                self.pending.push_back(append);
            }
        }
        if let Some(batch) = &mut self.in_flight {
            batch.expire(now);
        }
    }
}

async fn send_back<L, M>(address: &WeakAddress<LogWriter<L>>, message: M)
where
    L: LogService,
    M: Send + 'static,
    LogWriter<L>: Handler<M, Return = ()>,
{
    // Without a strong address, no handle of the writer is left.
    if let Some(address) = address.try_upgrade() {
        let _ = address.send(message).await;
    }
}

impl<L: LogService> Handler<Append> for LogWriter<L> {
    type Return = oneshot::Receiver<Result<Vec<FoldEffect>, AppendError>>;

    async fn handle(&mut self, message: Append, ctx: &mut Context<Self>) -> Self::Return {
        let (reply, receiver) = oneshot::channel();
        let append = PendingAppend {
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
        self.is_waiting = false;
        self.start_next(&ctx.mailbox().address()).await;
    }
}

impl<L: LogService> Handler<AttemptEnded> for LogWriter<L> {
    type Return = ();

    async fn handle(&mut self, message: AttemptEnded, ctx: &mut Context<Self>) {
        let address = ctx.mailbox().address();
        self.handle_result(message.0, &address);
        self.start_next(&address).await;
    }
}
