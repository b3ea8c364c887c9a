//! Placement of chains and witnesses: moved chains and imbalance compared with
//! naive planners, and distribution over failure domains.

use std::collections::BTreeSet;

use buckthornwinch::base::collections::FastSet;
use buckthornwinch::base::hash::rendezvous_score;
use buckthornwinch::base::ids::Incarnation;
use buckthornwinch::planner::balance::ChainOwnership;
use buckthornwinch::planner::balance::balance;
use buckthornwinch::planner::placement::PlacementCandidate;
use buckthornwinch::planner::plan::PlanInputs;
use buckthornwinch::planner::plan::plan;
use buckthornwinch::state::folded::FoldedState;
use buckthornwinch::state::record::ChainKey;
use buckthornwinch::state::record::LogRecord;
use winch_test_support::fleet::FleetLog;
use winch_test_support::fleet::incarnation;
use winch_test_support::naive_planner::OwnerMap;
use winch_test_support::naive_planner::by_modulo;
use winch_test_support::naive_planner::by_rank;
use winch_test_support::naive_planner::imbalance;
use winch_test_support::naive_planner::moved;
use winch_test_support::naive_planner::orphaned;
use winch_test_support::records::slice;

/// Documented bound of the ratio of the most loaded member's chains to the
/// mean.
const MAX_IMBALANCE_RATIO: f64 = 1.15;

/// Documented bound of the ratio of moved chains to chains that had to move.
const MAX_CHURN_RATIO: f64 = 1.1;

fn member(node: u64, restart: u64) -> PlacementCandidate {
    PlacementCandidate {
        incarnation: restart * 10_000 + node,
        node: rendezvous_score(node, 7),
        domain: format!("domain-{}", node % 6).into(),
        weight: 20.0,
    }
}

fn members(count: u64) -> Vec<PlacementCandidate> {
    (1..=count).map(|node| member(node, 1)).collect()
}

fn chains(count: u64) -> Vec<u64> {
    (0..count).map(|slice| rendezvous_score(slice, 3)).collect()
}

/// Returns the owners after planning, from the given ones, until nothing
/// changes.
fn settle(
    chains: &[u64],
    owners: &[Option<Incarnation>],
    members: &[PlacementCandidate],
) -> OwnerMap {
    let mut owners = owners.to_vec();
    loop {
        let ownerships: Vec<ChainOwnership> = chains
            .iter()
            .zip(&owners)
            .map(|(hash, owner)| ChainOwnership {
                hash: *hash,
                owner: *owner,
            })
            .collect();
        let changes = balance(&ownerships, members, 64);
        if changes.is_empty() {
            return owners.into_iter().flatten().collect();
        }
        for change in changes {
            owners[change.chain] = Some(change.owner);
        }
    }
}

fn known(owners: &OwnerMap) -> Vec<Option<Incarnation>> {
    owners.iter().copied().map(Some).collect()
}

/// Returns the least number of chains that any planner has to move: chains of
/// lost members, and the share of each member that joined.
fn had_to_move(before: &OwnerMap, members: &[PlacementCandidate], joined: usize) -> usize {
    let share = before.len() / members.len();
    orphaned(before, members) + joined * share
}

#[test]
fn a_loss_moves_only_what_the_lost_member_owned_and_keeps_the_balance() {
    for (nodes, slices) in [(11, 256), (100, 4096), (680, 16_384)] {
        let chains = chains(slices);
        let all = members(nodes);
        let before = settle(&chains, &vec![None; chains.len()], &all);
        let left: Vec<PlacementCandidate> = all[1..].to_vec();

        let after = settle(&chains, &known(&before), &left);

        let had_to = orphaned(&before, &left);
        let ours = moved(&before, &after) as f64 / had_to as f64;
        let modulo = moved(&by_modulo(&chains, &all), &by_modulo(&chains, &left));
        let ranked = by_rank(&chains, &left);
        println!(
            "{nodes} nodes, loss: moved/had to {ours:.3}, modulo moved {modulo}; imbalance {:.3}, rank alone {:.3}",
            imbalance(&after, &left),
            imbalance(&ranked, &left),
        );
        assert!(ours <= MAX_CHURN_RATIO, "{nodes} nodes: {ours}");
        assert!(
            imbalance(&after, &left) <= MAX_IMBALANCE_RATIO,
            "{nodes} nodes"
        );
        assert!(moved(&before, &after) < modulo, "{nodes} nodes");
    }
}

