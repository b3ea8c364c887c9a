//! Aliases of the hash collections, with a fast hasher.

/// A hash map with a fast hasher, for keys that callers do not choose.
pub type FastMap<K, V> = rustc_hash::FxHashMap<K, V>;

/// A hash set with a fast hasher, for keys that callers do not choose.
pub type FastSet<T> = rustc_hash::FxHashSet<T>;

/// A hash map for keys that callers choose: its hasher is seeded, so that
/// nobody can make them collide.
pub type SeededMap<K, V> = std::collections::HashMap<K, V>;
