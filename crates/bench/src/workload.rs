//! workloads as data, and the programs that are drawn from them.

use std::path::Path;
use std::sync::Arc;

use anyhow::Context;
use rand::RngExt;
use rand::SeedableRng;
use rand::rngs::StdRng;
use serde::Deserialize;
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// one deployment with its customers and their programs.
#[derive(Clone, Debug, Deserialize)]
pub struct Workload {
    /// name in reports.
    pub name: String,
    /// replicas of the model.
    pub replica_count: usize,
    /// entry instances.
    pub instance_count: usize,
    /// availability zones.
    pub zones: Vec<String>,
    /// the engines.
    pub engine: EngineModel,
    /// the customers.
    pub workspaces: Vec<WorkspaceLoad>,
    /// the agent programs that all customers run.
    pub programs: Vec<ProgramModel>,
}

/// cost model of an engine.
#[derive(Clone, Copy, Debug, Deserialize)]
pub struct EngineModel {
    /// fixed time of one step.
    pub step_ms: f64,
    /// time that each generating sequence adds to a step.
    pub sequence_ms: f64,
    /// time to read one uncached prompt token.
    pub uncached_token_ms: f64,
    /// most prompt tokens that one step reads.
    pub chunk_tokens: u64,
    /// most sequences at once.
    pub max_batch: usize,
    /// tokens that fit into memory.
    pub cache_tokens: u64,
}

/// one customer.
#[derive(Clone, Debug, Deserialize)]
pub struct WorkspaceLoad {
    /// name.
    pub name: String,
    /// class in reports.
    pub size: String,
    /// programs relative to the other customers.
    pub share: f64,
}

/// a kind of agent program; each pair is the least and the most, drawn log-uniformly.
#[derive(Clone, Debug, Deserialize)]
pub struct ProgramModel {
    /// name.
    pub name: String,
    /// how often it runs relative to the other kinds.
    pub share: f64,
    /// system prompt that all runs of a customer share.
    pub system_tokens: u64,
    /// turns.
    pub turn_count: [u64; 2],
    /// new prompt tokens of the first turn.
    pub first_tokens: [u64; 2],
    /// new prompt tokens of each later turn.
    pub turn_tokens: [u64; 2],
    /// generated tokens of a turn.
    pub completion_tokens: [u64; 2],
    /// pause after a turn.
    pub pause_ms: [u64; 2],
    /// sub-agents that run after the first turn.
    pub children: Option<ChildModel>,
}

/// the sub-agents of a program.
#[derive(Clone, Debug, Deserialize)]
pub struct ChildModel {
    /// how many.
    pub count: [u64; 2],
    /// whether they start from the parent's history.
    pub inherits: bool,
    /// turns of each.
    pub turn_count: [u64; 2],
    /// new prompt tokens of the first turn.
    pub first_tokens: [u64; 2],
    /// new prompt tokens of each later turn.
    pub turn_tokens: [u64; 2],
    /// generated tokens of a turn.
    pub completion_tokens: [u64; 2],
    /// pause after a turn.
    pub pause_ms: [u64; 2],
}

/// one run, drawn in advance so that each policy sees the same work.
#[derive(Clone, Debug)]
pub struct ProgramShape {
    /// when it starts.
    pub arrival_us: u64,
    /// index of the customer.
    pub workspace: usize,
    /// the chain of turns.
    pub root: Arc<ThreadShape>,
}

/// a chain of dependent turns.
#[derive(Clone, Debug)]
pub struct ThreadShape {
    /// names the shared system prompt.
    pub system_digest: u64,
    /// length of the shared system prompt.
    pub system_tokens: u64,
    /// whether the history starts as a copy of the parent's.
    pub inherits: bool,
    /// the turns in order.
    pub turns: Vec<TurnShape>,
}

/// one turn.
#[derive(Clone, Debug)]
pub struct TurnShape {
    /// new prompt tokens.
    pub new_tokens: u64,
    /// generated tokens.
    pub completion_tokens: u64,
    /// pause after it.
    pub pause_us: u64,
    /// sub-agents that must end before the next turn.
    pub children: Vec<Arc<ThreadShape>>,
}

