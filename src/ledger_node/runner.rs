use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::Instant;

use anyhow::bail;
use async_channel::Sender;
use flamingo_edge::Spawner;
use slog::Logger;
use slog::error;
use slog::info;
use slog::warn;

use crate::fleet::Board;
use crate::ledger::CatchUp;
use crate::ledger::JoinPlan;
use crate::ledger::LedgerNode;
use crate::ledger::NodeAction;
use crate::ledger::empty_view;
use crate::ledger_log::LedgerLog;
use crate::ledger_log::LogEvent;
use crate::ledger_node::event::Event;
use crate::ledger_node::peers::Peers;
use crate::ledger_node::peers::Purpose;
use crate::ledger_node::retirement::Retirement;
use crate::ledger_node::view_store;
use crate::mesh::ConnectionId;
use crate::mesh::Mesh;
use crate::platform::HttpPlatform;
use crate::platform::Platform;
use crate::platform::RetirementPhase;
use crate::platform::retirement_status;
use crate::schema::JoinedView;
use crate::schema::LedgerAnswer;
use crate::schema::LedgerAsk;
use crate::schema::LedgerMember;
use crate::schema::LedgerPull;
use crate::schema::LedgerPush;
use crate::schema::LedgerRecord;
use crate::schema::LedgerReply;
use crate::schema::LedgerRequest;
use crate::schema::MeshMessage;

/// time between two looks at what has expired.
const EXPIRE_EVERY_MS: u64 = 5_000;
/// first number that no record has: asks only whether a node is there.
const NO_RECORDS: u64 = u64::MAX - 1;

/// the one task that owns the state of a ledger node.
pub(super) struct Runner {
    pub node: LedgerNode,
    pub own: LedgerMember,
    pub lost_disks: u32,
    pub log: Logger,
    pub disk: LedgerLog,
    pub mesh: Arc<Mesh>,
    pub platform: Arc<HttpPlatform>,
    pub spawner: Spawner,
    pub events: Sender<Event>,
    pub started: Instant,
    pub board: Board,
    pub peers: Peers,
    pub catch_up: CatchUp,
    pub retirement: Retirement,
    pub retiring: BTreeSet<String>,
    /// whether a call about the view is under way.
    pub asking_platform: bool,
    /// whether the view was read since the start; until then the node does not know whether it still has a seat.
    pub view_read: bool,
    pub reporting: bool,
    pub expired_ms: u64,
}

impl Runner {
    /// takes one event; `false` ends the process.
    pub fn take(&mut self, event: Event) -> anyhow::Result<bool> {
        let now_ms = self.started.elapsed().as_millis() as u64;
        match event {
            Event::Ask(from, ask) => self.on_ask(now_ms, from, &ask),
            Event::Answer(answer) => self.on_answer(now_ms, *answer),
            // Questions to a peer that is gone run into their timeout.
            Event::Closed => {}
            Event::Log(LogEvent::Synced(number)) => {
                let actions = self.node.synced(number);
                self.perform(now_ms, actions);
            }
            Event::Log(LogEvent::Full) => self.restart_log(),
            Event::Log(LogEvent::Failed(cause)) => {
                error!(self.log, "the disk failed"; "error" => cause.to_string());
                bail!("the disk failed: {cause}");
            }
            Event::View(view) => {
                self.asking_platform = false;
                if let Some(view) = view {
                    self.view_read = true;
                    let actions = self.node.adopt(&view);
                    self.perform(now_ms, actions);
                }
            }
            Event::Retiring(names) => {
                self.retiring = names.into_iter().collect();
                self.retirement.set_ordered(self.retiring.contains(&self.own.name));
            }
            Event::RetirementReported { completed } => {
                self.reporting = false;
                self.retirement.reported(completed);
            }
            Event::Tick => self.tick(now_ms),
            Event::Stop => return Ok(false),
        }
        Ok(true)
    }

    fn on_ask(&mut self, now_ms: u64, from: ConnectionId, ask: &LedgerAsk) {
        if let LedgerRequest::Report(report) = &ask.request {
            let reply = LedgerReply::News(self.board.report(now_ms, report));
            self.send_answer(from, LedgerAnswer { id: ask.id, reply });
            return;
        }
        let actions = self.node.ask(now_ms, from, ask);
        self.perform(now_ms, actions);
    }

