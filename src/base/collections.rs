//! Aliases of the hash collections, by hasher.

/// A hash map with a fast, unseeded hasher, for keys that callers do not choose.
pub type FastMap<K, V> = rustc_hash::FxHashMap<K, V>;

/// A hash set with a fast, unseeded hasher, for keys that callers do not choose.
pub type FastSet<T> = rustc_hash::FxHashSet<T>;

/// A hash map for keys that callers choose. Its hasher is randomly seeded, so
/// that a caller cannot construct keys that collide.
pub type SeededMap<K, V> = std::collections::HashMap<K, V>;
