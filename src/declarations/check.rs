//! Tells whether declarations fit each other.

use super::ClassDeclaration;
use super::Declaration;
use super::RuleDeclaration;
use super::fields::MAX_TOTAL_SLICES;
use super::located::LocatedDeclaration;
use crate::base::collections::FastSet;
use crate::base::document::DocumentFault;

/// Most percent that all classes together may be guaranteed.
const MOST_SHARE: u32 = 100;

/// Returns every fault between the declarations of a whole configuration.
pub fn check_consistency(placed: &[LocatedDeclaration]) -> Vec<DocumentFault> {
    let mut faults = Vec::new();
    let mut services: FastSet<&str> = FastSet::default();
    for item in placed {
        if let Declaration::Service(service) = &item.declaration {
            services.insert(&service.name);
        }
    }
    for item in placed {
        match &item.declaration {
            Declaration::Service(_) => {}
            Declaration::PriorityClass(class) => check_class(&item.location, class, &mut faults),
            Declaration::OwnershipRule(rule) => {
                check_rule(&item.location, rule, &services, &mut faults);
            }
        }
    }
    check_slices(placed, &mut faults);
    check_shares(placed, &mut faults);
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
                "leaves work without deadline nowhere to wait",
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

fn check_slices(placed: &[LocatedDeclaration], faults: &mut Vec<DocumentFault>) {
    let mut total = 0;
    for item in placed {
        let Declaration::Service(service) = &item.declaration else {
            continue;
        };
        total += u64::from(service.slices);
        if total > MAX_TOTAL_SLICES {
            let value = service.slices.to_string().into();
            let problem = format!("brings the slices of all services to {total}");
            faults.push(
                DocumentFault::field(&item.location, "spec.slices", Some(value), problem)
                    .with_allowed(format!("at most {MAX_TOTAL_SLICES} together")),
            );
        }
    }
}

fn check_shares(placed: &[LocatedDeclaration], faults: &mut Vec<DocumentFault>) {
    let mut total = 0;
    for item in placed {
        let Declaration::PriorityClass(class) = &item.declaration else {
            continue;
        };
        total += u32::from(class.share_percent);
        if total > MOST_SHARE {
            let value = class.share_percent.to_string().into();
            let problem = format!("brings the shares of all classes to {total}");
            faults.push(
                DocumentFault::field(&item.location, "spec.share_percent", Some(value), problem)
                    .with_allowed(format!("at most {MOST_SHARE} together")),
            );
        }
    }
}
