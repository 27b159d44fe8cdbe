//! Cost model of a call at an engine, in milliseconds: its own duration, the delay imposed on other calls there, and
//! the network cost.

use crate::distance::PathCost;

/// State of an engine relevant to the cost of a call.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct EngineState {
    /// Tokens of the call's prompt that the engine has not cached.
    pub unread_tokens: f64,
    /// Tokens of other calls' prompts that the engine has yet to prefill.
    pub queued_tokens: f64,
    /// Estimated calls in flight from all nodes.
    pub running: f64,
    /// Number of calls processed concurrently.
    pub slots: f64,
    /// How many times longer than usual for its service the engine takes.
    pub slowness: f64,
    /// Path from this node to the engine.
    pub path: PathCost,
}

/// Work of a call.
#[allow(missing_docs)]
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct CallWork {
    /// Events to generate; 1 for a non-streaming call.
    pub events: f64,
    /// Kilobytes sent to the engine.
    pub zone_kilobytes: f64,
    /// Calls that would cross zones if this one does, including its follow-ups.
    pub zone_calls: f64,
}

/// Speeds of a service's typical engine.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Speeds {
    /// Prefill time of one prompt token.
    pub read_millis_per_token: f64,
    /// Time to the first event excluding the prefill.
    pub first_millis: f64,
    /// Time of one event while no other call is in flight.
    pub event_millis: f64,
    /// Time that each other call in flight adds to an event.
    pub event_millis_per_call: f64,
}

/// Estimated cost in milliseconds.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Estimate {
    /// Until the call's end.
    pub own_millis: f64,
    /// Sum of the delays of other calls in flight at the engine.
    pub imposed_millis: f64,
    /// Cost of the path to another zone or region.
    pub zone_millis: f64,
}

impl Estimate {
    /// The value to minimize.
    pub fn total(&self) -> f64 {
        self.own_millis + self.imposed_millis + self.zone_millis
    }
}

/// Estimates the cost of a call at an engine.
pub fn estimate(engine: &EngineState, work: &CallWork, speeds: &Speeds) -> Estimate {
    let event_millis = speeds.event_millis + speeds.event_millis_per_call * engine.running;
    let generating = work.events * event_millis * engine.slowness;
    let read_millis = speeds.read_millis_per_token * engine.slowness;
    let reading = (engine.queued_tokens + engine.unread_tokens) * read_millis;
    let first = speeds.first_millis * engine.slowness;
    // A call queues while all slots are taken.
    let queue_rounds = ((engine.running + 1.0 - engine.slots) / engine.slots.max(1.0)).max(0.0);
    let waiting = queue_rounds * (first + generating);
    // The other running calls generate nothing during this call's prefill, and slightly slower afterwards.
    let added_event_millis = work.events * speeds.event_millis_per_call * engine.slowness;
    let imposed = engine.running * (engine.unread_tokens * read_millis + added_event_millis);
    let path = engine.path;
    let network = work.zone_calls * (path.round_trip_millis + work.zone_kilobytes * path.millis_per_kilobyte);
    Estimate {
        own_millis: waiting + first + reading + generating,
        imposed_millis: imposed,
        zone_millis: network,
    }
}
