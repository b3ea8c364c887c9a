//! Rate-limited log lines about single requests.
//!
//! Under load, the log lines of all requests would cost more than the requests
//! themselves. A process therefore writes a limited number of them per second,
//! counts the rest and logs that count in one line.

use std::sync::Arc;
use std::sync::Mutex;
use std::sync::PoisonError;
use std::time::Duration;

use prometheus::IntCounter;
use tokio::time::Instant;

use crate::delivery::message::HeaderPair;

/// Period to which the limit applies.
const WINDOW: Duration = Duration::from_secs(1);

#[derive(Debug)]
struct LineWindow {
    start: Instant,
    written: u32,
    dropped: u64,
}

/// Writes log lines about single requests up to a limit. Clones share the
/// limit.
#[derive(Debug, Clone)]
pub struct RequestLog {
    id_header: Box<str>,
    lines_per_second: u32,
    window: Arc<Mutex<LineWindow>>,
    dropped: IntCounter,
}

impl RequestLog {
    /// Creates a log of at most `lines_per_second` lines. The header
    /// `id_header` holds the id of a request. `dropped` counts the lines that
    /// are left out.
    pub fn new(id_header: &str, lines_per_second: u32, dropped: IntCounter) -> Self {
        Self {
            id_header: id_header.into(),
            lines_per_second,
            window: Arc::new(Mutex::new(LineWindow {
                start: Instant::now(),
                written: 0,
                dropped: 0,
            })),
            dropped,
        }
    }

    /// Returns the id in the headers of a request, or `-` if there is none.
    pub fn request_id(&self, headers: &[HeaderPair]) -> Box<str> {
        let found = headers
            .iter()
            .find(|(name, _value)| name.eq_ignore_ascii_case(&self.id_header));
        found.map_or_else(
            || "-".into(),
            |(_name, value)| String::from_utf8_lossy(value).into_owned().into(),
        )
    }

    /// Calls `line` to write a log line, unless the limit is reached.
    pub fn write(&self, line: impl FnOnce()) {
        let (allowed, dropped) = self.take_line();
        if let Some(dropped) = dropped {
            log::warn!(dropped = dropped; "log: left out lines of single requests");
        }
        if allowed {
            line();
        } else {
            self.dropped.inc();
        }
    }

    fn take_line(&self) -> (bool, Option<u64>) {
        let mut window = self.window.lock().unwrap_or_else(PoisonError::into_inner);
        let mut dropped = None;
        if window.start.elapsed() >= WINDOW {
            dropped = (window.dropped > 0).then_some(window.dropped);
            *window = LineWindow {
                start: Instant::now(),
                written: 0,
                dropped: 0,
            };
        }
        let allowed = window.written < self.lines_per_second;
        if allowed {
            window.written += 1;
        } else {
            window.dropped += 1;
        }
        (allowed, dropped)
    }
}
