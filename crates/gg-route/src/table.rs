//! Lookup of routes by host and longest path prefix.

use std::{collections::HashMap, sync::Arc};

use gg_protocol::Name;

use crate::{ClientLimits, Configuration, Route, Service};

/// A configuration version made ready for lookups.
#[derive(Debug, Default)]
pub struct RouteTable {
    /// Version of the configuration.
    pub version: u64,
    /// Limits on clients.
    pub limits: ClientLimits,
    hosts: HashMap<Name, HashMap<Name, Arc<Route>>>,
    services: HashMap<Name, Service>,
}

impl RouteTable {
    /// Builds the table of a configuration.
    pub fn new(configuration: Configuration) -> Self {
        let mut hosts: HashMap<Name, HashMap<Name, Arc<Route>>> = HashMap::new();
        for route in configuration.routes {
            let prefixes = hosts.entry(route.host.clone()).or_default();
            prefixes.insert(route.prefix.clone(), Arc::new(route));
        }
        let services = configuration.services.into_iter();
        RouteTable {
            version: configuration.version,
            limits: configuration.limits,
            hosts,
            services: services.map(|service| (service.name.clone(), service)).collect(),
        }
    }

    /// The route of the longest prefix that begins `path`.
    pub fn find(&self, host: &str, path: &str) -> Option<&Arc<Route>> {
        let prefixes = self.hosts.get(host)?;
        let mut end = path.len();
        while let Some(slash) = path[..end].rfind('/') {
            if let Some(route) = prefixes.get(&path[..=slash]) {
                return Some(route);
            }
            end = slash;
        }
        None
    }

    /// A service by its name.
    pub fn service(&self, name: &str) -> Option<&Service> {
        self.services.get(name)
    }

    /// Names of all services.
    pub fn services(&self) -> impl Iterator<Item = &Service> {
        self.services.values()
    }
}

impl Route {
    /// The service that takes a request, drawn by weight. `draw` is uniform
    /// over all values, so equal draws go to the same service.
    pub fn backend(&self, draw: u64) -> Option<&Name> {
        let total: u64 = self.backends.iter().map(|(_, weight)| u64::from(*weight)).sum();
        if total == 0 {
            return self.backends.first().map(|(name, _)| name);
        }
        let mut left = draw % total;
        for (name, weight) in &self.backends {
            let weight = u64::from(*weight);
            if left < weight {
                return Some(name);
            }
            left -= weight;
        }
        None
    }
}
