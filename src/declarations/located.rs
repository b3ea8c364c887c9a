//! A declaration and where it was read.

use super::Declaration;

/// A declaration with the file and document that it stands in.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct LocatedDeclaration {
    /// The file, with the number of the document where it has several.
    pub location: Box<str>,
    /// The declaration.
    pub declaration: Declaration,
}
