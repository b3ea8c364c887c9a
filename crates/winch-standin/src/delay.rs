//! Delays without overhead when they are zero.

use std::time::Duration;

/// Sleeps for `time`. A zero time returns at once, because even an empty sleep
/// waits for the timer's next millisecond.
pub(crate) async fn delay(time: Duration) {
    if !time.is_zero() {
        tokio::time::sleep(time).await;
    }
}
