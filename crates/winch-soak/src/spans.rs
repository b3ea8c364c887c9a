//! Records when faults were active, and where.

use std::time::Duration;

use tokio::time::Instant;

use crate::plan::MachineIndex;

/// What a fault affects.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum FaultTarget {
    /// One machine: its process, its links or its upstream.
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

/// Index of a recorded span.
pub type SpanNumber = usize;

/// The spans of the faults of a run, without planned operations.
#[derive(Debug, Default)]
pub struct FaultSpans {
    spans: Vec<FaultSpan>,
}

impl FaultSpans {
    /// Records that a fault begins now. Returns its index for [`end`](Self::end).
    pub fn begin(&mut self, target: FaultTarget) -> SpanNumber {
        self.spans.push(FaultSpan {
            target,
            from: Instant::now(),
            until: None,
        });
        self.spans.len() - 1
    }

    /// Records that a fault ends now.
    ///
    /// # Panics
    ///
    /// Panics if [`begin`](Self::begin) did not return this index.
    pub fn end(&mut self, span: SpanNumber) {
        self.spans[span].until = Some(Instant::now());
    }

    /// Returns whether a fault whose target `counts` was active between `from` less
    /// `margin` and `to`.
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
