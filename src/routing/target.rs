//! Chooses where one request goes.

use rand::RngExt;

use super::table::MemberRoute;
use super::table::RouteTable;
use super::table::ServiceRoute;
use crate::base::error::ErrorKind;
use crate::base::ids::DomainName;
use crate::base::ids::Incarnation;
use crate::declarations::DivisionMode;
use crate::state::record::ChainKey;
use crate::state::record::ChainSubject;

/// What the choice depends on.
#[derive(Debug, Clone, Copy)]
pub struct TargetRequest<'a> {
    /// The service.
    pub service: &'a str,
    /// The caller's key.
    pub key: &'a str,
    /// The idempotency key.
    pub idempotency_key: Option<&'a str>,
    /// Whether the request may run more than once.
    pub idempotent: bool,
}

/// Where a request goes.
#[derive(Debug, Clone)]
pub struct RequestTarget {
    /// The chain that the request belongs to.
    pub chain: ChainKey,
    /// The process.
    pub member: MemberRoute,
}

/// Load of a member, in the unit of
/// [`OwnerLoad::pressure`](crate::admission::load::OwnerLoad::pressure).
pub trait LoadSource {
    /// Returns the member's load as far as it is known.
    fn pressure(&self, member: &MemberRoute) -> u64;
}

/// Chooses the target of a request.
///
/// Fails with [`ErrorKind::UnknownService`] or [`ErrorKind::NoOwner`].
pub fn choose_target(
    table: &RouteTable,
    request: TargetRequest<'_>,
    own_domain: &DomainName,
    loads: &impl LoadSource,
) -> Result<RequestTarget, ErrorKind> {
    let service = table
        .services
        .get(request.service)
        .ok_or(ErrorKind::UnknownService)?;
    let division = service.declaration.division;
    if division == DivisionMode::Load && request.idempotent {
        return less_loaded(table, service, own_domain, loads);
    }
    let key = division.owner_key(request.key, request.idempotency_key);
    owned(table, service, key)
}

fn owned(
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

fn less_loaded(
    table: &RouteTable,
    service: &ServiceRoute,
    own_domain: &DomainName,
    loads: &impl LoadSource,
) -> Result<RequestTarget, ErrorKind> {
    let first = pick(table, &service.members, None).ok_or(ErrorKind::NoOwner)?;
    let second = pick(table, &service.members, Some(first.info.incarnation)).unwrap_or(first);
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

fn pick<'a>(
    table: &'a RouteTable,
    members: &[Incarnation],
    besides: Option<Incarnation>,
) -> Option<&'a MemberRoute> {
    let besides =
        besides.and_then(|excluded| members.iter().position(|member| *member == excluded));
    let choices = members.len() - usize::from(besides.is_some());
    if choices == 0 {
        return None;
    }
    let mut index = rand::rng().random_range(0..choices);
    if besides.is_some_and(|excluded| index >= excluded) {
        index += 1;
    }
    table.members.get(&members[index])
}
