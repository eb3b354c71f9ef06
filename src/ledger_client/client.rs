use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::OnceLock;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Duration;
use std::time::Instant;

use arc_swap::ArcSwap;
use async_channel::Sender;
use slog::Logger;
use slog::info;
use slog::warn;

use crate::dispatch::RetryBudget;
use crate::ledger::AskCounts;
use crate::ledger::AskKind;
use crate::ledger::empty_view;
use crate::ledger_client::AnswerTimes;
use crate::ledger_client::AwaitedStep;
use crate::ledger_client::gate::Gate;
use crate::mesh::ConnectionId;
use crate::mesh::Mesh;
use crate::rendezvous;
use crate::schema::LedgerAnswer;
use crate::schema::LedgerAsk;
use crate::schema::LedgerMember;
use crate::schema::LedgerPush;
use crate::schema::LedgerReply;
use crate::schema::LedgerRequest;
use crate::schema::LedgerView;
use crate::schema::MeshMessage;

/// silence after which a node no longer counts as reachable: three reports without an answer.
const REACHABLE_MS: u64 = 900;
/// age at which a question is forgotten whose answers never came; above all waits for answers.
const FORGET_MS: u64 = 10_000;

/// time after which something is told again though the answer is still owed.
const TELL_AGAIN_MS: u64 = 2_000;
/// part of the questions of turns that may be sent to further members while some are slow, so that copies cannot keep
/// an overload going.
const COPIES_PERCENT: u32 = 10;

/// something heard about a question.
#[derive(Debug)]
pub struct AskUpdate {
    /// member that was asked.
    pub member: String,
    /// turn that the question named.
    pub turn: Option<String>,
    /// whether the question was about the program, and not only about a turn.
    pub about_program: bool,
    /// what was heard.
    pub event: AskOutcome,
}

/// what was heard about a question.
#[derive(Debug)]
pub enum AskOutcome {
    /// an answer.
    Reply(LedgerReply),
    /// the connection is gone; the question may have been taken.
    ConnectionLost,
}

/// what is known of a node.
#[derive(Clone, Copy, Debug, Default)]
struct NodeRow {
    heard_ms: u64,
    /// whether a connection to it was lost since.
    is_cut_off: bool,
    /// whether it has all that its disk should hold, so that its "unknown" counts.
    complete: bool,
}

/// the questions of one door to the ledger nodes.
pub struct LedgerClient {
    mesh: OnceLock<Arc<Mesh>>,
    view: ArcSwap<LedgerView>,
    asked: Mutex<HashMap<u64, Asked>>,
    nodes: Mutex<HashMap<String, NodeRow>>,
    last_id: AtomicU64,
    /// questions since the counts were last taken.
    counts: Mutex<AskCounts>,
    times: Mutex<AnswerTimes>,
    /// turns that may ask what the ledger knows.
    pub(super) gate: Gate,
    /// copies of questions to further members.
    copies: Mutex<RetryBudget>,
    /// when enough nodes were last known to answer; 0 for never.
    reached_ms: AtomicU64,
    started: Instant,
    log: Logger,
}

struct Asked {
    member: String,
    kind: AskKind,
    turn: Option<String>,
    about_program: bool,
    connection: Option<ConnectionId>,
    sender: Sender<AskUpdate>,
    /// answers that are still to come.
    answers_left: u32,
    sent_ms: u64,
    /// whether the only answer is given once a record is on disk.
    awaits_sync: bool,
    /// whether the node has answered, though it has more to say.
    is_heard: bool,
}

impl Asked {
    /// whether this step is still to come.
    fn awaits(&self, step: AwaitedStep) -> bool {
        match step {
            AwaitedStep::Answer => !self.awaits_sync && !self.is_heard,
            AwaitedStep::Sync => self.awaits_sync || self.answers_left > 1 || self.is_heard,
        }
    }
}

impl LedgerClient {
    /// a client that knows no node yet.
    pub fn new(lost_disks: u32, log: Logger) -> Self {
        Self {
            mesh: OnceLock::new(),
            view: ArcSwap::from_pointee(empty_view(lost_disks)),
            asked: Mutex::default(),
            nodes: Mutex::default(),
            last_id: AtomicU64::new(0),
            counts: Mutex::default(),
            times: Mutex::default(),
            gate: Gate::new(),
            copies: Mutex::new(RetryBudget::new(COPIES_PERCENT)),
            reached_ms: AtomicU64::new(0),
            started: Instant::now(),
            log,
        }
    }

