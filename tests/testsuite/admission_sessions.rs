//! Snapshot tests of an owner under overload, during recovery and while it
//! drains.

use std::collections::BTreeMap;
use std::fmt::Write;
use std::time::Duration;

use buckthornwinch::delivery::message::RequestResult;
use buckthornwinch::delivery::message::RoutedRequest;
use tokio::task::JoinHandle;
use tokio::time::Instant;
use winch_test_support::owner::FakeReply;
use winch_test_support::owner::OwnerFixture;
use winch_test_support::owner::order;
use winch_test_support::owner::owner_fixture;

const SERVICE_TIME: Duration = Duration::from_millis(10);
const PHASE: Duration = Duration::from_secs(1);

/// Results that the callers of one class got in a phase.
#[derive(Default)]
struct ClassResults {
    results: BTreeMap<&'static str, u32>,
    /// Times to a response, and times to a refusal.
    times: [Vec<Duration>; 2],
}

impl ClassResults {
    fn add(&mut self, result: &RequestResult, time: Duration) {
        let name = match result {
            Ok(_) => "answered",
            Err(failed) => failed.kind.response().slug,
        };
        *self.results.entry(name).or_default() += 1;
        self.times[usize::from(result.is_err())].push(time);
    }
}

fn percentile_99(times: &mut [Duration]) -> Duration {
    times.sort();
    let last = (times.len() * 99).div_ceil(100);
    last.checked_sub(1)
        .map_or(Duration::ZERO, |last| times[last])
}

/// Sends requests for one phase, evenly spaced, at a rate per second for each
/// class. Returns one line of results per class.
async fn phase(fixture: &OwnerFixture, rates: &[(&'static str, u32)]) -> String {
    let mut sent: Vec<(&str, JoinHandle<(RequestResult, Duration)>)> = Vec::new();
    let steps = PHASE.as_millis() as u32;
    for step in 0..steps {
        for (class, rate) in rates {
            let due = rate * (step + 1) / steps - rate * step / steps;
            for _ in 0..due {
                sent.push((class, send(fixture, class, sent.len())));
            }
        }
        tokio::time::sleep(Duration::from_millis(1)).await;
    }
    let mut results_by_class: BTreeMap<&str, ClassResults> = BTreeMap::new();
    for (class, task) in sent {
        let (result, time) = task.await.unwrap();
        results_by_class
            .entry(class)
            .or_default()
            .add(&result, time);
    }
    let mut text = String::new();
    for (class, rate) in rates {
        let class_results = results_by_class.entry(class).or_default();
        let [answered, refused] = &mut class_results.times;
        let (answered, refused) = (percentile_99(answered), percentile_99(refused));
        writeln!(
            text,
            "{class}: {rate}/s, {:?}, p99 to an answer {answered:?}, to a refusal {refused:?}",
            class_results.results
        )
        .unwrap();
    }
    text
}

fn send(
    fixture: &OwnerFixture,
    class: &str,
    number: usize,
) -> JoinHandle<(RequestResult, Duration)> {
    let request = RoutedRequest {
        remaining: None,
        target: None,
        caller: format!("caller-{}", number % 50).into(),
        ..order(class, "/")
    };
    let handling = fixture.spawn(request);
    tokio::spawn(async move {
        let sent = Instant::now();
        let result = handling.await.unwrap();
        (result, sent.elapsed())
    })
}

/// The owner has 10 slots and requests take 10 ms: its capacity is 1,000
/// requests per second. A flood of the lowest class must cause no refusals in
/// the others, a flood of a high class must leave the others their shares, and
/// after each flood every request must be answered again.
#[tokio::test(start_paused = true)]
async fn floods_of_low_and_high_classes_and_the_recovery() {
    let fixture = owner_fixture(10, FakeReply::Answer(SERVICE_TIME)).await;
    let calm = [
        ("checks", 20),
        ("lookups", 400),
        ("orders", 200),
        ("reports", 100),
    ];
    let low = [
        ("checks", 20),
        ("lookups", 400),
        ("orders", 200),
        ("reports", 10_000),
    ];
    let high = [
        ("checks", 20),
        ("lookups", 10_000),
        ("orders", 400),
        ("reports", 200),
    ];

    let mut session = String::new();
    for (name, rates) in [
        ("calm", calm),
        ("flood of reports", low),
        ("calm again", calm),
        ("flood of lookups", high),
        ("recovered", calm),
    ] {
        writeln!(session, "{name}").unwrap();
        session.push_str(&phase(&fixture, &rates).await);
    }

    insta::assert_snapshot!(session);
}

/// A draining owner refuses new requests at once and still answers those it had
/// admitted.
#[tokio::test(start_paused = true)]
async fn a_drain_under_load() {
    let fixture = owner_fixture(10, FakeReply::Answer(SERVICE_TIME)).await;
    let rates = [("lookups", 400), ("orders", 200), ("reports", 500)];
    let mut session = String::new();

    writeln!(session, "before").unwrap();
    session.push_str(&phase(&fixture, &rates).await);
    let waiting: Vec<_> = (0..15)
        .map(|number| send(&fixture, "reports", number))
        .collect();
    tokio::time::sleep(Duration::from_millis(1)).await;
    fixture.owner.drain();
    writeln!(session, "draining").unwrap();
    session.push_str(&phase(&fixture, &rates).await);
    fixture.owner.wait_idle().await;
    let mut admitted = ClassResults::default();
    for task in waiting {
        let (result, time) = task.await.unwrap();
        admitted.add(&result, time);
    }
    writeln!(session, "admitted before: {:?}", admitted.results).unwrap();
    let load = fixture.owner.load();
    writeln!(
        session,
        "left: {} running, {} waiting",
        load.running, load.waiting
    )
    .unwrap();

    insta::assert_snapshot!(session);
}
