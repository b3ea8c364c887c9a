//! Stable hashes: the same on every process and in every version.

use xxhash_rust::xxh3::xxh3_64;
use xxhash_rust::xxh3::xxh3_64_with_seed;

use super::ids::KeyHash;
use super::ids::SliceIndex;

/// Returns the hash of a key, which determines its slice.
pub fn hash_key(key: &[u8]) -> KeyHash {
    xxh3_64(key)
}

/// Returns the slice of a key of a service with `slices` slices, which must be a
/// power of two.
pub fn slice_of(key: KeyHash, slices: u16) -> SliceIndex {
    debug_assert!(
        slices.is_power_of_two(),
        "the number of slices must be a power of two"
    );
    (key & u64::from(slices - 1)) as SliceIndex
}

/// Returns the score of a pair for rendezvous hashing. The order of the arguments
/// matters.
pub fn rendezvous_score(left: u64, right: u64) -> u64 {
    xxh3_64_with_seed(&left.to_le_bytes(), right)
}
