//! Crashes of engines by request, as known to one storage node.

use std::collections::HashMap;
use std::time::Duration;

use sumacdrift_calls::{CrashCount, RequestFingerprint};
use sumacdrift_mutants::{Rule, is_broken};
use sumacdrift_types::Timestamp;

use crate::bounded::make_room;

/// How long after a crash the next one under the same request counts as its successor. Longer than callers and programs
/// keep trying.
pub const CRASH_RETENTION: Duration = Duration::from_secs(60);
/// How long after an engine lost a request its end is attributed to the request. Longer than a supervisor or watchdog takes
/// to end a process.
pub const OBSERVATION_TIME: Duration = Duration::from_secs(30);
/// Maximum number of engines that are remembered by name for one request.
const MAX_ENGINES: usize = 16;

/// Maximum number of requests kept on disk whose engines are only observed, about 40 KB. Many callers leave early on a busy day.
const MAX_OBSERVED_KEPT: usize = 512;

/// Reports of one request's crashes differ by this much in the time that they take.
const REPORT_JITTER: Duration = Duration::from_millis(20);

/// How sure it is that an engine that lost a request has crashed.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Certainty {
    /// The engine has shown a sign of life since. It counts if it ends within [`OBSERVATION_TIME`].
    Observed,
    /// The engine has shown no sign of life since, and may yet.
    Suspected,
    /// The engine accepts no connections, or another one runs in its place.
    Confirmed,
}

/// Who sends a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Callers {
    /// A single caller, one attempt after the other.
    One,
    /// Perhaps several, so that engines may crash at the same time under equal requests.
    Many,
}

/// A crash of an engine while it ran a request.
#[derive(Debug, Clone, Copy)]
#[allow(missing_docs)]
pub struct CrashReport<'a> {
    pub request: RequestFingerprint,
    pub callers: Callers,
    /// Name that differs between incarnations of an engine.
    pub engine: &'a str,
    pub certainty: Certainty,
    /// Time since the request was sent to the engine.
    pub sent_ago: Duration,
    /// Time since the engine lost the request.
    pub lost_ago: Duration,
}

/// An engine that crashed, or may have crashed, under a request.
#[derive(Debug, Clone, PartialEq, Eq)]
#[allow(missing_docs)]
pub struct CrashedEngine {
    /// Name that differs between incarnations of an engine.
    pub name: String,
    pub certainty: Certainty,
    /// When the request was sent to the engine; the earliest time if that is unknown.
    pub sent: Timestamp,
    /// When the engine lost the request.
    pub lost: Timestamp,
}

impl CrashedEngine {
    /// Whether an attempt from `sent` to `lost` was over before this one, or began after it.
    fn is_apart_from(&self, sent: Timestamp, lost: Timestamp) -> bool {
        sent + REPORT_JITTER >= self.lost || lost <= self.sent + REPORT_JITTER
    }

    fn counts(&self) -> bool {
        self.certainty != Certainty::Observed
    }

    fn is_expired(&self, now: Timestamp) -> bool {
        !self.counts() && now.since(self.lost) >= OBSERVATION_TIME
    }
}

/// Crashes in succession under one request.
#[derive(Debug, Clone, PartialEq, Eq)]
#[allow(missing_docs)]
pub struct CrashChain {
    pub request: RequestFingerprint,
    /// The first crash first.
    pub engines: Vec<CrashedEngine>,
    pub last_crash: Timestamp,
}

/// Consecutive crashes by request; at most 4,096, about 1 MB. The request whose last crash is the oldest gives way.
///
/// If several callers may send a request, only attempts that did not overlap extend the chain, in whichever order their engines
/// are found to have crashed: engines that crash at the same time under equal requests count as one.
#[derive(Debug, Default)]
pub struct CrashHistory {
    chains: HashMap<RequestFingerprint, CrashChain>,
}

impl CrashHistory {
    /// A history with chains that were read from a durable copy.
    pub fn restored(chains: impl IntoIterator<Item = CrashChain>) -> Self {
        Self { chains: chains.into_iter().map(|chain| (chain.request, chain)).collect() }
    }

    /// Adds what another history knows of a request; returns whether this one has changed.
    pub fn merge(&mut self, other: CrashChain, now: Timestamp) -> bool {
        if other.is_expired(now) {
            return false;
        }
        match self.chains.get_mut(&other.request).filter(|chain| !chain.is_expired(now)) {
            Some(chain) => chain.merge(other),
            None => {
                make_room(&mut self.chains, |chain| chain.is_expired(now), |chain| chain.last_crash);
                self.chains.insert(other.request, other);
                true
            }
        }
    }

    /// Records a crash; returns whether the history has changed.
    pub fn record(&mut self, report: CrashReport<'_>, now: Timestamp) -> bool {
        if !self.chains.contains_key(&report.request) {
            make_room(&mut self.chains, |chain| chain.is_expired(now), |chain| chain.last_crash);
        }
        let last_crash = now - report.lost_ago;
        let empty = CrashChain { request: report.request, engines: Vec::new(), last_crash };
        let chain = self.chains.entry(report.request).or_insert(empty);
        if chain.is_expired(now) {
            chain.engines.clear();
        }
        chain.engines.retain(|engine| !engine.is_expired(now));
        chain.record(&report, now)
    }

