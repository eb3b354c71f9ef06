use std::collections::HashMap;

/// interval at which recorded demand is halved.
const HALF_LIFE_MS: u64 = 30_000;

/// a workspace that uses more than this many times an equal share is heavy.
const HEAVY_FACTOR: f64 = 1.5;

/// share of replicas reserved for light workspaces, relative to their share of the demand.
const RESERVE_FACTOR: f64 = 1.2;

/// largest share of a pool that may be reserved.
const MAX_RESERVED_SHARE: f64 = 0.5;

/// demand below which a workspace is dropped from the table.
const MIN_TOKENS: f64 = 1.0;

/// recent cost of each workspace to the engines, as seen by one router.
#[derive(Debug, Default)]
pub struct Demand {
    workspaces: HashMap<String, f64>,
    total_tokens: f64,
    heavy_tokens: f64,
    next_decay_ms: u64,
}

impl Demand {
    /// adds the cost of a turn.
    pub fn record(&mut self, now_ms: u64, workspace: &str, cost_tokens: u64) {
        self.decay(now_ms);
        let cost_tokens = cost_tokens as f64;
        match self.workspaces.get_mut(workspace) {
            Some(tokens) => *tokens += cost_tokens,
            None => {
                self.workspaces.insert(workspace.to_string(), cost_tokens);
            }
        }
        self.total_tokens += cost_tokens;
        if self.is_heavy(workspace) {
            self.heavy_tokens += cost_tokens;
        }
    }

    /// whether a workspace uses more than `HEAVY_FACTOR` times an equal share.
    pub fn is_heavy(&self, workspace: &str) -> bool {
        let used = self.workspaces.get(workspace).copied().unwrap_or_default();
        used * self.workspaces.len() as f64 > self.total_tokens * HEAVY_FACTOR
    }

    /// share of a pool to reserve for workspaces that are not heavy.
    pub fn reserved_share(&self) -> f64 {
        if self.heavy_tokens <= 0.0 {
            return 0.0;
        }
        let light_share = 1.0 - self.heavy_tokens / self.total_tokens;
        (light_share * RESERVE_FACTOR).min(MAX_RESERVED_SHARE)
    }

    fn decay(&mut self, now_ms: u64) {
        if now_ms < self.next_decay_ms {
            return;
        }
        self.next_decay_ms = now_ms + HALF_LIFE_MS;
        self.workspaces.retain(|_, tokens| {
            *tokens /= 2.0;
            *tokens >= MIN_TOKENS
        });
        let mut used: Vec<f64> = self.workspaces.values().copied().collect();
        used.sort_by(f64::total_cmp);
        self.total_tokens = used.iter().sum();
        let bound = self.total_tokens * HEAVY_FACTOR / used.len().max(1) as f64;
        self.heavy_tokens = used.iter().filter(|tokens| **tokens > bound).sum();
    }
}
