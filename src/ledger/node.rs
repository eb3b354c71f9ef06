use std::collections::BTreeMap;

use crate::ledger::NodeAction;
use crate::ledger::NodeIdentity;
use crate::ledger::RecordStore;
use crate::mesh::ConnectionId;
use crate::schema::JoinedView;
use crate::schema::LedgerAccount;
use crate::schema::LedgerAnswer;
use crate::schema::LedgerAsk;
use crate::schema::LedgerBegin;
use crate::schema::LedgerFinish;
use crate::schema::LedgerRecord;
use crate::schema::LedgerRecords;
use crate::schema::LedgerReply;
use crate::schema::LedgerRequest;
use crate::schema::LedgerStale;
use crate::schema::LedgerStored;
use crate::schema::LedgerView;
use crate::schema::ObservedObjects;
use crate::schema::PoisonStrike;
use crate::schema::ReservedTokens;

/// a question whose records are not on disk yet.
#[derive(Clone, Debug)]
struct Unsynced {
    from: ConnectionId,
    id: u64,
    /// the program of a beginning, and the last record of which its account told.
    told: Option<(String, u64)>,
}

/// one copy of the ledger: answers questions, and says that a record is stored once it is on disk.
#[derive(Debug)]
pub struct LedgerNode {
    own: NodeIdentity,
    view: LedgerView,
    /// whether the node has all that its disk should hold, so that its "unknown" counts.
    complete: bool,
    store: RecordStore,
    appended: u64,
    /// questions whose records are not on disk yet, by the number of the record.
    unsynced: BTreeMap<u64, Vec<Unsynced>>,
    synced: u64,
}

impl LedgerNode {
    /// a node with nothing on its disk, before it has joined.
    pub fn new(own: NodeIdentity, view: LedgerView) -> Self {
        Self {
            own,
            view,
            complete: false,
            store: RecordStore::default(),
            appended: 0,
            unsynced: BTreeMap::new(),
            synced: 0,
        }
    }

    /// reads a record of the log at the start of the process.
    pub fn replay(&mut self, now_ms: u64, record: &LedgerRecord) {
        if let LedgerRecord::Joined(joined) = record {
            if joined.view.epoch >= self.view.epoch {
                self.view = joined.view.clone();
                self.complete = joined.complete && self.is_member();
            }
            return;
        }
        self.store.merge(now_ms, record);
    }

    /// the view that the node follows.
    pub fn view(&self) -> &LedgerView {
        &self.view
    }

    /// whether the node has all that its disk should hold.
    pub fn is_complete(&self) -> bool {
        self.complete
    }

    /// whether the view names the node with its present disk.
    pub fn is_member(&self) -> bool {
        self.view.member(&self.own.name).is_some_and(|member| member.disk == self.own.disk)
    }

    /// the records that the node holds.
    pub fn store(&self) -> &RecordStore {
        &self.store
    }

    /// forgets what is over.
    pub fn expire(&mut self, now_ms: u64) {
        self.store.expire(now_ms);
    }

    /// follows a newer view; older ones are ignored.
    pub fn adopt(&mut self, view: &LedgerView) -> Vec<NodeAction> {
        if view.epoch <= self.view.epoch {
            return Vec::new();
        }
        self.view = view.clone();
        // A node that was left out misses the records of that time.
        self.complete = self.complete && self.is_member();
        vec![self.append_joined(), NodeAction::ViewChanged]
    }

    /// takes note that the records of enough other nodes were copied, or that there were none to copy.
    pub fn mark_complete(&mut self) -> Vec<NodeAction> {
        if self.complete || !self.is_member() {
            return Vec::new();
        }
        self.complete = true;
        vec![self.append_joined()]
    }

    /// keeps what was seen of the platform; it is no part of the ledger and is not copied.
    pub fn observe(&mut self, observed: ObservedObjects) -> Vec<NodeAction> {
        vec![self.append(LedgerRecord::Observed(observed))]
    }

    /// merges records of another node.
    pub fn merge(&mut self, now_ms: u64, records: &[LedgerRecord]) -> Vec<NodeAction> {
        let mut actions = Vec::new();
        for record in records {
            if self.store.merge(now_ms, record) {
                actions.push(self.append(record.clone()));
            }
        }
        actions
    }

    /// answers a question.
    pub fn handle_ask(&mut self, now_ms: u64, from: ConnectionId, ask: &LedgerAsk) -> Vec<NodeAction> {
        let mut actions = Vec::new();
        if let LedgerRequest::Pull(pull) = &ask.request {
            if pull.view.epoch < self.view.epoch {
                return vec![self.stale(from, ask.id)];
            }
            // From here on, writers that follow an older view are turned away, so the copy misses nothing.
            actions.extend(self.adopt(&pull.view));
            actions.push(self.answer(from, ask.id, LedgerReply::Records(self.records(pull.after))));
            return actions;
        }
        if let LedgerRequest::Push(push) = &ask.request {
            actions.extend(self.adopt(&push.view));
            actions.extend(self.merge(now_ms, &push.records));
            actions.extend(self.stored_later(Unsynced { from, id: ask.id, told: None }));
            return actions;
        }
        if ask.epoch != self.view.epoch || !self.is_member() {
            return vec![self.stale(from, ask.id)];
        }
        match &ask.request {
            LedgerRequest::Begin(begin) => self.begin(now_ms, from, ask.id, begin),
            LedgerRequest::Finish(finish) => self.finish(now_ms, from, ask.id, finish),
            LedgerRequest::Spent(spent) => {
                let account = self.account(&spent.program, None, None, false);
                vec![self.answer(from, ask.id, LedgerReply::Account(account))]
            }
            LedgerRequest::History(history) => {
                let account = self.account("", None, Some(&history.turn), true);
                vec![self.answer(from, ask.id, LedgerReply::Account(account))]
            }
            LedgerRequest::Strikes(strikes) => self.strike(now_ms, from, ask.id, &strikes.strikes),
            LedgerRequest::Pull(_) | LedgerRequest::Push(_) | LedgerRequest::Report(_) => Vec::new(),
        }
    }

