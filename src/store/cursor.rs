//! Where the next read of a topic starts.
//!
//! Only the newest record of each key counts, but a topic retains older ones for some
//! time, and a read from an offset returns them all. A reader that has learnt the newest
//! state elsewhere, or that is far behind, must not make the store send them: its
//! bandwidth is shared by all readers of all topics.

use super::StorePage;
use crate::base::ids::Offset;

/// How far a process has read a topic.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct TopicCursor {
    /// Offset from which records are unread; `None` before the first read.
    next: Option<Offset>,
    /// Whether unread records were skipped since the newest ones were read.
    has_skipped: bool,
}

impl TopicCursor {
    /// Returns the offset at which the next read starts; `None` for the newest record of
    /// each key. Skips unread records before the offset `known`, whose effect is known
    /// from elsewhere.
    pub fn skip_to(&mut self, known: Offset) -> Option<Offset> {
        if let Some(next) = self.next.as_mut().filter(|next| **next < known) {
            *next = known;
            self.has_skipped = true;
        }
        self.next
    }

    /// Continues after a page. If the topic has more records than fit into the page, the
    /// next read returns the newest ones instead of all that follow.
    pub fn advance(&mut self, page: &StorePage) {
        if self.next.is_none() {
            self.has_skipped = false;
        }
        self.next = (page.next >= page.end).then_some(page.next);
    }

    /// Makes the next read return the newest record of each key.
    pub fn reset(&mut self) {
        self.next = None;
    }

    /// Returns whether unread records were skipped since the newest ones were read.
    pub fn has_skipped(&self) -> bool {
        self.has_skipped
    }
}
