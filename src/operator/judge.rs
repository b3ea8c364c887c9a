//! Reads and checks a batch of changes.

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

/// Longest name of an operator or change, in bytes.
const MOST_ID_LENGTH: usize = 128;

/// Most changes of one batch.
pub const MOST_CHANGES: usize = 500;

/// Reads a batch of changes.
///
/// Fails with every fault: of a declaration alone, and between the declarations
/// that would be in force.
pub fn read_changes(
    state: &FoldedState,
    request: &api::ApplyRequest,
) -> Result<Vec<ChangeRecord>, Vec<DocumentFault>> {
    let mut faults = Vec::new();
    check_id("operator", &request.operator, &mut faults);
    if request.changes.len() > MOST_CHANGES {
        let problem = format!("holds {} changes", request.changes.len());
        let fault = DocumentFault::whole("batch", problem);
        faults.push(fault.with_allowed(format!("at most {MOST_CHANGES}")));
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
    faults.extend(find_repeated(&changes));
    if faults.is_empty() {
        faults.extend(check_result(state, &changes));
        faults.extend(check_owned(state, &changes));
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
        faults.push(DocumentFault::whole(&place, "names no object"));
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
            let problem = format!("declares {} in place of {object}", declaration.key());
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
    let is_sound = !id.is_empty()
        && id.len() <= MOST_ID_LENGTH
        && id.bytes().all(|byte| byte.is_ascii_graphic());
    if !is_sound {
        let problem = "has no valid name or change id";
        let allowed = format!("1 to {MOST_ID_LENGTH} visible ASCII characters");
        faults.push(DocumentFault::whole(place, problem).with_allowed(allowed));
    }
}

fn find_repeated(changes: &[ChangeRecord]) -> Vec<DocumentFault> {
    let mut ids = FastSet::default();
    let mut objects = FastSet::default();
    let mut faults = Vec::new();
    for (index, change) in changes.iter().enumerate() {
        if !ids.insert(&change.change) || !objects.insert(&change.object) {
            let problem = format!("changes {} again, or repeats a change id", change.object);
            faults.push(DocumentFault::whole(
                &format!("change {}", index + 1),
                problem,
            ));
        }
    }
    faults
}

/// Refuses what the fold would ignore: other slices under owned keys.
fn check_owned(state: &FoldedState, changes: &[ChangeRecord]) -> Vec<DocumentFault> {
    let declared = changes.iter().filter_map(|it| it.declaration.as_ref());
    declared
        .filter(|declaration| state.remaps_owned_keys(declaration))
        .map(|declaration| {
            let place = declaration.key().to_string();
            let problem = "changes slices or division of a service whose keys are owned";
            DocumentFault::whole(&place, problem).with_allowed("a service of another name")
        })
        .collect()
}

/// Checks the declarations that would be in force after every change.
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
