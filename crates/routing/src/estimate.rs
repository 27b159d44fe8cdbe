//! When a call would end at an engine, and what that costs the other calls there: one plain function, in milliseconds.

use crate::distance::Way;

/// What is known of an engine as a place for a call.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct EngineFacts {
    /// Tokens of the call's prompt that the engine does not hold.
    pub unread_tokens: f64,
    /// Tokens of other calls' prompts that it still has to read.
    pub queued_tokens: f64,
    /// Calls under way there, of all nodes as far as is known.
    pub running: f64,
    /// Calls that it works on at once.
    pub slots: f64,
    /// How many times longer than usual for its service it takes.
    pub slowness: f64,
    /// The way there.
    pub way: Way,
}

/// What a call asks of an engine.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct CallWork {
    /// Events that are generated; 1 for a call that is answered as a whole.
    pub events: f64,
    /// Kilobytes that travel to the engine.
    pub zone_kilobytes: f64,
    /// Calls that leave the zone if this one does: those that follow it, too.
    pub zone_calls: f64,
}

/// Speeds of an engine that is as fast as is usual for its service.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Speeds {
    /// Milliseconds to read one token of a prompt.
    pub read_millis_per_token: f64,
    /// Milliseconds until the first event besides the reading.
    pub first_millis: f64,
    /// Milliseconds for an event when the call is alone.
    pub event_millis: f64,
    /// Milliseconds that each other call under way adds to an event.
    pub event_millis_per_call: f64,
}

/// An estimate in milliseconds.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Estimate {
    /// Until the call's end.
    pub own_millis: f64,
    /// By which the other calls under way there end later, together.
    pub others_millis: f64,
    /// What the way to another zone or region is worth.
    pub zone_millis: f64,
}

impl Estimate {
    /// What is compared between engines; the least is best.
    pub fn total(&self) -> f64 {
        self.own_millis + self.others_millis + self.zone_millis
    }
}

/// Estimates what a call meets at an engine.
pub fn estimate(engine: &EngineFacts, work: &CallWork, speeds: &Speeds) -> Estimate {
    let event_millis = speeds.event_millis + speeds.event_millis_per_call * engine.running;
    let generating = work.events * event_millis * engine.slowness;
    let read_millis = speeds.read_millis_per_token * engine.slowness;
    let reading = (engine.queued_tokens + engine.unread_tokens) * read_millis;
    let first = speeds.first_millis * engine.slowness;
    // While all slots are taken a call waits for its turn.
    let turns_to_wait = ((engine.running + 1.0 - engine.slots) / engine.slots.max(1.0)).max(0.0);
    let waiting = turns_to_wait * (first + generating);
    // Others generate nothing while this prompt is read, and a little slower afterwards.
    let slower_steps = work.events * speeds.event_millis_per_call * engine.slowness;
    let others = engine.running * (engine.unread_tokens * read_millis + slower_steps);
    let way = engine.way;
    let zone = work.zone_calls * (way.round_trip_millis + work.zone_kilobytes * way.millis_per_kilobyte);
    Estimate { own_millis: waiting + first + reading + generating, others_millis: others, zone_millis: zone }
}
