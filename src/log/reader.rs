//! The task that reads the log page by page for the follower.

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

/// Takes what a reader has read.
pub(super) trait PageSink: Send + Sync + 'static {
    /// Folds a page and returns the next offset to read; none if nobody folds
    /// any more.
    fn fold(&self, page: LogPage) -> impl Future<Output = Option<Offset>> + Send;

    /// Takes a state if it is newer than what was folded.
    fn install(&self, state: FoldedState) -> impl Future<Output = ()> + Send;
}

/// Reads a log until its follower is gone.
#[derive(Debug)]
pub(super) struct LogReader<L, F> {
    log: L,
    follower: F,
    nudge: Arc<Notify>,
    reachable: watch::Sender<bool>,
    settings: FollowerSettings,
    backoff: RetryBackoff,
}

impl<L: LogService, F: PageSink> LogReader<L, F> {
    pub(super) fn new(
        log: L,
        follower: F,
        nudge: Arc<Notify>,
        reachable: watch::Sender<bool>,
        settings: FollowerSettings,
    ) -> Self {
        let backoff = RetryBackoff::new(settings.retry_base, settings.retry_limit);
        Self {
            log,
            follower,
            nudge,
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
            self.note_result(next, &result);
            if let Err(LogError::Expired { earliest }) = result {
                self.start_from_snapshot(earliest).await;
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
            // A nudge ends the wait early; both outcomes read again.
            let _ = timeout(wait, self.nudge.notified()).await;
        }
    }

    /// Hands the newest whole snapshot to the follower.
    async fn start_from_snapshot(&self, earliest: Offset) {
        match find_snapshot(&self.log, earliest, self.settings.page_limit).await {
            Ok(Some(state)) => {
                log::info!(
                    "log: starts from the snapshot through offset {}",
                    state.next
                );
                self.follower.install(state).await;
            }
            Ok(None) => log::error!("log: keeps no whole snapshot after offset {earliest}"),
            Err(error) => log::warn!("log: cannot search for a snapshot: {error:?}"),
        }
    }

    /// Logs when the log goes down or comes back.
    fn note_result(&self, next: Offset, result: &Result<LogPage, LogError>) {
        self.reachable.send_if_modified(|reachable| {
            let was_reachable = std::mem::replace(reachable, result.is_ok());
            was_reachable != result.is_ok()
        });
        let failures = self.backoff.failures();
        match result {
            Ok(_) if failures > 0 => {
                log::info!("log: reads again from offset {next} after {failures} failures");
            }
            Err(error) if failures == 0 => {
                log::warn!("log: cannot read from offset {next}: {error:?}");
            }
            _ => {}
        }
    }

    /// Returns how long to wait before the next read.
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
