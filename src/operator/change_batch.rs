//! Parsing and validation of a batch of changes.

use std::collections::BTreeMap;

use winch_operator_api as api;

use super::convert::declaration_from_api;
use super::convert::key_from_api;
use crate::base::collections::FastSet;
use crate::base::document::DocumentFault;
use crate::declarations::Declaration;
use crate::declarations::ObjectKey;
use crate::declarations::check::check_consistency;
use crate::declarations::document::check_declaration;
use crate::declarations::located::LocatedDeclaration;
use crate::state::folded::FoldedState;
use crate::state::record::ChangeRecord;

/// Maximum length of an operator name or change id.
const MAX_ID_BYTES: usize = 128;

/// Maximum number of changes in one `Apply` call.
pub const MAX_CHANGES_PER_BATCH: usize = 500;

/// Parses and validates a batch of changes against the folded state.
///
/// Fails with every fault found in single declarations. If there are none, fails
/// with every fault between the declarations that would be in force afterwards.
/// A batch of more than [`MAX_CHANGES_PER_BATCH`] changes is refused unread.
pub fn read_changes(
    state: &FoldedState,
    request: &api::ApplyRequest,
) -> Result<Vec<ChangeRecord>, Vec<DocumentFault>> {
    let mut faults = Vec::new();
    check_id("operator", &request.operator, &mut faults);
    if request.changes.len() > MAX_CHANGES_PER_BATCH {
        let problem = format!("holds {} changes", request.changes.len());
        let fault = DocumentFault::whole("batch", problem);
        faults.push(fault.with_allowed(format!("at most {MAX_CHANGES_PER_BATCH}")));
        return Err(faults);
    }
    let changes = request
        .changes
        .iter()
        .enumerate()
        .filter_map(|(index, change)| {
            read_change(&request.operator, index + 1, change, &mut faults)
        })
        .collect::<Vec<ChangeRecord>>();
    faults.extend(find_duplicates(&changes));
    if faults.is_empty() {
        faults.extend(check_result(state, &changes));
        faults.extend(check_owned_keys(state, &changes));
    }
    if faults.is_empty() {
        Ok(changes)
    } else {
        Err(faults)
    }
}

fn read_change(
    operator: &str,
    number: usize,
    change: &api::Change,
    faults: &mut Vec<DocumentFault>,
) -> Option<ChangeRecord> {
    let place = format!("change {number}");
    check_id(&place, &change.change_id, faults);
    let Some(object) = key_from_api(change.object.as_ref()) else {
        faults.push(DocumentFault::whole(
            &place,
            "has no object or an object of unknown kind",
        ));
        return None;
    };
    let declaration = match &change.declaration {
        None => None,
        Some(message) => match declaration_from_api(&place, message) {
            Ok(declaration) => Some(declaration),
            Err(fault) => {
                faults.push(fault);
                return None;
            }
        },
    };
    if let Some(declaration) = &declaration {
        faults.extend(check_declaration(&place, declaration));
        if declaration.key() != object {
            let problem = format!("declares {} but is a change of {object}", declaration.key());
            faults.push(DocumentFault::whole(&place, problem));
        }
    }
    Some(ChangeRecord {
        change: change.change_id.as_str().into(),
        operator: operator.into(),
        object,
        base_version: change.base_version,
        declaration,
    })
}

fn check_id(place: &str, id: &str, faults: &mut Vec<DocumentFault>) {
    let is_valid = !id.is_empty()
        && id.len() <= MAX_ID_BYTES
        && id.bytes().all(|byte| byte.is_ascii_graphic());
    if !is_valid {
        let problem = "has an invalid operator name or change id";
        let allowed = format!("1 to {MAX_ID_BYTES} visible ASCII characters");
        faults.push(DocumentFault::whole(place, problem).with_allowed(allowed));
    }
}

fn find_duplicates(changes: &[ChangeRecord]) -> Vec<DocumentFault> {
    let mut ids = FastSet::default();
    let mut objects = FastSet::default();
    let mut faults = Vec::new();
    for (index, change) in changes.iter().enumerate() {
        if !ids.insert(&change.change) || !objects.insert(&change.object) {
            let problem = format!("changes {} twice or repeats a change id", change.object);
            faults.push(DocumentFault::whole(
                &format!("change {}", index + 1),
                problem,
            ));
        }
    }
    faults
}

/// Refuses changes of `slices` or `division` while keys of the service have
/// owners. The fold would ignore such a change.
fn check_owned_keys(state: &FoldedState, changes: &[ChangeRecord]) -> Vec<DocumentFault> {
    let declared = changes
        .iter()
        .filter_map(|change| change.declaration.as_ref());
    declared
        .filter(|declaration| state.remaps_owned_keys(declaration))
        .map(|declaration| {
            let place = declaration.key().to_string();
            let problem = "changes slices or division of a service whose keys have owners";
            DocumentFault::whole(&place, problem).with_allowed("a new service under another name")
        })
        .collect()
}

/// Checks the declarations that would be in force after the whole batch.
fn check_result(state: &FoldedState, changes: &[ChangeRecord]) -> Vec<DocumentFault> {
    let mut result: BTreeMap<ObjectKey, &Declaration> = BTreeMap::new();
    for (key, object) in &state.objects {
        if let Some(declaration) = &object.declaration {
            result.insert(key.clone(), declaration);
        }
    }
    for change in changes {
        match &change.declaration {
            Some(declaration) => result.insert(change.object.clone(), declaration),
            None => result.remove(&change.object),
        };
    }
    let placed: Vec<LocatedDeclaration> = result
        .into_iter()
        .map(|(key, declaration)| LocatedDeclaration {
            location: key.to_string().into(),
            declaration: declaration.clone(),
        })
        .collect();
    check_consistency(&placed)
}
