//! The choice among engines for one call.

use std::time::Duration;

use sumacdrift_calls::EngineId;
use sumacdrift_fleet_view::PartHeld;
use sumacdrift_types::{AllowedRegions, Mechanism, SwitchedOff, Timestamp};

use crate::cold::ColdLimit;
use crate::distance::{Distances, Way};
use crate::engine::Engine;
use crate::estimate::{CallWork, EngineFacts, Estimate, Speeds, estimate};
use crate::others::BelievedLoads;

/// Share of an estimate by which engines differ for a call at random, so that nodes that know the same do not all
/// choose the same one.
const SPREAD_SHARE: f64 = 0.05;
/// The same for calls that are answered as a whole, whose engines are told apart by the calls under way there.
const WHOLE_SPREAD_SHARE: f64 = 0.01;
/// How many calls of a program that begins are weighed at once: the later ones go where its first one went.
pub(crate) const CALLS_OF_A_BEGINNING: f64 = 4.0;
/// What asking for a permit for a cold engine costs: an exchange with a node of the region.
const PERMIT_MILLIS: f64 = 3.0;
/// Share of the usual time that a call about something takes longer at an engine that has not seen it.
const UNSEEN_SHARE: f64 = 0.15;

/// A part of a call's prompt.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PartNeed {
    /// The part, see [`sumacdrift_fleet_view::part_key`].
    pub part: u64,
    /// Its length.
    pub tokens: u64,
}

/// What a call makes an engine do.
#[derive(Debug, Clone, Copy)]
pub enum RequestedWork<'a> {
    /// Read a prompt and generate events.
    Stream {
        /// The prompt, in order.
        parts: &'a [PartNeed],
    },
    /// Answer as a whole.
    Whole {
        /// How long calls of this kind usually take.
        usual: Duration,
        /// Whether an engine that has seen the same thing is faster.
        is_sticky: bool,
    },
}

/// What a call needs.
#[derive(Clone)]
pub struct PlacementRequest<'a> {
    /// The service.
    pub service: &'a str,
    /// Regions in which it may be served.
    pub regions: &'a AllowedRegions,
    /// Number of what the call is about: for equal costs, equal numbers prefer the same engine.
    pub key: u64,
    /// The work.
    pub work: RequestedWork<'a>,
    /// Kilobytes that travel to the engine.
    pub kilobytes: f64,
    /// Whether a connection to an engine is open and has nothing to do.
    pub is_connected: &'a dyn Fn(&EngineId) -> bool,
    /// Engines that must not be chosen.
    pub avoid: &'a [EngineId],
    /// Engines to be chosen only if there is no other.
    pub rather_not: &'a [EngineId],
    /// The only engine that may be chosen.
    pub only: Option<&'a EngineId>,
}

/// A chosen engine.
#[derive(Debug, Clone, PartialEq)]
pub struct Placed {
    /// The engine.
    pub engine: EngineId,
    /// Its address.
    pub address: std::net::SocketAddr,
    /// What the call is expected to meet there.
    pub estimate: Estimate,
    /// Tokens of the prompt that it has to read.
    pub unread_tokens: u64,
    /// Tokens that it has to read before the first event, with those of other calls.
    pub tokens_ahead: f64,
    /// Calls of all nodes under way there, as far as is known.
    pub running: f64,
    /// Age of what is known of other nodes' calls; `None` where nothing is.
    pub others_age: Option<Duration>,
    /// Engines that were weighed: of those of which nothing is known, only the ones that the call prefers.
    pub candidates: usize,
    /// The least cost among the others that could have been chosen.
    pub next_best: Option<f64>,
    /// What it takes while it is cold, where it is: the call needs a permit.
    pub cold: Option<ColdLimit>,
}

