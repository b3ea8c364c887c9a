//! Reads one YAML document into a type and lists every fault in it.
//!
//! `serde` stops at the first fault. [`read_document`] notes it, takes the
//! faulty value out of the tree (a required one is replaced by a placeholder)
//! and reads again, until the rest can be read. A document with any fault is
//! refused whole, so placeholders are never used.

use std::fmt;
use std::fmt::Display;
use std::fmt::Formatter;
use std::fmt::Write;

use serde::de::DeserializeOwned;
use serde_norway::Mapping;
use serde_norway::Value;
use serde_path_to_error::Path;
use serde_path_to_error::Segment;

/// Longest excerpt of a wrong value in a fault, in characters.
const EXCERPT_LENGTH: usize = 60;

/// One fault of a document.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct DocumentFault {
    /// The file, with the number of the document in it where it has several.
    pub location: Box<str>,
    /// Path of the field, such as `lease.margin_ms`; empty for the document.
    pub path: Box<str>,
    /// The wrong value, cut to one line; none when it is missing.
    pub value: Option<Box<str>>,
    /// What is wrong.
    pub problem: Box<str>,
    /// What is allowed, where a table tells it.
    pub allowed: Option<Box<str>>,
}

impl DocumentFault {
    /// Creates a fault of a whole document.
    pub fn whole(place: &str, problem: impl Into<Box<str>>) -> Self {
        Self {
            location: place.into(),
            path: Box::default(),
            value: None,
            problem: problem.into(),
            allowed: None,
        }
    }

    /// Creates a fault of a field.
    pub fn field(
        place: &str,
        path: &str,
        value: Option<Box<str>>,
        problem: impl Into<Box<str>>,
    ) -> Self {
        Self {
            location: place.into(),
            path: path.into(),
            value,
            problem: problem.into(),
            allowed: None,
        }
    }

    /// Adds what is allowed.
    #[must_use]
    pub fn with_allowed(mut self, allowed: impl Into<Box<str>>) -> Self {
        self.allowed = Some(allowed.into());
        self
    }
}

impl Display for DocumentFault {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        write!(f, "{}: ", self.location)?;
        if !self.path.is_empty() {
            write!(f, "{}: ", self.path)?;
        }
        if let Some(value) = &self.value {
            write!(f, "`{value}`: ")?;
        }
        write!(f, "{}", self.problem)?;
        if let Some(allowed) = &self.allowed {
            write!(f, "; allowed: {allowed}")?;
        }
        Ok(())
    }
}

/// A field that a document must have.
#[derive(Debug, Clone, Copy)]
pub struct RequiredField {
    /// Path of the field, its names separated by dots.
    pub path: &'static str,
    /// What stands in while the rest is read, in YAML; must be readable.
    pub placeholder: &'static str,
}

impl RequiredField {
    fn stand_in(self) -> Value {
        serde_norway::from_str(self.placeholder).unwrap_or_default()
    }
}

/// Reads a value and adds every fault to `faults`.
///
/// Returns none when nothing can be read at all.
pub fn read_document<T: DeserializeOwned>(
    place: &str,
    mut value: Value,
    required: &[RequiredField],
    faults: &mut Vec<DocumentFault>,
) -> Option<T> {
    if value.is_null() {
        value = Value::Mapping(Mapping::new());
    }
    for field in required {
        if find_value(&value, field.path).is_none_or(Value::is_null) {
            faults.push(DocumentFault::field(place, field.path, None, "is missing"));
            insert_value(&mut value, field.path, field.stand_in());
        }
    }
    loop {
        let error = match serde_path_to_error::deserialize(value.clone()) {
            Ok(document) => return Some(document),
            Err(error) => error,
        };
        let segments = path_segments(error.path());
        let path = join_segments(&segments);
        let wrong = find_segments(&value, &segments).map(excerpt);
        let problem = shorten_problem(&error.inner().to_string());
        faults.push(DocumentFault::field(place, &path, wrong, problem));
        if segments.is_empty() || !remove_segments(&mut value, &segments) {
            return None;
        }
        if let Some(field) = required.iter().find(|field| field.path == &*path) {
            insert_value(&mut value, field.path, field.stand_in());
        }
    }
}