    /// takes the connections that questions go out on; set once at the start.
    pub fn set_mesh(&self, mesh: Arc<Mesh>) {
        let _ = self.mesh.set(mesh);
    }

    /// the view that the door follows.
    pub fn view(&self) -> Arc<LedgerView> {
        self.view.load_full()
    }

    /// follows a newer view; older ones are ignored.
    pub fn adopt(&self, view: &LedgerView) {
        let previous = self
            .view
            .rcu(|known| if view.epoch > known.epoch { Arc::new(view.clone()) } else { Arc::clone(known) });
        if view.epoch > previous.epoch {
            info!(self.log, "a ledger view is in force"; "epoch" => view.epoch, "members" => view.members.len());
        }
    }

    /// whether enough nodes answered lately to store and to read.
    pub fn is_reachable(&self) -> bool {
        let is_reachable = self.has_quorum_near();
        if is_reachable {
            self.reached_ms.store(self.now_ms().max(1), Ordering::Relaxed);
        }
        is_reachable
    }

    /// how long ago enough nodes were last known to answer; `None` if that was never since the start.
    pub fn unreachable_ms(&self) -> Option<u64> {
        match self.reached_ms.load(Ordering::Relaxed) {
            0 => None,
            reached_ms => Some(self.now_ms().saturating_sub(reached_ms)),
        }
    }

    /// how long ago each member of the view was heard; `None` for one that was never heard.
    pub fn silences_ms(&self) -> BTreeMap<String, Option<u64>> {
        let view = self.view.load();
        let now_ms = self.now_ms();
        let nodes = self.nodes.lock().expect("nodes lock poisoned");
        let silence = |name: &str| nodes.get(name).map(|row| now_ms.saturating_sub(row.heard_ms));
        view.members.iter().map(|member| (member.name.clone(), silence(&member.name))).collect()
    }

    fn has_quorum_near(&self) -> bool {
        let view = self.view.load();
        let now_ms = self.now_ms();
        let nodes = self.nodes.lock().expect("nodes lock poisoned");
        let near = view.members.iter().filter_map(|member| nodes.get(&member.name));
        let near = near.filter(|row| now_ms < row.heard_ms + REACHABLE_MS);
        let (mut near_count, mut complete_count) = (0, 0);
        for row in near {
            near_count += 1;
            complete_count += usize::from(row.complete);
        }
        near_count >= view.quorum().write() && complete_count >= view.quorum().read()
    }

    /// a member that answers, the same one for a name as long as it does.
    pub fn preferred_member(&self, view: &LedgerView, name: &str) -> Option<String> {
        let (ranked, _) = self.ranked(view, name);
        ranked.into_iter().next().map(|member| member.name)
    }

    /// the members of a view in the order in which they are asked about a program: those that answer first, and
    /// among them always the same ones.
    ///
    /// Also tells whether the first ones of the program are among those that answer.
    pub(super) fn ranked(&self, view: &LedgerView, program: &str) -> (Vec<LedgerMember>, bool) {
        let now_ms = self.now_ms();
        let lagging = self.lagging(view);
        let nodes = self.nodes.lock().expect("nodes lock poisoned");
        let is_near = |member: &LedgerMember| {
            let row = nodes.get(&member.name);
            row.is_some_and(|row| row.complete && !row.is_cut_off && now_ms < row.heard_ms + REACHABLE_MS)
                && !lagging.contains(&member.name)
        };
        let mut ranked = rendezvous::ranked(program, view.members.iter(), |member| &member.name);
        let first_near = ranked.iter().take(view.quorum().write()).all(|member| is_near(member));
        if !first_near {
            ranked.sort_by_key(|member| !is_near(member));
        }
        (ranked.into_iter().cloned().collect(), first_near)
    }