    fn on_answer(&mut self, now_ms: u64, answer: LedgerAnswer) {
        let Some((name, pending)) = self.peers.answered(now_ms, answer.id) else {
            return;
        };
        match answer.reply {
            LedgerReply::Records(page) => {
                self.peers.set_complete(&name, page.complete);
                if pending.purpose != Purpose::Copy {
                    return;
                }
                let actions = self.node.copy(now_ms, &page.records);
                self.perform(now_ms, actions);
                self.catch_up.page(&name, pending.epoch, &page);
                if page.more {
                    self.ask_peer(now_ms, &name);
                }
                self.finish_catch_up(now_ms);
            }
            LedgerReply::Stored(_) => {
                if let Purpose::HandOver(number) = pending.purpose {
                    self.retirement.stored(&name, number);
                    self.ask_peer(now_ms, &name);
                }
            }
            LedgerReply::Stale(stale) => {
                let actions = self.node.adopt(&stale.view);
                self.perform(now_ms, actions);
            }
            LedgerReply::Account(_) | LedgerReply::News(_) => {}
        }
    }

    fn finish_catch_up(&mut self, now_ms: u64) {
        if self.node.is_complete() || !self.catch_up.is_done(self.node.view()) {
            return;
        }
        let actions = self.node.caught_up();
        self.perform(now_ms, actions);
        info!(self.log, "the records are complete"; "epoch" => self.node.view().epoch,
            "programs" => self.node.book().program_count(), "turns" => self.node.book().turn_count());
    }

    fn tick(&mut self, now_ms: u64) {
        if now_ms >= self.expired_ms + EXPIRE_EVERY_MS {
            self.expired_ms = now_ms;
            self.node.expire(now_ms);
            self.board.expire(now_ms);
        }
        if !self.view_read {
            self.read_view();
        }
        self.peers.follow(now_ms, &self.own.name, self.node.view());
        if !self.node.is_complete() {
            self.catch_up.retry_incomplete();
        }
        for name in self.peers.names() {
            self.ask_peer(now_ms, &name);
        }
        // The only member of a first view has nobody to copy from.
        self.finish_catch_up(now_ms);
        self.propose_view(now_ms);
        self.report_retirement();
    }

    /// asks another member for what this node needs next of it.
    fn ask_peer(&mut self, now_ms: u64, name: &str) {
        let view = self.node.view().clone();
        let Some(member) = view.member(name) else {
            return;
        };
        let Ok(address) = member.mesh.parse() else {
            warn!(self.log, "the address of a member makes no sense"; "member" => name, "mesh" => &member.mesh);
            return;
        };
        self.catch_up.follow(&view);
        let copies = self.node.is_member() && !self.node.is_complete();
        let cursor = self.catch_up.cursor(name).filter(|_| copies);
        let (purpose, request) = match cursor {
            Some(after) => (Purpose::Copy, LedgerRequest::Pull(LedgerPull { view: view.clone(), after })),
            None => match self.hand_over(name) {
                Some((number, records)) => {
                    let push = LedgerPush { view: view.clone(), records };
                    (Purpose::HandOver(number), LedgerRequest::Push(push))
                }
                None => {
                    let pull = LedgerPull { view: view.clone(), after: NO_RECORDS };
                    (Purpose::Probe, LedgerRequest::Pull(pull))
                }
            },
        };
        let Some(id) = self.peers.start(now_ms, name, view.epoch, purpose) else {
            return;
        };
        let ask = LedgerAsk { id, epoch: view.epoch, request };
        if self.mesh.send(address, None, MeshMessage::LedgerAsk(ask)).is_err() {
            self.peers.cancel(name);
        }
    }

    /// the next records that a member needs of a node that is being emptied and has given up its seat.
    fn hand_over(&self, name: &str) -> Option<(u64, Vec<LedgerRecord>)> {
        if !self.retirement.is_ordered() || self.node.is_member() {
            return None;
        }
        let (records, last, _) = self.node.book().page(self.retirement.handed_over(name));
        (!records.is_empty()).then_some((last, records))
    }