/// What holds for all engines in one choice.
pub(crate) struct Choice<'a> {
    pub(crate) off: SwitchedOff,
    pub(crate) request: &'a PlacementRequest<'a>,
    pub(crate) distances: &'a Distances,
    pub(crate) speeds: Speeds,
    pub(crate) events: f64,
    /// Calls that cross zones if this one does.
    pub(crate) zone_calls: f64,
    pub(crate) others: BelievedLoads,
    pub(crate) others_age: Option<Duration>,
    pub(crate) held: HeldTokens,
    pub(crate) now: Timestamp,
}

struct Candidate<'a> {
    engine: &'a Engine,
    facts: EngineFacts,
    estimate: Estimate,
    cost: f64,
}

impl Choice<'_> {
    /// The engine of least cost among those that are fittest.
    pub(crate) fn best<'e>(&self, engines: impl Iterator<Item = &'e Engine>) -> Option<Placed> {
        let candidates: Vec<&Engine> = engines.filter(|engine| self.may_serve(engine)).collect();
        // From the best to the last resort.
        let tiers: [&dyn Fn(&Engine) -> bool; 4] = [
            &|engine| self.is_fresh(engine) && engine.is_usable(self.now) && self.is_sound(engine),
            &|engine| self.is_fresh(engine) && engine.is_usable(self.now),
            &|engine| engine.is_usable(self.now),
            &|engine| engine.is_last_resort(self.now),
        ];
        tiers.iter().find_map(|tier| self.cheapest(candidates.iter().copied().filter(|engine| tier(engine))))
    }

    fn may_serve(&self, engine: &Engine) -> bool {
        let is_only = self.request.only.is_none_or(|only| engine.spec.id == *only);
        &*engine.spec.service == self.request.service
            && is_only
            && !self.request.avoid.contains(&engine.spec.id)
    }

    fn is_sound(&self, engine: &Engine) -> bool {
        let fails_others =
            self.others.by_now(&engine.others).fails() && self.off.allows(Mechanism::ToldFailures);
        let is_sound = engine.is_sound(self.now) || !self.off.allows(Mechanism::Health);
        is_sound && !fails_others && self.is_admitted(engine)
    }

    /// Whether the engine is not put aside for this call.
    fn is_admitted(&self, engine: &Engine) -> bool {
        let watch = engine.outlier.as_ref();
        watch.is_none_or(|watch| watch.admits(self.request.key, engine.key, engine.running, self.now))
    }

    fn is_fresh(&self, engine: &Engine) -> bool {
        !self.request.rather_not.contains(&engine.spec.id)
    }

    fn cheapest<'e>(&self, engines: impl Iterator<Item = &'e Engine>) -> Option<Placed> {
        let mut best: Option<Candidate<'_>> = None;
        let mut next_best = f64::INFINITY;
        let mut candidates = 0;
        for engine in engines {
            candidates += 1;
            let best_cost = best.as_ref().map_or(f64::INFINITY, |best| best.cost);
            let mut candidate = self.weigh(engine);
            // Asked only where it may decide.
            if candidate.cost < best_cost && self.needs_connection(engine) {
                candidate.cost += self.distances.connection_millis(candidate.facts.way);
            }
            if candidate.cost < best_cost {
                next_best = best_cost;
                best = Some(candidate);
            } else {
                next_best = next_best.min(candidate.cost);
            }
        }
        let best = best?;
        Some(Placed {
            engine: best.engine.spec.id.clone(),
            address: best.engine.spec.address,
            estimate: best.estimate,
            unread_tokens: best.facts.unread_tokens as u64,
            tokens_ahead: best.facts.unread_tokens + best.facts.queued_tokens,
            running: best.facts.running,
            others_age: self.others_age,
            candidates,
            next_best: next_best.is_finite().then_some(next_best),
            cold: None,
        })
    }

    fn needs_connection(&self, engine: &Engine) -> bool {
        self.off.allows(Mechanism::OpenConnections) && !(self.request.is_connected)(&engine.spec.id)
    }

    fn weigh<'e>(&self, engine: &'e Engine) -> Candidate<'e> {
        let others = self.others.by_now(&engine.others);
        let drawn = drawn(self.request.key, engine.key);
        let facts = EngineFacts {
            unread_tokens: self.held.unread(engine.key),
            queued_tokens: engine.unread_tokens as f64 + others.unread_tokens,
            running: engine.running as f64 + others.running,
            slots: engine.spec.slots as f64,
            slowness: if self.off.allows(Mechanism::Slowness) { engine.slowness(self.now) } else { 1.0 },
            way: if self.off.allows(Mechanism::Zones) {
                self.distances.way_to(&engine.spec.zone)
            } else {
                Way::IN_ZONE
            },
        };
        let work = CallWork {
            events: self.events,
            zone_kilobytes: self.request.kilobytes,
            zone_calls: self.zone_calls,
        };
        let mut estimate = estimate(&facts, &work, &self.speeds);
        if !self.off.allows(Mechanism::OthersDelay) {
            estimate.others_millis = 0.0;
        }
        let spread = match self.request.work {
            RequestedWork::Whole { is_sticky: true, .. } => UNSEEN_SHARE,
            RequestedWork::Whole { .. } => WHOLE_SPREAD_SHARE,
            RequestedWork::Stream { .. } => SPREAD_SHARE,
        };
        let permit = if engine.coldness.is_cold(self.now) { PERMIT_MILLIS } else { 0.0 };
        let cost = estimate.total() + permit + spread * drawn * estimate.own_millis;
        Candidate { engine, facts, estimate, cost }
    }
}

