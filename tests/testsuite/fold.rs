//! Tests of the fold: stale records, duplicates, terms and epochs.

use std::collections::BTreeMap;

use buckthornwinch::base::ids::Epoch;
use buckthornwinch::base::ids::Incarnation;
use buckthornwinch::base::ids::Term;
use buckthornwinch::state::effect::FoldEffect;
use buckthornwinch::state::effect::IgnoreReason;
use buckthornwinch::state::fold_change::MAX_VERDICTS;
use buckthornwinch::state::folded::ChangeVerdict;
use buckthornwinch::state::folded::FoldedState;
use buckthornwinch::state::record::ChainAppend;
use buckthornwinch::state::record::ChainKey;
use buckthornwinch::state::record::ChangeRecord;
use buckthornwinch::state::record::EndProof;
use buckthornwinch::state::record::LapseCertificate;
use buckthornwinch::state::record::LogBatch;
use buckthornwinch::state::record::LogRecord;
use proptest::prelude::*;
use winch_test_support::fleet::FleetLog;
use winch_test_support::records::SERVICE;
use winch_test_support::records::batch;
use winch_test_support::records::change;
use winch_test_support::records::join;
use winch_test_support::records::key;
use winch_test_support::records::member_info;
use winch_test_support::records::random_history;
use winch_test_support::records::service;
use winch_test_support::records::slice;

/// Number of batches in a random history.
const HISTORY_LENGTH: usize = 120;

/// Returns a state with members 1 to 4, planner 1 at term 1 and the service with
/// 4 slices.
fn fleet() -> FoldedState {
    let mut state = FoldedState::default();
    for node in 1..=4 {
        fold(
            &mut state,
            &batch(u64::from(node), 1, vec![join(node, u64::from(node))]),
        );
    }
    let records = vec![
        LogRecord::Claim { term: 1 },
        change("first", 0, service(4, 100)),
    ];
    fold(&mut state, &batch(1, 2, records));
    state
}

fn fold(state: &mut FoldedState, batch: &LogBatch) -> Vec<FoldEffect> {
    state.apply(state.next, batch)
}

/// Folds one record of a member with its next sequence number.
fn fold_one(state: &mut FoldedState, author: Incarnation, record: LogRecord) -> FoldEffect {
    let sequence = state.members.get(&author).map_or(0, |it| it.sequence);
    fold(state, &batch(author, sequence + 1, vec![record])).remove(0)
}

fn assign(chain: ChainKey, at: Epoch, holders: &[Incarnation]) -> LogRecord {
    LogRecord::Assign {
        term: 1,
        appends: vec![ChainAppend {
            chain,
            first_epoch: at,
            holders: holders.to_vec(),
            supersedes: false,
        }],
    }
}

fn certificate(subject: Incarnation, set_version: u64, witnesses: &[Incarnation]) -> LogRecord {
    LogRecord::Ended {
        member: subject,
        proof: EndProof::Certificate(LapseCertificate {
            subject,
            set_version,
            witnesses: witnesses.to_vec(),
        }),
    }
}

fn set_witnesses(version: u64, witnesses: &[Incarnation]) -> LogRecord {
    LogRecord::Witnesses {
        term: 1,
        member: 1,
        version,
        witnesses: witnesses.to_vec(),
    }
}

#[test]
fn newer_incarnation_on_the_address_ends_the_older_for_good() {
    let mut state = fleet();

    let newer = fold(&mut state, &batch(9, 1, vec![join(2, 9)]));
    let again = fold(&mut state, &batch(2, 2, vec![join(2, 2)]));

    assert_eq!(newer, [FoldEffect::Accepted]);
    assert_eq!(again, [FoldEffect::Ignored(IgnoreReason::IncarnationEnded)]);
    assert!(!state.members.contains_key(&2));
}

#[test]
fn join_of_the_same_incarnation_changes_its_facts_only() {
    let mut state = fleet();
    let mut info = member_info(2, 2);
    info.upstream.slots = 3;

    let effect = fold_one(&mut state, 2, LogRecord::Join(Box::new(info)));

    assert_eq!(effect, FoldEffect::Accepted);
    assert_eq!(state.members[&2].info.upstream.slots, 3);
    assert_eq!(state.members[&2].joined_at, 1);
}

