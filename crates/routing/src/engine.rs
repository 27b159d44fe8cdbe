//! One engine and what is believed of it.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use sumacdrift_calls::EngineId;
use sumacdrift_fleet_view::engine_key;
use sumacdrift_scheduling::{Health, HealthSettings};
use sumacdrift_types::Timestamp;

use crate::cold::Coldness;
use crate::ejection::OutlierWatch;
use crate::others::OtherLoad;
use crate::recent_calls::CallCounts;
use crate::slowness::Slowness;

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
    /// How much longer it is cold, as it said.
    pub cold_left: Duration,
    /// Number of the engine's report that said so; later ones are higher.
    pub report: u64,
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

/// An engine and what is believed of it.
#[derive(Debug)]
pub(crate) struct Engine {
    pub(crate) spec: EngineSpec,
    pub(crate) key: u32,
    /// Calls of this node under way there.
    pub(crate) running: usize,
    /// Tokens of their prompts that are still to be read.
    pub(crate) unread_tokens: u64,
    pub(crate) health: Health,
    pub(crate) unusable_since: Option<Timestamp>,
    /// Whether it gets nothing at all until its entry is there again.
    is_withdrawn: bool,
    pub(crate) coldness: Coldness,
    slowness: Slowness,
    last_end: Option<LastEnd>,
    /// How many of its calls failed of late, and whether it is put aside for that; `None` where it had no calls of late.
    pub(crate) outlier: Option<Box<OutlierWatch>>,
    /// What other nodes told last of their calls there.
    pub(crate) others: OtherLoad,
    /// Its place among the engines of which nothing is known, where it is one of them.
    pub(crate) alike: Option<AlikePlace>,
}

/// A place among engines of which nothing is known.
#[derive(Debug, Clone, Copy)]
pub(crate) struct AlikePlace {
    /// The engines that are alike.
    pub(crate) group: usize,
    /// The row among them.
    pub(crate) row: usize,
}

/// How calls of this node at an engine ended last.
#[derive(Debug, Clone, Copy)]
struct LastEnd {
    at: Timestamp,
    failed_in_a_row: u32,
}

/// How long an engine that left the directory may still be used where no other is left.
const LAST_RESORT_TIME: Duration = Duration::from_millis(1200);
/// How long the end of a call says something to others.
const END_COUNTS_FOR: Duration = Duration::from_secs(2);

impl Engine {
    pub(crate) fn new(spec: EngineSpec, health: HealthSettings, now: Timestamp) -> Self {
        let mut coldness = Coldness::default();
        coldness.told(spec.cold_left, now);
        Self {
            coldness,
            key: engine_key(&spec.id.life_text()),
            running: 0,
            unread_tokens: 0,
            health: Health::new(health),
            unusable_since: spec.is_leaving.then_some(now),
            is_withdrawn: false,
            slowness: Slowness::usual(now),
            last_end: None,
            outlier: None,
            others: OtherLoad::default(),
            alike: None,
            spec,
        }
    }

    /// Whether nothing is known of it that tells it from others of its service and zone.
    pub(crate) fn is_like_others(&self, now: Timestamp) -> bool {
        let is_idle = self.running == 0 && self.unread_tokens == 0 && self.others == OtherLoad::default();
        let is_usable = self.unusable_since.is_none() && !self.is_withdrawn && !self.coldness.is_cold(now);
        let is_sound = self.health.is_settled(now) && self.failed_of_late(now).is_none();
        let is_no_outlier = self.outlier.as_ref().is_none_or(|watch| watch.is_settled(now));
        is_idle && is_usable && is_sound && is_no_outlier && self.slowness.is_usual(now)
    }

    /// Whether it takes new work.
    pub(crate) fn is_usable(&self, now: Timestamp) -> bool {
        self.unusable_since.is_none_or(|since| since > now)
    }

    /// Whether its calls end well.
    pub(crate) fn is_sound(&self, now: Timestamp) -> bool {
        self.health.allowed(self.spec.slots, now) > 0
    }

