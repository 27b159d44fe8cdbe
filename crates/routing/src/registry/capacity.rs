//! Capacity of a service's engines as seen by this node.

use std::time::Duration;

use sumacdrift_types::Timestamp;

use super::EngineRegistry;
use super::outliers::is_ejected;
use crate::engine::Engine;
use crate::peer_load::PeerLoadEstimator;

/// Capacity and load of a service's engines.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct EngineCapacity {
    /// Slots of the engines that accept new work, are healthy and not ejected.
    pub slots: usize,
    /// Estimated calls of peers in flight at those engines.
    pub peer_running: f64,
    /// Fraction of all calls of peers for the service that are in flight at those engines. The rest is at engines
    /// that this node avoids or can't reach, and uses no capacity here.
    pub peer_share: f64,
    /// Age of the latest peer report; `None` if there is no valid one.
    pub peer_report_age: Option<Duration>,
}

impl EngineRegistry {
    /// Capacity of a service's engines; zero slots for an unknown service.
    pub fn capacity(&self, service: &str, now: Timestamp) -> EngineCapacity {
        let of_service = || self.engines.distinct().filter(|engine| &*engine.spec.service == service);
        let takes_work = |engine: &&Engine| {
            let takes_calls = engine.is_usable(now) && engine.is_healthy(now) && !is_ejected(engine, now);
            takes_calls && !self.is_evacuated(&engine.spec.zone)
        };
        let distinct: usize = of_service().filter(takes_work).map(|engine| engine.spec.slots).sum();
        let interchangeable = self.engines.interchangeable_slots(service, |zone| !self.is_evacuated(zone));
        let peer_report_age = self.peer_reports.age(now);
        let reported = of_service().map(|engine| engine.peer_load);
        let peer_loads =
            PeerLoadEstimator::new(reported, self.engines.interchangeable(service), peer_report_age);
        let running = |engine: &Engine| peer_loads.current(&engine.peer_load).running;
        let all_running: f64 = of_service().map(running).sum();
        let peer_running: f64 = of_service().filter(takes_work).map(running).sum();
        let peer_share = if all_running > 0.0 { peer_running / all_running } else { 1.0 };
        EngineCapacity { slots: distinct + interchangeable, peer_running, peer_share, peer_report_age }
    }
}
