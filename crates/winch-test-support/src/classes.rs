//! Priority class declarations for tests, similar to those in `examples/`.

use std::time::Duration;

use buckthornwinch::declarations::ClassDeclaration;

/// Returns the classes `checks`, `lookups`, `orders` and `reports`, most urgent
/// first.
pub fn example_classes() -> Vec<ClassDeclaration> {
    vec![
        class("checks", 0, (10, 1_000), 5, 1),
        class("lookups", 1, (50, 500), 40, 0),
        class("orders", 2, (200, 2_000), 30, 0),
        class("reports", 3, (60_000, 0), 10, 0),
    ]
}

/// Builds a class with a queue limit of 8; every class except `orders` is
/// idempotent.
///
/// `times` holds the target and the deadline in milliseconds, `share` is in
/// percent and `reserve` in slots.
pub fn class(name: &str, rank: u8, times: (u64, u64), share: u8, reserve: u16) -> ClassDeclaration {
    ClassDeclaration {
        name: name.into(),
        rank,
        target: Duration::from_millis(times.0),
        share_percent: share,
        deadline: Duration::from_millis(times.1),
        idempotent: name != "orders",
        reserve_slots: reserve,
        queue_limit: 8,
    }
}