/// Lists faults one a line, as an error.
pub fn report_faults(faults: &[DocumentFault]) -> eyre::Report {
    let lines: Vec<String> = faults.iter().map(ToString::to_string).collect();
    eyre::eyre!("{}", lines.join("\n"))
}

/// Finds the value at a path of names separated by dots.
pub fn find_value<'a>(root: &'a Value, path: &str) -> Option<&'a Value> {
    path.split('.')
        .try_fold(root, |value, name| value.get(name))
}

/// Writes a value on one line, cut to a readable length.
pub fn excerpt(value: &Value) -> Box<str> {
    let line = match value {
        Value::String(text) => text.replace('\n', " "),
        other => serde_json::to_string(other).unwrap_or_default(),
    };
    match line.char_indices().nth(EXCERPT_LENGTH) {
        Some((end, _)) => format!("{}...", &line[..end]).into(),
        None => line.into(),
    }
}

fn insert_value(root: &mut Value, path: &str, leaf: Value) {
    let Some((parent, name)) = path.rsplit_once('.') else {
        insert_entry(root, path, leaf);
        return;
    };
    let mut value = root;
    for part in parent.split('.') {
        if value.get(part).is_none_or(Value::is_null) {
            insert_entry(value, part, Value::Mapping(Mapping::new()));
        }
        let Some(next) = value.get_mut(part) else {
            return;
        };
        value = next;
    }
    insert_entry(value, name, leaf);
}

fn insert_entry(value: &mut Value, name: &str, leaf: Value) {
    if let Value::Mapping(mapping) = value {
        mapping.insert(Value::from(name), leaf);
    }
}

enum PathStep {
    Name(Box<str>),
    Index(usize),
}

fn path_segments(path: &Path) -> Vec<PathStep> {
    path.iter()
        .filter_map(|segment| match segment {
            Segment::Map { key } => Some(PathStep::Name(key.as_str().into())),
            Segment::Enum { variant } => Some(PathStep::Name(variant.as_str().into())),
            Segment::Seq { index } => Some(PathStep::Index(*index)),
            Segment::Unknown => None,
        })
        .collect()
}

fn join_segments(segments: &[PathStep]) -> Box<str> {
    let mut path = String::new();
    for segment in segments {
        let dot = if path.is_empty() { "" } else { "." };
        let _ = match segment {
            PathStep::Name(name) => write!(path, "{dot}{name}"),
            PathStep::Index(index) => write!(path, "[{index}]"),
        };
    }
    path.into()
}

fn step_into<'a>(value: &'a Value, step: &PathStep) -> Option<&'a Value> {
    match step {
        PathStep::Name(name) => value.get(&**name),
        PathStep::Index(index) => value.get(*index),
    }
}

fn find_segments<'a>(root: &'a Value, segments: &[PathStep]) -> Option<&'a Value> {
    segments.iter().try_fold(root, step_into)
}

fn remove_segments(root: &mut Value, segments: &[PathStep]) -> bool {
    let Some((last, parents)) = segments.split_last() else {
        return false;
    };
    let mut value = root;
    for step in parents {
        let next = match step {
            PathStep::Name(name) => value.get_mut(&**name),
            PathStep::Index(index) => value.get_mut(*index),
        };
        let Some(next) = next else {
            return false;
        };
        value = next;
    }
    match (value, last) {
        (Value::Mapping(mapping), PathStep::Name(name)) => mapping.remove(&**name).is_some(),
        (Value::Sequence(items), PathStep::Index(index)) if *index < items.len() => {
            items.remove(*index);
            true
        }
        _ => false,
    }
}

/// Drops the path that `serde_norway` repeats in front of its messages.
fn shorten_problem(problem: &str) -> Box<str> {
    const STARTS: [&str; 6] = [
        "invalid type",
        "invalid value",
        "unknown field",
        "unknown variant",
        "missing field",
        "invalid socket address",
    ];
    STARTS
        .iter()
        .find_map(|start| problem.find(start))
        .map_or_else(|| problem.into(), |at| problem[at..].into())
}
