use std::collections::BTreeMap;
use std::collections::BTreeSet;

use crate::allotment::AllotmentBounds;
use crate::allotment::AllotmentLedger;
use crate::fleet::DoorRegistry;
use crate::fleet::InFlightRuns;
use crate::fleet::LimitShares;
use crate::fleet::Mirror;
use crate::fleet::WatchUpdate;
use crate::ledger::CatchUp;
use crate::ledger::CoreAction;
use crate::ledger::CoreInput;
use crate::ledger::LedgerNode;
use crate::ledger::NodeAction;
use crate::ledger::NodeIdentity;
use crate::ledger::PoisonNews;
use crate::ledger::ViewPlanner;
use crate::ledger::peers::Peers;
use crate::ledger::peers::Purpose;
use crate::ledger::retirement::Retirement;
use crate::mesh::ConnectionId;
use crate::schema::AllotmentAsk;
use crate::schema::AllotmentGrant;
use crate::schema::JoinedView;
use crate::schema::LedgerAnswer;
use crate::schema::LedgerAsk;
use crate::schema::LedgerMember;
use crate::schema::LedgerPull;
use crate::schema::LedgerPush;
use crate::schema::LedgerRecord;
use crate::schema::LedgerReply;
use crate::schema::LedgerRequest;
use crate::schema::LedgerStale;
use crate::schema::LedgerView;
use crate::schema::ObservedObjects;
use crate::schema::StrikesMark;
use crate::schema::SuspectedRun;
use crate::schema::TurnExtension;

/// interval of the removal of expired records.
const EXPIRY_INTERVAL_MS: u64 = 5_000;
/// time without an answer of most other members after which no tokens of allotments are granted: members that are
/// replaced have to stop before their successors have their full part.
const ALLOTMENT_CONTACT_MS: u64 = 2_000;
/// change number above all records, for requests that only check whether a node answers.
const AFTER_ALL_RECORDS: u64 = u64::MAX - 1;

/// all decisions of a ledger node: its copy of the records, its membership, and the reports that doors
/// exchange through it.
#[derive(Debug)]
pub struct NodeCore {
    node: LedgerNode,
    own: LedgerMember,
    board: DoorRegistry,
    /// runs that weigh once the doors that run them end.
    in_flight_runs: InFlightRuns,
    /// rate limits of replicas, and what doors would use of them.
    limits: LimitShares,
    /// tokens that this node grants of workspaces' allotments.
    allotments: Option<AllotmentLedger>,
    /// platform objects that doors read from this node, by prefix.
    mirrors: BTreeMap<String, Mirror>,
    /// id of this process start.
    start: String,
    peers: Peers,
    catch_up: CatchUp,
    retirement: Retirement,
    retiring: BTreeSet<String>,
    /// whether a read or write of the view at the platform is in flight.
    view_call_pending: bool,
    /// whether the view was read since the process start; before, the node may have been evicted unnoticed.
    has_read_view: bool,
    report_pending: bool,
    last_expiry_ms: u64,
}

impl NodeCore {
    /// an empty node, to which `replay` adds the records of the log; `start` is the id of this process start.
    pub fn new(own: LedgerMember, empty: LedgerView, start: &str) -> Self {
        let identity = NodeIdentity { name: own.name.clone(), disk: own.disk.clone() };
        Self {
            node: LedgerNode::new(identity, empty),
            own,
            board: DoorRegistry::new(start),
            in_flight_runs: InFlightRuns::default(),
            limits: LimitShares::default(),
            allotments: None,
            mirrors: BTreeMap::new(),
            start: start.to_owned(),
            peers: Peers::default(),
            catch_up: CatchUp::default(),
            retirement: Retirement::default(),
            retiring: BTreeSet::new(),
            view_call_pending: false,
            has_read_view: false,
            report_pending: false,
            last_expiry_ms: 0,
        }
    }

    /// has the node grant tokens of workspaces' allotments.
    pub fn set_allotment_bounds(&mut self, bounds: AllotmentBounds) {
        self.allotments = Some(AllotmentLedger::new(bounds, &self.start));
    }

    /// replays a record of the log at process start.
    pub fn replay(&mut self, now_ms: u64, record: &LedgerRecord) {
        if let LedgerRecord::Observed(observed) = record {
            self.mirror(&observed.prefix).replay(observed);
            return;
        }
        self.node.replay(now_ms, record);
    }

    fn mirror(&mut self, prefix: &str) -> &mut Mirror {
        let start = &self.start;
        self.mirrors.entry(prefix.to_owned()).or_insert_with(|| Mirror::new(prefix, start))
    }

    /// this node's copy of the ledger.
    pub fn node(&self) -> &LedgerNode {
        &self.node
    }

