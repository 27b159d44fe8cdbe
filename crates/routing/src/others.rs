//! What other nodes told of their calls at engines.

use std::collections::HashMap;
use std::time::Duration;

use sumacdrift_fleet_view::Loads;
use sumacdrift_types::Timestamp;

/// How long what others told counts; after that it says nothing of now.
const OTHERS_COUNT_FOR: Duration = Duration::from_millis(1500);

/// Time after which differences between engines, as they were told, have shrunk to 1/e: calls begin and end meanwhile,
/// and whoever was told the same sent calls to the emptier engines.
const DIFFERENCES_LAST: Duration = Duration::from_millis(150);

/// Calls of other nodes at an engine.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub(crate) struct OtherLoad {
    pub(crate) running: f64,
    pub(crate) unread_tokens: f64,
}

/// What other nodes told last.
#[derive(Debug, Default)]
pub(crate) struct OtherLoads {
    engines: HashMap<u32, OtherLoad>,
    told: Option<Timestamp>,
}

impl OtherLoads {
    /// Other nodes' calls, told anew.
    pub(crate) fn tell(&mut self, loads: &Loads, now: Timestamp) {
        self.told = Some(now);
        self.engines.clear();
        for load in &loads.engines {
            let other =
                OtherLoad { running: f64::from(load.running), unread_tokens: f64::from(load.unread_tokens) };
            self.engines.insert(load.engine, other);
        }
    }

    /// What others' calls at some engines are believed to be by now.
    pub(crate) fn among(&self, engines: impl Iterator<Item = u32>, now: Timestamp) -> BelievedLoads<'_> {
        let Some(age) = self.age(now) else {
            return BelievedLoads { told: None, mean: OtherLoad::default(), kept: 0.0 };
        };
        let mut count = 0_u32;
        let mut sum = OtherLoad::default();
        for engine in engines {
            count += 1;
            let load = self.engines.get(&engine).copied().unwrap_or_default();
            sum.running += load.running;
            sum.unread_tokens += load.unread_tokens;
        }
        let count = f64::from(count.max(1));
        let mean = OtherLoad { running: sum.running / count, unread_tokens: sum.unread_tokens / count };
        let kept = (-age.as_secs_f64() / DIFFERENCES_LAST.as_secs_f64()).exp();
        BelievedLoads { told: Some(&self.engines), mean, kept }
    }

    /// Age of what is known; `None` where nothing is.
    pub(crate) fn age(&self, now: Timestamp) -> Option<Duration> {
        self.told.map(|told| now.since(told)).filter(|age| *age < OTHERS_COUNT_FOR)
    }
}

/// Calls of others at the engines of one choice: what was told, drawn towards the mean the older it is.
pub(crate) struct BelievedLoads<'a> {
    told: Option<&'a HashMap<u32, OtherLoad>>,
    mean: OtherLoad,
    kept: f64,
}

impl BelievedLoads<'_> {
    /// Calls of others at an engine.
    pub(crate) fn at(&self, engine: u32) -> OtherLoad {
        let Some(told) = self.told else { return OtherLoad::default() };
        let load = told.get(&engine).copied().unwrap_or_default();
        let towards_mean = |told: f64, mean: f64| mean + (told - mean) * self.kept;
        OtherLoad {
            running: towards_mean(load.running, self.mean.running),
            unread_tokens: towards_mean(load.unread_tokens, self.mean.unread_tokens),
        }
    }
}
