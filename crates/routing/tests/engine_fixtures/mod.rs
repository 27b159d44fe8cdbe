//! Fixtures: engines, a registry of them and plain requests.
#![allow(dead_code)]

use std::sync::LazyLock;
use std::time::Duration;

use sumacdrift_calls::{EngineId, EngineVersion};
use sumacdrift_routing::{
    EngineRegistry, EngineSpec, Permit, PlacementRequest, RequestedWork, RequiredPart, TrafficPrices,
};
use sumacdrift_scheduling::CircuitBreakerSettings;
use sumacdrift_types::{AllowedRegions, DisabledMechanisms, Location, Mechanism, Timestamp};

pub static ANYWHERE: LazyLock<AllowedRegions> = LazyLock::new(AllowedRegions::default);
pub const NOW: Timestamp = Timestamp(5_000_000);

pub fn spec(id: &str, zone: &str) -> EngineSpec {
    EngineSpec {
        id: EngineId::new(id),
        service: "s".into(),
        version: EngineVersion::default(),
        address: ([10, 0, 0, 1], 80).into(),
        zone: zone.into(),
        slots: 4,
        is_draining: false,
        warmup_left: Duration::ZERO,
        report: 1,
    }
}

pub fn registry(engines: &[(&str, &str)]) -> EngineRegistry {
    registry_without(&[], engines)
}

pub fn registry_without(disabled: &[Mechanism], engines: &[(&str, &str)]) -> EngineRegistry {
    let health = CircuitBreakerSettings { failure_threshold: 2, ..CircuitBreakerSettings::default() };
    let disabled: DisabledMechanisms = disabled.iter().copied().collect();
    let mut registry =
        EngineRegistry::new(Location::in_zone("z1"), TrafficPrices::default(), disabled, health);
    for (id, zone) in engines {
        registry.upsert(spec(id, zone), NOW);
    }
    registry
}

/// A non-streaming call.
pub fn request(avoid: &[EngineId]) -> PlacementRequest<'_> {
    PlacementRequest {
        service: "s",
        regions: &ANYWHERE,
        key: 1,
        work: RequestedWork::Buffered { usual: Duration::from_millis(40), is_sticky: false },
        kilobytes: 1.0,
        is_connected: &|_| true,
        avoid,
        deprioritized: &[],
        only: None,
        version: None,
    }
}

pub fn chosen(registry: &EngineRegistry, request: &PlacementRequest<'_>, now: Timestamp) -> Option<String> {
    registry.choose(request, now).map(|placement| placement.engine.to_string())
}

/// A turn of the program with affinity key `key`.
pub fn turn(key: u64, parts: &[RequiredPart]) -> PlacementRequest<'_> {
    PlacementRequest { key, work: RequestedWork::Stream { parts }, ..request(&[]) }
}

pub fn may_send(registry: &EngineRegistry, engine: &str, permit: Option<Permit>, now: Timestamp) -> bool {
    registry.may_send(&EngineId::new(engine), permit, now)
}