/// A number from 0 to 1 for a key and an engine, by which equal keys prefer the same engines.
pub(crate) fn drawn(key: u64, engine: u32) -> f64 {
    mixed(key, engine) as f64 / u64::MAX as f64
}

/// The same as a whole number.
pub(crate) fn mixed(key: u64, engine: u32) -> u64 {
    // The finalizer of SplitMix64.
    let mut mixed = key ^ u64::from(engine).wrapping_mul(0x9e37_79b9_7f4a_7c15);
    mixed = (mixed ^ (mixed >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    mixed = (mixed ^ (mixed >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    mixed ^ (mixed >> 31)
}

/// How much of a prompt each engine holds.
#[derive(Debug, Default)]
pub(crate) struct HeldTokens {
    prompt_tokens: u64,
    /// Engines that hold anything, ordered by key.
    engines: Vec<(u32, u64)>,
}

impl HeldTokens {
    /// Adds up what engines hold of a prompt: part after part, as long as none is missing in between.
    pub(crate) fn of(parts: &[PartNeed], known: &[PartHeld]) -> Self {
        let mut keys: Vec<u32> = known.iter().map(|held| held.engine).collect();
        keys.sort_unstable();
        keys.dedup();
        let engines = keys.into_iter().map(|key| (key, held_at(key, parts, known))).collect();
        Self { prompt_tokens: parts.iter().map(|part| part.tokens).sum(), engines }
    }

    /// Whether any engine holds something of the prompt's last part: the call goes on from an earlier one.
    pub(crate) fn goes_on(parts: &[PartNeed], known: &[PartHeld]) -> bool {
        parts.last().is_some_and(|last| known.iter().any(|held| held.part == last.part))
    }

    /// Engines that hold anything.
    pub(crate) fn engines(&self) -> impl Iterator<Item = u32> {
        self.engines.iter().map(|(key, _)| *key)
    }

    fn unread(&self, engine: u32) -> f64 {
        let found = self.engines.binary_search_by_key(&engine, |(key, _)| *key);
        let held = found.map_or(0, |place| self.engines[place].1);
        self.prompt_tokens.saturating_sub(held) as f64
    }
}

fn held_at(engine: u32, parts: &[PartNeed], known: &[PartHeld]) -> u64 {
    let mut total = 0;
    for part in parts {
        let of_part = known.iter().filter(|held| held.engine == engine && held.part == part.part);
        let held = of_part.map(|held| u64::from(held.tokens)).max().unwrap_or(0);
        total += held.min(part.tokens);
        if held < part.tokens {
            break;
        }
    }
    total
}
