//! Validation of a route configuration.

use super::configuration::RouteConfiguration;
use super::configuration::RouteRule;
use crate::base::collections::FastSet;

/// Validates a configuration: names are unique, and so are the prefixes of a
/// host; prefixes have a slash at both ends; attempts, timeouts and the sum of
/// a route's weights are not zero; destinations are declared services.
///
/// # Errors
///
/// Returns the first error, with the route or service that has it.
pub fn check_configuration(configuration: &RouteConfiguration) -> eyre::Result<()> {
    let mut services = FastSet::default();
    for policy in &configuration.services {
        if !services.insert(&*policy.name) {
            eyre::bail!("service `{}` is declared twice; remove one", policy.name);
        }
    }
    let mut names = FastSet::default();
    for host in &configuration.hosts {
        let mut prefixes = FastSet::default();
        for rule in &host.rules {
            check_rule(rule, &services)?;
            if !names.insert(&*rule.name) {
                eyre::bail!("route `{}` is declared twice; rename one", rule.name);
            }
            if !prefixes.insert(&*rule.prefix) {
                eyre::bail!(
                    "prefix `{}` of host `{}` is declared twice; remove one",
                    rule.prefix,
                    host.host
                );
            }
        }
    }
    Ok(())
}

fn check_rule(rule: &RouteRule, services: &FastSet<&str>) -> eyre::Result<()> {
    let name = &rule.name;
    if !rule.prefix.starts_with('/') || !rule.prefix.ends_with('/') {
        eyre::bail!(
            "route `{name}`: prefix `{}` must begin and end with a slash",
            rule.prefix
        );
    }
    if rule.attempts == 0 {
        eyre::bail!("route `{name}`: attempts must be at least 1");
    }
    if rule.timeout.is_zero() {
        eyre::bail!("route `{name}`: timeout must be greater than zero");
    }
    let total: u64 = rule
        .destinations
        .iter()
        .map(|part| u64::from(part.weight))
        .sum();
    if total == 0 {
        eyre::bail!("route `{name}`: at least one destination needs a weight above 0");
    }
    for part in &rule.destinations {
        if !services.contains(&*part.service) {
            eyre::bail!("route `{name}`: service `{}` is not declared", part.service);
        }
    }
    Ok(())
}
