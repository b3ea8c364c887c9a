//! Whether a configuration can be put in force.

use super::configuration::RouteConfiguration;
use super::configuration::RouteRule;
use crate::base::collections::FastSet;

/// Checks a configuration as a whole.
///
/// # Errors
///
/// Returns the first fault, with the route or service that has it.
pub fn check_configuration(configuration: &RouteConfiguration) -> eyre::Result<()> {
    let mut services = FastSet::default();
    for policy in &configuration.services {
        if !services.insert(&*policy.name) {
            eyre::bail!("service `{}` is declared twice", policy.name);
        }
    }
    let mut names = FastSet::default();
    for host in &configuration.hosts {
        let mut prefixes = FastSet::default();
        for rule in &host.rules {
            check_rule(rule, &services)?;
            if !names.insert(&*rule.name) {
                eyre::bail!("route `{}` is declared twice", rule.name);
            }
            if !prefixes.insert(&*rule.prefix) {
                eyre::bail!(
                    "prefix `{}` of `{}` is declared twice",
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
            "route `{name}`: prefix `{}` needs a slash at both ends",
            rule.prefix
        );
    }
    if rule.attempts == 0 {
        eyre::bail!("route `{name}`: allow at least one attempt");
    }
    if rule.timeout.is_zero() {
        eyre::bail!("route `{name}`: the timeout must be positive");
    }
    let total: u64 = rule
        .destinations
        .iter()
        .map(|part| u64::from(part.weight))
        .sum();
    if total == 0 {
        eyre::bail!("route `{name}`: give at least one service a weight");
    }
    for part in &rule.destinations {
        if !services.contains(&*part.service) {
            eyre::bail!("route `{name}`: service `{}` is not declared", part.service);
        }
    }
    Ok(())
}
