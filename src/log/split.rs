//! Splits items that do not fit into one append.

use serde::Serialize;

/// Splits items, in order, into groups whose encodings take at most `limit`
/// bytes. An item that exceeds the limit gets its own group.
pub fn group_by_size<T: Serialize>(items: Vec<T>, limit: usize) -> Vec<Vec<T>> {
    let mut groups: Vec<Vec<T>> = Vec::new();
    let mut size = 0_usize;
    for item in items {
        let bytes = encoded_size(&item);
        size = size.saturating_add(bytes);
        match groups.last_mut() {
            Some(group) if size <= limit => group.push(item),
            _ => {
                groups.push(vec![item]);
                size = bytes;
            }
        }
    }
    groups
}

/// Returns the number of bytes that an item takes in a batch. An item that cannot
/// be encoded gets a size that exceeds every batch.
pub fn encoded_size<T: Serialize>(item: &T) -> usize {
    postcard::to_allocvec(item).map_or(usize::MAX / 2, |encoded| encoded.len())
}
