use std::collections::BTreeSet;
use std::collections::HashMap;

use slotmap::SlotMap;
use slotmap::new_key_type;

/// resolution of virtual time: units for one token at weight one.
const UNITS_PER_TOKEN: u64 = 1_000;

new_key_type! {
    /// key of a workspace, valid inside one queue only.
    struct WorkspaceKey;
}

/// a turn to queue.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct QueuedTurn<'a> {
    /// identifies the turn.
    pub ticket: u64,
    /// workspace that is charged.
    pub workspace: &'a str,
    /// weight of the workspace from now on; zero counts as one.
    pub weight: u32,
    /// estimated cost to the engine.
    pub cost_tokens: u64,
    /// order inside the workspace, lowest first.
    pub rank: u64,
}

/// queued turns and virtual start time of one workspace.
#[derive(Debug)]
struct WorkspaceQueue {
    name: String,
    weight: u32,
    start_time: u64,
    turns: BTreeSet<(u64, u64)>,
    queued_cost_tokens: u64,
    running: u32,
}

/// where a queued turn is stored, and its estimated cost.
#[derive(Clone, Copy, Debug)]
struct QueuedEntry {
    workspace: WorkspaceKey,
    rank: u64,
    cost_tokens: u64,
}

/// weighted fair queue among workspaces, in cost to the engine.
///
/// Start-time fair queueing: each workspace has the virtual start time of its next turn, and the lowest goes
/// first. A turn is charged its estimated cost when it starts, and the actual cost is settled when it ends. A
/// workspace that was idle starts at the queue's virtual time, so idleness earns no credit.
#[derive(Debug, Default)]
pub struct FairQueue {
    workspaces: SlotMap<WorkspaceKey, WorkspaceQueue>,
    names: HashMap<String, WorkspaceKey>,
    backlogged: BTreeSet<(u64, WorkspaceKey)>,
    entries: HashMap<u64, QueuedEntry>,
    virtual_time: u64,
    queued_cost_tokens: u64,
    backlogged_weight: u64,
}

impl FairQueue {
    /// number of queued turns.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// whether no turn is queued.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// estimated cost of all queued turns.
    pub fn queued_cost_tokens(&self) -> u64 {
        self.queued_cost_tokens
    }

    /// number of workspaces with state in the queue.
    pub fn workspace_count(&self) -> usize {
        self.workspaces.len()
    }

    /// queues a turn and sets the weight of its workspace.
    pub fn push(&mut self, turn: QueuedTurn<'_>) {
        let key = self.workspace_key(turn.workspace);
        self.set_weight(key, turn.weight);
        let queue = &mut self.workspaces[key];
        if queue.turns.is_empty() {
            queue.start_time = queue.start_time.max(self.virtual_time);
            self.backlogged.insert((queue.start_time, key));
            self.backlogged_weight += u64::from(queue.weight);
        }
        queue.turns.insert((turn.rank, turn.ticket));
        queue.queued_cost_tokens += turn.cost_tokens;
        self.queued_cost_tokens += turn.cost_tokens;
        let entry = QueuedEntry { workspace: key, rank: turn.rank, cost_tokens: turn.cost_tokens };
        self.entries.insert(turn.ticket, entry);
    }

    /// the ticket that `pop` would return.
    pub fn peek(&self) -> Option<u64> {
        let (_, key) = self.backlogged.first()?;
        let (_, ticket) = self.workspaces[*key].turns.first()?;
        Some(*ticket)
    }

    /// removes the next turn and charges its workspace the estimated cost.
    pub fn pop(&mut self) -> Option<u64> {
        let ticket = self.peek()?;
        let entry = self.entries[&ticket];
        let start_time = self.workspaces[entry.workspace].start_time;
        self.virtual_time = self.virtual_time.max(start_time);
        self.detach(ticket);
        self.charge(entry.workspace, entry.cost_tokens as i64);
        self.workspaces[entry.workspace].running += 1;
        Some(ticket)
    }

