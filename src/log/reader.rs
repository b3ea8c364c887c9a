//! The task that reads the log page by page and passes it to the follower.

use std::sync::Arc;
use std::time::Duration;

use tokio::sync::Notify;
use tokio::sync::watch;
use tokio::time::Instant;
use tokio::time::timeout;

use super::backoff::RetryBackoff;
use super::search::find_snapshot;
use super::service::LogError;
use super::service::LogPage;
use super::service::LogService;
use super::settings::FollowerSettings;
use crate::base::ids::Offset;
use crate::state::folded::FoldedState;

/// Receives what the reader has read.
pub(super) trait PageSink: Send + Sync + 'static {
    /// Folds a page and returns the next offset to read; none if the follower
    /// has stopped.
    fn fold(&self, page: LogPage) -> impl Future<Output = Option<Offset>> + Send;

    /// Installs a state if it is newer than what was folded.
    fn install(&self, state: FoldedState) -> impl Future<Output = ()> + Send;
}

/// Reads a log until its follower has stopped.
#[derive(Debug)]
pub(super) struct LogReader<L, F> {
    log: L,
    follower: F,
    wake: Arc<Notify>,
    reachable: watch::Sender<bool>,
    settings: FollowerSettings,
    backoff: RetryBackoff,
}

impl<L: LogService, F: PageSink> LogReader<L, F> {
    pub(super) fn new(
        log: L,
        follower: F,
        wake: Arc<Notify>,
        reachable: watch::Sender<bool>,
        settings: FollowerSettings,
    ) -> Self {
        let backoff = RetryBackoff::new(settings.initial_backoff, settings.max_backoff);
        Self {
            log,
            follower,
            wake,
            reachable,
            settings,
            backoff,
        }
    }

    pub(super) async fn run(mut self, from: Offset) {
        let mut next = from;
        loop {
            let started = Instant::now();
            let result = self.log.read(next, self.settings.page_limit).await;
            self.record_result(next, &result);
            if let Err(LogError::Expired { earliest }) = result {
                self.install_snapshot(earliest).await;
            }
            let wait = self.wait_after(&result, started);
            let page = result.unwrap_or_else(|_error| LogPage {
                entries: Vec::new(),
                end: next,
            });
            let Some(folded) = self.follower.fold(page).await else {
                return;
            };
            next = folded;
            // The next read starts after the wait, or early when woken.
            let _ = timeout(wait, self.wake.notified()).await;
        }
    }

    /// Installs the newest complete snapshot in the follower.
    async fn install_snapshot(&self, earliest: Offset) {
        match find_snapshot(&self.log, earliest, self.settings.page_limit).await {
            Ok(Some(state)) => {
                log::info!(
                    "log: starting from the snapshot of the entries below offset {}",
                    state.next
                );
                self.follower.install(state).await;
            }
            Ok(None) => log::error!("log: no complete snapshot found from offset {earliest} on"),
            Err(error) => log::warn!("log: cannot search for a snapshot: {error:?}"),
        }
    }

    /// Publishes whether the log is reachable, and logs when that changes.
    fn record_result(&self, next: Offset, result: &Result<LogPage, LogError>) {
        self.reachable.send_if_modified(|reachable| {
            let was_reachable = std::mem::replace(reachable, result.is_ok());
            was_reachable != result.is_ok()
        });
        let failures = self.backoff.failures();
        match result {
            Ok(_) if failures > 0 => {
                log::info!("log: reading again from offset {next} after {failures} failures");
            }
            Err(error) if failures == 0 => {
                log::warn!("log: cannot read from offset {next}: {error:?}");
            }
            _ => {}
        }
    }

    /// Returns the wait before the next read: none after entries were read, the
    /// rest of the poll interval after an empty page, the backoff after an error.
    fn wait_after(&mut self, result: &Result<LogPage, LogError>, started: Instant) -> Duration {
        let Ok(page) = result else {
            return self.backoff.next_wait();
        };
        self.backoff.reset();
        if page.entries.is_empty() {
            self.settings
                .poll_interval
                .saturating_sub(started.elapsed())
        } else {
            Duration::ZERO
        }
    }
}