    fn propose_view(&mut self, now_ms: u64) {
        if self.asking_platform || !self.view_read {
            return;
        }
        let peers = self.peers.states(now_ms);
        let plan = JoinPlan {
            own: &self.own,
            own_complete: self.node.is_complete(),
            view: self.node.view(),
            peers: &peers,
            retiring: &self.retiring,
        };
        let Some((change, proposed)) = plan.propose() else {
            return;
        };
        let change: &'static str = change.into();
        info!(self.log, "propose a view"; "change" => change, "epoch" => proposed.epoch,
            "members" => proposed.members.len());
        self.asking_platform = true;
        let platform = Arc::clone(&self.platform);
        let call = view_store::propose(platform, empty_view(self.lost_disks), proposed, self.log.clone());
        let events = self.events.clone();
        self.spawner.detach(async move {
            let view = call.await;
            let _ = events.try_send(Event::View(view));
        });
    }

    fn read_view(&mut self) {
        if self.asking_platform {
            return;
        }
        self.asking_platform = true;
        let platform = Arc::clone(&self.platform);
        let empty = empty_view(self.lost_disks);
        let events = self.events.clone();
        let log = self.log.clone();
        self.spawner.detach(async move {
            let view = match view_store::read_view(&platform, empty).await {
                Ok((_, view)) => Some(view),
                Err(error) => {
                    warn!(log, "the view cannot be read"; "dependency" => "platform", "error" => error);
                    None
                }
            };
            let _ = events.try_send(Event::View(view));
        });
    }

    fn report_retirement(&mut self) {
        if self.reporting || !self.retirement.is_ordered() {
            return;
        }
        let last_number = self.node.book().last_number();
        let ended = !self.node.is_member() && self.retirement.owes_end(self.node.view(), last_number);
        let phase = match (ended, self.retirement.owes_start()) {
            (true, _) => RetirementPhase::Completed,
            (false, true) => RetirementPhase::Running,
            (false, false) => return,
        };
        self.reporting = true;
        let platform = Arc::clone(&self.platform);
        let request = retirement_status(&self.own.name, phase);
        let events = self.events.clone();
        let log = self.log.clone();
        self.spawner.detach(async move {
            let event = match platform.call(request).await {
                Ok(_) => Event::RetirementReported { completed: phase == RetirementPhase::Completed },
                Err(error) => {
                    warn!(log, "the retirement was not reported"; "error" => error.to_string());
                    // Reported again at the next tick.
                    Event::RetirementReported { completed: false }
                }
            };
            let _ = events.try_send(event);
        });
    }

    /// starts a new segment of the log with what is live.
    fn restart_log(&mut self) {
        let joined = JoinedView { view: self.node.view().clone(), complete: self.node.is_complete() };
        let mut records = vec![LedgerRecord::Joined(joined)];
        let mut after = 0;
        loop {
            let (page, last, more) = self.node.book().page(after);
            records.extend(page);
            after = last;
            if !more {
                break;
            }
        }
        info!(self.log, "start a new segment"; "records" => records.len());
        self.disk.restart(records);
    }

    fn perform(&mut self, now_ms: u64, actions: Vec<NodeAction>) {
        for action in actions {
            match action {
                NodeAction::Append { number, record } => self.disk.append(number, record),
                NodeAction::Answer { to, answer } => self.send_answer(to, answer),
                NodeAction::ViewChanged => self.on_view(now_ms),
            }
        }
    }

    fn on_view(&mut self, now_ms: u64) {
        let view = self.node.view().clone();
        let members: BTreeMap<&str, &str> =
            view.members.iter().map(|member| (member.name.as_str(), member.mesh.as_str())).collect();
        info!(self.log, "a view is in force"; "epoch" => view.epoch, "members" => format!("{members:?}"),
            "is_member" => self.node.is_member(), "complete" => self.node.is_complete());
        self.peers.follow(now_ms, &self.own.name, &view);
        self.catch_up.follow(&view);
    }

    fn send_answer(&self, to: ConnectionId, answer: LedgerAnswer) {
        // A connection that is gone took its asker along.
        let _ = self.mesh.reply_on(to, MeshMessage::LedgerAnswer(answer));
    }
}