impl Workload {
    /// reads a workload from a JSON file.
    pub fn read(path: &Path) -> anyhow::Result<Self> {
        let text =
            std::fs::read_to_string(path).with_context(|| format!("cannot read {}", path.display()))?;
        serde_json::from_str(&text).with_context(|| format!("{} is no workload", path.display()))
    }

    /// draws the programs that arrive before `end_us`, at `rate` programs a second over all customers.
    ///
    /// Each customer has a random stream of its own, so leaving one out changes no other.
    pub fn draw(&self, seed: u64, rate: f64, end_us: u64, only_small: bool) -> Vec<ProgramShape> {
        let all: f64 = self.workspaces.iter().map(|workspace| workspace.share).sum();
        let mut shapes = Vec::new();
        for (index, workspace) in self.workspaces.iter().enumerate() {
            if only_small && workspace.size != "small" {
                continue;
            }
            let mut random = StdRng::seed_from_u64(xxh3_64_with_seed(workspace.name.as_bytes(), seed));
            let own_rate = rate * workspace.share / all;
            let mut at_us = 0.0;
            loop {
                at_us += -(1.0 - random.random::<f64>()).ln() / own_rate * 1e6;
                if at_us >= end_us as f64 {
                    break;
                }
                let root = Arc::new(self.draw_root(&mut random, index));
                shapes.push(ProgramShape { arrival_us: at_us as u64, workspace: index, root });
            }
        }
        shapes.sort_by_key(|shape| shape.arrival_us);
        shapes
    }

    fn draw_root(&self, random: &mut StdRng, workspace: usize) -> ThreadShape {
        let all: f64 = self.programs.iter().map(|program| program.share).sum();
        let mut left = random.random::<f64>() * all;
        let mut kind = 0;
        while left > self.programs[kind].share && kind + 1 < self.programs.len() {
            left -= self.programs[kind].share;
            kind += 1;
        }
        let model = &self.programs[kind];
        let count = draw(random, model.turn_count);
        let mut turns = Vec::new();
        for turn in 0..count {
            let range = if turn == 0 { model.first_tokens } else { model.turn_tokens };
            let children = match &model.children {
                Some(children) if turn == 0 => draw_children(random, children),
                _ => Vec::new(),
            };
            turns.push(TurnShape {
                new_tokens: draw(random, range),
                completion_tokens: draw(random, model.completion_tokens),
                pause_us: draw(random, model.pause_ms) * 1_000,
                children,
            });
        }
        let system_digest = xxh3_64_with_seed(model.name.as_bytes(), workspace as u64 + 1);
        ThreadShape { system_digest, system_tokens: model.system_tokens, inherits: false, turns }
    }
}

fn draw_children(random: &mut StdRng, model: &ChildModel) -> Vec<Arc<ThreadShape>> {
    let count = draw(random, model.count);
    let mut children = Vec::new();
    for _ in 0..count {
        let turn_count = draw(random, model.turn_count);
        let mut turns = Vec::new();
        for turn in 0..turn_count {
            let range = if turn == 0 { model.first_tokens } else { model.turn_tokens };
            turns.push(TurnShape {
                new_tokens: draw(random, range),
                completion_tokens: draw(random, model.completion_tokens),
                pause_us: draw(random, model.pause_ms) * 1_000,
                children: Vec::new(),
            });
        }
        let child = ThreadShape { system_digest: 0, system_tokens: 0, inherits: model.inherits, turns };
        children.push(Arc::new(child));
    }
    children
}

/// draws log-uniformly between the bounds.
fn draw(random: &mut StdRng, [least, most]: [u64; 2]) -> u64 {
    let least = least.max(1) as f64;
    let most = (most as f64).max(least);
    let drawn = (least.ln() + random.random::<f64>() * (most.ln() - least.ln())).exp();
    drawn.round() as u64
}