    /// handles one input and returns the side effects, in order.
    pub fn handle(&mut self, now_ms: u64, input: CoreInput) -> Vec<CoreAction> {
        let mut out = Vec::new();
        match input {
            CoreInput::Ask(from, ask) => self.on_ask(now_ms, from, &ask, &mut out),
            CoreInput::Answer(answer) => self.on_answer(now_ms, *answer, &mut out),
            CoreInput::Synced(number) => {
                let actions = self.node.on_synced(number);
                self.perform(now_ms, actions, &mut out);
            }
            CoreInput::SegmentFull => out.push(CoreAction::CompactLog(self.live_records())),
            CoreInput::View(view) => {
                self.view_call_pending = false;
                if let Some(view) = view {
                    self.has_read_view = true;
                    let actions = self.node.adopt(&view);
                    self.perform(now_ms, actions, &mut out);
                }
            }
            CoreInput::WatchUpdate { prefix, update, revision, after_outage } => {
                self.on_watch_update(now_ms, &prefix, &update, revision, after_outage, &mut out);
            }
            CoreInput::Retiring(names) => {
                let last_number = self.node.store().last_number();
                self.retirement.set_requested(names.contains(&self.own.name), last_number);
                self.retiring = names;
            }
            CoreInput::RetirementReported { phase } => {
                self.report_pending = false;
                if let Some(phase) = phase {
                    self.retirement.set_reported(phase);
                }
            }
            CoreInput::Tick => self.tick(now_ms, &mut out),
        }
        out
    }

    fn on_ask(&mut self, now_ms: u64, from: ConnectionId, ask: &LedgerAsk, out: &mut Vec<CoreAction>) {
        if let LedgerRequest::Allotment(wanted) = &ask.request
            && ask.epoch == self.node.view().epoch
            && self.node.is_member()
        {
            let reply = LedgerReply::Granted(self.grant(now_ms, wanted));
            out.push(CoreAction::Answer { to: from, answer: LedgerAnswer { id: ask.id, reply } });
            return;
        }
        let LedgerRequest::Report(report) = &ask.request else {
            let actions = self.node.handle_ask(now_ms, from, ask);
            self.perform(now_ms, actions, out);
            return;
        };
        let mut news = self.board.report(now_ms, report);
        let orphaned = self.in_flight_runs.report(now_ms, report);
        self.suspect(now_ms, &orphaned, out);
        self.limits.report(now_ms, report);
        if report.wants_fleet {
            news.limits = self.limits.for_door(now_ms, &report.name);
        }
        let poison = self.poison_after(report.strikes_mark.as_ref());
        (news.strikes, news.unresolved) = (poison.strikes, poison.runs);
        news.strikes_mark = StrikesMark { start: self.start.clone(), number: poison.last_number };
        news.complete = self.node.is_complete();
        let mark = |prefix: &str| report.marks.iter().find(|mark| mark.prefix == prefix);
        let mirrors = self.mirrors.values();
        let mirrors =
            mirrors.map(|mirror| mirror.news_for(now_ms, mark(mirror.prefix()), report.wants_fleet));
        news.mirrors = mirrors.collect();
        let view = self.node.view();
        // A door with an old view gets the new one with its next report at the latest.
        let reply = match ask.epoch < view.epoch {
            true => LedgerReply::Stale(LedgerStale { view: view.clone() }),
            false => LedgerReply::News(news),
        };
        out.push(CoreAction::Answer { to: from, answer: LedgerAnswer { id: ask.id, reply } });
    }

    /// grants tokens of an allotment; none, and no time to come back at, if it has no allotments, or if this node may
    /// have been replaced without its knowledge.
    fn grant(&mut self, now_ms: u64, wanted: &AllotmentAsk) -> AllotmentGrant {
        let member_count = self.node.view().members.len();
        let peers = self.peers.states(now_ms);
        let heard = peers.values().filter(|peer| peer.silent_ms < ALLOTMENT_CONTACT_MS).count();
        let is_in_touch = 2 * (heard + 1) > member_count;
        self.set_allotment_members(now_ms);
        match &mut self.allotments {
            Some(allotments) if is_in_touch => allotments.grant(now_ms, wanted),
            _ => AllotmentGrant {
                start: self.start.clone(),
                slot: 0,
                starts: 0,
                turns: 0,
                retry_after_ms: None,
            },
        }
    }

    fn set_allotment_members(&mut self, now_ms: u64) {
        let member_count = self.node.is_member().then(|| self.node.view().members.len());
        if let Some(allotments) = &mut self.allotments {
            allotments.set_members(now_ms, member_count);
        }
    }

    /// what a door does not know yet of contents that end replicas.
    fn poison_after(&self, mark: Option<&StrikesMark>) -> PoisonNews {
        // Change numbers of another process start are not comparable.
        let after = mark.filter(|mark| mark.start == self.start).map_or(0, |mark| mark.number);
        self.node.store().poison_after(after)
    }

