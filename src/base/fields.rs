//! Tables of fields: what each field of a document allows and is for.
//!
//! Checks, printed defaults and the operators' pages all follow such tables.

use serde_norway::Value;

use super::document::DocumentFault;
use super::document::RequiredField;
use super::document::excerpt;
use super::document::find_value;

/// Longest name of a node, region, failure domain or declared object.
const NAME_LENGTH: usize = 63;

/// What a field allows.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AllowedValues {
    /// A name of lower-case letters, digits and hyphens.
    Name,
    /// A list of such names.
    Names,
    /// An IP address and port.
    SocketAddress,
    /// A list of IP addresses with ports.
    SocketAddresses,
    /// An `http` or `https` URL.
    Url,
    /// A whole number between two bounds, both allowed.
    Number {
        /// The least.
        min: u64,
        /// The greatest.
        max: u64,
    },
    /// A power of two up to a bound.
    PowerOfTwo {
        /// The greatest.
        max: u64,
    },
    /// One of some words.
    OneOf(&'static [&'static str]),
    /// True or false.
    Boolean,
}

impl AllowedValues {
    /// Describes what is allowed, for faults and for the operators' pages.
    pub fn describe(self) -> Box<str> {
        match self {
            Self::Name => "lower-case letters, digits and hyphens, at most 63".into(),
            Self::Names => "a list of names of lower-case letters, digits and hyphens".into(),
            Self::SocketAddress => "an IP address and port, as 10.0.0.7:7000".into(),
            Self::SocketAddresses => "a list of IP addresses and ports".into(),
            Self::Url => "an http or https URL".into(),
            Self::Number { min, max } => format!("{min} to {max}").into(),
            Self::PowerOfTwo { max } => format!("a power of two, 1 to {max}").into(),
            Self::OneOf(words) => words.join(", ").into(),
            Self::Boolean => "true, false".into(),
        }
    }

    /// Returns a value, in YAML, that stands in for a required field with a
    /// fault.
    const fn placeholder(self) -> &'static str {
        match self {
            Self::Name => "placeholder",
            Self::Names | Self::SocketAddresses => "[]",
            Self::SocketAddress => "127.0.0.1:0",
            Self::Url => "http://127.0.0.1",
            Self::Number { .. } | Self::PowerOfTwo { .. } => "1",
            Self::OneOf(words) => words[0],
            Self::Boolean => "true",
        }
    }

    /// Returns what is wrong with a readable value.
    fn problem(self, value: &Value) -> Option<&'static str> {
        match self {
            Self::Number { min, max } => value
                .as_u64()
                .is_none_or(|number| number < min || number > max)
                .then_some("is out of range"),
            Self::PowerOfTwo { max } => value
                .as_u64()
                .is_none_or(|number| !number.is_power_of_two() || number > max)
                .then_some("is not such a number"),
            Self::Name => value
                .as_str()
                .is_none_or(|name| !is_valid_name(name))
                .then_some("is not a valid name"),
            Self::Names => value
                .as_sequence()
                .is_none_or(|names| !names.iter().all(is_name_value))
                .then_some("holds a name that is not valid"),
            Self::Url => value
                .as_str()
                .is_none_or(|url| !is_http_url(url))
                .then_some("is not a valid URL"),
            Self::SocketAddress | Self::SocketAddresses | Self::OneOf(_) | Self::Boolean => None,
        }
    }
}

/// One field of a document.
#[derive(Debug, Clone, Copy)]
pub struct FieldRule {
    /// Path of the field, its names separated by dots.
    pub path: &'static str,
    /// What it allows.
    pub allowed: AllowedValues,
    /// Whether the document must give it.
    pub required: bool,
    /// What it is for, with its unit.
    pub meaning: &'static str,
}

impl FieldRule {
    /// A field that the document must give.
    pub const fn required(
        path: &'static str,
        allowed: AllowedValues,
        meaning: &'static str,
    ) -> Self {
        Self {
            path,
            allowed,
            required: true,
            meaning,
        }
    }

    /// A field that has a default.
    pub const fn optional(
        path: &'static str,
        allowed: AllowedValues,
        meaning: &'static str,
    ) -> Self {
        Self {
            path,
            allowed,
            required: false,
            meaning,
        }
    }
}

/// Returns the required fields of a table, for reading a document.
pub fn required_fields(table: &[FieldRule]) -> Vec<RequiredField> {
    table
        .iter()
        .filter(|rule| rule.required)
        .map(|rule| RequiredField {
            path: rule.path,
            placeholder: rule.allowed.placeholder(),
        })
        .collect()
}

/// Adds a fault for each readable field that is not allowed.
///
/// A field that has a fault already is left alone.
pub fn check_fields(
    place: &str,
    table: &[FieldRule],
    tree: &Value,
    faults: &mut Vec<DocumentFault>,
) {
    for rule in table {
        let known = faults
            .iter()
            .any(|fault| &*fault.location == place && list_path(&fault.path) == rule.path);
        let value = find_value(tree, rule.path).filter(|_| !known);
        let fault = value.and_then(|value| {
            let problem = rule.allowed.problem(value)?;
            Some(DocumentFault::field(
                place,
                rule.path,
                Some(excerpt(value)),
                problem,
            ))
        });
        faults.extend(fault);
    }
}

/// Adds what is allowed to each fault that does not tell it yet.
pub fn fill_in_allowed(table: &[FieldRule], faults: &mut [DocumentFault]) {
    for fault in faults {
        let rule = table
            .iter()
            .find(|rule| rule.path == list_path(&fault.path));
        if let (None, Some(rule)) = (&fault.allowed, rule) {
            fault.allowed = Some(rule.allowed.describe());
        }
    }
}

/// Tells whether a name has only lower-case letters, digits and hyphens, and
/// is neither empty nor too long.
pub fn is_valid_name(name: &str) -> bool {
    let allowed = |byte: u8| byte.is_ascii_lowercase() || byte.is_ascii_digit() || byte == b'-';
    !name.is_empty() && name.len() <= NAME_LENGTH && name.bytes().all(allowed)
}

fn is_name_value(value: &Value) -> bool {
    value.as_str().is_some_and(is_valid_name)
}

/// The path of the list that an element belongs to; other paths as they are.
fn list_path(path: &str) -> &str {
    path.split('[').next().unwrap_or(path)
}

fn is_http_url(text: &str) -> bool {
    reqwest::Url::parse(text)
        .is_ok_and(|url| matches!(url.scheme(), "http" | "https") && url.has_host())
}
