//! Reads a set of declarations from files and directories.

use std::path::Path;
use std::path::PathBuf;

use eyre::WrapErr;
use serde::Deserialize;
use serde_norway::Value;

use super::ObjectKey;
use super::check::check_consistency;
use super::document::read_declaration;
use super::located::LocatedDeclaration;
use crate::base::collections::FastMap;
use crate::base::document::DocumentFault;
use crate::base::document::report_faults;

/// Declarations that are valid one by one.
///
/// They need not be consistent with each other, because a set may extend what is
/// already declared.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct DeclarationSet {
    /// The declarations, in the order of the files and of the documents in them.
    pub declarations: Vec<LocatedDeclaration>,
}

impl DeclarationSet {
    /// Reads files, and the `.yaml` and `.yml` files in directories.
    ///
    /// Fails if a file cannot be read, or with a list of all faults, one per
    /// line.
    pub fn load(paths: &[PathBuf]) -> eyre::Result<Self> {
        let mut texts = Vec::new();
        for path in paths {
            for file in list_files(path)? {
                let place = file.display().to_string();
                let text = std::fs::read_to_string(&file)
                    .wrap_err_with(|| format!("{place}: cannot be read"))?;
                texts.push((place, text));
            }
        }
        let texts: Vec<(&str, &str)> = texts
            .iter()
            .map(|(place, text)| (place.as_str(), text.as_str()))
            .collect();
        Self::parse(&texts).map_err(|faults| report_faults(&faults))
    }

    /// Reads texts, given as pairs of file name and content.
    ///
    /// Fails with all faults, also if an object is declared twice.
    pub fn parse(texts: &[(&str, &str)]) -> Result<Self, Vec<DocumentFault>> {
        let mut faults = Vec::new();
        let mut declarations = Vec::new();
        for (file, text) in texts {
            for (place, value) in split_documents(file, text, &mut faults) {
                let declaration = read_declaration(&place, value, &mut faults);
                declarations.extend(declaration.map(|declaration| LocatedDeclaration {
                    location: place.into(),
                    declaration,
                }));
            }
        }
        faults.extend(find_duplicates(&declarations));
        if faults.is_empty() {
            Ok(Self { declarations })
        } else {
            Err(faults)
        }
    }

    /// Checks that the set is consistent as a complete configuration.
    ///
    /// Fails with a list of all faults, one per line.
    pub fn check_complete(&self) -> eyre::Result<()> {
        let faults = check_consistency(&self.declarations);
        if faults.is_empty() {
            Ok(())
        } else {
            Err(report_faults(&faults))
        }
    }
}

fn list_files(path: &Path) -> eyre::Result<Vec<PathBuf>> {
    if !path.is_dir() {
        return Ok(vec![path.to_owned()]);
    }
    let entries = std::fs::read_dir(path)
        .wrap_err_with(|| format!("{}: cannot be listed", path.display()))?;
    let mut files = Vec::new();
    for entry in entries {
        let file = entry?.path();
        let is_yaml = file
            .extension()
            .is_some_and(|extension| extension == "yaml" || extension == "yml");
        if is_yaml && file.is_file() {
            files.push(file);
        }
    }
    files.sort();
    if files.is_empty() {
        eyre::bail!("{}: has no .yaml or .yml file", path.display());
    }
    Ok(files)
}

fn split_documents(
    file: &str,
    text: &str,
    faults: &mut Vec<DocumentFault>,
) -> Vec<(String, Value)> {
    let mut values = Vec::new();
    for document in serde_norway::Deserializer::from_str(text) {
        match Value::deserialize(document) {
            Ok(value) => values.push(value),
            Err(error) => {
                let place = format!("{file}: document {}", values.len() + 1);
                faults.push(DocumentFault::whole(&place, error.to_string()));
                break;
            }
        }
    }
    let is_single = values.len() == 1;
    values
        .into_iter()
        .enumerate()
        .filter(|(_, value)| !value.is_null())
        .map(|(index, value)| {
            let place = if is_single {
                file.to_owned()
            } else {
                format!("{file}: document {}", index + 1)
            };
            (place, value)
        })
        .collect()
}

fn find_duplicates(declarations: &[LocatedDeclaration]) -> Vec<DocumentFault> {
    let mut first: FastMap<ObjectKey, &str> = FastMap::default();
    let mut faults = Vec::new();
    for item in declarations {
        let key = item.declaration.key();
        if let Some(place) = first.get(&key) {
            let problem = format!("{} is already declared in {place}", key.kind);
            faults.push(
                DocumentFault::field(&item.location, "name", Some(key.name), problem)
                    .with_allowed("one declaration of each name"),
            );
        } else {
            first.insert(key, &item.location);
        }
    }
    faults
}
