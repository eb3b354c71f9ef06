use std::collections::HashMap;

/// time after which past demand counts half.
const HALF_LIFE_MS: u64 = 30_000;

/// a workspace that uses more than this many times its equal share is heavy.
const HEAVY_FACTOR: f64 = 1.5;

/// replicas kept for the others, relative to their share of the demand.
const QUIET_FACTOR: f64 = 1.2;

/// most of a pool that is kept quiet.
const MAX_QUIET_SHARE: f64 = 0.5;

/// demand below which a workspace is forgotten.
const MIN_TOKENS: f64 = 1.0;

/// what the workspaces have lately cost the engines, as one router sees it.
#[derive(Debug, Default)]
pub struct Demand {
    workspaces: HashMap<String, f64>,
    total_tokens: f64,
    heavy_tokens: f64,
    next_halving_ms: u64,
}

impl Demand {
    /// counts what a turn cost.
    pub fn record(&mut self, now_ms: u64, workspace: &str, cost_tokens: u64) {
        self.halve(now_ms);
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

    /// tells whether a workspace uses much more than an equal share.
    pub fn is_heavy(&self, workspace: &str) -> bool {
        let used = self.workspaces.get(workspace).copied().unwrap_or_default();
        used * self.workspaces.len() as f64 > self.total_tokens * HEAVY_FACTOR
    }

    /// share of a pool that is kept for workspaces that are not heavy.
    pub fn quiet_share(&self) -> f64 {
        if self.heavy_tokens <= 0.0 {
            return 0.0;
        }
        let light_share = 1.0 - self.heavy_tokens / self.total_tokens;
        (light_share * QUIET_FACTOR).min(MAX_QUIET_SHARE)
    }

    fn halve(&mut self, now_ms: u64) {
        if now_ms < self.next_halving_ms {
            return;
        }
        self.next_halving_ms = now_ms + HALF_LIFE_MS;
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
