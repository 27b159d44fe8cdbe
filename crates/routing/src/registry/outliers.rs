//! Evaluation of engines for outlier ejection, and the failure counts reported to peers.

use std::sync::Arc;

use sumacdrift_calls::EngineId;
use sumacdrift_types::{Mechanism, Timestamp};

use super::EngineRegistry;
use crate::ejection::EjectionState;
use crate::engine::Engine;
use crate::outlier::{EjectionStage, EngineSample, OutlierChange, OutlierChangeKind, Verdict, evaluate};
use crate::recent_calls::CallCounts;

impl EngineRegistry {
    /// Ejects outliers and ends ejections that are over; returns the changes. To be called after a failure, after a
    /// peer report and periodically.
    pub fn update_ejections(&mut self, now: Timestamp) -> Vec<OutlierChange> {
        if !self.disabled.is_enabled(Mechanism::OutlierEjection) {
            return Vec::new();
        }
        let services = self.services_to_evaluate(now);
        services.iter().flat_map(|service| self.evaluate_service(service, now)).collect()
    }

    /// Number of engines that are ejected or recovering.
    pub fn ejected_engines(&self, now: Timestamp) -> usize {
        self.engines
            .distinct()
            .filter(|engine| {
                matches!(stage(engine, now), EjectionStage::Ejected | EjectionStage::Recovering(_))
            })
            .count()
    }

    /// This node's recent calls at an engine for its load report; empty unless some node's calls failed.
    pub(super) fn recent_calls_to_report(&self, engine: &Engine, now: Timestamp) -> CallCounts {
        let own = engine.recent_calls(now);
        let peers_report_failures = self.peer_reports.age(now).is_some() && engine.peer_load.has_failures();
        let any_failed = own.failed > 0 || peers_report_failures;
        if any_failed { own } else { CallCounts::default() }
    }

    fn recent_peer_calls(&self, engine: &Engine, now: Timestamp) -> CallCounts {
        self.peer_reports.age(now).map_or(CallCounts::default(), |_| engine.peer_load.recent(now))
    }

    /// Recent calls of all nodes.
    fn recent_calls(&self, engine: &Engine, now: Timestamp) -> CallCounts {
        engine.recent_calls(now) + self.recent_peer_calls(engine, now)
    }

    /// Services with recent failures or an engine kept from its full share.
    fn services_to_evaluate(&self, now: Timestamp) -> Vec<Arc<str>> {
        let mut services: Vec<Arc<str>> = Vec::new();
        for engine in self.engines.distinct() {
            let is_restricted = engine.ejection.as_ref().is_some_and(|ejection| ejection.is_restricted());
            let needs_evaluation = is_restricted || self.recent_calls(engine, now).failed > 0;
            if needs_evaluation && !services.contains(&engine.spec.service) {
                services.push(Arc::clone(&engine.spec.service));
            }
        }
        services
    }

    fn evaluate_service(&mut self, service: &str, now: Timestamp) -> Vec<OutlierChange> {
        let (ids, samples): (Vec<EngineId>, Vec<EngineSample>) = self
            .engines
            .distinct()
            .filter(|engine| &*engine.spec.service == service && engine.is_usable(now))
            .filter(|engine| self.is_counted(engine, now))
            .map(|engine| (engine.spec.id.clone(), self.sample(engine, now)))
            .unzip();
        let evaluations = evaluate(&samples);
        let all = ids.into_iter().zip(samples.iter().zip(evaluations));
        let changes = all.filter_map(|(engine, (sample, evaluation))| {
            let kind = self.apply_verdict(&engine, evaluation.verdict, samples.len(), now)?;
            let peer_report_age = self.peer_reports.age(now);
            let (calls, rest_rate) = (sample.calls, evaluation.rest_rate);
            Some(OutlierChange { engine, kind, calls, rest_rate, peer_report_age })
        });
        changes.collect()
    }

    fn sample(&self, engine: &Engine, now: Timestamp) -> EngineSample {
        EngineSample {
            calls: self.recent_calls(engine, now),
            stage: stage(engine, now),
            is_avoided: self.peer_reports.age(now).is_some() && engine.peer_load.is_failing(),
        }
    }

    /// Whether an engine is in use, or would be if it were not ejected. A service may have thousands of engines and
    /// use dozens: the unused ones say nothing about the usual failure rate.
    fn is_counted(&self, engine: &Engine, now: Timestamp) -> bool {
        let is_active = |ejection: &EjectionState| ejection.is_restricted() || ejection.is_in_use(now);
        engine.ejection.as_deref().is_some_and(is_active) || self.recent_calls(engine, now).ended > 0
    }

    fn apply_verdict(
        &mut self,
        id: &EngineId,
        verdict: Verdict,
        engines_in_use: usize,
        now: Timestamp,
    ) -> Option<OutlierChangeKind> {
        let ejection = &mut self.engines.get_mut(id)?.ejection;
        match verdict {
            Verdict::Eject => {
                let pause = ejection.get_or_insert_default().eject(engines_in_use, now);
                Some(OutlierChangeKind::Ejected { pause })
            }
            Verdict::Release => {
                ejection.as_mut()?.exempt(now);
                Some(OutlierChangeKind::Released)
            }
            Verdict::Keep => ejection.as_mut()?.take_recovery(now).then_some(OutlierChangeKind::Recovered),
        }
    }
}

pub(super) fn is_ejected(engine: &Engine, now: Timestamp) -> bool {
    stage(engine, now) == EjectionStage::Ejected
}

fn stage(engine: &Engine, now: Timestamp) -> EjectionStage {
    engine.ejection.as_ref().map_or(EjectionStage::Active, |ejection| ejection.stage(now))
}
