//! Which announcements come from an upstream process that has departed.

use buckthornwinch::upstream::departure::DepartedUpstream;
use buckthornwinch::upstream::departure::DepartureList;
use buckthornwinch::upstream::departure::MAX_DEPARTURES;

fn departed(instance: &str, started: Option<u64>, departed_unix_ms: u64) -> DepartedUpstream {
    DepartedUpstream {
        instance: instance.into(),
        started_unix_ms: started,
        departed_unix_ms,
    }
}

fn list(departures: &[DepartedUpstream]) -> DepartureList {
    let mut list = DepartureList::default();
    list.merge(departures);
    list
}

#[test]
fn announcements_of_the_departed_process_and_earlier_ones_are_recognised() {
    let list = list(&[departed("a", Some(500), 900)]);

    assert!(list.includes("a", Some(500), 40));
    assert!(list.includes("a", Some(500), 1), "the first one, very late");
    assert!(list.includes("a", Some(200), 7));
    assert!(!list.includes("b", Some(500), 40));
}

/// The clock of the VM may be ahead of the upstream's, so that a process seems to have
/// started before its predecessor departed.
#[test]
fn a_later_process_under_the_same_name_is_not_taken_for_the_departed_one() {
    let list = list(&[departed("a", Some(500), 9_000)]);

    assert!(!list.includes("a", Some(600), 1));
    assert!(!list.includes("a", Some(600), 40));
}

#[test]
fn without_a_known_start_a_later_process_shows_by_its_start_or_its_numbers() {
    let list = list(&[departed("a", None, 900)]);

    assert!(list.includes("a", Some(500), 40));
    assert!(list.includes("a", None, 40));
    assert!(!list.includes("a", Some(1_000), 40));
    assert!(!list.includes("a", Some(500), 2));
}

#[test]
fn a_merge_tells_whether_it_brings_news() {
    let mut list = list(&[departed("a", Some(500), 900)]);

    assert!(!list.merge(&[departed("a", Some(500), 950)]));
    assert!(list.merge(&[departed("a", Some(600), 950)]));
    assert!(list.merge(&[departed("b", None, 960)]));
    assert!(!list.merge(&[departed("b", None, 960)]));
}

/// Without this, a peer would return a departure that was dropped with every report.
#[test]
fn a_full_list_lacks_nothing() {
    let many: Vec<_> = (0..20)
        .map(|number| departed("a", Some(number), 100 + number))
        .collect();
    let full = list(&many);

    assert_eq!(full.entries().len(), MAX_DEPARTURES);
    assert!(full.includes("a", Some(19), 5), "the newest are kept");
    assert_eq!(list(&many[..3]).missing_in(full.entries()), []);
    assert_eq!(list(&many[..3]).missing_in(&many[1..2]).len(), 2);
}