    /// Withdraws the suspicion that an engine crashed under a request, as the engine has shown a sign of life since; returns
    /// whether there was one. The engine stays under observation.
    pub fn withdraw(&mut self, request: RequestFingerprint, engine: &str) -> bool {
        let Some(chain) = self.chains.get_mut(&request) else { return false };
        let is_suspected =
            |known: &&mut CrashedEngine| known.name == engine && known.certainty == Certainty::Suspected;
        let Some(suspected) = chain.engines.iter_mut().find(is_suspected) else { return false };
        suspected.certainty = Certainty::Observed;
        true
    }

    /// Forgets that an engine may have crashed under a request that it did not get; returns whether that was known.
    pub fn forget(&mut self, request: RequestFingerprint, engine: &str) -> bool {
        let Some(chain) = self.chains.get_mut(&request) else { return false };
        let known = chain.engines.len();
        chain.engines.retain(|known| known.name != engine || known.certainty == Certainty::Confirmed);
        chain.engines.len() < known
    }

    /// Forgets the crashes under a request that an engine has served since; returns whether there were any.
    pub fn clear(&mut self, request: RequestFingerprint) -> bool {
        self.chains.remove(&request).is_some()
    }

    /// Engines that crashed in succession under a request, or may have, the first one first.
    pub fn engines(&self, request: RequestFingerprint, now: Timestamp) -> Vec<&CrashedEngine> {
        self.known_engines(request, now).filter(|engine| engine.counts()).collect()
    }

    /// Engines that lost a request and have shown a sign of life since.
    pub fn observed(&self, request: RequestFingerprint, now: Timestamp) -> Vec<&CrashedEngine> {
        self.known_engines(request, now).filter(|engine| !engine.counts()).collect()
    }

    fn known_engines(
        &self,
        request: RequestFingerprint,
        now: Timestamp,
    ) -> impl Iterator<Item = &CrashedEngine> {
        let chain = self.chains.get(&request).filter(|chain| !chain.is_expired(now));
        chain.into_iter().flat_map(|chain| &chain.engines).filter(move |engine| !engine.is_expired(now))
    }

    /// Number of crashes in succession under a request.
    pub fn count(&self, request: RequestFingerprint, now: Timestamp) -> CrashCount {
        let count = |certainty| {
            self.known_engines(request, now).filter(|engine| engine.certainty == certainty).count()
        };
        CrashCount {
            confirmed: count(Certainty::Confirmed),
            suspected: count(Certainty::Suspected),
            observed: count(Certainty::Observed),
            open_attempts: 0,
        }
    }

    /// The chains to be kept on disk: those in which engines crashed or may have, and the latest of those in which engines are
    /// only observed.
    pub fn chains(&self, now: Timestamp) -> impl Iterator<Item = &CrashChain> {
        let current = self.chains.values().filter(move |chain| !chain.is_expired(now));
        let (counted, mut observed): (Vec<_>, Vec<_>) =
            current.partition(|chain| chain.engines.iter().any(CrashedEngine::counts));
        observed.retain(|chain| chain.engines.iter().any(|engine| !engine.is_expired(now)));
        observed.sort_by_key(|chain| std::cmp::Reverse(chain.last_crash));
        counted.into_iter().chain(observed.into_iter().take(MAX_OBSERVED_KEPT))
    }

    /// Number of requests that are remembered.
    pub fn requests(&self) -> usize {
        self.chains.len()
    }
}

impl CrashChain {
    fn is_expired(&self, now: Timestamp) -> bool {
        now.since(self.last_crash) >= CRASH_RETENTION
    }

    fn record(&mut self, report: &CrashReport<'_>, now: Timestamp) -> bool {
        let (sent, lost) = (now - report.sent_ago, now - report.lost_ago);
        if let Some(known) = self.engines.iter_mut().find(|known| known.name == report.engine) {
            let is_surer = known.certainty < report.certainty;
            if is_surer {
                known.certainty = report.certainty;
                known.lost = known.lost.max(lost);
            }
            return is_surer;
        }
        let may_extend = self.has_room() && self.is_extended_by(report.callers, sent, lost);
        if may_extend {
            let name = report.engine.to_owned();
            self.engines.push(CrashedEngine { name, certainty: report.certainty, sent, lost });
            self.last_crash = self.last_crash.max(lost);
        }
        may_extend
    }

    fn merge(&mut self, other: CrashChain) -> bool {
        let mut has_changed = false;
        for engine in other.engines {
            match self.engines.iter().position(|known| known.name == engine.name) {
                Some(known) if self.engines[known].certainty >= engine.certainty => continue,
                Some(known) => self.engines[known] = engine,
                None if self.has_room() => self.engines.push(engine),
                None => continue,
            }
            has_changed = true;
        }
        self.last_crash = self.last_crash.max(other.last_crash);
        has_changed
    }

    /// Whether another engine can be recorded. The first one under observation gives way.
    fn has_room(&mut self) -> bool {
        if self.engines.len() < MAX_ENGINES {
            return true;
        }
        let observed = self.engines.iter().position(|engine| !engine.counts());
        observed.map(|observed| self.engines.remove(observed)).is_some()
    }

    fn is_extended_by(&self, callers: Callers, sent: Timestamp, lost: Timestamp) -> bool {
        callers == Callers::One
            || self.engines.iter().all(|engine| engine.is_apart_from(sent, lost))
            || is_broken(Rule::CrashesCountInSequence)
    }
}
