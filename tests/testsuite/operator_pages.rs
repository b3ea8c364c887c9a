//! Guards against operators' pages that differ from the code.
//!
//! Run with `WINCH_UPDATE_PAGES=1` to regenerate the blocks of the pages.

use std::collections::BTreeSet;
use std::fmt::Write;
use std::path::Path;
use std::path::PathBuf;
use std::process::Command;

use buckthornwinch::base::document::excerpt;
use buckthornwinch::base::document::find_value;
use buckthornwinch::base::error::ErrorKind;
use buckthornwinch::base::fields::FieldRule;
use buckthornwinch::declarations::document::write_declaration;
use buckthornwinch::declarations::fields::CLASS_FIELDS;
use buckthornwinch::declarations::fields::ENVELOPE_FIELDS;
use buckthornwinch::declarations::fields::RULE_FIELDS;
use buckthornwinch::declarations::fields::SERVICE_FIELDS;
use buckthornwinch::declarations::set::DeclarationSet;
use buckthornwinch::entry::headers;
use buckthornwinch::operator::client::ExitKind;
use buckthornwinch::settings::default_text;
use buckthornwinch::settings::fields::SETTING_FIELDS;
use buckthornwinch::telemetry::METRIC_CATALOGUE;

fn root() -> PathBuf {
    PathBuf::from(env!("CARGO_MANIFEST_DIR"))
}

fn page(name: &str) -> String {
    let path = root().join("docs/operators").join(name);
    std::fs::read_to_string(path).expect("the page exists")
}

/// Asserts that a block of a page equals `expected`, or replaces the block if
/// `WINCH_UPDATE_PAGES` is set.
fn check_block(name: &str, block: &str, expected: &str) {
    let text = page(name);
    let begin = format!("<!-- begin {block} -->\n");
    let end = format!("<!-- end {block} -->");
    let start = text.find(&begin).expect("the block begins") + begin.len();
    let stop = text.find(&end).expect("the block ends");
    let expected = format!("\n{}\n\n", expected.trim_end());
    if std::env::var_os("WINCH_UPDATE_PAGES").is_some() {
        let updated = [&text[..start], &expected, &text[stop..]].concat();
        let path = root().join("docs/operators").join(name);
        std::fs::write(path, updated).expect("the page can be written");
        return;
    }
    assert!(
        text[start..stop] == expected,
        "{name}: block {block} is stale; run the tests with WINCH_UPDATE_PAGES=1\n{expected}"
    );
}

fn table(header: &[&str], rows: impl IntoIterator<Item = Vec<String>>) -> String {
    let mut text = String::new();
    let _ = writeln!(text, "| {} |", header.join(" | "));
    let _ = writeln!(text, "|{}", " --- |".repeat(header.len()));
    for row in rows {
        let _ = writeln!(text, "| {} |", row.join(" | "));
    }
    text
}

fn field_table(rules: &[FieldRule], default: impl Fn(&FieldRule) -> Option<Box<str>>) -> String {
    let rows = rules.iter().map(|rule| {
        let default = if rule.required {
            "required".to_owned()
        } else {
            let text = default(rule).expect("an optional field has a default");
            format!("`{text}`")
        };
        vec![
            format!("`{}`", rule.path),
            rule.allowed.describe().into(),
            default,
            rule.meaning.to_owned(),
        ]
    });
    table(&["field", "allowed", "default", "meaning"], rows)
}

/// Builds the table of a declaration's fields. `minimal` is a document with only
/// the required fields, from which the defaults are read.
fn declaration_table(rules: &[FieldRule], minimal: &str) -> String {
    let set = DeclarationSet::parse(&[("least", minimal)]).expect("a valid document");
    let document = write_declaration(&set.declarations[0].declaration);
    field_table(rules, |rule| find_value(&document, rule.path).map(excerpt))
}

#[test]
fn the_page_of_settings_lists_every_field() {
    let expected = field_table(SETTING_FIELDS, default_text);

    check_block("settings.md", "settings", &expected);
}

#[test]
fn the_page_of_declarations_lists_every_field() {
    let service = "{ kind: Service, name: a, spec: { division: key } }";
    let class = "{ kind: PriorityClass, name: a, \
                 spec: { rank: 0, target_ms: 1, idempotent: true } }";
    let rule = "{ kind: OwnershipRule, name: a, spec: { service: a } }";

    for (block, rules, minimal) in [
        ("envelope", ENVELOPE_FIELDS, service),
        ("service", SERVICE_FIELDS, service),
        ("class", CLASS_FIELDS, class),
        ("rule", RULE_FIELDS, rule),
    ] {
        check_block("declarations.md", block, &declaration_table(rules, minimal));
    }
}

