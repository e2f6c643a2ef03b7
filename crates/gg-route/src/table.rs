//! Lookup of routes by host and longest path prefix.

use std::{collections::HashMap, sync::Arc};

use gg_protocol::Name;

use crate::{
    Account, ClientLimits, Configuration, Credential, Route, Service, account_index::AccountIndex,
};

/// A configuration version, indexed for lookups.
#[derive(Debug, Default)]
pub struct RouteTable {
    /// Version of the configuration.
    pub version: u64,
    /// Limits for client requests.
    pub limits: ClientLimits,
    hosts: HashMap<Name, HashMap<Name, Arc<Route>>>,
    services: HashMap<Name, Service>,
    accounts: AccountIndex,
}

impl RouteTable {
    /// Builds the routing table for a configuration.
    pub fn new(configuration: Configuration) -> Self {
        RouteTable::default().updated(configuration)
    }

    /// Builds the routing table for the configuration that follows this one.
    /// Both share the accounts that did not change.
    pub fn updated(&self, configuration: Configuration) -> Self {
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
            accounts: self.accounts.updated(configuration.accounts),
        }
    }

    /// Whether the configuration has client accounts, so that requests need a
    /// key.
    pub fn has_accounts(&self) -> bool {
        !self.accounts.is_empty()
    }

    /// Number of client accounts.
    pub fn account_count(&self) -> usize {
        self.accounts.len()
    }

    /// The account that holds the presented key.
    pub fn account(&self, credential: &Credential) -> Option<&Arc<Account>> {
        self.accounts.find(credential)
    }

    /// The account with this name.
    pub fn account_named(&self, name: &str) -> Option<&Arc<Account>> {
        self.accounts.named(name)
    }

    /// Returns the route of the longest prefix that matches `path`.
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

    /// Returns a service by name.
    pub fn service(&self, name: &str) -> Option<&Service> {
        self.services.get(name)
    }

    /// Returns all services.
    pub fn services(&self) -> impl Iterator<Item = &Service> {
        self.services.values()
    }
}

impl Route {
    /// Selects the service for a request by weight. `draw` is uniform over all
    /// values; equal draws select the same service.
    pub fn backend(&self, draw: u64) -> Option<&Name> {
        let total: u64 = self.backends.iter().map(|(_, weight)| u64::from(*weight)).sum();
        if total == 0 {
            return self.backends.first().map(|(name, _)| name);
        }
        let mut remaining = draw % total;
        for (name, weight) in &self.backends {
            let weight = u64::from(*weight);
            if remaining < weight {
                return Some(name);
            }
            remaining -= weight;
        }
        None
    }
}
