//! The configuration, as requests look it up.

use std::collections::HashMap;
use std::sync::Arc;

use crate::directory::{Configuration, Limits, Route, Service};
use crate::id;

/// Why no route takes a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Unrouted {
    /// No route has the host and a prefix of the path.
    NoRoute,
    /// The key stands for no organisation.
    UnknownKey,
}

/// Who sends a request, as its key tells.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Sender {
    /// The organisation.
    pub organisation: id::Organisation,
    /// Rank that goes before a route's; 0 is first.
    pub priority: Option<u8>,
}

/// A configuration by host, key and service.
#[derive(Clone, Debug, Default)]
pub struct Index {
    number: u64,
    limits: Limits,
    /// Longest prefix first.
    routes: HashMap<String, Vec<Arc<Route>>>,
    senders: HashMap<String, Arc<Sender>>,
    services: HashMap<id::Pool, Arc<Service>>,
    has_keys: bool,
}

impl Index {
    /// Indexes `configuration`. Of two routes with one host and prefix the first
    /// one counts.
    #[must_use]
    pub fn new(configuration: &Configuration) -> Self {
        let mut routes = HashMap::<String, Vec<Arc<Route>>>::new();
        for route in &configuration.routes {
            let host = routes.entry(route.host.to_ascii_lowercase()).or_default();
            host.push(Arc::new(route.clone()));
        }
        for host in routes.values_mut() {
            host.sort_by_key(|route| std::cmp::Reverse(route.prefix.len()));
        }
        let mut senders = HashMap::new();
        for organisation in &configuration.organisations {
            let sender = Arc::new(Sender {
                organisation: organisation.name.clone(),
                priority: organisation.priority,
            });
            for key in &organisation.keys {
                senders.insert(key.clone(), sender.clone());
            }
        }
        let services = configuration.services.iter();
        Self {
            number: configuration.number,
            limits: configuration.limits,
            routes,
            senders,
            services: services
                .map(|one| (one.name.clone(), Arc::new(one.clone())))
                .collect(),
            has_keys: !configuration.organisations.is_empty(),
        }
    }

    /// The operators' number of the configuration.
    #[must_use]
    pub const fn number(&self) -> u64 {
        self.number
    }

    /// What a caller may send.
    #[must_use]
    pub const fn limits(&self) -> &Limits {
        &self.limits
    }

    /// The service called `name`.
    #[must_use]
    pub fn service(&self, name: &id::Pool) -> Option<&Arc<Service>> {
        self.services.get(name)
    }

    /// All services.
    pub fn services(&self) -> impl Iterator<Item = &Arc<Service>> {
        self.services.values()
    }

    /// The route with the longest prefix of `path` at `host`.
    pub fn route(&self, host: &str, path: &str) -> Result<&Arc<Route>, Unrouted> {
        let host = host.to_ascii_lowercase();
        let routes = self.routes.get(&host).map_or(&[][..], Vec::as_slice);
        let mut matching = routes.iter().filter(|one| path.starts_with(&one.prefix));
        matching.next().ok_or(Unrouted::NoRoute)
    }

    /// Who sends a request to `route` with `key`; `None` if that doesn't matter.
    pub fn sender(
        &self,
        route: &Route,
        key: Option<&str>,
    ) -> Result<Option<&Arc<Sender>>, Unrouted> {
        let sender = key.and_then(|key| self.senders.get(key));
        if sender.is_none() && self.has_keys && !route.is_public {
            return Err(Unrouted::UnknownKey);
        }
        Ok(sender)
    }
}
