//! The routes, services, limits and client accounts of one configuration version.

use std::collections::HashMap;

use crate::prelude::*;

/// The routes, services, limits and client accounts of one configuration version.
#[derive(Clone, Debug, Default)]
pub struct RouteCatalog {
    /// The number of the version.
    pub version: u64,
    /// The routes of each host, longest prefix first; hosts in lower case.
    pub routes: HashMap<Arc<str>, Vec<Arc<RouteSpec>>>,
    /// The services by name.
    pub services: HashMap<Arc<str>, ServiceSpec>,
    /// What a caller may send.
    pub limits: CallerLimits,
    /// The client accounts by key; `None` where calls need no key.
    pub accounts: Option<HashMap<Arc<str>, Account>>,
}

/// A client account, as a key resolves to it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Account {
    /// The account's name.
    pub name: Arc<str>,
    /// The rank of the account's calls, where it goes before that of their routes.
    pub priority: Option<u8>,
}

/// What a caller may send, and how long it may take.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CallerLimits {
    /// The largest head of a request, in bytes.
    pub header_bytes: usize,
    /// The largest body of a request, in bytes.
    pub body_bytes: usize,
    /// The longest time for a request's head to arrive.
    pub header_timeout: Duration,
    /// The longest time that a connection may be idle.
    pub idle_timeout: Duration,
}

impl Default for CallerLimits {
    fn default() -> Self {
        // In force only until the first configuration: the sizes that it usually sets.
        Self {
            header_bytes: 16_384,
            body_bytes: 4 << 20,
            header_timeout: Duration::from_secs(3),
            idle_timeout: Duration::from_secs(15),
        }
    }
}

/// Why a catalog allows no call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RouteError {
    /// No route has the host and path.
    NoRoute,
    /// The route needs a key, and the call bears none that is known.
    UnknownKey,
}

impl RouteCatalog {
    /// Adds a route, keeping the longest prefixes of its host first.
    pub fn add_route(&mut self, host: &str, route: RouteSpec) {
        let host: Arc<str> = host.to_ascii_lowercase().into();
        let routes = self.routes.entry(host).or_default();
        let at = routes.partition_point(|other| route.prefix.len() <= other.prefix.len());
        routes.insert(at, Arc::new(route));
    }

    /// Returns the shortest pause between events that a route of a service allows.
    pub fn shortest_pause(&self, service: &str) -> Option<Duration> {
        let routes = self.routes.values().flatten();
        let of_service = routes.filter(|route| {
            route
                .backends
                .iter()
                .any(|backend| &*backend.service == service)
        });
        of_service.filter_map(|route| route.pause).min()
    }

    /// Returns the route of a host and path.
    pub fn find_route(&self, host: &str, path: &str) -> Option<&Arc<RouteSpec>> {
        let host = host.split(':').next().unwrap_or(host).to_ascii_lowercase();
        let routes = self.routes.get(host.as_str())?;
        routes.iter().find(|route| path.starts_with(&*route.prefix))
    }

    /// Returns the route of a call and the account of its key, `None` on routes without keys.
    pub fn resolve(
        &self,
        host: &str,
        path: &str,
        key: Option<&str>,
    ) -> Result<(Arc<RouteSpec>, Option<Account>), RouteError> {
        let route = self.find_route(host, path).ok_or(RouteError::NoRoute)?;
        let Some(accounts) = &self.accounts else {
            return Ok((route.clone(), None));
        };
        match key.and_then(|key| accounts.get(key)) {
            Some(account) => Ok((route.clone(), Some(account.clone()))),
            None if route.public => Ok((route.clone(), None)),
            None => Err(RouteError::UnknownKey),
        }
    }
}
