//! The engines there are, and what is believed of each.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use sumacdrift_calls::EngineId;
use sumacdrift_scheduling::{Health, HealthSettings};
use sumacdrift_types::{Timestamp, rendezvous_order};

use crate::placement::{PlacementFacts, placement_cost};
use crate::routes::GOLDEN_STEP;

/// How long an engine that left the directory may still be used where no other is left.
const LAST_RESORT_TIME: Duration = Duration::from_millis(1200);

/// Outages of the directory shorter than this leave no engine out that is there.
const SHORTEST_OUTAGE: Duration = Duration::from_secs(1);
/// Time that engines take to report again after an outage of the directory.
const REPORT_AGAIN_TIME: Duration = Duration::from_millis(1700);

/// An engine as the directory describes it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct EngineSpec {
    /// Its life.
    pub id: EngineId,
    /// Its service.
    pub service: Arc<str>,
    /// Its address.
    pub address: SocketAddr,
    /// Its zone.
    pub zone: Arc<str>,
    /// Calls that it works on at once.
    pub slots: usize,
    /// Whether it said that it takes no new work.
    pub is_leaving: bool,
    /// Number of the engine's report that said so; later ones are higher.
    pub report: u64,
}

/// What a call needs.
#[derive(Debug, Clone)]
pub struct PlacementRequest<'a> {
    /// The service.
    pub service: &'a str,
    /// The node's zone.
    pub zone: &'a str,
    /// What the call is about.
    pub affinity: Option<&'a str>,
    /// Engines that must not be chosen.
    pub avoid: &'a [EngineId],
    /// Engines to be chosen only if there is no other.
    pub rather_not: &'a [EngineId],
    /// The only engine that may be chosen.
    pub only: Option<&'a EngineId>,
    /// A number drawn for this choice, from 0 to 1.
    pub tie: f64,
}

/// A chosen engine.
#[derive(Debug, Clone, PartialEq)]
pub struct Placed {
    /// The engine.
    pub engine: EngineId,
    /// Its address.
    pub address: SocketAddr,
    /// Its cost by [`placement_cost`].
    pub cost: f64,
    /// Calls of this node under way there.
    pub in_flight: usize,
    /// Engines that could have been chosen.
    pub candidates: usize,
}

/// How a call at an engine ended, as far as it shows the engine's health.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Outcome {
    /// Well, or by the caller's doing.
    Sound,
    /// It turned the call away.
    Busy,
    /// By the engine's fault.
    Faulty,
    /// It could not be reached.
    Unreachable,
}

#[derive(Debug)]
struct Entry {
    spec: EngineSpec,
    in_flight: usize,
    health: Health,
    unusable_since: Option<Timestamp>,
}

impl Entry {
    fn is_usable(&self, now: Timestamp) -> bool {
        self.unusable_since.is_none_or(|since| since > now)
    }
}

/// The engines there are.
#[derive(Debug)]
pub struct EngineBook {
    engines: BTreeMap<EngineId, Entry>,
    health: HealthSettings,
}

impl EngineBook {
    /// No engines yet.
    pub fn new(health: HealthSettings) -> Self {
        Self { engines: BTreeMap::new(), health }
    }

    /// Takes in an engine's entry in the directory; returns whether it changes what is believed.
    pub fn upsert(&mut self, spec: EngineSpec, now: Timestamp) -> bool {
        let leaving_since = spec.is_leaving.then_some(now);
        let Some(entry) = self.engines.get_mut(&spec.id) else {
            let health = Health::new(self.health);
            let id = spec.id.clone();
            let entry = Entry { spec, in_flight: 0, health, unusable_since: leaving_since };
            self.engines.insert(id, entry);
            return true;
        };
        let is_old = spec.report < entry.spec.report;
        let comes_back = entry.spec.is_leaving && !spec.is_leaving;
        if is_old || comes_back {
            // A report that was held up on its way; an engine that leaves does not change its mind.
            return false;
        }
        let has_changed = entry.spec.is_leaving != spec.is_leaving
            || (entry.unusable_since.is_some() && leaving_since.is_none());
        entry.unusable_since = match (entry.unusable_since, leaving_since) {
            (Some(since), Some(_)) => Some(since),
            (_, leaving) => leaving,
        };
        entry.spec = spec;
        has_changed
    }

    /// The directory no longer has an engine.
    pub fn remove(&mut self, id: &EngineId, now: Timestamp) -> bool {
        let Some(entry) = self.engines.get_mut(id) else { return false };
        let was_usable = entry.is_usable(now);
        entry.unusable_since = Some(entry.unusable_since.map_or(now, |since| since.min(now)));
        was_usable
    }

    /// Makes the whole directory known: engines that are not in it are gone.
    ///
    /// After an outage of the directory engines may be missing only because they could not report meanwhile. They
    /// stay in use for the time that an engine takes to report again.
    pub fn replace_all(&mut self, specs: Vec<EngineSpec>, outage: Duration, now: Timestamp) {
        let grace = if outage >= SHORTEST_OUTAGE { REPORT_AGAIN_TIME } else { Duration::ZERO };
        for (id, entry) in &mut self.engines {
            if !specs.iter().any(|spec| spec.id == *id) {
                let gone = now + grace;
                entry.unusable_since = Some(entry.unusable_since.map_or(gone, |since| since.min(gone)));
            }
        }
        for spec in specs {
            self.upsert(spec, now);
        }
    }

