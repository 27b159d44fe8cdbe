//! Engines, a book of them, and plain requests.
#![allow(dead_code)]

use std::time::Duration;

use sumacdrift_calls::EngineId;
use sumacdrift_routing::{EngineBook, EngineSpec, Permit, PlacementRequest, RequestedWork};
use sumacdrift_scheduling::HealthSettings;
use sumacdrift_types::{Mechanism, SwitchedOff, Timestamp};

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
    let mut book = EngineBook::without(off, health);
    for (id, zone) in engines {
        book.upsert(spec(id, zone), NOW);
    }
    book
}

/// A call that is answered as a whole.
pub fn request(avoid: &[EngineId]) -> PlacementRequest<'_> {
    PlacementRequest {
        service: "s",
        zone: "z1",
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

/// Whether a call may be sent to an engine, by a permit or without one.
pub fn may_send(book: &EngineBook, engine: &str, permit: Option<Permit>, now: Timestamp) -> bool {
    book.may_send(&EngineId::new(engine), permit, now)
}
