//! Tables that describe the fields of a document: allowed values and meaning.
//!
//! Validation, the printed defaults and the operators' pages are derived from
//! these tables.

use serde_norway::Value;

use super::document::DocumentFault;
use super::document::RequiredField;
use super::document::excerpt;
use super::document::find_value;

/// Maximum length of the name of a node, region, failure domain or declared
/// object, in bytes.
const MAX_NAME_LENGTH: usize = 63;

/// The values that a field allows.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AllowedValues {
    /// A name of lower-case letters, digits and hyphens.
    Name,
    /// A list of names as in [`Self::Name`].
    Names,
    /// An IP address with a port.
    SocketAddress,
    /// A list of IP addresses with ports.
    SocketAddresses,
    /// An `http` or `https` URL.
    Url,
    /// An integer in an inclusive range.
    Number {
        /// Smallest allowed value.
        min: u64,
        /// Greatest allowed value.
        max: u64,
    },
    /// A power of two from 1 to a maximum.
    PowerOfTwo {
        /// Greatest allowed value.
        max: u64,
    },
    /// One of the listed words.
    OneOf(&'static [&'static str]),
    /// `true` or `false`.
    Boolean,
}

impl AllowedValues {
    /// Describes the allowed values for faults, the printed defaults and the
    /// operators' pages.
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

    /// Returns an allowed value, in YAML, that replaces a missing or faulty
    /// required field.
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

    /// Returns what is wrong with a value; none if it is allowed. Checks nothing
    /// that deserialization checks already.
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

/// Describes one field of a document.
#[derive(Debug, Clone, Copy)]
pub struct FieldRule {
    /// Path of the field: names separated by dots.
    pub path: &'static str,
    /// Which values are allowed.
    pub allowed: AllowedValues,
    /// Whether the document must contain the field.
    pub required: bool,
    /// What the field means, with its unit.
    pub meaning: &'static str,
}

impl FieldRule {
    /// Describes a field that the document must contain.
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

    /// Describes a field that has a default.
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

/// Returns the required fields of a table, as
/// [`read_document`](super::document::read_document) takes them.
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

/// Adds a fault for each field of `tree` whose value is not allowed.
///
/// Skips a field for which `faults` has a fault at `location` already: its value
/// may be a placeholder.
pub fn check_fields(
    location: &str,
    table: &[FieldRule],
    tree: &Value,
    faults: &mut Vec<DocumentFault>,
) {
    for rule in table {
        let has_fault = faults
            .iter()
            .any(|fault| &*fault.location == location && list_path(&fault.path) == rule.path);
        let value = find_value(tree, rule.path).filter(|_| !has_fault);
        let fault = value.and_then(|value| {
            let problem = rule.allowed.problem(value)?;
            Some(DocumentFault::field(
                location,
                rule.path,
                Some(excerpt(value)),
                problem,
            ))
        });
        faults.extend(fault);
    }
}

/// Sets the allowed values of each fault that does not have them yet, if `table`
/// describes its field.
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

/// Returns whether a name consists of 1 to 63 lower-case letters, digits and
/// hyphens.
pub fn is_valid_name(name: &str) -> bool {
    let allowed = |byte: u8| byte.is_ascii_lowercase() || byte.is_ascii_digit() || byte == b'-';
    !name.is_empty() && name.len() <= MAX_NAME_LENGTH && name.bytes().all(allowed)
}

fn is_name_value(value: &Value) -> bool {
    value.as_str().is_some_and(is_valid_name)
}

/// Returns the path of the list if `path` is that of an element, and `path`
/// itself otherwise.
fn list_path(path: &str) -> &str {
    path.split('[').next().unwrap_or(path)
}

fn is_http_url(text: &str) -> bool {
    reqwest::Url::parse(text)
        .is_ok_and(|url| matches!(url.scheme(), "http" | "https") && url.has_host())
}
