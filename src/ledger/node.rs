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
use crate::schema::LedgerStrikes;
use crate::schema::LedgerView;
use crate::schema::ObservedObjects;
use crate::schema::ReservedTokens;
use crate::schema::StreamVersion;
use crate::schema::SuspectedRun;

/// a request that is acknowledged once its records are on disk.
#[derive(Clone, Debug)]
struct PendingAck {
    from: ConnectionId,
    id: u64,
    /// for the beginning of a turn: the program, and the newest change number in the account already sent.
    reported: Option<(String, u64)>,
}

/// one copy of the ledger; acknowledges a record once it is on disk.
#[derive(Debug)]
pub struct LedgerNode {
    own: NodeIdentity,
    view: LedgerView,
    /// whether the node holds every record that it should, so that a record it lacks counts as absent.
    complete: bool,
    store: RecordStore,
    last_appended: u64,
    /// requests whose records are not on disk yet, by log number of their last record.
    pending_acks: BTreeMap<u64, Vec<PendingAck>>,
    last_synced: u64,
}

impl LedgerNode {
    /// a node with an empty disk that has not joined.
    pub fn new(own: NodeIdentity, view: LedgerView) -> Self {
        Self {
            own,
            view,
            complete: false,
            store: RecordStore::default(),
            last_appended: 0,
            pending_acks: BTreeMap::new(),
            last_synced: 0,
        }
    }

    /// replays a record of the log at process start.
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

    /// the current view.
    pub fn view(&self) -> &LedgerView {
        &self.view
    }

    /// whether the node holds every record that it should.
    pub fn is_complete(&self) -> bool {
        self.complete
    }

    /// whether the view lists the node with its current disk.
    pub fn is_member(&self) -> bool {
        self.view.member(&self.own.name).is_some_and(|member| member.disk == self.own.disk)
    }

    /// the live records.
    pub fn store(&self) -> &RecordStore {
        &self.store
    }

    /// drops records whose retention has ended.
    pub fn expire(&mut self, now_ms: u64) {
        self.store.expire(now_ms);
    }

    /// adopts a newer view; an older one is ignored.
    pub fn adopt(&mut self, view: &LedgerView) -> Vec<NodeAction> {
        if view.epoch <= self.view.epoch {
            return Vec::new();
        }
        self.view = view.clone();
        // A node that is no member misses the records of that time.
        self.complete = self.complete && self.is_member();
        vec![self.append_view(), NodeAction::ViewChanged]
    }

    /// marks the node as complete, after it copied enough other nodes or had none to copy.
    pub fn mark_complete(&mut self) -> Vec<NodeAction> {
        if self.complete || !self.is_member() {
            return Vec::new();
        }
        self.complete = true;
        vec![self.append_view()]
    }

    /// logs objects seen at the platform; they are no part of the ledger and are not replicated.
    pub fn observe(&mut self, observed: ObservedObjects) -> Vec<NodeAction> {
        vec![self.append(LedgerRecord::Observed(observed))]
    }

    /// merges records and logs those that changed anything.
    pub fn merge(&mut self, now_ms: u64, records: &[LedgerRecord]) -> Vec<NodeAction> {
        let mut actions = Vec::new();
        for record in records {
            if self.store.merge(now_ms, record) {
                actions.push(self.append(record.clone()));
            }
        }
        actions
    }