    /// how long a round waits for a step of the members that it has asked before it asks others as well.
    pub(super) fn patience(&self, view: &LedgerView, step: AwaitedStep) -> Duration {
        let members = names(view);
        let oldest_ms = self.oldest_ms(&members, step);
        let times = self.times.lock().expect("times lock poisoned");
        Duration::from_millis(times.patience_ms(&members, step, &oldest_ms))
    }

    /// members that answer far later than the others.
    fn lagging(&self, view: &LedgerView) -> BTreeSet<String> {
        let members = names(view);
        let oldest_ms = self.oldest_ms(&members, AwaitedStep::Answer);
        let times = self.times.lock().expect("times lock poisoned");
        let lagging = times.lagging(&members, &oldest_ms);
        let lagging = members.iter().zip(lagging).filter(|(_, lags)| *lags);
        lagging.map(|(name, _)| (*name).to_owned()).collect()
    }

    /// how long the oldest question to each member has waited for a step.
    fn oldest_ms(&self, members: &[&str], step: AwaitedStep) -> Vec<u64> {
        let now_ms = self.now_ms();
        let all = self.asked.lock().expect("asked lock poisoned");
        let mut oldest_ms = vec![0; members.len()];
        for asked in all.values().filter(|asked| asked.awaits(step)) {
            if let Some(position) = members.iter().position(|member| *member == asked.member) {
                oldest_ms[position] = now_ms.saturating_sub(asked.sent_ms).max(oldest_ms[position]);
            }
        }
        oldest_ms
    }

    /// whether a member still owes the answer to a question of this kind.
    ///
    /// What is told again and again waits for that, so that a node with more to do than it can is not given more. A
    /// connection that has gone silent is given up by the mesh; the limit is for whatever that does not see.
    pub fn has_pending(&self, member: &str, kind: AskKind) -> bool {
        let now_ms = self.now_ms();
        let all = self.asked.lock().expect("asked lock poisoned");
        all.values().any(|asked| {
            asked.member == member && asked.kind == kind && now_ms < asked.sent_ms + TELL_AGAIN_MS
        })
    }

    /// takes a copy of questions to further members out of the budget, when there is one.
    pub(super) fn try_copy(&self) -> bool {
        let may_copy = self.copies.lock().expect("copies lock poisoned").try_retry();
        metrics::counter!("door_ledger_copies_total", "allowed" => if may_copy { "yes" } else { "no" })
            .increment(1);
        may_copy
    }

    /// counts a question that a turn cannot do without, which earns a part of a copy.
    pub(super) fn count_first(&self) {
        self.copies.lock().expect("copies lock poisoned").first_attempt();
    }

    /// asks a member; what is heard goes to `sender`. `false` if the question could not be sent.
    pub fn ask(
        &self,
        member: &LedgerMember,
        epoch: u64,
        request: LedgerRequest,
        turn: Option<&str>,
        sender: &Sender<AskUpdate>,
    ) -> bool {
        let answers_left = match &request {
            // What is known comes at once, and again once the reservation is on disk.
            LedgerRequest::Begin(_) => 2,
            _ => 1,
        };
        let kind = AskKind::from(&request);
        self.counts.lock().expect("counts lock poisoned").add(kind);
        let name: &'static str = kind.into();
        metrics::counter!("ledger_asks_total", "kind" => name).increment(1);
        let id = self.last_id.fetch_add(1, Ordering::Relaxed) + 1;
        let about_program = !matches!(request, LedgerRequest::History(_));
        let awaits_sync =
            matches!(request, LedgerRequest::Finish(_) | LedgerRequest::Push(_) | LedgerRequest::Strikes(_));
        let asked = Asked {
            kind,
            awaits_sync,
            is_heard: false,
            about_program,
            member: member.name.clone(),
            turn: turn.map(str::to_owned),
            connection: None,
            sender: sender.clone(),
            answers_left,
            sent_ms: self.now_ms(),
        };
        self.asked.lock().expect("asked lock poisoned").insert(id, asked);
        let message = MeshMessage::LedgerAsk(LedgerAsk { id, epoch, request });
        match self.send(member, message) {
            Some(connection) => {
                if let Some(asked) = self.asked.lock().expect("asked lock poisoned").get_mut(&id) {
                    asked.connection = Some(connection);
                }
                true
            }
            None => {
                self.asked.lock().expect("asked lock poisoned").remove(&id);
                false
            }
        }
    }

