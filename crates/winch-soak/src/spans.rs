//! When which fault was there.

use std::time::Duration;

use tokio::time::Instant;

use crate::plan::MachineIndex;

/// What a fault strikes.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum FaultTarget {
    /// One machine, its links or its upstream.
    Machine(MachineIndex),
    /// The store.
    Store,
    /// Every machine.
    All,
}

#[derive(Debug, Clone, Copy)]
struct FaultSpan {
    target: FaultTarget,
    from: Instant,
    until: Option<Instant>,
}

/// Names a span.
pub type SpanNumber = usize;

/// The unplanned faults of a run so far.
#[derive(Debug, Default)]
pub struct FaultSpans {
    spans: Vec<FaultSpan>,
}

impl FaultSpans {
    /// Notes that a fault begins.
    pub fn begin(&mut self, target: FaultTarget) -> SpanNumber {
        self.spans.push(FaultSpan {
            target,
            from: Instant::now(),
            until: None,
        });
        self.spans.len() - 1
    }

    /// Notes that a fault has ended.
    pub fn end(&mut self, span: SpanNumber) {
        self.spans[span].until = Some(Instant::now());
    }

    /// Tells whether any of the targets was struck between `from` less `margin`
    /// and `to`.
    pub fn any(
        &self,
        from: Instant,
        margin: Duration,
        to: Instant,
        counts: impl Fn(FaultTarget) -> bool,
    ) -> bool {
        let from = from.checked_sub(margin).unwrap_or(from);
        self.spans.iter().any(|span| {
            counts(span.target) && span.from <= to && span.until.is_none_or(|until| until >= from)
        })
    }
}
