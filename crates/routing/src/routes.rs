//! The routing table in force and weighted selection among a route's services.

use std::collections::HashMap;
use std::sync::Arc;

use sumacdrift_types::Timestamp;

use crate::route_history::{RouteHistory, SoleService};
use crate::table::{Route, RouteTable, ServiceSpec};

/// The fractional part of the golden ratio: its multiples fill an interval more evenly than random numbers.
pub(crate) const GOLDEN_RATIO_FRACTION: f64 = 0.618_033_988_749_895;

/// The route and service selected for a call.
#[allow(missing_docs)]
#[derive(Debug, Clone)]
pub struct SelectedRoute {
    pub route: Arc<Route>,
    pub service: ServiceSpec,
    /// Version of the configuration.
    pub version: u64,
}

/// The configured service, or one without limits if the configuration doesn't define it.
fn service_spec(table: &RouteTable, name: Arc<str>) -> ServiceSpec {
    let unlimited = || ServiceSpec {
        name: Arc::clone(&name),
        max_connections: usize::MAX,
        health_path: None,
        tokens_per_event: 0,
        cold: None,
    };
    table.service(&name).cloned().unwrap_or_else(unlimited)
}

/// The routing table in force; never replaced by an older version.
#[derive(Debug, Default)]
pub struct Routes {
    history: RouteHistory,
    turns: HashMap<Arc<str>, u32>,
}

impl Routes {
    /// Installs a table if it is newer; returns whether it was.
    pub fn apply(&mut self, table: RouteTable, now: Timestamp) -> bool {
        let is_newer = self.table().is_none_or(|current| table.version > current.version);
        if is_newer {
            self.history.record(Arc::new(table), now);
        }
        is_newer
    }

    /// `None` until a table was applied.
    pub fn table(&self) -> Option<&Arc<RouteTable>> {
        self.history.current()
    }

    /// The only service that calls of a host and path are sent to, and since when; `None` if there are several, or none.
    pub fn sole_service(&self, host: &str, path: &str) -> Option<SoleService> {
        self.history.sole_service(host, path)
    }

    /// Selects the route and service of a call; `None` if no route matches or no table is in force.
    pub fn select(&mut self, host: &str, path: &str) -> Option<SelectedRoute> {
        let table = Arc::clone(self.table()?);
        let route = table.find(host, path)?;
        let service = service_spec(&table, self.next_service(route)?);
        Some(SelectedRoute { route: Arc::clone(route), service, version: table.version })
    }

    /// Replaces the service selected for a call by another one of its route; `None` if the route no longer has it.
    pub fn with_service(&self, selected: &SelectedRoute, service: &str) -> Option<SelectedRoute> {
        let table = self.table()?;
        let weighted = selected.route.services.iter().find(|weighted| &*weighted.service == service)?;
        Some(SelectedRoute {
            service: service_spec(table, Arc::clone(&weighted.service)),
            ..selected.clone()
        })
    }

    /// Picks the next service by weight.
    fn next_service(&mut self, route: &Route) -> Option<Arc<str>> {
        if let [only] = &route.services[..] {
            return Some(Arc::clone(&only.service));
        }
        let total: u32 = route.services.iter().map(|weighted| weighted.weight).sum();
        let turn = self.turns.entry(Arc::clone(&route.name)).or_default();
        *turn = turn.wrapping_add(1);
        let point = (f64::from(*turn) * GOLDEN_RATIO_FRACTION).fract() * f64::from(total);
        let mut cumulative = 0.0;
        for weighted in &route.services {
            cumulative += f64::from(weighted.weight);
            if point < cumulative {
                return Some(Arc::clone(&weighted.service));
            }
        }
        route.services.last().map(|weighted| Arc::clone(&weighted.service))
    }
}
