//! A declaration and where it was read.

use super::Declaration;

/// A declaration with the file and document that it stands in.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PlacedDeclaration {
    /// The file, with the number of the document where it has several.
    pub place: Box<str>,
    /// The declaration.
    pub declaration: Declaration,
}