#[test]
fn the_page_of_metrics_lists_every_metric() {
    let rows = METRIC_CATALOGUE.iter().map(|metric| {
        vec![
            format!("`{}`", metric.name),
            metric.kind.as_str().to_owned(),
            metric.labels.join(", "),
            metric.help.to_owned(),
            metric.remedy.to_owned(),
        ]
    });

    let expected = table(
        &["metric", "kind", "labels", "measures", "what to do"],
        rows,
    );

    check_block("metrics.md", "metrics", &expected);
}

#[test]
fn the_page_of_errors_lists_every_kind() {
    let rows = ErrorKind::ALL.iter().map(|kind| {
        let answer = kind.response();
        vec![
            format!("`{}`", answer.slug),
            answer.status.to_string(),
            answer.outcome.as_str().to_owned(),
            if answer.retry_hint { "yes" } else { "no" }.to_owned(),
            answer.remedy.to_owned(),
        ]
    });

    let expected = table(&["kind", "status", "outcome", "retry hint", "remedy"], rows);

    check_block("errors.md", "errors", &expected);
}

#[test]
fn the_page_of_winchctl_holds_its_help_and_exit_codes() {
    let codes = ExitKind::ALL
        .iter()
        .map(|(kind, meaning)| vec![(*kind as u8).to_string(), (*meaning).to_owned()]);
    let mut help = String::new();

    for command in [
        "",
        "validate",
        "diff",
        "apply",
        "ask",
        "get",
        "status",
        "explain",
        "drain",
        "declare-lost",
        "watch",
    ] {
        let output = Command::new(env!("CARGO_BIN_EXE_winchctl"))
            .args(command.split_whitespace())
            .arg("-h")
            .output()
            .expect("winchctl can be started");
        let text = String::from_utf8_lossy(&output.stdout);
        let lines: Vec<&str> = text.lines().map(str::trim_end).collect();
        let _ = writeln!(help, "```text\n{}\n```\n", lines.join("\n"));
    }

    check_block(
        "winchctl.md",
        "exit-codes",
        &table(&["code", "meaning"], codes),
    );
    check_block("winchctl.md", "help", &help);
}

#[test]
fn the_page_of_callers_names_every_header() {
    let text = page("callers-interface.md").to_lowercase();

    for header in [
        headers::SERVICE,
        headers::KEY,
        headers::CLASS,
        headers::DEADLINE_MS,
        headers::IDEMPOTENCY_KEY,
        headers::ATTEMPT,
        headers::CALLER,
        headers::OUTCOME,
        headers::ERROR,
        headers::EPOCH,
        headers::OWNER,
        headers::RETRY_AFTER,
    ] {
        assert!(text.contains(&format!("`{header}`")), "{header}");
    }
}

fn source_files(folder: &Path, files: &mut Vec<PathBuf>) {
    for entry in std::fs::read_dir(folder).expect("the folder can be listed") {
        let path = entry.expect("the entry can be read").path();
        if path.is_dir() {
            source_files(&path, files);
        } else if path.extension().is_some_and(|extension| extension == "rs") {
            files.push(path);
        }
    }
}

/// Returns the message of each log call up to its first colon. If the call has
/// fields, the message follows them.
fn log_prefixes(source: &str) -> Vec<String> {
    let mut prefixes = Vec::new();
    for level in ["error", "warn", "info", "debug", "trace"] {
        let start = format!("log::{level}!(");
        for call in source.split(start.as_str()).skip(1) {
            let call = call.trim_start();
            let text = match call.split_once(';') {
                Some((_fields, text)) if !call.starts_with('"') => text.trim_start(),
                _ => call,
            };
            let text = text.trim_start_matches('"');
            prefixes.extend(text.split(':').next().map(ToOwned::to_owned));
        }
    }
    prefixes
}

#[test]
fn the_page_of_logs_lists_every_prefix() {
    let mut files = Vec::new();
    source_files(&root().join("src"), &mut files);

    let mut written = BTreeSet::new();
    for file in files {
        let source = std::fs::read_to_string(file).expect("the source can be read");
        written.extend(log_prefixes(&source));
    }

    let listed: BTreeSet<String> = page("logs.md")
        .lines()
        .filter_map(|line| line.strip_prefix("| `")?.split_once(":`"))
        .map(|(prefix, _)| prefix.to_owned())
        .collect();
    assert_eq!(written, listed);
}
