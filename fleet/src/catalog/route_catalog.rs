//! The routes, services, limits and client accounts of one configuration version.

use std::collections::HashMap;

use crate::prelude::*;

/// The routes, services, limits and client accounts of one configuration version.
#[derive(Clone, Debug, Default)]
pub struct RouteCatalog {
    /// The number of the configuration version.
    pub version: u64,
    /// The routes of each host, longest prefix first; hosts in lower case.
    pub routes: HashMap<Arc<str>, Vec<Arc<RouteSpec>>>,
    /// The services by name.
    pub services: HashMap<Arc<str>, ServiceSpec>,
    /// The limits on what a caller sends.
    pub limits: CallerLimits,
    /// The client accounts by key; `None` where calls need no key.
    pub accounts: Option<HashMap<Arc<str>, Account>>,
    /// The fields whose values could not be used, and what is used in their place.
    pub replaced_fields: Vec<String>,
}

/// A client account that a key resolves to.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Account {
    /// The account's name.
    pub name: Arc<str>,
    /// The priority of the account's calls, where it overrides that of their routes.
    pub priority: Option<u8>,
}

/// The limits on the size and duration of what a caller sends.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CallerLimits {
    /// The largest head of a request, in bytes.
    pub header_bytes: usize,
    /// The largest body of a request, in bytes.
    pub body_bytes: usize,
    /// The longest time for a request's head to arrive.
    pub header_timeout: Duration,
    /// The longest time for which a connection may be idle.
    pub idle_timeout: Duration,
}

impl Default for CallerLimits {
    fn default() -> Self {
        // The usual settings; in force only until the first configuration arrives.
        Self {
            header_bytes: 16_384,
            body_bytes: 4 << 20,
            header_timeout: Duration::from_secs(3),
            idle_timeout: Duration::from_secs(15),
        }
    }
}

/// Why a call is not allowed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RouteError {
    /// No route matches the host and path.
    NoRoute,
    /// The route needs a key, and the call has none or an unknown one.
    UnknownKey,
}

impl RouteCatalog {
    /// Adds a route, keeping those of its host ordered from the longest prefix to the shortest.
    pub fn add_route(&mut self, host: &str, route: RouteSpec) {
        let host: Arc<str> = host.to_ascii_lowercase().into();
        let routes = self.routes.entry(host).or_default();
        let at = routes.partition_point(|other| route.prefix.len() <= other.prefix.len());
        routes.insert(at, Arc::new(route));
    }

    /// Returns the strictest limit on the pause between events among the routes of a service.
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

    /// Returns the longest timeout of any route; `None` without routes.
    pub fn longest_timeout(&self) -> Option<Duration> {
        let routes = self.routes.values().flatten();
        routes.map(|route| route.timeout).max()
    }

    /// Returns the route with the longest prefix that matches a host and path.
    pub fn find_route(&self, host: &str, path: &str) -> Option<&Arc<RouteSpec>> {
        let host = host.split(':').next().unwrap_or(host).to_ascii_lowercase();
        let routes = self.routes.get(host.as_str())?;
        routes.iter().find(|route| path.starts_with(&*route.prefix))
    }

    /// Returns the route of a call and the account of its key.
    ///
    /// The account is `None` where calls need no key, and on public routes without a known key.
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
