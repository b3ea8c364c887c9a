//! Tests of the feedback loop between owner and entries: the owner reports the
//! admitted fraction of a class, and the entries refuse the rest, evenly
//! spaced.

use std::time::Duration;

use buckthornwinch::admission::entry_limiter::EntryLimiter;
use buckthornwinch::admission::load::ClassRate;
use buckthornwinch::admission::load::OwnerLoad;
use buckthornwinch::admission::rate_meter::RateMeter;

const START: Duration = Duration::from_secs(1);
const WINDOW: Duration = Duration::from_millis(250);
const OWNER: u64 = 9;
const CLASS: u32 = 77;
/// Requests that the owner can start in a window.
const CAPACITY: u32 = 100;

/// One owner and several entries, simulated window by window.
struct RateFeedback {
    meter: RateMeter,
    entries: Vec<EntryLimiter>,
    now: Duration,
}

impl RateFeedback {
    fn new(entries: usize) -> Self {
        Self {
            meter: RateMeter::new(CLASS),
            entries: (0..entries).map(|_| EntryLimiter::new()).collect(),
            now: START,
        }
    }

    /// Offers requests to the entries in turn for one window. Returns how many
    /// reached the owner and how many it started.
    fn window(&mut self, offered: u32) -> (u32, u32) {
        let mut arrived = 0;
        let entries = self.entries.len();
        for request in 0..offered {
            let entry = &mut self.entries[request as usize % entries];
            if entry.admit(self.now, OWNER, CLASS).is_err() {
                continue;
            }
            arrived += 1;
            self.meter.count_offered();
            if arrived <= CAPACITY {
                self.meter.count_started();
            } else {
                self.meter.count_refused();
            }
        }
        self.now += WINDOW;
        let rate = self.meter.end_window(WINDOW);
        for entry in &mut self.entries {
            entry.update(self.now, OWNER, &load(rate));
        }
        (arrived, arrived.min(CAPACITY))
    }
}

fn load(rate: ClassRate) -> OwnerLoad {
    let mut load = OwnerLoad::default();
    load.rates[0] = rate;
    load
}

fn report(admitted_permille: u16) -> OwnerLoad {
    load(ClassRate {
        class: CLASS,
        admitted_per_second: 1,
        admitted_permille,
    })
}

#[test]
fn entries_refuse_a_flood_and_the_owner_stays_fully_used() {
    let mut rates = RateFeedback::new(7);
    let normal = rates.window(CAPACITY / 2);
    rates.window(CAPACITY * 10);
    rates.window(CAPACITY * 10);

    let flood: Vec<(u32, u32)> = (0..20).map(|_| rates.window(CAPACITY * 10)).collect();

    assert_eq!(normal, (50, 50));
    for (arrived, started) in flood {
        assert_eq!(started, CAPACITY);
        assert!(arrived <= CAPACITY * 3 / 2, "{arrived}");
    }
}

#[test]
fn after_a_flood_all_requests_are_admitted_again() {
    let mut rates = RateFeedback::new(3);
    for _ in 0..10 {
        rates.window(CAPACITY * 10);
    }

    let recovery: Vec<u32> = (0..12).map(|_| rates.window(CAPACITY / 2).0).collect();

    assert_eq!(recovery.last(), Some(&(CAPACITY / 2)), "{recovery:?}");
}

#[test]
fn an_entry_without_reports_admits_all_requests_again() {
    let mut limiter = EntryLimiter::new();
    limiter.update(START, OWNER, &report(10));
    let later = START + Duration::from_secs(3);

    let admitted = (0..50).filter(|_| limiter.admit(later, OWNER, CLASS).is_ok());

    assert_eq!(admitted.count(), 50);
}

#[test]
fn other_classes_and_owners_are_not_limited() {
    let mut limiter = EntryLimiter::new();
    limiter.update(START, OWNER, &report(10));
    limiter.admit(START, OWNER, CLASS).unwrap();

    let refused = limiter.admit(START, OWNER, CLASS);
    let other_class = limiter.admit(START, OWNER, CLASS + 1);
    let other_owner = limiter.admit(START, OWNER + 1, CLASS);

    assert_eq!((other_class, other_owner), (Ok(()), Ok(())));
    refused.unwrap_err();
}

#[test]
fn retry_times_are_jittered_and_grow_with_the_flood() {
    let refused_by = |permille| {
        let mut limiter = EntryLimiter::new();
        limiter.update(START, OWNER, &report(permille));
        let results: Vec<_> = (0..40)
            .map(|_| limiter.admit(START, OWNER, CLASS))
            .collect();
        results
            .into_iter()
            .filter_map(Result::err)
            .collect::<Vec<_>>()
    };

    let light = refused_by(500);
    let heavy = refused_by(20);

    let mut distinct = heavy.clone();
    distinct.sort();
    distinct.dedup();
    assert!(distinct.len() > heavy.len() / 2, "{distinct:?}");
    assert!(light.iter().max() < heavy.iter().min());
    assert!(heavy.iter().all(|time| *time <= Duration::from_secs(8)));
}
