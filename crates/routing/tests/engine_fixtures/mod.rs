//! Fixtures: engines, a book of them and plain requests.
#![allow(dead_code)]

use std::sync::LazyLock;
use std::time::Duration;

use sumacdrift_calls::EngineId;
use sumacdrift_routing::{
    EngineBook, EngineSpec, PartNeed, Permit, PlacementRequest, RequestedWork, TrafficPrices,
};
use sumacdrift_scheduling::HealthSettings;
use sumacdrift_types::{AllowedRegions, Location, Mechanism, SwitchedOff, Timestamp};

pub static ANYWHERE: LazyLock<AllowedRegions> = LazyLock::new(AllowedRegions::default);
pub const NOW: Timestamp = Timestamp(5_000_000);

pub fn spec(id: &str, zone: &str) -> EngineSpec {
    EngineSpec {
        id: EngineId::new(id),
        service: "s".into(),
        address: ([10, 0, 0, 1], 80).into(),
        zone: zone.into(),
        slots: 4,
        is_leaving: false,
        cold_left: Duration::ZERO,
        report: 1,
    }
}

pub fn book(engines: &[(&str, &str)]) -> EngineBook {
    book_without(&[], engines)
}

pub fn book_without(off: &[Mechanism], engines: &[(&str, &str)]) -> EngineBook {
    let health = HealthSettings { failures_to_open: 2, ..HealthSettings::default() };
    let off: SwitchedOff = off.iter().copied().collect();
    let mut book = EngineBook::new(Location::in_zone("z1"), TrafficPrices::default(), off, health);
    for (id, zone) in engines {
        book.upsert(spec(id, zone), NOW);
    }
    book
}

/// A non-streaming call.
pub fn request(avoid: &[EngineId]) -> PlacementRequest<'_> {
    PlacementRequest {
        service: "s",
        regions: &ANYWHERE,
        key: 1,
        work: RequestedWork::Whole { usual: Duration::from_millis(40), is_sticky: false },
        kilobytes: 1.0,
        is_connected: &|_| true,
        avoid,
        rather_not: &[],
        only: None,
    }
}

pub fn chosen(book: &EngineBook, request: &PlacementRequest<'_>, now: Timestamp) -> Option<String> {
    book.choose(request, now).map(|placed| placed.engine.to_string())
}

/// A turn of the program with affinity key `key`.
pub fn turn(key: u64, parts: &[PartNeed]) -> PlacementRequest<'_> {
    PlacementRequest { key, work: RequestedWork::Stream { parts }, ..request(&[]) }
}

pub fn may_send(book: &EngineBook, engine: &str, permit: Option<Permit>, now: Timestamp) -> bool {
    book.may_send(&EngineId::new(engine), permit, now)
}
