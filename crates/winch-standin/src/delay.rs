//! Delays that cost nothing when they are off.

use std::time::Duration;

/// Waits. Even an empty sleep would wait for the timer's next millisecond.
pub(crate) async fn delay(time: Duration) {
    if !time.is_zero() {
        tokio::time::sleep(time).await;
    }
}
