//! An allocator that counts the bytes in use.

use std::alloc::GlobalAlloc;
use std::alloc::Layout;
use std::alloc::System;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;

/// Passes on to the system's allocator and counts.
#[derive(Debug)]
pub(crate) struct CountingAllocator {
    used: AtomicUsize,
    peak: AtomicUsize,
}

impl CountingAllocator {
    pub(crate) const fn new() -> Self {
        Self {
            used: AtomicUsize::new(0),
            peak: AtomicUsize::new(0),
        }
    }

    /// Returns the most bytes that were in use at once since the last reset.
    pub(crate) fn peak(&self) -> usize {
        self.peak.load(Ordering::Relaxed)
    }

    /// Starts to measure the peak anew, and returns the bytes in use.
    pub(crate) fn reset_peak(&self) -> usize {
        let used = self.used.load(Ordering::Relaxed);
        self.peak.store(used, Ordering::Relaxed);
        used
    }
}

// SAFETY: every call is passed on unchanged to the system's allocator.
unsafe impl GlobalAlloc for CountingAllocator {
    unsafe fn alloc(&self, layout: Layout) -> *mut u8 {
        let used = self.used.fetch_add(layout.size(), Ordering::Relaxed) + layout.size();
        self.peak.fetch_max(used, Ordering::Relaxed);
        // SAFETY: the caller keeps the contract of `GlobalAlloc::alloc`.
        unsafe { System.alloc(layout) }
    }

    unsafe fn dealloc(&self, ptr: *mut u8, layout: Layout) {
        self.used.fetch_sub(layout.size(), Ordering::Relaxed);
        // SAFETY: `ptr` comes from `alloc` above with the same layout.
        unsafe { System.dealloc(ptr, layout) }
    }
}
