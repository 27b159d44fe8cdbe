//! The routes in force, and the split of a route's calls over services.

use std::collections::HashMap;
use std::sync::Arc;

use crate::table::{Route, RouteTable, ServiceSpec};

/// The fractional part of the golden ratio: its multiples fill an interval more evenly than chance.
pub(crate) const GOLDEN_STEP: f64 = 0.618_033_988_749_895;

/// The route and service of a call.
#[derive(Debug, Clone)]
pub struct Selected {
    /// The route.
    pub route: Arc<Route>,
    /// The service.
    pub service: ServiceSpec,
    /// Version of the configuration that said so.
    pub version: u64,
}

/// The routes in force. A lower version never replaces a higher one.
#[derive(Debug, Default)]
pub struct Routes {
    table: Option<Arc<RouteTable>>,
    turns: HashMap<Arc<str>, u32>,
}

impl Routes {
    /// Puts a table in force if it is newer; returns whether it is.
    pub fn apply(&mut self, table: RouteTable) -> bool {
        let is_newer = self.table.as_ref().is_none_or(|current| table.version > current.version);
        if is_newer {
            self.table = Some(Arc::new(table));
        }
        is_newer
    }

    /// The table in force.
    pub fn table(&self) -> Option<&Arc<RouteTable>> {
        self.table.as_ref()
    }

    /// The route and service of a call; `None` where there is no such route.
    pub fn select(&mut self, host: &str, path: &str) -> Option<Selected> {
        let table = Arc::clone(self.table.as_ref()?);
        let route = table.find(host, path)?;
        let service = self.split(route)?;
        let service = table.service(&service).cloned().unwrap_or(ServiceSpec {
            name: service,
            max_connections: usize::MAX,
            tokens_per_event: 0,
            cold: None,
        });
        Some(Selected { route: Arc::clone(route), service, version: table.version })
    }

    /// The service whose turn it is.
    fn split(&mut self, route: &Route) -> Option<Arc<str>> {
        if let [only] = &route.services[..] {
            return Some(Arc::clone(&only.service));
        }
        let total: u32 = route.services.iter().map(|part| part.weight).sum();
        let turn = self.turns.entry(Arc::clone(&route.name)).or_default();
        *turn = turn.wrapping_add(1);
        let point = (f64::from(*turn) * GOLDEN_STEP).fract() * f64::from(total);
        let mut passed = 0.0;
        for part in &route.services {
            passed += f64::from(part.weight);
            if point < passed {
                return Some(Arc::clone(&part.service));
            }
        }
        route.services.last().map(|part| Arc::clone(&part.service))
    }
}
