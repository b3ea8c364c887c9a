//! Size of the range map and of its edits in a large fleet.

use std::net::SocketAddr;

use buckthornwinch::base::ids::Incarnation;
use buckthornwinch::peers::message::MemberRecord;
use buckthornwinch::peers::message::PeerDatagram;
use buckthornwinch::ranges::edit;
use buckthornwinch::ranges::edit::HolderCandidate;
use buckthornwinch::ranges::edit::MapEdit;
use buckthornwinch::ranges::map::RangeMap;
use buckthornwinch::sidecar::reconcile::MapReconciler;
use buckthornwinch::transport::datagram::encode_datagram;

const SERVICE: &str = "catalogue";

/// Owners of keys in a large fleet.
const OWNERS: u64 = 120;

/// Owners that are lost one after the other.
const LOST: u64 = 26;

/// Most ranges that the loss of one owner may add to the map.
const MAX_ADDED_RANGES: usize = 16;

fn candidate(incarnation: Incarnation) -> HolderCandidate {
    HolderCandidate {
        incarnation,
        address: SocketAddr::from(([10, 0, 0, 1], 1000 + incarnation as u16)),
        service: SERVICE.into(),
        domain: "a".into(),
        voters: Vec::new(),
    }
}

/// A map in which each owner has an equal share of the keys.
fn shared_map() -> RangeMap {
    let candidates: Vec<HolderCandidate> = (1..=OWNERS).map(candidate).collect();
    let adopted =
        edit::adopt_all(&RangeMap::default(), &[SERVICE.into()], &candidates, 10).expect("holders");
    let owners: Vec<Incarnation> = (1..=OWNERS).collect();
    edit::assign_unowned(&adopted, SERVICE, &owners, 11).expect("keys to divide")
}

/// Returns the edit by which the oldest live owner removes `lost`.
fn expulsion(map: &RangeMap, lost: Incarnation) -> MapEdit {
    let live: Vec<HolderCandidate> = (lost + 1..=OWNERS).map(candidate).collect();
    let own = MemberRecord {
        incarnation: lost + 1,
        node: "node".into(),
        address: live[0].address,
        service: SERVICE.into(),
        domain: "a".into(),
    };
    let services = [SERVICE.into()];
    let term = map.holder(lost).expect("a holder").term;
    MapReconciler::new(&own, map, &services, &live)
        .expel(lost, term, std::time::Duration::from_secs(1))
        .expect("an expulsion")
}

/// Guards against a map that grows with the square of the fleet: when 26 of 120
/// owners left, each divided its keys among all others. Edits of that size fit into no
/// datagram, so that all sidecars fetched the whole map from the one that wrote it.
#[test]
fn the_loss_of_owners_adds_few_ranges_to_the_map_of_a_large_fleet() {
    let mut map = shared_map();
    for lost in 1..=LOST {
        let before = map.service(SERVICE).expect("the service").ranges.len();
        let edit = expulsion(&map, lost);

        let at = 100 + lost;
        map = edit.apply(&map, at).expect("an edit that applies");

        let ranges = &map.service(SERVICE).expect("the service").ranges;
        assert!(ranges.iter().all(|range| range.owner.is_some()));
        let added = ranges.len().saturating_sub(before);
        assert!(added <= MAX_ADDED_RANGES, "{added} ranges added");
        let news = PeerDatagram::MapEdited {
            base: at - 1,
            at,
            edit,
        };
        assert!(encode_datagram(&news).is_ok(), "the edit fits no datagram");
    }
}

#[test]
fn all_keys_together_are_divided_among_all_holders() {
    let holders: Vec<Incarnation> = (1..=OWNERS).collect();

    assert_eq!(edit::choose_targets(&holders, 1 << 16, 7), holders);
    assert_eq!(edit::choose_targets(&holders[..5], 13_000, 7), holders[..5]);
}

/// Each holder gets about as many of the keys of lost owners as any other.
#[test]
fn keys_of_several_owners_spread_over_all_holders() {
    let holders: Vec<Incarnation> = (1..=OWNERS).collect();
    let share = (1 << 16) / OWNERS as u32;

    let chosen: Vec<Incarnation> = (0..OWNERS)
        .flat_map(|seed| edit::choose_targets(&holders, share, seed))
        .collect();

    let most = holders
        .iter()
        .map(|holder| chosen.iter().filter(|target| *target == holder).count())
        .max();
    assert!(most <= Some(20), "{most:?} of {}", chosen.len());
}