    fn begin(&mut self, now_ms: u64, from: ConnectionId, id: u64, begin: &LedgerBegin) -> Vec<NodeAction> {
        let reserved = LedgerRecord::Reserved(ReservedTokens {
            program: begin.program.clone(),
            request: begin.request.clone(),
            tokens: begin.most_tokens,
            away: begin.away,
        });
        let mut actions = self.merge(now_ms, std::slice::from_ref(&reserved));
        let (line, previous) = (begin.line.as_deref(), begin.previous.as_deref());
        let account = self.account(&begin.program, line, previous, begin.wants_history);
        actions.push(self.answer(from, id, LedgerReply::Account(account)));
        let told = Some((begin.program.clone(), self.store.last_number()));
        actions.extend(self.stored_later(Unsynced { from, id, told }));
        actions
    }

    fn finish(&mut self, now_ms: u64, from: ConnectionId, id: u64, finish: &LedgerFinish) -> Vec<NodeAction> {
        let record = LedgerRecord::Finished(finish.clone());
        let mut actions = self.merge(now_ms, std::slice::from_ref(&record));
        actions.extend(self.stored_later(Unsynced { from, id, told: None }));
        actions
    }

    fn strike(
        &mut self,
        now_ms: u64,
        from: ConnectionId,
        id: u64,
        strikes: &[PoisonStrike],
    ) -> Vec<NodeAction> {
        let mut actions = Vec::new();
        for strike in strikes {
            let appended = self.merge(now_ms, &[LedgerRecord::Struck(strike.clone())]);
            if !appended.is_empty() {
                let victims = self.store.victim_count(&strike.content);
                actions.push(NodeAction::StrikeAdded { strike: strike.clone(), victims });
            }
            actions.extend(appended);
        }
        actions.extend(self.stored_later(Unsynced { from, id, told: None }));
        actions
    }

    /// takes note that all records up to `number` are on disk.
    pub fn on_synced(&mut self, number: u64) -> Vec<NodeAction> {
        self.synced = self.synced.max(number);
        let waiting = self.unsynced.split_off(&(number + 1));
        let done = std::mem::replace(&mut self.unsynced, waiting);
        let asks = done.into_values().flatten();
        asks.map(|ask| self.stored(&ask)).collect()
    }

    /// answers that everything appended so far is stored, now or once it is.
    fn stored_later(&mut self, ask: Unsynced) -> Option<NodeAction> {
        if self.appended <= self.synced {
            return Some(self.stored(&ask));
        }
        self.unsynced.entry(self.appended).or_default().push(ask);
        None
    }

    /// says that a question is stored, and what changed of its program since its account.
    fn stored(&self, ask: &Unsynced) -> NodeAction {
        let spends = ask.told.as_ref().map(|(program, after)| self.store.spends(program, *after));
        let stored = LedgerStored { through: self.synced, spends: spends.unwrap_or_default() };
        self.answer(ask.from, ask.id, LedgerReply::Stored(stored))
    }

    fn account(
        &self,
        program: &str,
        line: Option<&str>,
        turn: Option<&str>,
        wants_history: bool,
    ) -> LedgerAccount {
        let knows_turn = turn.is_none_or(|turn| self.store.knows_turn(turn));
        let history = turn.filter(|_| wants_history).map(|turn| self.store.history(turn)).unwrap_or_default();
        LedgerAccount {
            spends: self.store.spends(program, 0),
            home: self.store.home(program, line).map(str::to_owned),
            complete: self.complete,
            knows_turn,
            history,
        }
    }

    fn records(&self, after: u64) -> LedgerRecords {
        let (records, last, more) = self.store.page(after);
        LedgerRecords { records, last, more, complete: self.complete }
    }

    fn stale(&self, to: ConnectionId, id: u64) -> NodeAction {
        self.answer(to, id, LedgerReply::Stale(LedgerStale { view: self.view.clone() }))
    }

    fn answer(&self, to: ConnectionId, id: u64, reply: LedgerReply) -> NodeAction {
        NodeAction::Answer { to, answer: LedgerAnswer { id, reply } }
    }

    fn append_joined(&mut self) -> NodeAction {
        let joined = JoinedView { view: self.view.clone(), complete: self.complete };
        self.append(LedgerRecord::Joined(joined))
    }

    fn append(&mut self, record: LedgerRecord) -> NodeAction {
        self.appended += 1;
        NodeAction::Append { number: self.appended, record }
    }
}
