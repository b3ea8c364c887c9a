//! Checks that declarations are consistent with each other.

use super::ClassDeclaration;
use super::Declaration;
use super::RuleDeclaration;
use super::fields::MAX_TOTAL_SLICES;
use super::located::LocatedDeclaration;
use crate::base::collections::FastSet;
use crate::base::document::DocumentFault;

/// Maximum sum of the guaranteed shares of all classes, in percent.
const MAX_TOTAL_SHARE_PERCENT: u32 = 100;

/// Returns every inconsistency between the declarations of a complete
/// configuration; empty if there is none.
pub fn check_consistency(declarations: &[LocatedDeclaration]) -> Vec<DocumentFault> {
    let mut faults = Vec::new();
    let mut services: FastSet<&str> = FastSet::default();
    for item in declarations {
        if let Declaration::Service(service) = &item.declaration {
            services.insert(&service.name);
        }
    }
    for item in declarations {
        match &item.declaration {
            Declaration::Service(_) => {}
            Declaration::PriorityClass(class) => check_class(&item.location, class, &mut faults),
            Declaration::OwnershipRule(rule) => {
                check_rule(&item.location, rule, &services, &mut faults);
            }
        }
    }
    check_slices(declarations, &mut faults);
    check_shares(declarations, &mut faults);
    faults
}

fn check_class(place: &str, class: &ClassDeclaration, faults: &mut Vec<DocumentFault>) {
    if !class.deadline.is_zero() && class.deadline < class.target {
        let value = class.deadline.as_millis().to_string().into();
        faults.push(
            DocumentFault::field(
                place,
                "spec.deadline_ms",
                Some(value),
                "is shorter than the target",
            )
            .with_allowed(format!("0, or at least {}", class.target.as_millis())),
        );
    }
    if class.deadline.is_zero() && class.queue_limit == 0 {
        faults.push(
            DocumentFault::field(
                place,
                "spec.queue",
                Some("0".into()),
                "leaves requests without a deadline no room to wait",
            )
            .with_allowed("at least 1, or a deadline"),
        );
    }
}

fn check_rule(
    place: &str,
    rule: &RuleDeclaration,
    services: &FastSet<&str>,
    faults: &mut Vec<DocumentFault>,
) {
    if !services.contains(&*rule.service) {
        faults.push(
            DocumentFault::field(
                place,
                "spec.service",
                Some(rule.service.clone()),
                "is not declared",
            )
            .with_allowed("the name of a declared service"),
        );
    }
}

fn check_slices(declarations: &[LocatedDeclaration], faults: &mut Vec<DocumentFault>) {
    let mut total = 0;
    for item in declarations {
        let Declaration::Service(service) = &item.declaration else {
            continue;
        };
        total += u64::from(service.slices);
        if total > MAX_TOTAL_SLICES {
            let value = service.slices.to_string().into();
            let problem = format!("raises the slices of all services to {total}");
            faults.push(
                DocumentFault::field(&item.location, "spec.slices", Some(value), problem)
                    .with_allowed(format!("at most {MAX_TOTAL_SLICES} together")),
            );
        }
    }
}

fn check_shares(declarations: &[LocatedDeclaration], faults: &mut Vec<DocumentFault>) {
    let mut total = 0;
    for item in declarations {
        let Declaration::PriorityClass(class) = &item.declaration else {
            continue;
        };
        total += u32::from(class.share_percent);
        if total > MAX_TOTAL_SHARE_PERCENT {
            let value = class.share_percent.to_string().into();
            let problem = format!("raises the shares of all classes to {total}");
            faults.push(
                DocumentFault::field(&item.location, "spec.share_percent", Some(value), problem)
                    .with_allowed(format!("at most {MAX_TOTAL_SHARE_PERCENT} together")),
            );
        }
    }
}