    /// stores runs whose doors have ended.
    fn suspect(&mut self, now_ms: u64, orphaned: &[SuspectedRun], out: &mut Vec<CoreAction>) {
        if orphaned.is_empty() {
            return;
        }
        out.push(CoreAction::RunsOrphaned(orphaned.to_vec()));
        let actions = self.node.suspect(now_ms, orphaned);
        self.perform(now_ms, actions, out);
    }

    /// mirrors platform objects and logs them, so that doors that start during a platform outage get them.
    fn on_watch_update(
        &mut self,
        now_ms: u64,
        prefix: &str,
        update: &WatchUpdate,
        revision: Option<u64>,
        after_outage: bool,
        out: &mut Vec<CoreAction>,
    ) {
        let mirror = self.mirror(prefix);
        let objects = match update {
            WatchUpdate::Snapshot(objects) => mirror.apply_snapshot(now_ms, objects, after_outage),
            WatchUpdate::Changes(changes) => mirror.apply_changes(now_ms, changes, after_outage),
            WatchUpdate::Nothing => Vec::new(),
            WatchUpdate::Failed(_) => return,
        };
        mirror.record_contact(now_ms, revision);
        if objects.is_empty() {
            return;
        }
        let observed =
            ObservedObjects { prefix: prefix.to_owned(), revision: revision.unwrap_or(0), objects };
        let actions = self.node.observe(observed);
        self.perform(now_ms, actions, out);
    }

    fn on_answer(&mut self, now_ms: u64, answer: LedgerAnswer, out: &mut Vec<CoreAction>) {
        let Some((name, pending)) = self.peers.take_answer(now_ms, answer.id) else {
            return;
        };
        match answer.reply {
            LedgerReply::Records(page) => {
                self.peers.set_complete(&name, page.complete);
                match pending.purpose {
                    Purpose::Copy => {}
                    Purpose::Extend { number, count } => {
                        if self.peers.set_told(&name, number) {
                            out.push(CoreAction::ToldMissingTurns { member: name, count });
                        }
                        return;
                    }
                    Purpose::Probe | Purpose::HandOver(_) => return,
                }
                let actions = self.node.merge(now_ms, &page.records);
                self.perform(now_ms, actions, out);
                self.catch_up.add_page(&name, pending.epoch, &page);
                if page.more {
                    self.ask_peer(now_ms, &name, out);
                }
                self.finish_catch_up(now_ms, out);
            }
            LedgerReply::Stored(_) => {
                if let Purpose::HandOver(number) = pending.purpose {
                    if let Some(member) = self.node.view().member(&name) {
                        self.retirement.set_handed_over(member, number);
                    }
                    self.ask_peer(now_ms, &name, out);
                }
            }
            LedgerReply::Stale(stale) => {
                let actions = self.node.adopt(&stale.view);
                self.perform(now_ms, actions, out);
            }
            LedgerReply::Account(_) | LedgerReply::News(_) | LedgerReply::Granted(_) => {}
        }
    }

    fn tick(&mut self, now_ms: u64, out: &mut Vec<CoreAction>) {
        self.set_allotment_members(now_ms);
        if now_ms >= self.last_expiry_ms + EXPIRY_INTERVAL_MS {
            self.last_expiry_ms = now_ms;
            self.node.expire(now_ms);
            self.board.expire(now_ms);
            let orphaned = self.in_flight_runs.expire(now_ms);
            self.suspect(now_ms, &orphaned, out);
            self.limits.expire(now_ms);
            if let Some(allotments) = &mut self.allotments {
                allotments.expire(now_ms);
            }
            for mirror in self.mirrors.values_mut() {
                mirror.expire(now_ms);
            }
        }
        if !self.has_read_view && !self.view_call_pending {
            self.view_call_pending = true;
            out.push(CoreAction::ReadView);
        }
        self.peers.set_view(now_ms, &self.own.name, self.node.view());
        self.catch_up.set_view(self.node.view());
        if !self.node.is_complete() {
            self.catch_up.retry_incomplete();
        }
        for name in self.peers.names() {
            self.ask_peer(now_ms, &name, out);
        }
        // A sole member has no other to copy and is complete at once.
        self.finish_catch_up(now_ms, out);
        self.propose_view(now_ms, out);
        self.report_retirement(out);
    }

