//! A settings file is either loaded or refused with every fault listed, and the
//! table of settings matches their types.

use std::collections::BTreeSet;
use std::time::Duration;

use buckthornwinch::base::document::DocumentFault;
use buckthornwinch::settings::NodeSettings;
use buckthornwinch::settings::fields::SETTING_FIELDS;
use buckthornwinch::settings::print_defaults;
use serde_norway::Value;

/// A settings file with only the required settings.
const MINIMAL: &str = "
node: orders-1
region: yeongnam
failure_domain: busan
addresses:
  callers: 10.0.0.7:7000
  peers: 10.0.0.7:7001
  operators: 10.0.0.7:7002
  local: 127.0.0.1:7003
log:
  address: http://10.0.0.2:9000
";

fn faults_of(text: &str) -> String {
    let faults = NodeSettings::parse("winchd.yaml", text).expect_err("the text has faults");
    let lines: Vec<String> = faults.iter().map(DocumentFault::to_string).collect();
    lines.join("\n")
}

fn leaf_paths(value: &Value, prefix: &str, paths: &mut BTreeSet<String>) {
    let Value::Mapping(mapping) = value else {
        paths.insert(prefix.to_owned());
        return;
    };
    for (key, value) in mapping {
        let name = key.as_str().expect("every name is text");
        let path = if prefix.is_empty() {
            name.to_owned()
        } else {
            format!("{prefix}.{name}")
        };
        leaf_paths(value, &path, paths);
    }
}

#[test]
fn a_file_with_only_required_settings_takes_every_default() {
    let settings = NodeSettings::parse("winchd.yaml", MINIMAL).expect("the text is valid");

    assert_eq!(&*settings.node, "orders-1");
    assert_eq!(settings.lease.renew_interval, Duration::from_millis(150));
    assert_eq!(settings.lease.lease, Duration::from_millis(700));
    assert_eq!(settings.log.append_timeout, Duration::from_secs(1));
    assert!(settings.peers.is_empty());
}

#[test]
fn an_empty_file_lists_every_required_field() {
    let faults = NodeSettings::parse("winchd.yaml", "").expect_err("nothing is given");

    let paths: Vec<&str> = faults.iter().map(|fault| &*fault.path).collect();
    let required: Vec<&str> = SETTING_FIELDS
        .iter()
        .filter(|field| field.required)
        .map(|field| field.path)
        .collect();
    assert_eq!(paths, required);
}

#[test]
fn every_fault_of_a_file_is_listed_at_once() {
    let text = "
node: Orders 1
region: yeongnam
addresses:
  callers: here
  peers: 0.0.0.0:7001
  operators: 10.0.0.7:7002
  local: 10.0.0.7:7002
peers: [10.0.0.8:7001, nowhere]
log:
  address: ftp://10.0.0.2
  append_timeout_ms: soon
  retries: 4
limits:
  max_body_bytes: -1
  max_connections: 0
lease:
  renew_interval_ms: 400
logging:
  format: xml
colour: red
";

    let faults = faults_of(text);

    insta::assert_snapshot!(faults);
}

/// A body that never finds room would be refused each time it is sent again.
#[test]
fn bodies_and_outcomes_that_the_memory_does_not_bear_are_faults() {
    let limits = "limits:\n  memory_bytes: 160000000\n  max_body_bytes: 67108864\n  \
                  outcome_bytes: 67108864\n";

    let faults = faults_of(&format!("{MINIMAL}{limits}"));

    insta::assert_snapshot!(faults);
}

#[test]
fn text_that_is_not_yaml_is_refused_with_its_line() {
    let faults = faults_of("node: orders-1\nnode: orders-2\n");

    insta::assert_snapshot!(faults);
}

#[test]
fn printed_defaults_can_be_loaded_and_are_the_defaults() {
    let text = print_defaults();

    let printed = NodeSettings::parse("defaults", &text).expect("the defaults are valid");
    let minimal = NodeSettings::parse("winchd.yaml", MINIMAL).expect("the text is valid");
    assert_eq!(printed.log.read_timeout, minimal.log.read_timeout);
    assert_eq!(printed.limits, minimal.limits);
    assert_eq!(printed.lease, minimal.lease);
    assert_eq!(printed.logging, minimal.logging);
    assert_eq!(printed.drain, minimal.drain);
    insta::assert_snapshot!(text);
}

#[test]
fn the_table_names_every_field_and_no_other() {
    let settings = NodeSettings::parse("winchd.yaml", MINIMAL).expect("the text is valid");
    let tree = serde_norway::to_value(settings).expect("settings can be written");

    let mut paths = BTreeSet::new();
    leaf_paths(&tree, "", &mut paths);

    let table: BTreeSet<String> = SETTING_FIELDS
        .iter()
        .map(|field| field.path.to_owned())
        .collect();
    assert_eq!(table, paths);
}
