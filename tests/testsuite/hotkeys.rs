//! The heavy-hitters sketch beside an exact count, and what the board moves.

use std::collections::BTreeMap;
use std::time::Duration;

use buckthornwinch::hotkeys::rebalance::KeyRebalancer;
use buckthornwinch::hotkeys::report::KeyRate;
use buckthornwinch::hotkeys::report::LoadSummary;
use buckthornwinch::hotkeys::sketch::HeavyHitters;
use buckthornwinch::hotkeys::sketch::ServiceKey;
use proptest::prelude::*;

const CAPACITY: usize = 16;

fn key(key: u64) -> ServiceKey {
    ServiceKey {
        service: "catalogue".into(),
        key,
    }
}

fn summary(owner: u64, rate: u32, keys: &[(u64, u32)]) -> LoadSummary {
    LoadSummary {
        owner,
        rate,
        keys: keys
            .iter()
            .map(|(key, rate)| KeyRate {
                service: "catalogue".into(),
                key: *key,
                rate: *rate,
            })
            .collect(),
    }
}

fn board(summaries: &[LoadSummary]) -> KeyRebalancer {
    let mut board = KeyRebalancer::default();
    for summary in summaries {
        board.record(summary.clone(), Duration::ZERO);
    }
    board
}

proptest! {
    #[test]
    fn the_sketch_holds_every_frequent_key_and_never_counts_too_low(
        keys in prop::collection::vec(0_u64..60, 1..800),
    ) {
        let mut exact = BTreeMap::new();
        let mut sketch = HeavyHitters::new(CAPACITY);
        for number in &keys {
            *exact.entry(*number).or_insert(0_u64) += 1;
            sketch.add(key(*number));
        }

        let top = sketch.top(CAPACITY);

        for count in &top {
            let true_count = exact[&count.key.key];
            prop_assert!(count.count >= true_count);
            prop_assert!(count.count - count.error <= true_count);
        }
        for (number, true_count) in &exact {
            if *true_count > keys.len() as u64 / CAPACITY as u64 {
                prop_assert!(top.iter().any(|count| count.key.key == *number));
            }
        }
    }
}

#[test]
fn the_hottest_key_of_an_overloaded_owner_goes_to_the_idlest_member() {
    let mut board = board(&[
        summary(1, 1000, &[(7, 500), (8, 300)]),
        summary(2, 200, &[]),
        summary(3, 100, &[]),
    ]);

    let moves = board.choose_moves("catalogue", &[1, 2, 3]);

    let chosen: Vec<(u64, u64)> = moves.iter().map(|it| (it.key.key, it.owner)).collect();
    assert_eq!(chosen[0], (7, 3));
}

#[test]
fn a_key_that_would_only_move_the_overload_stays() {
    let mut board = board(&[summary(1, 1000, &[(7, 990)]), summary(2, 10, &[])]);

    let moves = board.choose_moves("catalogue", &[1, 2]);

    assert_eq!(moves, []);
}

#[test]
fn an_even_fleet_moves_nothing() {
    let mut board = board(&[summary(1, 1000, &[(7, 400)]), summary(2, 950, &[])]);

    let moves = board.choose_moves("catalogue", &[1, 2]);

    assert_eq!(moves, []);
}