    /// sends another member the request that is due: a copy of its records, a hand-over, or else a probe.
    fn ask_peer(&mut self, now_ms: u64, name: &str, out: &mut Vec<CoreAction>) {
        let view = self.node.view().clone();
        let Some(member) = view.member(name).cloned() else {
            return;
        };
        let is_catching_up = self.node.is_member() && !self.node.is_complete();
        let cursor = self.catch_up.cursor(name).filter(|_| is_catching_up);
        let (purpose, request) = if let Some(after) = cursor {
            let pull = LedgerPull { view: view.clone(), after, extends: Vec::new() };
            (Purpose::Copy, LedgerRequest::Pull(pull))
        } else if let Some((number, records)) = self.next_hand_over(&member) {
            (Purpose::HandOver(number), LedgerRequest::Push(LedgerPush { view: view.clone(), records }))
        } else {
            let (purpose, extends) = self.next_extensions(now_ms, name);
            let pull = LedgerPull { view: view.clone(), after: AFTER_ALL_RECORDS, extends };
            (purpose, LedgerRequest::Pull(pull))
        };
        if let Some(id) = self.peers.register(now_ms, name, view.epoch, purpose) {
            out.push(CoreAction::Ask { member, ask: LedgerAsk { id, epoch: view.epoch, request } });
        }
    }

    /// the turns that a member is told of next, as they are needed here but missing; a mere probe if there are none.
    fn next_extensions(&mut self, now_ms: u64, name: &str) -> (Purpose, Vec<TurnExtension>) {
        let mut after = self.peers.told(name);
        let mut page = self.node.store().extensions_after(now_ms, after);
        if page.last_number == after && self.peers.start_telling_again(now_ms, name) {
            after = 0;
            page = self.node.store().extensions_after(now_ms, after);
        }
        if page.last_number == after {
            return (Purpose::Probe, Vec::new());
        }
        let purpose = Purpose::Extend { number: page.last_number, count: page.extensions.len() };
        (purpose, page.extensions)
    }

    /// the next records that a retiring node hands over to a member: all while it is still a member itself,
    /// and after it has left those that arrived meanwhile.
    fn next_hand_over(&self, member: &LedgerMember) -> Option<(u64, Vec<LedgerRecord>)> {
        if !self.retirement.is_requested() {
            return None;
        }
        let (records, last, _) = self.node.store().page(self.retirement.handed_over(member));
        (!records.is_empty()).then_some((last, records))
    }

    fn finish_catch_up(&mut self, now_ms: u64, out: &mut Vec<CoreAction>) {
        let is_due = self.node.is_member() && !self.node.is_complete();
        if !is_due || !self.catch_up.is_done(self.node.view()) {
            return;
        }
        let actions = self.node.mark_complete();
        self.perform(now_ms, actions, out);
        out.push(CoreAction::CaughtUp);
    }

    fn propose_view(&mut self, now_ms: u64, out: &mut Vec<CoreAction>) {
        if self.view_call_pending || !self.has_read_view {
            return;
        }
        let peers = self.peers.states(now_ms);
        let plan = ViewPlanner {
            own: &self.own,
            own_complete: self.node.is_complete(),
            view: self.node.view(),
            peers: &peers,
            has_handed_over: self.retirement.has_handed_over(self.node.view(), &self.own.name),
            retiring: &self.retiring,
        };
        if let Some((change, view)) = plan.propose() {
            self.view_call_pending = true;
            out.push(CoreAction::ProposeView { change, view });
        }
    }

    fn report_retirement(&mut self, out: &mut Vec<CoreAction>) {
        if self.report_pending {
            return;
        }
        let has_left = self.has_read_view && !self.node.is_member();
        let last_number = self.node.store().last_number();
        if let Some(phase) = self.retirement.pending_report(has_left, self.node.view(), last_number) {
            self.report_pending = true;
            out.push(CoreAction::ReportRetirement(phase));
        }
    }

    fn live_records(&self) -> Vec<LedgerRecord> {
        let joined = JoinedView { view: self.node.view().clone(), complete: self.node.is_complete() };
        let mut records = vec![LedgerRecord::Joined(joined)];
        records.extend(self.mirrors.values().map(|mirror| LedgerRecord::Observed(mirror.observed())));
        let mut after = 0;
        loop {
            let (page, last, more) = self.node.store().page(after);
            records.extend(page);
            after = last;
            if !more {
                return records;
            }
        }
    }

    fn perform(&mut self, now_ms: u64, actions: Vec<NodeAction>, out: &mut Vec<CoreAction>) {
        for action in actions {
            match action {
                NodeAction::Append { number, record } => out.push(CoreAction::Append { number, record }),
                NodeAction::Answer { to, answer } => out.push(CoreAction::Answer { to, answer }),
                NodeAction::StrikeAdded { strike, victims } => {
                    out.push(CoreAction::StrikeAdded { strike, victims })
                }
                NodeAction::TurnsExtended(count) => out.push(CoreAction::TurnsExtended(count)),
                NodeAction::ViewChanged => {
                    self.peers.set_view(now_ms, &self.own.name, self.node.view());
                    self.catch_up.set_view(self.node.view());
                    out.push(CoreAction::ViewChanged(self.node.view().clone()));
                }
            }
        }
    }
}