    /// handles a request of a door or another node.
    pub fn handle_ask(&mut self, now_ms: u64, from: ConnectionId, ask: &LedgerAsk) -> Vec<NodeAction> {
        let mut actions = Vec::new();
        if let LedgerRequest::Pull(pull) = &ask.request {
            if pull.view.epoch < self.view.epoch {
                return vec![self.stale(from, ask.id)];
            }
            // From here on, writers of an older view are rejected, so the copy misses no records.
            actions.extend(self.adopt(&pull.view));
            let extended = self.store.extend(now_ms, &pull.extends);
            if extended > 0 {
                actions.push(NodeAction::TurnsExtended(extended));
            }
            actions.push(self.answer(from, ask.id, LedgerReply::Records(self.records(pull.after))));
            return actions;
        }
        if let LedgerRequest::Push(push) = &ask.request {
            actions.extend(self.adopt(&push.view));
            actions.extend(self.merge(now_ms, &push.records));
            actions.extend(self.ack_when_synced(PendingAck { from, id: ask.id, reported: None }));
            return actions;
        }
        if ask.epoch != self.view.epoch || !self.is_member() {
            return vec![self.stale(from, ask.id)];
        }
        match &ask.request {
            LedgerRequest::Begin(begin) => self.begin(now_ms, from, ask.id, begin),
            LedgerRequest::Finish(finish) => self.finish(now_ms, from, ask.id, finish),
            LedgerRequest::StreamBegan(began) => self.begin_stream(now_ms, from, ask.id, began),
            LedgerRequest::Stream(asked) => {
                let stream = self.store.stream(&asked.request).cloned();
                let account = LedgerAccount { stream, ..self.account("", None, None, false) };
                vec![self.answer(from, ask.id, LedgerReply::Account(account))]
            }
            LedgerRequest::Spent(spent) => {
                let account = self.account(&spent.program, None, None, false);
                vec![self.answer(from, ask.id, LedgerReply::Account(account))]
            }
            LedgerRequest::History(history) => {
                let account = self.account("", None, Some(&history.turn), true);
                vec![self.answer(from, ask.id, LedgerReply::Account(account))]
            }
            LedgerRequest::Strikes(strikes) => self.add_strikes(now_ms, from, ask.id, strikes),
            LedgerRequest::Pull(_)
            | LedgerRequest::Push(_)
            | LedgerRequest::Report(_)
            | LedgerRequest::Allotment(_) => Vec::new(),
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
        if let Some(began) = &begin.stream {
            actions.extend(self.merge(now_ms, &[LedgerRecord::StreamBegan(began.clone())]));
        }
        let (line, previous) = (begin.line.as_deref(), begin.previous.as_deref());
        let mut account = self.account(&begin.program, line, previous, begin.wants_history);
        account.stream = begin.resumes.as_ref().and_then(|resumes| self.store.stream(resumes)).cloned();
        actions.push(self.answer(from, id, LedgerReply::Account(account)));
        let reported = Some((begin.program.clone(), self.store.last_number()));
        actions.extend(self.ack_when_synced(PendingAck { from, id, reported }));
        actions
    }

    fn finish(&mut self, now_ms: u64, from: ConnectionId, id: u64, finish: &LedgerFinish) -> Vec<NodeAction> {
        let record = LedgerRecord::Finished(finish.clone());
        let mut actions = self.merge(now_ms, std::slice::from_ref(&record));
        actions.extend(self.ack_when_synced(PendingAck { from, id, reported: None }));
        actions
    }

    fn begin_stream(
        &mut self,
        now_ms: u64,
        from: ConnectionId,
        id: u64,
        began: &StreamVersion,
    ) -> Vec<NodeAction> {
        let mut actions = self.merge(now_ms, &[LedgerRecord::StreamBegan(began.clone())]);
        actions.extend(self.ack_when_synced(PendingAck { from, id, reported: None }));
        actions
    }

    fn add_strikes(
        &mut self,
        now_ms: u64,
        from: ConnectionId,
        id: u64,
        batch: &LedgerStrikes,
    ) -> Vec<NodeAction> {
        let mut actions = Vec::new();
        for strike in &batch.strikes {
            let appended = self.merge(now_ms, &[LedgerRecord::Struck(strike.clone())]);
            if !appended.is_empty() {
                let victims = self.store.victim_count(&strike.content);
                actions.push(NodeAction::StrikeAdded { strike: strike.clone(), victims });
            }
            actions.extend(appended);
        }
        actions.extend(self.suspect(now_ms, &batch.runs));
        actions.extend(self.ack_when_synced(PendingAck { from, id, reported: None }));
        actions
    }

    /// stores what has changed of unanswered runs.
    pub fn suspect(&mut self, now_ms: u64, runs: &[SuspectedRun]) -> Vec<NodeAction> {
        let records: Vec<LedgerRecord> = runs.iter().cloned().map(LedgerRecord::Suspected).collect();
        self.merge(now_ms, &records)
    }

    /// acknowledges the requests whose records are on disk, now that all up to `number` are.
    pub fn on_synced(&mut self, number: u64) -> Vec<NodeAction> {
        self.last_synced = self.last_synced.max(number);
        let waiting = self.pending_acks.split_off(&(number + 1));
        let done = std::mem::replace(&mut self.pending_acks, waiting);
        let asks = done.into_values().flatten();
        asks.map(|ask| self.ack(&ask)).collect()
    }

    /// acknowledges a request once everything appended so far is on disk, at once if it is.
    fn ack_when_synced(&mut self, ask: PendingAck) -> Option<NodeAction> {
        if self.last_appended <= self.last_synced {
            return Some(self.ack(&ask));
        }
        self.pending_acks.entry(self.last_appended).or_default().push(ask);
        None
    }

    /// acknowledges a request, with the spending of its program that changed since its account.
    fn ack(&self, ask: &PendingAck) -> NodeAction {
        let spends = ask.reported.as_ref().map(|(program, after)| self.store.spends(program, *after));
        let stored = LedgerStored { through: self.last_synced, spends: spends.unwrap_or_default() };
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
            stream: None,
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

    fn append_view(&mut self) -> NodeAction {
        let joined = JoinedView { view: self.view.clone(), complete: self.complete };
        self.append(LedgerRecord::Joined(joined))
    }

    fn append(&mut self, record: LedgerRecord) -> NodeAction {
        self.last_appended += 1;
        NodeAction::Append { number: self.last_appended, record }
    }
}
