//! Software versions of a service's engines.

use std::time::Duration;

use sumacdrift_calls::EngineVersion;
use sumacdrift_types::Timestamp;

use super::EngineRegistry;
use crate::engine::Engine;

/// How long the version of an engine that accepts no more work still counts: longer than its last streams run.
const VERSION_RETENTION: Duration = Duration::from_secs(30);

impl EngineRegistry {
    /// The version of a service's engines if all that run, or ran recently, have the same; `None` if there are several
    /// versions, or no engine.
    pub fn sole_version(&self, service: &str, now: Timestamp) -> Option<EngineVersion> {
        let ran_recently =
            |engine: &&Engine| engine.unusable_since.is_none_or(|since| now.since(since) < VERSION_RETENTION);
        let of_service = self.engines.distinct().filter(|engine| &*engine.spec.service == service);
        let distinct = of_service.filter(ran_recently).map(|engine| &engine.spec.version);
        let mut versions = distinct.chain(self.engines.interchangeable_versions(service));
        let first = versions.next()?;
        versions.all(|version| version == first).then(|| first.clone())
    }
}
