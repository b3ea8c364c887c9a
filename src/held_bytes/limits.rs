//! Derives the bounds of a process from the memory and descriptors that it may use.

use super::budget::RESERVE_DIVISOR;

/// Memory limit of a process whose settings name none, in bytes.
const DEFAULT_MEMORY_BYTES: usize = 160_000_000;

/// Descriptor limit of a process whose settings name none.
const DEFAULT_DESCRIPTORS: usize = 4_100;

/// Descriptors that the platform reserves for files.
const RESERVED_DESCRIPTORS: usize = 200;

/// Memory for the program, its state and what is too small to be counted, in bytes.
const BASE_MEMORY_BYTES: usize = 32_000_000;

/// Fraction of the other memory that is held for others, in percent. The rest covers
/// copies while bytes are decoded, and free memory that the allocator keeps.
const HELD_PERCENT: usize = 80;

/// Fraction of the sockets that callers may use, in percent. The others are kept for
/// peers, the upstream and the store.
const CALLER_SOCKET_PERCENT: usize = 60;

/// Fraction of the sockets that connections of peers may use during their handshake: one
/// eighth.
const HANDSHAKE_SOCKET_DIVISOR: usize = 8;

/// Bytes that a caller's connection may have received while nobody reads them. They
/// count as memory of the process.
pub const UNREAD_BYTES: usize = 32 * 1024;

/// Bytes that an open connection of a caller holds: what the process keeps for it, and
/// what it has received and not read.
pub const CONNECTION_BYTES: usize = 24 * 1024 + UNREAD_BYTES;

/// Fraction of the budget that connections may hold, in percent.
const CONNECTION_BUDGET_PERCENT: usize = 50;

/// What a process may use of its VM.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ProcessLimits {
    /// Memory above which the process is killed, in bytes. Default: 160 MB.
    pub memory_bytes: usize,
    /// Number of descriptors, including 200 that are reserved for files. Default:
    /// 4,100.
    pub descriptors: usize,
}

impl Default for ProcessLimits {
    fn default() -> Self {
        Self {
            memory_bytes: DEFAULT_MEMORY_BYTES,
            descriptors: DEFAULT_DESCRIPTORS,
        }
    }
}

impl ProcessLimits {
    /// Returns how many bytes the process may hold for others.
    pub fn held_bytes(self) -> usize {
        self.memory_bytes.saturating_sub(BASE_MEMORY_BYTES) / 100 * HELD_PERCENT
    }

    /// Returns how many connections of callers may be open, at least one.
    pub fn caller_connections(self) -> usize {
        let sockets = self.descriptors.saturating_sub(RESERVED_DESCRIPTORS);
        let by_descriptors = sockets * CALLER_SOCKET_PERCENT / 100;
        by_descriptors.min(self.connections_by_memory()).max(1)
    }

    /// Returns how many connections of peers may be in their handshake, at least one.
    pub fn pending_handshakes(self) -> usize {
        let sockets = self.descriptors.saturating_sub(RESERVED_DESCRIPTORS);
        (sockets / HANDSHAKE_SOCKET_DIVISOR).max(1)
    }

    /// Returns how many connections of callers the memory bears, at least one.
    pub fn connections_by_memory(self) -> usize {
        (self.held_bytes() / 100 * CONNECTION_BUDGET_PERCENT / CONNECTION_BYTES).max(1)
    }

    /// Returns how many bytes the largest leases may hold together. The rest is reserved
    /// for small ones.
    pub fn large_lease_bytes(self) -> usize {
        let held = self.held_bytes();
        held - held / RESERVE_DIVISOR
    }
}
