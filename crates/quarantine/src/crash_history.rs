//! Crashes of engines by request, as known to one storage node.

use std::collections::HashMap;
use std::time::Duration;

use sumacdrift_calls::RequestFingerprint;
use sumacdrift_mutants::{Rule, is_broken};
use sumacdrift_types::Timestamp;

use crate::bounded::make_room;

/// How long after a crash the next one under the same request counts as its successor. Longer than callers and programs
/// keep trying.
pub const CRASH_RETENTION: Duration = Duration::from_secs(60);
/// Maximum number of engines that are remembered by name for one request.
const MAX_ENGINES: usize = 8;

/// A crash of an engine while it ran a request.
#[derive(Debug, Clone, Copy)]
#[allow(missing_docs)]
pub struct CrashReport<'a> {
    pub request: RequestFingerprint,
    /// Name that differs between incarnations of an engine.
    pub engine: &'a str,
    /// Time since the request was sent to the engine.
    pub sent_ago: Duration,
}

#[derive(Debug)]
struct CrashChain {
    engines: Vec<String>,
    last_crash: Timestamp,
}

/// Consecutive crashes by request; at most 4,096, about 1 MB. The request whose last crash is the oldest gives way.
///
/// Only a request that was sent after the previous crash extends the chain: engines that crash at the same time under
/// equal requests of several callers count as one.
#[derive(Debug, Default)]
pub struct CrashHistory {
    chains: HashMap<RequestFingerprint, CrashChain>,
}

impl CrashHistory {
    /// Records a crash; returns the number of consecutive crashes under the request.
    pub fn record(&mut self, report: CrashReport<'_>, now: Timestamp) -> usize {
        if !self.chains.contains_key(&report.request) {
            make_room(&mut self.chains, |chain| chain.is_expired(now), |chain| chain.last_crash);
        }
        let empty = CrashChain { engines: Vec::new(), last_crash: now };
        let chain = self.chains.entry(report.request).or_insert(empty);
        if chain.is_expired(now) {
            chain.engines.clear();
        }
        if chain.is_extended_by(&report, now) && chain.engines.len() < MAX_ENGINES {
            chain.engines.push(report.engine.to_owned());
            chain.last_crash = now;
        }
        chain.engines.len()
    }

    /// Forgets the crashes under a request that an engine has served since.
    pub fn clear(&mut self, request: RequestFingerprint) {
        self.chains.remove(&request);
    }

    /// Engines that crashed in succession under a request, the first one first.
    pub fn engines(&self, request: RequestFingerprint, now: Timestamp) -> &[String] {
        let chain = self.chains.get(&request).filter(|chain| !chain.is_expired(now));
        chain.map_or(&[], |chain| &chain.engines)
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

    fn is_extended_by(&self, report: &CrashReport<'_>, now: Timestamp) -> bool {
        let is_known = self.engines.iter().any(|engine| engine == report.engine);
        let sent_at = now - report.sent_ago;
        let is_successor = sent_at >= self.last_crash || is_broken(Rule::CrashesCountInSequence);
        !is_known && (self.engines.is_empty() || is_successor)
    }
}
