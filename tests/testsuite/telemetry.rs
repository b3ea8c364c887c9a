//! Metrics: the exported text must match the catalogue, and requests must be
//! counted under the right outcome and error kind.

use std::collections::BTreeSet;
use std::time::Duration;

use buckthornwinch::base::error::ErrorKind;
use buckthornwinch::telemetry::METRIC_CATALOGUE;
use buckthornwinch::telemetry::metrics::MetricRegistry;

#[test]
fn the_exported_text_matches_the_catalogue() {
    let registry = MetricRegistry::new();
    let _class = registry.class("lookups");
    registry.planner.set_imbalance("catalogue", 0.25);

    let text = registry.encode();

    let written: BTreeSet<String> = text
        .lines()
        .filter_map(|line| line.strip_prefix("# TYPE "))
        .map(ToOwned::to_owned)
        .collect();
    let catalogue: BTreeSet<String> = METRIC_CATALOGUE
        .iter()
        .map(|metric| format!("{} {}", metric.name, metric.kind.as_str()))
        .collect();
    assert_eq!(written, catalogue);
}

#[test]
fn a_failed_request_is_counted_by_outcome_and_kind() {
    let registry = MetricRegistry::new();
    let class = registry.class("orders");

    class.count_error(ErrorKind::ConnectionLost, Duration::from_millis(3));
    class.count_answer(Duration::from_millis(2));

    let text = registry.encode();
    for line in [
        r#"winch_requests_total{class="orders",outcome="answered"} 1"#,
        r#"winch_requests_total{class="orders",outcome="not-run"} 0"#,
        r#"winch_requests_total{class="orders",outcome="unknown"} 1"#,
        r#"winch_request_errors_total{class="orders",error="connection-lost"} 1"#,
        r#"winch_request_seconds_count{class="orders"} 2"#,
    ] {
        assert!(text.contains(line), "{line} is missing in\n{text}");
    }
}

#[test]
fn a_request_counts_as_stalled_until_it_finds_an_owner() {
    let routing = MetricRegistry::new().routing;

    let first = routing.stall();
    let second = routing.stall();
    let both = routing.stalled.get();
    drop((first, second));

    assert_eq!(both, 2);
    assert_eq!(routing.stalled.get(), 0);
    assert_eq!(routing.stalls.get(), 2);
}
