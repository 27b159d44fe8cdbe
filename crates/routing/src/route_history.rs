//! Where the tables of the last seconds led calls to.

use std::collections::VecDeque;
use std::sync::Arc;
use std::time::Duration;

use sumacdrift_types::Timestamp;

use crate::table::RouteTable;

/// How long a table is kept after it was replaced; longer than any observation of a route has to be.
const TABLE_RETENTION: Duration = Duration::from_secs(30);
/// Limit on the tables kept, for a configuration that changes all the time. Routes count as changed before the oldest one.
const MAX_TABLES: usize = 16;

/// The only service that calls of a host and path are sent to.
#[allow(missing_docs)]
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct SoleService {
    pub service: Arc<str>,
    /// Since when each table in force here, as far as they are kept, has led to it alone.
    pub since: Timestamp,
}

#[derive(Debug)]
struct AppliedTable {
    table: Arc<RouteTable>,
    applied: Timestamp,
}

impl AppliedTable {
    fn sole_service(&self, host: &str, path: &str) -> Option<&Arc<str>> {
        let route = self.table.find(host, path)?;
        let [only] = &route.services[..] else { return None };
        Some(&only.service)
    }
}

/// Tables in the order of their application, the one in force last.
#[derive(Debug, Default)]
pub(crate) struct RouteHistory {
    tables: VecDeque<AppliedTable>,
}

impl RouteHistory {
    pub(crate) fn record(&mut self, table: Arc<RouteTable>, now: Timestamp) {
        self.tables.push_back(AppliedTable { table, applied: now });
        while self.tables.len() > MAX_TABLES || self.is_first_expired(now) {
            self.tables.pop_front();
        }
    }

    /// The table in force; `None` until one was applied.
    pub(crate) fn current(&self) -> Option<&Arc<RouteTable>> {
        Some(&self.tables.back()?.table)
    }

    fn is_first_expired(&self, now: Timestamp) -> bool {
        self.tables.get(1).is_some_and(|next| now.since(next.applied) >= TABLE_RETENTION)
    }

    /// `None` if the table in force leads to several services, or to none.
    pub(crate) fn sole_service(&self, host: &str, path: &str) -> Option<SoleService> {
        let service = self.tables.back()?.sole_service(host, path)?;
        let leads_there = |table: &&AppliedTable| table.sole_service(host, path) == Some(service);
        let first = self.tables.iter().rev().take_while(leads_there).last()?;
        Some(SoleService { service: Arc::clone(service), since: first.applied })
    }
}
