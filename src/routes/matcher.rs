//! A configuration, compiled for lookups.

use std::sync::Arc;
use std::sync::Mutex;
use std::sync::PoisonError;

use super::configuration::RouteConfiguration;
use super::configuration::RouteName;
use super::configuration::RouteRule;
use super::split::WeightedSplit;
use crate::base::collections::FastMap;
use crate::base::ids::ServiceName;

/// A route with the state of its split.
#[derive(Debug)]
pub struct CompiledRoute {
    /// The route.
    pub rule: RouteRule,
    split: Mutex<WeightedSplit>,
}

impl CompiledRoute {
    /// Chooses the service of the next request.
    pub fn choose_service(&self) -> Option<&ServiceName> {
        let parts = &self.rule.destinations;
        if let [only] = &**parts {
            return Some(&only.service);
        }
        let mut split = self.split.lock().unwrap_or_else(PoisonError::into_inner);
        let chosen = split.next(parts)?;
        parts.get(chosen).map(|part| &part.service)
    }
}

/// The routes of one configuration.
///
/// A lookup costs one probe for the host and one for each slash of the path,
/// whatever the number of routes.
#[derive(Debug)]
pub struct RouteMatcher {
    configuration: Arc<RouteConfiguration>,
    hosts: FastMap<Box<str>, FastMap<Box<str>, Arc<CompiledRoute>>>,
    names: FastMap<RouteName, Arc<CompiledRoute>>,
}

impl RouteMatcher {
    /// Compiles a configuration.
    pub fn new(configuration: Arc<RouteConfiguration>) -> Self {
        let mut hosts = FastMap::default();
        let mut names = FastMap::default();
        for host in &configuration.hosts {
            let prefixes: &mut FastMap<Box<str>, Arc<CompiledRoute>> = hosts
                .entry(host.host.to_ascii_lowercase().into())
                .or_default();
            for rule in &host.rules {
                let route = Arc::new(CompiledRoute {
                    rule: rule.clone(),
                    split: Mutex::default(),
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

    /// Returns the configuration that was compiled.
    pub fn configuration(&self) -> &Arc<RouteConfiguration> {
        &self.configuration
    }

    /// Finds the route with the longest prefix of a path, without query.
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

    /// Finds a route by its name.
    pub fn find_by_name(&self, name: &str) -> Option<&Arc<CompiledRoute>> {
        self.names.get(name)
    }
}