    /// removes a turn without a charge; false if it is not queued.
    pub fn remove(&mut self, ticket: u64) -> bool {
        self.detach(ticket).is_some()
    }

    /// replaces the estimated cost of a turn that ended by the actual one.
    pub fn settle(&mut self, workspace: &str, estimated_tokens: u64, actual_tokens: u64) {
        let Some(key) = self.names.get(workspace).copied() else { return };
        self.charge(key, actual_tokens as i64 - estimated_tokens as i64);
        let queue = &mut self.workspaces[key];
        queue.running = queue.running.saturating_sub(1);
    }

    /// turns of a workspace that were popped and not yet settled.
    pub fn running(&self, workspace: &str) -> u32 {
        self.names.get(workspace).map_or(0, |key| self.workspaces[*key].running)
    }

    /// estimated cost, over all workspaces, that is served before a new turn of `workspace`.
    pub fn cost_ahead_tokens(&self, workspace: &str) -> u64 {
        let Some(key) = self.names.get(workspace) else { return 0 };
        let queue = &self.workspaces[*key];
        let fair_tokens =
            queue.queued_cost_tokens.saturating_mul(self.backlogged_weight) / u64::from(queue.weight);
        fair_tokens.min(self.queued_cost_tokens)
    }

    /// drops idle workspaces whose start time has been reached, so that no charge is lost.
    pub fn sweep(&mut self) {
        let virtual_time = self.virtual_time;
        let names = &mut self.names;
        self.workspaces.retain(|_, queue| {
            let keep = !queue.turns.is_empty() || queue.running > 0 || queue.start_time > virtual_time;
            if !keep {
                names.remove(&queue.name);
            }
            keep
        });
    }

    /// tickets of all queued turns, in ascending order.
    pub fn tickets(&self) -> Vec<u64> {
        let mut tickets: Vec<u64> = self.entries.keys().copied().collect();
        tickets.sort_unstable();
        tickets
    }

    fn workspace_key(&mut self, workspace: &str) -> WorkspaceKey {
        if let Some(key) = self.names.get(workspace) {
            return *key;
        }
        let queue = WorkspaceQueue {
            name: workspace.to_string(),
            weight: 1,
            start_time: self.virtual_time,
            turns: BTreeSet::new(),
            queued_cost_tokens: 0,
            running: 0,
        };
        let key = self.workspaces.insert(queue);
        self.names.insert(workspace.to_string(), key);
        key
    }

    fn set_weight(&mut self, key: WorkspaceKey, weight: u32) {
        let queue = &mut self.workspaces[key];
        let old = queue.weight;
        queue.weight = weight.max(1);
        if !queue.turns.is_empty() {
            self.backlogged_weight = self.backlogged_weight - u64::from(old) + u64::from(queue.weight);
        }
    }

    fn detach(&mut self, ticket: u64) -> Option<QueuedEntry> {
        let entry = self.entries.remove(&ticket)?;
        let queue = &mut self.workspaces[entry.workspace];
        queue.turns.remove(&(entry.rank, ticket));
        queue.queued_cost_tokens -= entry.cost_tokens;
        self.queued_cost_tokens -= entry.cost_tokens;
        if queue.turns.is_empty() {
            self.backlogged.remove(&(queue.start_time, entry.workspace));
            self.backlogged_weight -= u64::from(queue.weight);
        }
        Some(entry)
    }

    fn charge(&mut self, key: WorkspaceKey, cost_tokens: i64) {
        let queue = &mut self.workspaces[key];
        let is_backlogged = !queue.turns.is_empty();
        if is_backlogged {
            self.backlogged.remove(&(queue.start_time, key));
        }
        let units = cost_tokens.unsigned_abs() * UNITS_PER_TOKEN / u64::from(queue.weight);
        queue.start_time = if cost_tokens < 0 {
            queue.start_time.saturating_sub(units)
        } else {
            queue.start_time.saturating_add(units)
        };
        if is_backlogged {
            self.backlogged.insert((queue.start_time, key));
        }
    }
}
