//! Options of the allocator.

use libmimalloc_sys::mi_option_set;
use libmimalloc_sys::mi_option_t;

/// `mi_option_purge_delay` of `mimalloc.h`, which the bindings do not name.
const PURGE_DELAY: mi_option_t = 15;

/// Returns freed blocks to the system at once. By default they are kept for a second, in
/// which large bodies that come and go take up several times the memory that they are
/// allowed.
pub fn purge_at_once() {
    // SAFETY: the call only stores the value of an option that exists in every version of
    // the library that these bindings build.
    unsafe { mi_option_set(PURGE_DELAY, 0) };
}
