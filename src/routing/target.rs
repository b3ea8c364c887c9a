//! Choice of the process that a request is sent to.

use rand::RngExt;

use super::table::MemberRoute;
use super::table::RouteTable;
use super::table::ServiceRoute;
use crate::base::error::ErrorKind;
use crate::base::ids::FailureDomainName;
use crate::base::ids::Incarnation;
use crate::declarations::DivisionMode;
use crate::state::record::ChainKey;
use crate::state::record::ChainSubject;

/// The properties of a request that the choice depends on.
#[derive(Debug, Clone, Copy)]
pub struct TargetRequest<'a> {
    /// Name of the service.
    pub service: &'a str,
    /// The caller's key, which decides the owner.
    pub key: &'a str,
    /// The caller's idempotency key; none if it sent none.
    pub idempotency_key: Option<&'a str>,
    /// Whether the request may run more than once.
    pub idempotent: bool,
}

/// The process that a request is sent to.
#[derive(Debug, Clone)]
pub struct RequestTarget {
    /// The chain that the request belongs to.
    pub chain: ChainKey,
    /// The process to send it to.
    pub member: MemberRoute,
}

/// Source of the members' loads.
pub trait LoadSource {
    /// Returns the member's last known load, in the unit of
    /// [`OwnerLoad::pressure`](crate::admission::load::OwnerLoad::pressure).
    fn pressure(&self, member: &MemberRoute) -> u64;
}

/// Chooses the process for a request: the owner of its key, or for an
/// idempotent request of a service with [`DivisionMode::Load`], the less loaded
/// of two random members.
///
/// # Errors
///
/// Returns [`ErrorKind::UnknownService`] if the service is not declared, and
/// [`ErrorKind::NoOwner`] if no known member can serve the request.
pub fn choose_target(
    table: &RouteTable,
    request: TargetRequest<'_>,
    own_domain: &FailureDomainName,
    loads: &impl LoadSource,
) -> Result<RequestTarget, ErrorKind> {
    let service = table
        .services
        .get(request.service)
        .ok_or(ErrorKind::UnknownService)?;
    let division = service.declaration.division;
    if division == DivisionMode::Load && request.idempotent {
        return choose_less_loaded(table, service, own_domain, loads);
    }
    let key = division.owner_key(request.key, request.idempotency_key);
    choose_owner(table, service, key)
}

fn choose_owner(
    table: &RouteTable,
    service: &ServiceRoute,
    key: &str,
) -> Result<RequestTarget, ErrorKind> {
    let chain = service.chain_of(key);
    let owner = service.owner_of(&chain.subject).ok_or(ErrorKind::NoOwner)?;
    let member = table.members.get(&owner.owner).ok_or(ErrorKind::NoOwner)?;
    Ok(RequestTarget {
        chain,
        member: member.clone(),
    })
}

/// Chooses by the power of two random choices: the less loaded of two random
/// members; at equal load one in the process's own failure domain.
fn choose_less_loaded(
    table: &RouteTable,
    service: &ServiceRoute,
    own_domain: &FailureDomainName,
    loads: &impl LoadSource,
) -> Result<RequestTarget, ErrorKind> {
    let first = random_member(table, &service.members, None).ok_or(ErrorKind::NoOwner)?;
    let second =
        random_member(table, &service.members, Some(first.info.incarnation)).unwrap_or(first);
    let rank = |member: &MemberRoute| (loads.pressure(member), member.info.domain != *own_domain);
    let member = if rank(second) < rank(first) {
        second
    } else {
        first
    };
    Ok(RequestTarget {
        chain: ChainKey {
            service: service.declaration.name.clone(),
            subject: ChainSubject::Any,
        },
        member: member.clone(),
    })
}

/// Returns a random member other than `excluded`; none if there is no other.
fn random_member<'a>(
    table: &'a RouteTable,
    members: &[Incarnation],
    excluded: Option<Incarnation>,
) -> Option<&'a MemberRoute> {
    let excluded_index =
        excluded.and_then(|excluded| members.iter().position(|member| *member == excluded));
    let choices = members.len() - usize::from(excluded_index.is_some());
    if choices == 0 {
        return None;
    }
    let mut index = rand::rng().random_range(0..choices);
    if excluded_index.is_some_and(|excluded| index >= excluded) {
        index += 1;
    }
    table.members.get(&members[index])
}