    pub(super) fn count_turn(&self) {
        self.counts.lock().expect("counts lock poisoned").add_turn();
    }

    /// questions of each kind since the last call.
    pub fn take_counts(&self) -> AskCounts {
        std::mem::take(&mut self.counts.lock().expect("counts lock poisoned"))
    }

    fn send(&self, member: &LedgerMember, message: MeshMessage) -> Option<ConnectionId> {
        let Ok(address) = member.mesh.parse::<SocketAddr>() else {
            warn!(self.log, "the address of a ledger node makes no sense"; "mesh" => &member.mesh);
            return None;
        };
        self.mesh.get()?.send(address, None, message).ok()
    }

    /// tells a member of the view that the door follows.
    pub(super) fn teach(&self, member: &LedgerMember, view: &LedgerView) {
        let push = LedgerPush { view: view.clone(), records: Vec::new() };
        // Whether it was taught shows in its next answer.
        let (unheard, _) = async_channel::unbounded();
        self.ask(member, view.epoch, LedgerRequest::Push(push), None, &unheard);
    }

    /// takes an answer.
    pub fn on_answer(&self, answer: LedgerAnswer) {
        let now_ms = self.now_ms();
        let mut all = self.asked.lock().expect("asked lock poisoned");
        let Some(asked) = all.get_mut(&answer.id) else {
            return;
        };
        asked.answers_left -= 1;
        let step = match answer.reply {
            LedgerReply::Stored(_) => AwaitedStep::Sync,
            _ => AwaitedStep::Answer,
        };
        asked.is_heard = true;
        let took_ms = now_ms.saturating_sub(asked.sent_ms);
        self.times.lock().expect("times lock poisoned").took(&asked.member, step, took_ms);
        let ended = asked.answers_left == 0 || matches!(answer.reply, LedgerReply::Stale(_));
        let heard = AskUpdate {
            member: asked.member.clone(),
            turn: asked.turn.clone(),
            about_program: asked.about_program,
            event: AskOutcome::Reply(answer.reply),
        };
        self.hear(now_ms, &asked.member, &heard.event);
        // A receiver that is gone has heard enough.
        let _ = asked.sender.try_send(heard);
        if ended {
            all.remove(&answer.id);
        }
    }

    fn hear(&self, now_ms: u64, member: &str, event: &AskOutcome) {
        let mut nodes = self.nodes.lock().expect("nodes lock poisoned");
        let row = nodes.entry(member.to_owned()).or_default();
        row.heard_ms = now_ms;
        row.is_cut_off = false;
        match event {
            AskOutcome::Reply(LedgerReply::News(news)) => row.complete = news.complete,
            AskOutcome::Reply(LedgerReply::Account(account)) => row.complete = account.complete,
            AskOutcome::Reply(_) | AskOutcome::ConnectionLost => {}
        }
    }

    /// takes note that a connection is gone with the questions on it.
    pub fn on_closed(&self, connection: ConnectionId) {
        let mut all = self.asked.lock().expect("asked lock poisoned");
        let mut nodes = self.nodes.lock().expect("nodes lock poisoned");
        all.retain(|_, asked| {
            if asked.connection != Some(connection) {
                return true;
            }
            nodes.entry(asked.member.clone()).or_default().is_cut_off = true;
            let heard = AskUpdate {
                member: asked.member.clone(),
                turn: asked.turn.clone(),
                about_program: asked.about_program,
                event: AskOutcome::ConnectionLost,
            };
            let _ = asked.sender.try_send(heard);
            false
        });
    }

    /// forgets questions whose answers never came.
    pub fn expire(&self) {
        let now_ms = self.now_ms();
        let mut all = self.asked.lock().expect("asked lock poisoned");
        all.retain(|_, asked| now_ms < asked.sent_ms + FORGET_MS);
    }

    fn now_ms(&self) -> u64 {
        self.started.elapsed().as_millis() as u64
    }
}

fn names(view: &LedgerView) -> Vec<&str> {
    view.members.iter().map(|member| member.name.as_str()).collect()
}
