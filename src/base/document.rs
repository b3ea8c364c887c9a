//! Deserializes a YAML document and reports every fault in it.
//!
//! `serde` stops at the first fault. [`read_document`] records it, removes the
//! faulty value from the tree (a required one is replaced by a placeholder) and
//! deserializes again, until it succeeds. Callers refuse a document with any
//! fault, so a placeholder is never used as a value.

use std::fmt;
use std::fmt::Display;
use std::fmt::Formatter;
use std::fmt::Write;

use serde::de::DeserializeOwned;
use serde_norway::Mapping;
use serde_norway::Value;
use serde_path_to_error::Path;
use serde_path_to_error::Segment;

/// Maximum length of the excerpt of a wrong value in a fault.
const MAX_EXCERPT_CHARS: usize = 60;

/// A fault in a document: where it is, what is wrong and what is allowed.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct DocumentFault {
    /// The file, followed by the number of the document if the file has several.
    pub location: Box<str>,
    /// Path of the field, such as `lease.margin_ms`; empty if the fault is of the
    /// whole document.
    pub path: Box<str>,
    /// The wrong value, shortened to one line; none if it is missing or the fault
    /// is of the whole document.
    pub value: Option<Box<str>>,
    /// What is wrong, as the end of a sentence, such as `is missing`.
    pub problem: Box<str>,
    /// Which values are allowed, if known.
    pub allowed: Option<Box<str>>,
}

impl DocumentFault {
    /// Creates a fault of a whole document.
    pub fn whole(location: &str, problem: impl Into<Box<str>>) -> Self {
        Self {
            location: location.into(),
            path: Box::default(),
            value: None,
            problem: problem.into(),
            allowed: None,
        }
    }

    /// Creates a fault of the field at `path`. `value` is none if the field is
    /// missing.
    pub fn field(
        location: &str,
        path: &str,
        value: Option<Box<str>>,
        problem: impl Into<Box<str>>,
    ) -> Self {
        Self {
            location: location.into(),
            path: path.into(),
            value,
            problem: problem.into(),
            allowed: None,
        }
    }

    /// Sets which values are allowed.
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
    /// Path of the field: names separated by dots.
    pub path: &'static str,
    /// YAML value that replaces a missing or faulty field while the rest is
    /// deserialized. It must be valid for the field's type.
    pub placeholder: &'static str,
}

impl RequiredField {
    fn placeholder_value(self) -> Value {
        serde_norway::from_str(self.placeholder).unwrap_or_default()
    }
}

/// Deserializes `value` and adds every fault to `faults`; `location` names the
/// document in them.
///
/// The result may contain placeholders if faults were added. Returns none if the
/// document cannot be deserialized even without its faulty values.
pub fn read_document<T: DeserializeOwned>(
    location: &str,
    mut value: Value,
    required: &[RequiredField],
    faults: &mut Vec<DocumentFault>,
) -> Option<T> {
    if value.is_null() {
        value = Value::Mapping(Mapping::new());
    }
    for field in required {
        if find_value(&value, field.path).is_none_or(Value::is_null) {
            faults.push(DocumentFault::field(
                location,
                field.path,
                None,
                "is missing",
            ));
            insert_value(&mut value, field.path, field.placeholder_value());
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
        faults.push(DocumentFault::field(location, &path, wrong, problem));
        if segments.is_empty() || !remove_segments(&mut value, &segments) {
            return None;
        }
        if let Some(field) = required.iter().find(|field| field.path == &*path) {
            insert_value(&mut value, field.path, field.placeholder_value());
        }
    }
}

/// Combines faults into one error with one line for each fault.
pub fn report_faults(faults: &[DocumentFault]) -> eyre::Report {
    let lines: Vec<String> = faults.iter().map(ToString::to_string).collect();
    eyre::eyre!("{}", lines.join("\n"))
}

/// Returns the value at a path of names separated by dots; none if it is absent.
pub fn find_value<'a>(root: &'a Value, path: &str) -> Option<&'a Value> {
    path.split('.')
        .try_fold(root, |value, name| value.get(name))
}

/// Formats a value on one line, shortened to a readable length.
pub fn excerpt(value: &Value) -> Box<str> {
    let line = match value {
        Value::String(text) => text.replace('\n', " "),
        other => serde_json::to_string(other).unwrap_or_default(),
    };
    match line.char_indices().nth(MAX_EXCERPT_CHARS) {
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

/// One element of a path in a document: a field's name or an index in a list.
enum PathSegment {
    Name(Box<str>),
    Index(usize),
}

fn path_segments(path: &Path) -> Vec<PathSegment> {
    path.iter()
        .filter_map(|segment| match segment {
            Segment::Map { key } => Some(PathSegment::Name(key.as_str().into())),
            Segment::Enum { variant } => Some(PathSegment::Name(variant.as_str().into())),
            Segment::Seq { index } => Some(PathSegment::Index(*index)),
            Segment::Unknown => None,
        })
        .collect()
}

fn join_segments(segments: &[PathSegment]) -> Box<str> {
    let mut path = String::new();
    for segment in segments {
        let dot = if path.is_empty() { "" } else { "." };
        let _ = match segment {
            PathSegment::Name(name) => write!(path, "{dot}{name}"),
            PathSegment::Index(index) => write!(path, "[{index}]"),
        };
    }
    path.into()
}

fn child_value<'a>(value: &'a Value, segment: &PathSegment) -> Option<&'a Value> {
    match segment {
        PathSegment::Name(name) => value.get(&**name),
        PathSegment::Index(index) => value.get(*index),
    }
}

fn find_segments<'a>(root: &'a Value, segments: &[PathSegment]) -> Option<&'a Value> {
    segments.iter().try_fold(root, child_value)
}

fn remove_segments(root: &mut Value, segments: &[PathSegment]) -> bool {
    let Some((last, parents)) = segments.split_last() else {
        return false;
    };
    let mut value = root;
    for segment in parents {
        let next = match segment {
            PathSegment::Name(name) => value.get_mut(&**name),
            PathSegment::Index(index) => value.get_mut(*index),
        };
        let Some(next) = next else {
            return false;
        };
        value = next;
    }
    match (value, last) {
        (Value::Mapping(mapping), PathSegment::Name(name)) => mapping.remove(&**name).is_some(),
        (Value::Sequence(items), PathSegment::Index(index)) if *index < items.len() => {
            items.remove(*index);
            true
        }
        _ => false,
    }
}

/// Removes the path that `serde_norway` puts in front of its messages; the fault
/// names the path already.
fn shorten_problem(problem: &str) -> Box<str> {
    const PREFIXES: [&str; 6] = [
        "invalid type",
        "invalid value",
        "unknown field",
        "unknown variant",
        "missing field",
        "invalid socket address",
    ];
    PREFIXES
        .iter()
        .find_map(|prefix| problem.find(prefix))
        .map_or_else(|| problem.into(), |at| problem[at..].into())
}