#[test]
fn certificate_needs_a_quorum_of_the_named_set() {
    let mut state = fleet();
    fold_one(&mut state, 1, set_witnesses(1, &[2, 3, 4]));

    let single = fold_one(&mut state, 2, certificate(1, 1, &[2]));
    let repeated = fold_one(&mut state, 2, certificate(1, 1, &[2, 2]));
    let unknown = fold_one(&mut state, 2, certificate(1, 7, &[2, 3]));
    let quorum = fold_one(&mut state, 2, certificate(1, 1, &[2, 3]));

    assert_eq!(single, FoldEffect::Ignored(IgnoreReason::NoQuorum));
    assert_eq!(repeated, FoldEffect::Ignored(IgnoreReason::NoQuorum));
    assert_eq!(unknown, FoldEffect::Ignored(IgnoreReason::StaleVersion));
    assert_eq!(quorum, FoldEffect::Accepted);
    assert_eq!(state.planner, None);
}

#[test]
fn previous_witnesses_may_certify_until_the_next_change() {
    let mut state = fleet();
    fold_one(&mut state, 1, set_witnesses(1, &[2, 3]));
    fold_one(&mut state, 1, set_witnesses(2, &[3, 4]));

    let previous = state.clone();
    let mut changed = state;
    fold_one(&mut changed, 1, set_witnesses(3, &[2, 4]));

    let mut before = previous;
    assert!(fold_one(&mut before, 2, certificate(1, 1, &[2, 3])).is_accepted());
    assert!(!fold_one(&mut changed, 2, certificate(1, 1, &[2, 3])).is_accepted());
}

#[test]
fn ended_holders_are_trimmed_and_the_first_epoch_advances() {
    let mut state = fleet();
    fold_one(&mut state, 1, assign(slice(0), 0, &[2, 3, 4]));

    let left = LogRecord::Ended {
        member: 2,
        proof: EndProof::Left,
    };
    fold_one(&mut state, 2, left);
    let resign = LogRecord::Resign {
        positions: vec![(slice(0), 1), (slice(0), 2)],
    };
    let effect = fold_one(&mut state, 3, resign);

    let chain = &state.chains[&slice(0)];
    assert_eq!(
        effect,
        FoldEffect::Partial {
            taken: 1,
            reason: IgnoreReason::NotHolder
        }
    );
    assert_eq!((chain.first_epoch, chain.next_epoch()), (2, 3));
    assert_eq!(state.serving_position(chain), Some((2, 4)));
}

#[test]
fn draining_and_unknown_members_get_no_positions() {
    let mut state = fleet();
    fold_one(&mut state, 1, LogRecord::Drain { member: 2 });

    let draining = fold_one(&mut state, 1, assign(slice(0), 0, &[3, 2]));
    let unknown = fold_one(&mut state, 1, assign(slice(0), 0, &[77]));
    let elsewhere = fold_one(&mut state, 1, assign(slice(9), 0, &[3]));

    assert_eq!(draining, FoldEffect::Ignored(IgnoreReason::Ineligible));
    assert_eq!(unknown, FoldEffect::Ignored(IgnoreReason::Ineligible));
    assert_eq!(elsewhere, FoldEffect::Ignored(IgnoreReason::UnknownChain));
}

#[test]
fn older_planner_changes_nothing() {
    let mut state = fleet();
    fold_one(&mut state, 2, LogRecord::Claim { term: 2 });

    let effect = fold_one(&mut state, 1, assign(slice(0), 0, &[1]));

    assert_eq!(effect, FoldEffect::Ignored(IgnoreReason::StaleTerm));
    assert_eq!(state.planner, Some(2));
}

