//! The text of `winchd --print-defaults`.

use std::fmt::Write;

use serde_norway::Value;

use super::LogSettings;
use super::NodeSettings;
use super::fields::SETTING_FIELDS;
use super::sections::AddressSettings;
use crate::base::document::excerpt;
use crate::base::document::find_value;
use crate::base::fields::FieldRule;

/// Returns a settings file with every setting, its default and a comment.
///
/// Required settings have an example as their value. The text is a valid
/// settings file.
pub fn print_defaults() -> String {
    let tree = serde_norway::to_value(example_settings()).unwrap_or_default();
    let mut text = String::new();
    let mut section = "";
    for field in SETTING_FIELDS {
        let (parent, name) = field.path.rsplit_once('.').unwrap_or(("", field.path));
        if parent != section && !parent.is_empty() {
            let _ = writeln!(text, "\n{parent}:");
        }
        section = parent;
        let indent = if parent.is_empty() { "" } else { "  " };
        let value = find_value(&tree, field.path).unwrap_or(&Value::Null);
        let _ = writeln!(text, "{indent}# {}", comment(field));
        let _ = writeln!(text, "{indent}{name}: {}", excerpt(value));
    }
    text
}

/// Returns the default of a setting in YAML; none for a required one.
pub fn default_text(field: &FieldRule) -> Option<Box<str>> {
    let tree = serde_norway::to_value(example_settings()).unwrap_or_default();
    if field.required {
        return None;
    }
    find_value(&tree, field.path).map(excerpt)
}

fn comment(field: &FieldRule) -> String {
    let prefix = if field.required { "required: " } else { "" };
    format!("{prefix}{} ({})", field.meaning, field.allowed.describe())
}

fn example_settings() -> NodeSettings {
    let address = |port| std::net::SocketAddr::from(([10, 0, 0, 7], port));
    NodeSettings::builder()
        .node("catalogue-1")
        .region("yeongnam")
        .failure_domain("daegu-a")
        .addresses(AddressSettings {
            callers: address(7000),
            peers: address(7001),
            operators: address(7002),
            local: address(7003),
        })
        .log(
            LogSettings::builder()
                .address("http://10.0.0.2:9000")
                .build(),
        )
        .build()
}
