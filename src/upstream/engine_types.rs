use serde::Deserialize;
use serde::Deserializer;
use serde::Serialize;

use crate::dispatch::LoadReading;

/// load of an engine, as old as it says.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize)]
pub struct EngineLoad {
    /// requests that generate.
    pub running: u32,
    /// requests that wait inside the engine.
    pub waiting: u32,
    /// age of the reading.
    pub age_ms: u64,
    /// whether the engine takes no new work.
    pub leaving: bool,
    /// names the start of the engine.
    #[serde(default)]
    pub incarnation: String,
    /// tokens in its cache.
    #[serde(default)]
    pub cache_tokens: u64,
    /// most tokens in its cache.
    #[serde(default)]
    pub cache_capacity_tokens: u64,
}

impl From<&EngineLoad> for LoadReading {
    fn from(load: &EngineLoad) -> Self {
        Self { running: load.running, waiting: load.waiting, age_ms: load.age_ms }
    }
}

/// what happened to a prefix in an engine's cache.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum CacheEventKind {
    /// the cache holds it.
    Held,
    /// the cache dropped it.
    Dropped,
}

/// one published change of an engine's cache.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize)]
pub struct CacheEvent {
    /// number of the event.
    pub seq: u64,
    /// what happened.
    pub kind: CacheEventKind,
    /// digest of the prefix.
    #[serde(deserialize_with = "hexadecimal")]
    pub prefix: u64,
    /// tokens of the whole prefix.
    pub tokens: u64,
}

/// cache events after a number.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize)]
pub struct CacheEventPage {
    /// events in their order.
    pub events: Vec<CacheEvent>,
    /// number to ask from next.
    pub next: u64,
    /// oldest number that the engine still has.
    pub oldest: u64,
}

impl CacheEventPage {
    /// tells whether events after `after` are missing from the page.
    pub fn has_gap(&self, after: u64) -> bool {
        if self.oldest > after + 1 {
            return true;
        }
        let mut last = after;
        for event in &self.events {
            if event.seq != last + 1 {
                return true;
            }
            last = event.seq;
        }
        // An engine that started anew counts from the beginning again.
        self.next < after
    }
}

/// cache that an engine tags with a program.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize)]
pub struct CacheHold {
    /// program that used it last.
    pub program: String,
    /// tokens.
    pub tokens: u64,
}

/// cache made ready for another engine.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize)]
pub struct Export {
    /// names it in the import.
    pub handle: String,
    /// tokens.
    pub tokens: u64,
}

/// what an engine is, or is ordered to be.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct EngineState {
    /// models loaded.
    pub models: Vec<String>,
    /// adapters loaded.
    pub adapters: Vec<String>,
    /// version of the weights.
    pub version: String,
    /// role.
    pub role: String,
}

/// the last order that an engine obeyed.
#[derive(Clone, Debug, Default, PartialEq, Eq, Deserialize)]
pub struct EngineOrders {
    /// its fencing number.
    pub fence: u64,
    /// what the engine is.
    pub state: EngineState,
}

fn hexadecimal<'de, D: Deserializer<'de>>(input: D) -> Result<u64, D::Error> {
    let text = String::deserialize(input)?;
    u64::from_str_radix(&text, 16).map_err(serde::de::Error::custom)
}