    /// A call of this node ended there.
    pub(crate) fn call_ended(&mut self, outcome: Outcome, now: Timestamp) {
        self.running = self.running.saturating_sub(1);
        match outcome {
            Outcome::Sound => self.health.succeeded(now),
            Outcome::Busy => return,
            Outcome::Faulty | Outcome::Unreachable => self.health.failed(now),
        }
        self.outlier.get_or_insert_default().recent.note(outcome != Outcome::Sound, now);
        let before = self.last_end.map_or(0, |end| end.failed_in_a_row);
        let failed_in_a_row = if outcome == Outcome::Sound { 0 } else { before + 1 };
        self.last_end = Some(LastEnd { at: now, failed_in_a_row });
    }

    /// Calls of this node that failed there a moment ago; `None` where none ended of late.
    pub(crate) fn failed_of_late(&self, now: Timestamp) -> Option<u32> {
        let end = self.last_end.filter(|end| now.since(end.at) < END_COUNTS_FOR)?;
        Some(end.failed_in_a_row)
    }

    /// Notes that a call of some node is under way there.
    pub(crate) fn note_use(&mut self, now: Timestamp) {
        self.outlier.get_or_insert_default().used_at = Some(now);
    }

    /// Calls of this node that ended there of late.
    pub(crate) fn recent_calls(&self, now: Timestamp) -> CallCounts {
        self.outlier.as_ref().map_or(CallCounts::default(), |watch| watch.recent.counts(now))
    }

    /// How many times longer than usual for its service it takes.
    pub(crate) fn slowness(&self, now: Timestamp) -> f64 {
        self.slowness.now(now)
    }

    /// A call took so many times longer than usual, among ones that differ by `noise` from one to the next.
    pub(crate) fn observe_slowness(&mut self, seen: f64, noise: f64, now: Timestamp) {
        self.slowness.observe(seen, noise, now);
    }

    /// It takes no new work from now on, unless its directory's entry says so anew.
    pub(crate) fn retire(&mut self, at: Timestamp) -> bool {
        let was_usable = self.is_usable(at);
        self.unusable_since = Some(self.unusable_since.map_or(at, |since| since.min(at)));
        was_usable
    }

    /// It takes no new work from now on, not even as the last resort.
    pub(crate) fn withdraw(&mut self, now: Timestamp) -> bool {
        self.is_withdrawn = true;
        self.retire(now)
    }

    /// Whether it may get a call where no other is left: it takes new work, or left only just now.
    pub(crate) fn is_last_resort(&self, now: Timestamp) -> bool {
        let left_just_now = self.unusable_since.is_none_or(|since| now.since(since) < LAST_RESORT_TIME);
        left_just_now && !self.is_withdrawn
    }

    /// A younger life of the engine was seen: this one is over, whatever it said.
    pub(crate) fn superseded(&mut self, now: Timestamp) {
        self.withdraw(now);
        self.spec.is_leaving = false;
    }

    /// Takes in a newer entry of the directory; returns whether it changes what is believed.
    pub(crate) fn update(&mut self, spec: EngineSpec, now: Timestamp) -> bool {
        let is_old = spec.report < self.spec.report;
        let comes_back = self.spec.is_leaving && !spec.is_leaving;
        if is_old || comes_back {
            // A report that was held up on its way; an engine that leaves does not change its mind.
            return false;
        }
        self.is_withdrawn = false;
        let leaving_since = spec.is_leaving.then_some(now);
        let has_changed = self.spec.is_leaving != spec.is_leaving
            || (self.unusable_since.is_some() && leaving_since.is_none());
        self.unusable_since = match (self.unusable_since, leaving_since) {
            (Some(since), Some(_)) => Some(since),
            (_, leaving) => leaving,
        };
        if spec.report > self.spec.report {
            self.coldness.told(spec.cold_left, now);
        }
        self.spec = spec;
        has_changed
    }
}