#[test]
fn chain_of_a_key_starts_as_its_slices_chain_and_merges_back_last() {
    let mut state = fleet();
    fold_one(&mut state, 1, assign(slice(0), 0, &[2, 3]));
    fold_one(&mut state, 1, assign(key(8), 2, &[4]));
    let split = state.chains[&key(8)].clone();
    let merge = LogRecord::Merge {
        term: 1,
        chains: vec![key(8)],
    };

    let early = fold_one(&mut state, 1, merge.clone());
    let resign = |epoch| LogRecord::Resign {
        positions: vec![(key(8), epoch)],
    };
    fold_one(&mut state, 3, resign(1));
    fold_one(&mut state, 4, resign(2));
    let lower = fold_one(&mut state, 1, merge.clone());
    fold_one(&mut state, 1, assign(slice(0), 2, &[3]));
    let late = fold_one(&mut state, 1, merge);

    let holders: Vec<Incarnation> = split.entries.iter().map(|it| it.holder).collect();
    assert_eq!(holders, [2, 3, 4]);
    assert_eq!(early, FoldEffect::Ignored(IgnoreReason::NotMergeable));
    assert_eq!(lower, FoldEffect::Ignored(IgnoreReason::NotMergeable));
    assert_eq!(late, FoldEffect::Accepted);
}

#[test]
fn slices_of_owned_keys_never_change() {
    let mut state = fleet();
    let free = fold_one(&mut state, 1, change("free", 1, service(8, 1)));
    for index in 0..8 {
        fold_one(&mut state, 1, assign(slice(index), 0, &[2]));
    }

    let owned = fold_one(&mut state, 1, change("owned", 2, service(4, 1)));
    let other = fold_one(&mut state, 1, change("other", 2, service(8, 9)));
    let gone = LogRecord::Change(Box::new(ChangeRecord {
        change: "gone".into(),
        operator: "operator-1".into(),
        object: service(8, 1).key(),
        base_version: 3,
        declaration: None,
    }));
    let gone = fold_one(&mut state, 1, gone);
    let smaller = fold_one(&mut state, 1, change("smaller", 4, service(4, 1)));
    let same = fold_one(&mut state, 1, change("same", 4, service(8, 1)));

    assert!(free.is_accepted());
    assert_eq!(owned, FoldEffect::Ignored(IgnoreReason::KeysOwned));
    assert!(other.is_accepted());
    assert!(gone.is_accepted());
    assert_eq!(smaller, FoldEffect::Ignored(IgnoreReason::KeysOwned));
    assert!(same.is_accepted());
}

#[test]
fn change_whose_verdict_was_dropped_never_takes_effect_again() {
    let mut state = fleet();
    for index in 0..MAX_VERDICTS {
        let record = change(&format!("other-{index}"), 99, service(4, 1));
        fold_one(&mut state, 1, record);
    }
    let before = state.objects.clone();

    let repeated = fold_one(&mut state, 1, change("first", 0, service(4, 7)));

    let verdict = ChangeVerdict::Accepted(1);
    assert_eq!(repeated, FoldEffect::Change(verdict));
    assert_eq!(state.objects, before);
    assert_eq!(state.verdicts.len(), MAX_VERDICTS);
}

fn state_of(stream: &[(u64, LogBatch)]) -> FoldedState {
    let mut state = FoldedState::default();
    for (offset, batch) in stream {
        state.apply(*offset, batch);
    }
    state
}

/// Returns the history with copies of earlier batches inserted at later offsets,
/// and the history without them.
fn with_copies(history: &[LogBatch], copies: &[(u8, u8)]) -> [Vec<(u64, LogBatch)>; 2] {
    let mut all = Vec::new();
    let mut once = Vec::new();
    for (index, batch) in history.iter().enumerate() {
        let offset = all.len() as u64;
        all.push((offset, batch.clone()));
        once.push((offset, batch.clone()));
        for (at, back) in copies {
            if usize::from(*at) % history.len() == index {
                let earlier = index.saturating_sub(usize::from(*back));
                all.push((all.len() as u64, history[earlier].clone()));
            }
        }
    }
    [all, once]
}