#[test]
fn a_join_moves_no_more_than_the_new_members_share() {
    for (nodes, slices) in [(11, 256), (100, 4096), (680, 16_384)] {
        let chains = chains(slices);
        let before = settle(&chains, &vec![None; chains.len()], &members(nodes));
        let grown = members(nodes + 1);

        let after = settle(&chains, &known(&before), &grown);

        let moves = moved(&before, &after);
        let churn = moves as f64 / had_to_move(&before, &grown, 1) as f64;
        println!(
            "{nodes} nodes, join: moved {moves}, over share {churn:.3}, imbalance {:.3}",
            imbalance(&after, &grown)
        );
        assert!(churn <= MAX_CHURN_RATIO, "{nodes} nodes: {churn}");
        assert!(
            imbalance(&after, &grown) <= MAX_IMBALANCE_RATIO,
            "{nodes} nodes"
        );
    }
}

#[test]
fn a_fleet_that_restarts_as_a_whole_is_assigned_as_before() {
    let chains = chains(1024);
    let before = settle(&chains, &vec![None; chains.len()], &members(40));
    let returned: Vec<PlacementCandidate> = (1..=40).map(|node| member(node, 2)).collect();

    let after = settle(&chains, &vec![None; chains.len()], &returned);

    let nodes =
        |owners: &OwnerMap| -> Vec<u64> { owners.iter().map(|owner| owner % 10_000).collect() };
    assert_eq!(nodes(&before), nodes(&after));
}

/// Plans and appends the plans to the log until there is nothing left to plan.
fn settle_log(log: &mut FleetLog) {
    for _round in 0..20 {
        let inputs = PlanInputs {
            state: &log.state.clone(),
            ended: &FastSet::default(),
            term: log.state.term,
            move_budget: 64,
            hot_keys: &[],
        };
        let records = plan(inputs);
        if records.is_empty() {
            return;
        }
        log.append(incarnation(1), records);
    }
    panic!("the plan does not settle");
}

fn holders(state: &FoldedState, chain: &ChainKey) -> Vec<Incarnation> {
    state.chains[chain]
        .entries
        .iter()
        .map(|entry| entry.holder)
        .collect()
}

#[test]
fn owner_and_successors_are_in_different_domains() {
    let mut log = FleetLog::with_nodes(9);

    settle_log(&mut log);

    for chain in log.state.chains.keys() {
        let holders = holders(&log.state, chain);
        let domains: BTreeSet<&str> = holders
            .iter()
            .map(|holder| log.state.members[holder].info.domain.as_ref())
            .collect();
        assert_eq!((holders.len(), domains.len()), (3, 3), "{chain:?}");
    }
}

#[test]
fn witnesses_are_in_different_domains_and_evenly_loaded() {
    let mut log = FleetLog::with_nodes(9);

    settle_log(&mut log);

    let mut loads = vec![0; 10];
    for member in log.state.members.values() {
        let witnesses = &member.witnesses.members;
        let domains: BTreeSet<&str> = witnesses
            .iter()
            .map(|witness| log.state.members[witness].info.domain.as_ref())
            .collect();
        assert_eq!((witnesses.len(), domains.len()), (3, 3));
        for witness in witnesses {
            loads[(witness - incarnation(0)) as usize] += 1;
        }
    }
    assert!(
        loads[1..].iter().all(|load| (2..=4).contains(load)),
        "{loads:?}"
    );
}

#[test]
fn a_restarted_node_is_the_intended_owner_of_its_chains_without_a_plan() {
    let mut log = FleetLog::with_nodes(9);
    settle_log(&mut log);
    let lost = log.state.chains[&slice(0)].entries[0].holder;
    let owned: Vec<ChainKey> = log
        .state
        .chains
        .iter()
        .filter(|(_key, chain)| chain.entries[0].holder == lost)
        .map(|(key, _chain)| key.clone())
        .collect();
    let restarted = lost + 1000;

    let mut info = log.state.members[&lost].info.clone();
    info.incarnation = restarted;
    log.append(restarted, vec![LogRecord::Join(Box::new(info))]);

    for key in owned {
        let chain = &log.state.chains[&key];
        let intended = log
            .state
            .planned_position(chain)
            .map(|(_epoch, holder)| holder);
        assert_eq!(intended, Some(restarted), "{key:?}");
        assert_ne!(
            log.state
                .serving_position(chain)
                .map(|(_epoch, holder)| holder),
            Some(restarted)
        );
    }
}
