//! Compares the heavy-hitters sketch with an exact count, and tests which hot
//! keys are moved.

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

fn rebalancer(summaries: &[LoadSummary]) -> KeyRebalancer {
    let mut rebalancer = KeyRebalancer::default();
    for summary in summaries {
        rebalancer.record(summary.clone(), Duration::ZERO);
    }
    rebalancer
}

proptest! {
    #[test]
    fn the_sketch_holds_every_frequent_key_and_never_underestimates(
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
fn the_hottest_key_of_an_overloaded_owner_moves_to_the_least_loaded_member() {
    let mut rebalancer = rebalancer(&[
        summary(1, 1000, &[(7, 500), (8, 300)]),
        summary(2, 200, &[]),
        summary(3, 100, &[]),
    ]);

    let moves = rebalancer.choose_moves("catalogue", &[1, 2, 3]);

    let chosen: Vec<(u64, u64)> = moves
        .iter()
        .map(|key_move| (key_move.key.key, key_move.owner))
        .collect();
    assert_eq!(chosen[0], (7, 3));
}

/// Moving the key would overload the destination instead, and the key would
/// move back and forth.
#[test]
fn a_key_that_would_only_move_the_overload_stays() {
    let mut rebalancer = rebalancer(&[summary(1, 1000, &[(7, 990)]), summary(2, 10, &[])]);

    let moves = rebalancer.choose_moves("catalogue", &[1, 2]);

    assert_eq!(moves, []);
}

#[test]
fn nothing_moves_while_the_load_is_even() {
    let mut rebalancer = rebalancer(&[summary(1, 1000, &[(7, 400)]), summary(2, 950, &[])]);

    let moves = rebalancer.choose_moves("catalogue", &[1, 2]);

    assert_eq!(moves, []);
}