/// Returns the epoch of the next holder for each slice and key of the histories.
fn next_epochs(state: &FoldedState) -> BTreeMap<ChainKey, Epoch> {
    let chains = (0..4).map(slice).chain((0..3).map(key));
    chains
        .filter_map(|chain| Some((chain.clone(), state.next_epoch_of(&chain)?)))
        .collect()
}

/// Returns the serving epoch of each slice and key of the histories.
fn serving_epochs(state: &FoldedState) -> BTreeMap<ChainKey, Epoch> {
    let chains = (0..4).map(slice).chain((0..3).map(key));
    chains
        .filter_map(|key| {
            let slice = state.slice_chain(&key)?;
            let chain = state.chains.get(&key).or(state.chains.get(&slice))?;
            Some((key, state.serving_position(chain)?.0))
        })
        .collect()
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(200))]

    #[test]
    fn copies_of_batches_are_ignored(
        seed: u64,
        copies: Vec<(u8, u8)>,
    ) {
        let history = random_history(seed, HISTORY_LENGTH);
        let [all, once] = with_copies(&history, &copies);

        let mut copied = state_of(&all);
        let mut clean = state_of(&once);

        let next = copied.next.max(clean.next);
        copied.next = next;
        clean.next = next;
        prop_assert_eq!(copied, clean);
    }

    #[test]
    fn each_term_has_one_planner_and_no_epoch_decreases(seed: u64) {
        let mut state = FoldedState::default();
        let mut planners: BTreeMap<Term, Incarnation> = BTreeMap::new();
        for batch in random_history(seed, HISTORY_LENGTH) {
            let before = (state.term, next_epochs(&state), serving_epochs(&state));

            fold(&mut state, &batch);

            prop_assert!(state.term >= before.0);
            if let Some(planner) = state.planner {
                prop_assert_eq!(*planners.entry(state.term).or_insert(planner), planner);
            }
            let now = next_epochs(&state);
            for (chain, next_epoch) in before.1 {
                prop_assert!(now[&chain] >= next_epoch, "the next epoch of {chain:?} decreased");
            }
            let serving = serving_epochs(&state);
            for (chain, epoch) in before.2 {
                let now = serving.get(&chain);
                prop_assert!(now.is_none_or(|now| *now >= epoch), "the serving epoch of {chain:?} decreased");
            }
        }
    }

    #[test]
    fn stale_records_are_ignored(seed: u64) {
        let history = random_history(seed, HISTORY_LENGTH);
        let mut state = FoldedState::default();
        for batch in &history {
            state.apply(state.next, batch);
        }
        let before = state.clone();

        for batch in history {
            let effects = state.apply(before.next, &batch);
            state.next = before.next;
            prop_assert!(effects.iter().all(|it| matches!(it, FoldEffect::Ignored(_))));
        }

        prop_assert_eq!(state, before);
    }

    #[test]
    fn first_positions_are_not_vacated_and_members_have_not_ended(seed: u64) {
        let state = random_history(seed, HISTORY_LENGTH).iter().fold(
            FoldedState::default(),
            |mut state, batch| {
                state.apply(state.next, batch);
                state
            },
        );

        for chain in state.chains.values() {
            let first = chain.entries.first();
            prop_assert!(first.is_none_or(|entry| !state.is_vacated(entry)));
        }
        for member in state.members.keys() {
            prop_assert!(!state.ended.contains(*member));
        }
    }
}

#[test]
fn a_key_belongs_to_its_own_chain_once_it_has_one() {
    let mut log = FleetLog::with_nodes(2);
    log.assign(&slice(0), &[1]);

    let before = log.state.chain_of_key(&SERVICE.into(), 4);
    log.assign(&key(4), &[2]);
    let after = log.state.chain_of_key(&SERVICE.into(), 4);
    let neighbour = log.state.chain_of_key(&SERVICE.into(), 8);
    let undeclared = log.state.chain_of_key(&"undeclared".into(), 4);

    assert_eq!(before, Some(slice(0)));
    assert_eq!(after, Some(key(4)));
    assert_eq!(neighbour, Some(slice(0)));
    assert_eq!(undeclared, None);
}
