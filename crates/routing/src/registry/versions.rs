//! Software versions of a service's engines.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use sumacdrift_calls::EngineVersion;
use sumacdrift_types::Timestamp;

use super::EngineRegistry;
use crate::engine::{Engine, EngineSpec};

/// How long the version of an engine that accepts no more work still counts: longer than its last streams run.
const VERSION_RETENTION: Duration = Duration::from_secs(30);
/// Limit on the former versions kept of a service. With two different ones the service has no sole version, and the latest
/// ones count longest.
const MAX_FORMER_VERSIONS: usize = 2;

#[derive(Debug)]
struct FormerVersion {
    version: EngineVersion,
    /// When an entry last ceased to say it.
    left: Timestamp,
}

/// Versions that engines ran before their entries said another one under the same name and start, by service.
#[derive(Debug, Default)]
pub(super) struct FormerVersions {
    services: HashMap<Arc<str>, Vec<FormerVersion>>,
}

impl FormerVersions {
    /// Records that an engine's entry has been replaced by another one.
    pub(super) fn record_change(&mut self, from: &EngineSpec, to: &EngineSpec, now: Timestamp) {
        if from.version == to.version && from.service == to.service {
            return;
        }
        self.remove_expired(now);
        let versions = self.services.entry(Arc::clone(&from.service)).or_default();
        versions.retain(|former| former.version != from.version);
        versions.push(FormerVersion { version: from.version.clone(), left: now });
        let surplus = versions.len().saturating_sub(MAX_FORMER_VERSIONS);
        versions.drain(..surplus);
    }

    fn remove_expired(&mut self, now: Timestamp) {
        self.services.retain(|_, versions| {
            versions.retain(|former| former.is_recent(now));
            !versions.is_empty()
        });
    }

    fn recent(&self, service: &str, now: Timestamp) -> impl Iterator<Item = &EngineVersion> {
        let versions = self.services.get(service).into_iter().flatten();
        versions.filter(move |former| former.is_recent(now)).map(|former| &former.version)
    }
}

impl FormerVersion {
    fn is_recent(&self, now: Timestamp) -> bool {
        now.since(self.left) < VERSION_RETENTION
    }
}

impl EngineRegistry {
    /// The version of a service's engines if all that run, or ran recently, have the same; `None` if there are several
    /// versions, or no engine.
    pub fn sole_version(&self, service: &str, now: Timestamp) -> Option<EngineVersion> {
        let ran_recently =
            |engine: &&Engine| engine.unusable_since.is_none_or(|since| now.since(since) < VERSION_RETENTION);
        let of_service = self.engines.distinct().filter(|engine| &*engine.spec.service == service);
        let distinct = of_service.filter(ran_recently).map(|engine| &engine.spec.version);
        let current = distinct.chain(self.engines.interchangeable_versions(service));
        let mut versions = current.chain(self.former_versions.recent(service, now));
        let first = versions.next()?;
        versions.all(|version| version == first).then(|| first.clone())
    }
}
