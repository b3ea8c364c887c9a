//! A route configuration, compiled for lookups by host and path.

use std::sync::Arc;
use std::sync::Mutex;
use std::sync::PoisonError;

use super::configuration::RouteConfiguration;
use super::configuration::RouteName;
use super::configuration::RouteRule;
use super::split::WeightedSplit;
use crate::base::collections::FastMap;
use crate::base::ids::ServiceName;

/// A route, with the state of its split among services.
#[derive(Debug)]
pub struct CompiledRoute {
    /// The route's declaration.
    pub rule: RouteRule,
    split: Mutex<WeightedSplit>,
}

impl CompiledRoute {
    /// Chooses the service for the next request; none if all weights are 0.
    pub fn choose_service(&self) -> Option<&ServiceName> {
        let destinations = &self.rule.destinations;
        if let [only] = &**destinations {
            return Some(&only.service);
        }
        let mut split = self.split.lock().unwrap_or_else(PoisonError::into_inner);
        let chosen = split.next(destinations)?;
        destinations
            .get(chosen)
            .map(|destination| &destination.service)
    }
}

/// The routes of one configuration.
///
/// A lookup takes one hash-map access for the host and at most one for each
/// slash of the path, independent of the number of routes. The host takes a
/// second one if it is not in lower case.
#[derive(Debug)]
pub struct RouteMatcher {
    configuration: Arc<RouteConfiguration>,
    hosts: FastMap<Box<str>, FastMap<Box<str>, Arc<CompiledRoute>>>,
    names: FastMap<RouteName, Arc<CompiledRoute>>,
}

impl RouteMatcher {
    /// Compiles a configuration, which must be valid: a duplicate name or
    /// prefix replaces the earlier one. `split_position` is the fraction of its cycle,
    /// from 0 to 1, at which each weighted split starts; it should differ between
    /// processes.
    pub fn new(configuration: Arc<RouteConfiguration>, split_position: f64) -> Self {
        let mut hosts = FastMap::default();
        let mut names = FastMap::default();
        for host in &configuration.hosts {
            let prefixes: &mut FastMap<Box<str>, Arc<CompiledRoute>> = hosts
                .entry(host.host.to_ascii_lowercase().into())
                .or_default();
            for rule in &host.rules {
                let split = WeightedSplit::starting_at(split_position, &rule.destinations);
                let route = Arc::new(CompiledRoute {
                    rule: rule.clone(),
                    split: Mutex::new(split),
                });
                names.insert(rule.name.clone(), Arc::clone(&route));
                prefixes.insert(rule.prefix.clone(), route);
            }
        }
        Self {
            configuration,
            hosts,
            names,
        }
    }

    /// Returns the configuration that the table was compiled from.
    pub fn configuration(&self) -> &Arc<RouteConfiguration> {
        &self.configuration
    }

    /// Returns the route of `host` with the longest prefix of `path`. The port
    /// of `host` is ignored. `path` must not contain a query.
    pub fn find(&self, host: &str, path: &str) -> Option<&Arc<CompiledRoute>> {
        let name = host.rsplit_once(':').map_or(host, |(name, _port)| name);
        let prefixes = self
            .hosts
            .get(name)
            .or_else(|| self.hosts.get(&*name.to_ascii_lowercase()))?;
        let slashes = path.rmatch_indices('/').map(|(index, _slash)| index);
        slashes
            .map(|index| &path[..=index])
            .find_map(|prefix| prefixes.get(prefix))
    }

    /// Returns the route with this name.
    pub fn find_by_name(&self, name: &str) -> Option<&Arc<CompiledRoute>> {
        self.names.get(name)
    }
}