    /// Forgets engines that are gone and have no calls.
    pub fn forget_gone(&mut self, now: Timestamp, after: Duration) {
        self.engines.retain(|_, entry| {
            let is_long_gone = entry.unusable_since.is_some_and(|since| now.since(since) >= after);
            entry.in_flight > 0 || entry.spec.is_leaving || !is_long_gone
        });
    }

    /// Engines of a service that take new work.
    pub fn usable(&self, service: &str, now: Timestamp) -> usize {
        self.engines.values().filter(|entry| &*entry.spec.service == service && entry.is_usable(now)).count()
    }

    /// The service of an engine.
    pub fn spec(&self, id: &EngineId) -> Option<&EngineSpec> {
        self.engines.get(id).map(|entry| &entry.spec)
    }

    /// The engine of least cost.
    pub fn choose(&self, request: &PlacementRequest<'_>, now: Timestamp) -> Option<Placed> {
        let may = |entry: &&Entry| {
            let is_service = &*entry.spec.service == request.service;
            let is_only = request.only.is_none_or(|only| entry.spec.id == *only);
            is_service && is_only && !request.avoid.contains(&entry.spec.id)
        };
        let candidates: Vec<&Entry> = self.engines.values().filter(may).collect();
        let is_fresh = |entry: &Entry| !request.rather_not.contains(&entry.spec.id);
        let is_usable = |entry: &Entry| entry.is_usable(now);
        let is_sound = |entry: &Entry| entry.health.allowed(entry.spec.slots, now) > 0;
        let is_just_gone =
            |entry: &Entry| entry.unusable_since.is_none_or(|since| now.since(since) < LAST_RESORT_TIME);
        // From the best to the last resort.
        let tiers: [&dyn Fn(&Entry) -> bool; 4] = [
            &|entry| is_fresh(entry) && is_usable(entry) && is_sound(entry),
            &|entry| is_fresh(entry) && is_usable(entry),
            &|entry| is_usable(entry),
            &|entry| is_just_gone(entry),
        ];
        tiers.iter().find_map(|tier| {
            let fit: Vec<&Entry> = candidates.iter().copied().filter(|entry| tier(entry)).collect();
            cheapest(&fit, request)
        })
    }

    /// A call goes to an engine.
    pub fn sent(&mut self, id: &EngineId, now: Timestamp) {
        if let Some(entry) = self.engines.get_mut(id) {
            entry.in_flight += 1;
            entry.health.sent(now);
        }
    }

    /// A call at an engine ended; returns whether the engine is now avoided and was not before.
    pub fn ended(&mut self, id: &EngineId, outcome: Outcome, now: Timestamp) -> bool {
        let Some(entry) = self.engines.get_mut(id) else { return false };
        entry.in_flight = entry.in_flight.saturating_sub(1);
        let was_allowed = entry.health.allowed(entry.spec.slots, now) > 0;
        match outcome {
            Outcome::Sound => entry.health.succeeded(now),
            Outcome::Busy => {}
            Outcome::Faulty | Outcome::Unreachable => entry.health.failed(now),
        }
        was_allowed && entry.health.allowed(entry.spec.slots, now) == 0
    }
}

fn cheapest(candidates: &[&Entry], request: &PlacementRequest<'_>) -> Option<Placed> {
    let ranks = request.affinity.map(|key| affinity_ranks(candidates, key, request.zone));
    let facts = |position: usize, entry: &Entry| PlacementFacts {
        in_flight: entry.in_flight,
        is_in_zone: &*entry.spec.zone == request.zone,
        affinity_rank: ranks.as_ref().map(|ranks| ranks[position]),
        tie: tie_of(request.tie, position),
    };
    let costs = candidates.iter().enumerate().map(|(position, entry)| {
        let cost = placement_cost(&facts(position, entry));
        (cost, *entry)
    });
    let (cost, entry) = costs.min_by(|(left, _), (right, _)| left.total_cmp(right))?;
    Some(Placed {
        engine: entry.spec.id.clone(),
        address: entry.spec.address,
        cost,
        in_flight: entry.in_flight,
        candidates: candidates.len(),
    })
}

/// Position of each candidate in the order of preference for a key: engines of the own zone first, each group by
/// rendezvous hashing, so that nodes of a zone agree without a word.
fn affinity_ranks(candidates: &[&Entry], key: &str, zone: &str) -> Vec<usize> {
    let positions: Vec<usize> = (0..candidates.len()).collect();
    let name = |position: &usize| candidates[*position].spec.id.as_str().as_bytes().to_vec();
    let mut order = rendezvous_order(key.as_bytes(), &positions, name);
    // The sort is stable: within a zone the order stays.
    order.sort_by_key(|position| &*candidates[*position].spec.zone != zone);
    let mut ranks = vec![0; candidates.len()];
    for (rank, position) in order.into_iter().enumerate() {
        ranks[position] = rank;
    }
    ranks
}

/// A different number for each candidate from the one that was drawn.
fn tie_of(drawn: f64, position: usize) -> f64 {
    (drawn + position as f64 * GOLDEN_STEP).fract()
}
