//! A declaration with its location in the input.

use super::Declaration;

/// A declaration with the location that faults in it are reported at.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct LocatedDeclaration {
    /// The file, with the number of the document if the file has several, or a
    /// description if the declaration was not read from a file.
    pub location: Box<str>,
    /// The declaration at that location.
    pub declaration: Declaration,
}
