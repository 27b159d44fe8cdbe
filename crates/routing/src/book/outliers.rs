//! Engines that fail a part of the fleet's calls: what is told of them, and when they are put aside.

use std::sync::Arc;

use sumacdrift_calls::EngineId;
use sumacdrift_types::{Mechanism, Timestamp};

use super::EngineBook;
use crate::ejection::OutlierWatch;
use crate::engine::Engine;
use crate::outlier::{JudgedEngine, OutlierChange, OutlierChangeKind, Stage, Verdict, judge};
use crate::recent_calls::CallCounts;

impl EngineBook {
    /// Puts engines aside that are outliers by now, and brings back those whose time is over; returns what changed. To be
    /// asked when a call failed, when others told of their calls, and now and then.
    pub fn judge_outliers(&mut self, now: Timestamp) -> Vec<OutlierChange> {
        if !self.off.allows(Mechanism::OutlierEjection) {
            return Vec::new();
        }
        let services = self.services_to_judge(now);
        services.iter().flat_map(|service| self.judge_service(service, now)).collect()
    }

    /// Number of engines that do not get their usual share as they failed too much.
    pub fn engines_put_aside(&self, now: Timestamp) -> usize {
        self.engines
            .noted()
            .filter(|engine| matches!(stage(engine, now), Stage::Aside | Stage::Returning(_)))
            .count()
    }

    /// This node's calls of late at an engine, as others are told of them: where any node's failed.
    pub(super) fn recent_calls_to_tell(&self, engine: &Engine, now: Timestamp) -> CallCounts {
        let own = engine.recent_calls(now);
        let others_fail = self.others_told.age(now).is_some() && engine.others.some_fail();
        let any_failed = own.failed > 0 || others_fail;
        if any_failed { own } else { CallCounts::default() }
    }

    fn recent_calls_of_others(&self, engine: &Engine, now: Timestamp) -> CallCounts {
        self.others_told.age(now).map_or(CallCounts::default(), |_| engine.others.recent(now))
    }

    /// Calls of all nodes.
    fn recent_calls(&self, engine: &Engine, now: Timestamp) -> CallCounts {
        engine.recent_calls(now) + self.recent_calls_of_others(engine, now)
    }

    /// Services with an engine where calls failed of late, or that is put aside.
    fn services_to_judge(&self, now: Timestamp) -> Vec<Arc<str>> {
        let mut services: Vec<Arc<str>> = Vec::new();
        for engine in self.engines.noted() {
            let is_out = engine.outlier.as_ref().is_some_and(|watch| watch.is_out());
            let is_concerned = is_out || self.recent_calls(engine, now).failed > 0;
            if is_concerned && !services.contains(&engine.spec.service) {
                services.push(Arc::clone(&engine.spec.service));
            }
        }
        services
    }

    fn judge_service(&mut self, service: &str, now: Timestamp) -> Vec<OutlierChange> {
        let (ids, judged): (Vec<EngineId>, Vec<JudgedEngine>) = self
            .engines
            .noted()
            .filter(|engine| &*engine.spec.service == service && engine.is_usable(now))
            .filter(|engine| self.counts_in_service(engine, now))
            .map(|engine| (engine.spec.id.clone(), self.judged(engine, now)))
            .unzip();
        let judgements = judge(&judged);
        let all = ids.into_iter().zip(judged.iter().zip(judgements));
        let changes = all.filter_map(|(engine, (judged_engine, judgement))| {
            let kind = self.carry_out(&engine, judgement.verdict, judged.len(), now)?;
            let news_age = self.others_told.age(now);
            let (calls, rest_rate) = (judged_engine.calls, judgement.rest_rate);
            Some(OutlierChange { engine, kind, calls, rest_rate, news_age })
        });
        changes.collect()
    }

    fn judged(&self, engine: &Engine, now: Timestamp) -> JudgedEngine {
        JudgedEngine {
            calls: self.recent_calls(engine, now),
            stage: stage(engine, now),
            is_avoided: self.others_told.age(now).is_some() && engine.others.fails(),
        }
    }

    /// Whether an engine is in use, or would be if it were not put aside. A service may have thousands of engines and use some
    /// dozens: the others say nothing of how usual failures are.
    fn counts_in_service(&self, engine: &Engine, now: Timestamp) -> bool {
        let is_watched = |watch: &OutlierWatch| watch.is_out() || watch.is_in_use(now);
        engine.outlier.as_deref().is_some_and(is_watched) || self.recent_calls(engine, now).ended > 0
    }

    fn carry_out(
        &mut self,
        id: &EngineId,
        verdict: Verdict,
        among: usize,
        now: Timestamp,
    ) -> Option<OutlierChangeKind> {
        let watch = &mut self.engines.get_mut(id)?.outlier;
        match verdict {
            Verdict::PutAside => {
                let pause = watch.get_or_insert_default().put_aside(among, now);
                Some(OutlierChangeKind::PutAside { pause })
            }
            Verdict::Released => {
                watch.as_mut()?.spare(now);
                Some(OutlierChangeKind::Released)
            }
            Verdict::Stays => watch.as_mut()?.take_return(now).then_some(OutlierChangeKind::BroughtBack),
        }
    }
}

/// Whether an engine gets nothing for now as it failed too much.
pub(super) fn is_put_aside(engine: &Engine, now: Timestamp) -> bool {
    stage(engine, now) == Stage::Aside
}

fn stage(engine: &Engine, now: Timestamp) -> Stage {
    engine.outlier.as_ref().map_or(Stage::In, |watch| watch.stage(now))
}
