//! The task that reads the log page by page for the follower.

use std::sync::Arc;
use std::time::Duration;

use tokio::sync::Notify;
use tokio::sync::watch;
use tokio::time::Instant;
use tokio::time::timeout;
use xtra::WeakAddress;

use super::backoff::RetryBackoff;
use super::follower::FoldPage;
use super::follower::FollowerSettings;
use super::follower::InstallState;
use super::follower::LogFollower;
use super::search::find_snapshot;
use super::service::LogError;
use super::service::LogPage;
use super::service::LogService;
use crate::base::ids::Offset;

/// Reads a log until its follower is gone.
#[derive(Debug)]
pub(super) struct LogReader<L> {
    log: L,
    follower: WeakAddress<LogFollower>,
    nudge: Arc<Notify>,
    reachable: watch::Sender<bool>,
    settings: FollowerSettings,
    backoff: RetryBackoff,
}

impl<L: LogService> LogReader<L> {
    pub(super) fn new(
        log: L,
        follower: WeakAddress<LogFollower>,
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
            let Some(folded) = self.fold(page).await else {
                return;
            };
            next = folded;
            // A nudge ends the wait early; both outcomes read again.
            let _ = timeout(wait, self.nudge.notified()).await;
        }
    }

    /// Folds a page and returns the next offset; none when the follower ended.
    async fn fold(&self, page: LogPage) -> Option<Offset> {
        let follower = self.follower.try_upgrade()?;
        follower.send(FoldPage(page)).await.ok()
    }

    /// Hands the newest whole snapshot to the follower.
    async fn start_from_snapshot(&self, earliest: Offset) {
        match find_snapshot(&self.log, earliest, self.settings.page_limit).await {
            Ok(Some(state)) => {
                log::info!(
                    "log: starts from the snapshot through offset {}",
                    state.next
                );
                if let Some(follower) = self.follower.try_upgrade() {
                    // An ended follower ends the reader at its next page.
                    let _ = follower.send(InstallState(state)).await;
                }
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
