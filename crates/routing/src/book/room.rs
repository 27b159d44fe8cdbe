//! How much work the engines of a service take, as far as this node knows.

use std::time::Duration;

use sumacdrift_types::Timestamp;

use super::EngineBook;
use super::outliers::is_put_aside;
use crate::engine::Engine;
use crate::others::BelievedLoads;

/// Engines of a service, as a place for work.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct EngineRoom {
    /// Slots of the engines that take new work and are not avoided.
    pub slots: usize,
    /// Calls of other nodes under way at those engines.
    pub others_running: f64,
    /// Share of other nodes' calls of the service that are under way at those engines: the rest is at engines that this node
    /// doesn't reach, or avoids, and takes no room here.
    pub others_share: f64,
    /// Age of what is known of other nodes' calls; `None` where nothing is.
    pub others_age: Option<Duration>,
}

impl EngineBook {
    /// The room at the engines of a service.
    pub fn room(&self, service: &str, now: Timestamp) -> EngineRoom {
        let of_service = || self.engines.noted().filter(|engine| &*engine.spec.service == service);
        let takes_work = |engine: &&Engine| {
            let takes_calls = engine.is_usable(now) && engine.is_sound(now) && !is_put_aside(engine, now);
            takes_calls && !self.is_evacuated(&engine.spec.zone)
        };
        let noted: usize = of_service().filter(takes_work).map(|engine| engine.spec.slots).sum();
        let alike = self.engines.alike_slots(service, |zone| !self.is_evacuated(zone));
        let others_age = self.others_told.age(now);
        let told = of_service().map(|engine| engine.others);
        let believed = BelievedLoads::among(told, self.engines.alike(service), others_age);
        let running = |engine: &Engine| believed.by_now(&engine.others).running;
        let all_running: f64 = of_service().map(running).sum();
        let others_running: f64 = of_service().filter(takes_work).map(running).sum();
        let others_share = if all_running > 0.0 { others_running / all_running } else { 1.0 };
        EngineRoom { slots: noted + alike, others_running, others_share, others_age }
    }
}
