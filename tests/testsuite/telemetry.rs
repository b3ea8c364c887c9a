//! Metrics follow their catalogue.

use std::collections::BTreeSet;
use std::time::Duration;

use buckthornwinch::base::error::ErrorKind;
use buckthornwinch::telemetry::METRIC_CATALOGUE;
use buckthornwinch::telemetry::metrics::MetricRegistry;

#[test]
fn the_text_holds_exactly_the_catalogue() {
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
fn unavailable_time_counts_each_step_once() {
    let registry = MetricRegistry::new();
    let class = registry.class("lookups");
    let at = |milliseconds| Duration::from_millis(milliseconds);

    class.count_error_at(ErrorKind::NoOwner, at(1), at(20));
    class.count_error_at(ErrorKind::LeaseLapsed, at(1), at(99));
    class.count_error_at(ErrorKind::OwnerUnreachable, at(1), at(130));
    class.count_error_at(ErrorKind::NotOwner, at(1), at(60));
    class.count_error_at(ErrorKind::Overloaded, at(1), at(500));
    class.count_error_at(ErrorKind::NoOwner, at(1), at(900));

    let unavailable = class.figures().unavailable;
    assert!((unavailable - 0.3).abs() < 1e-9, "{unavailable}");
}
