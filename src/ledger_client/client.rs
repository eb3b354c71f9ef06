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
use crate::ledger_client::limiter::Limiter;
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

/// time without a reply after which a node no longer counts as reachable: three unanswered reports.
const REACHABLE_MS: u64 = 900;
/// age at which a pending ask is dropped that was never answered; longer than any wait for an answer.
const PENDING_EXPIRY_MS: u64 = 10_000;

/// time after which a periodic ask is repeated though the previous one is still pending.
const REPEAT_AFTER_MS: u64 = 2_000;
/// asks to further members, as a percentage of the turns' first attempts, that may be sent while some members
/// are slow; bounded so that hedged asks cannot sustain an overload.
const HEDGE_PERCENT: u32 = 10;

/// an event of a pending ask.
#[derive(Debug)]
pub struct AskUpdate {
    /// the member that was asked.
    pub member: String,
    /// the turn that the ask named.
    pub turn: Option<String>,
    /// whether the ask was about the program, and not only about a turn.
    pub about_program: bool,
    /// the reply, or the loss of the connection.
    pub event: AskOutcome,
}

/// outcome of an ask.
#[expect(clippy::large_enum_variant, reason = "nearly all outcomes are replies; a box would save nothing")]
#[derive(Debug)]
pub enum AskOutcome {
    /// the member's reply.
    Reply(LedgerReply),
    /// the connection closed; the member may still have processed the ask.
    ConnectionLost,
}

/// last known state of a node.
#[derive(Clone, Copy, Debug, Default)]
struct NodeState {
    last_reply_ms: u64,
    /// whether a connection to it closed since its last reply.
    is_disconnected: bool,
    /// whether it has caught up on all records it should hold, so that its "unknown" can be trusted.
    complete: bool,
}

/// sends the asks of one door to the ledger nodes and tracks those in flight.
pub struct LedgerClient {
    mesh: OnceLock<Arc<Mesh>>,
    view: ArcSwap<LedgerView>,
    pending: Mutex<HashMap<u64, PendingAsk>>,
    nodes: Mutex<HashMap<String, NodeState>>,
    last_id: AtomicU64,
    /// asks by kind since the last `take_counts`.
    counts: Mutex<AskCounts>,
    times: Mutex<AnswerTimes>,
    /// limits the turns that ask for a reservation concurrently.
    pub(super) limiter: Limiter,
    /// budget of hedged asks to further members.
    hedges: Mutex<RetryBudget>,
    /// when a quorum was last known to be reachable; 0 if never.
    last_reachable_ms: AtomicU64,
    started: Instant,
    log: Logger,
}

struct PendingAsk {
    member: String,
    kind: AskKind,
    turn: Option<String>,
    about_program: bool,
    connection: Option<ConnectionId>,
    sender: Sender<AskUpdate>,
    /// replies that are still due.
    answers_left: u32,
    sent_ms: u64,
    /// whether the only reply is sent once a record is on disk.
    awaits_sync: bool,
    /// whether the node has replied at least once.
    has_answered: bool,
}

impl PendingAsk {
    /// whether the reply to this step is still due.
    ///
    /// Questions for tokens do not count: a node without allotments never answers them, and is not slow for that.
    fn awaits(&self, step: AwaitedStep) -> bool {
        if self.kind == AskKind::Allotment {
            return false;
        }
        match step {
            AwaitedStep::Answer => !self.awaits_sync && !self.has_answered,
            AwaitedStep::Sync => self.awaits_sync || self.answers_left > 1 || self.has_answered,
        }
    }
}

impl LedgerClient {
    /// creates a client without members; `adopt` sets the first view.
    pub fn new(lost_disks: u32, log: Logger) -> Self {
        Self {
            mesh: OnceLock::new(),
            view: ArcSwap::from_pointee(empty_view(lost_disks)),
            pending: Mutex::default(),
            nodes: Mutex::default(),
            last_id: AtomicU64::new(0),
            counts: Mutex::default(),
            times: Mutex::default(),
            limiter: Limiter::new(),
            hedges: Mutex::new(RetryBudget::new(HEDGE_PERCENT)),
            last_reachable_ms: AtomicU64::new(0),
            started: Instant::now(),
            log,
        }
    }

    /// sets the mesh that asks are sent on; only the first call has an effect.
    pub fn set_mesh(&self, mesh: Arc<Mesh>) {
        let _ = self.mesh.set(mesh);
    }

    /// the ledger view that the door follows.
    pub fn view(&self) -> Arc<LedgerView> {
        self.view.load_full()
    }

    /// switches to a newer view; older ones are ignored.
    pub fn adopt(&self, view: &LedgerView) {
        let previous = self
            .view
            .rcu(|known| if view.epoch > known.epoch { Arc::new(view.clone()) } else { Arc::clone(known) });
        if view.epoch > previous.epoch {
            info!(self.log, "adopted a newer ledger view"; "epoch" => view.epoch,
                "members" => view.members.len());
        }
    }

    /// whether enough members replied recently to read and to write.
    pub fn is_reachable(&self) -> bool {
        let is_reachable = self.has_live_quorum();
        if is_reachable {
            self.last_reachable_ms.store(self.now_ms().max(1), Ordering::Relaxed);
        }
        is_reachable
    }

    /// time since a quorum was last known to be reachable; `None` if it never was since the start.
    pub fn unreachable_ms(&self) -> Option<u64> {
        match self.last_reachable_ms.load(Ordering::Relaxed) {
            0 => None,
            last_reachable_ms => Some(self.now_ms().saturating_sub(last_reachable_ms)),
        }
    }

    /// time since the last reply of each member of the view; `None` for a member that never replied.
    pub fn silences_ms(&self) -> BTreeMap<String, Option<u64>> {
        let view = self.view.load();
        let now_ms = self.now_ms();
        let nodes = self.nodes.lock().expect("nodes lock poisoned");
        let silence = |name: &str| nodes.get(name).map(|node| now_ms.saturating_sub(node.last_reply_ms));
        view.members.iter().map(|member| (member.name.clone(), silence(&member.name))).collect()
    }

    fn has_live_quorum(&self) -> bool {
        let view = self.view.load();
        let now_ms = self.now_ms();
        let nodes = self.nodes.lock().expect("nodes lock poisoned");
        let live = view.members.iter().filter_map(|member| nodes.get(&member.name));
        let live = live.filter(|node| now_ms < node.last_reply_ms + REACHABLE_MS);
        let (mut live_count, mut complete_count) = (0, 0);
        for node in live {
            live_count += 1;
            complete_count += usize::from(node.complete);
        }
        live_count >= view.quorum().write() && complete_count >= view.quorum().read()
    }

    /// the first live member by rendezvous rank of `name`; it stays the same while it is live.
    pub fn preferred_member(&self, view: &LedgerView, name: &str) -> Option<String> {
        let (ranked, _) = self.ranked(view, name);
        ranked.into_iter().next().map(|member| member.name)
    }

    /// the members of a view in the order in which they are asked about a program: by rendezvous rank, with
    /// live members first if a preferred one is not live.
    ///
    /// Also returns whether all preferred members, the first ones by rank, are live.
    pub(super) fn ranked(&self, view: &LedgerView, program: &str) -> (Vec<LedgerMember>, bool) {
        let now_ms = self.now_ms();
        let lagging = self.lagging(view);
        let nodes = self.nodes.lock().expect("nodes lock poisoned");
        let is_live = |member: &LedgerMember| {
            let node = nodes.get(&member.name);
            node.is_some_and(|node| {
                node.complete && !node.is_disconnected && now_ms < node.last_reply_ms + REACHABLE_MS
            }) && !lagging.contains(&member.name)
        };
        let mut ranked = rendezvous::ranked(program, view.members.iter(), |member| &member.name);
        let preferred_live = ranked.iter().take(view.quorum().write()).all(|member| is_live(member));
        if !preferred_live {
            ranked.sort_by_key(|member| !is_live(member));
        }
        (ranked.into_iter().cloned().collect(), preferred_live)
    }

    /// how long a round waits for a step of the members it has asked before it asks further ones.
    pub(super) fn hedge_delay(&self, view: &LedgerView, step: AwaitedStep) -> Duration {
        let members = names(view);
        let oldest_ms = self.oldest_ms(&members, step);
        let times = self.times.lock().expect("times lock poisoned");
        Duration::from_millis(times.hedge_delay_ms(&members, step, &oldest_ms))
    }

    /// members that answer far later than their peers.
    fn lagging(&self, view: &LedgerView) -> BTreeSet<String> {
        let members = names(view);
        let oldest_ms = self.oldest_ms(&members, AwaitedStep::Answer);
        let times = self.times.lock().expect("times lock poisoned");
        let lagging = times.lagging(&members, &oldest_ms);
        let lagging = members.iter().zip(lagging).filter(|(_, lags)| *lags);
        lagging.map(|(name, _)| (*name).to_owned()).collect()
    }

    /// the age of the oldest ask to each member that waits for a step.
    fn oldest_ms(&self, members: &[&str], step: AwaitedStep) -> Vec<u64> {
        let now_ms = self.now_ms();
        let all = self.pending.lock().expect("pending lock poisoned");
        let mut oldest_ms = vec![0; members.len()];
        for pending in all.values().filter(|pending| pending.awaits(step)) {
            if let Some(position) = members.iter().position(|member| *member == pending.member) {
                oldest_ms[position] = now_ms.saturating_sub(pending.sent_ms).max(oldest_ms[position]);
            }
        }
        oldest_ms
    }

    /// whether an ask of this kind to a member is still pending.
    ///
    /// Periodic asks are not repeated while one is pending, so that an overloaded node is not given more
    /// work. The mesh closes connections that go silent; `REPEAT_AFTER_MS` covers whatever the mesh does not
    /// detect.
    pub fn has_pending(&self, member: &str, kind: AskKind) -> bool {
        let now_ms = self.now_ms();
        let all = self.pending.lock().expect("pending lock poisoned");
        all.values().any(|pending| {
            pending.member == member && pending.kind == kind && now_ms < pending.sent_ms + REPEAT_AFTER_MS
        })
    }

    /// takes a hedged ask to further members out of the budget; `false` if the budget is used up.
    pub(super) fn try_hedge(&self) -> bool {
        let is_allowed = self.hedges.lock().expect("hedges lock poisoned").try_retry();
        metrics::counter!("door_ledger_copies_total", "allowed" => if is_allowed { "yes" } else { "no" })
            .increment(1);
        is_allowed
    }

    /// counts an ask that a turn cannot do without, which adds a fraction of a hedged ask to the budget.
    pub(super) fn count_first_attempt(&self) {
        self.hedges.lock().expect("hedges lock poisoned").first_attempt();
    }

    /// sends an ask to a member; its outcomes go to `sender`. Returns `false` if it could not be sent.
    pub fn ask(
        &self,
        member: &LedgerMember,
        epoch: u64,
        request: LedgerRequest,
        turn: Option<&str>,
        sender: &Sender<AskUpdate>,
    ) -> bool {
        self.start_ask(member, epoch, request, turn, sender).is_some()
    }

    /// no longer waits for the answer to an ask.
    pub fn forget(&self, id: u64) {
        self.pending.lock().expect("pending lock poisoned").remove(&id);
    }

    /// like `ask`; returns the id of the ask.
    pub fn start_ask(
        &self,
        member: &LedgerMember,
        epoch: u64,
        request: LedgerRequest,
        turn: Option<&str>,
        sender: &Sender<AskUpdate>,
    ) -> Option<u64> {
        let answers_left = match &request {
            // The node replies with what it knows at once, and again once the reservation is on disk.
            LedgerRequest::Begin(_) => 2,
            _ => 1,
        };
        let kind = AskKind::from(&request);
        self.counts.lock().expect("counts lock poisoned").add(kind);
        let name: &'static str = kind.into();
        metrics::counter!("ledger_asks_total", "kind" => name).increment(1);
        let id = self.last_id.fetch_add(1, Ordering::Relaxed) + 1;
        let about_program = !matches!(request, LedgerRequest::History(_));
        let awaits_sync = matches!(
            request,
            LedgerRequest::Finish(_)
                | LedgerRequest::Push(_)
                | LedgerRequest::Strikes(_)
                | LedgerRequest::StreamBegan(_)
        );
        let pending = PendingAsk {
            kind,
            awaits_sync,
            has_answered: false,
            about_program,
            member: member.name.clone(),
            turn: turn.map(str::to_owned),
            connection: None,
            sender: sender.clone(),
            answers_left,
            sent_ms: self.now_ms(),
        };
        self.pending.lock().expect("pending lock poisoned").insert(id, pending);
        let message = MeshMessage::LedgerAsk(LedgerAsk { id, epoch, request });
        match self.send(member, message) {
            Some(connection) => {
                if let Some(pending) = self.pending.lock().expect("pending lock poisoned").get_mut(&id) {
                    pending.connection = Some(connection);
                }
                Some(id)
            }
            None => {
                self.pending.lock().expect("pending lock poisoned").remove(&id);
                None
            }
        }
    }

    pub(super) fn count_turn(&self) {
        self.counts.lock().expect("counts lock poisoned").add_turn();
    }

    /// takes the counts of asks by kind since the last call.
    pub fn take_counts(&self) -> AskCounts {
        std::mem::take(&mut self.counts.lock().expect("counts lock poisoned"))
    }

    fn send(&self, member: &LedgerMember, message: MeshMessage) -> Option<ConnectionId> {
        let Ok(address) = member.mesh.parse::<SocketAddr>() else {
            warn!(self.log, "mesh address of a ledger node is invalid; the request is not sent";
                "mesh" => &member.mesh);
            return None;
        };
        self.mesh.get()?.send(address, None, message).ok()
    }

    /// sends the door's view to a member whose view is older.
    pub(super) fn push_view(&self, member: &LedgerMember, view: &LedgerView) {
        let push = LedgerPush { view: view.clone(), records: Vec::new() };
        // The result is not needed: the member's next reply shows whether it has the view.
        let (unused, _) = async_channel::unbounded();
        self.ask(member, view.epoch, LedgerRequest::Push(push), None, &unused);
    }

    /// handles a reply from a ledger node.
    pub fn on_answer(&self, answer: LedgerAnswer) {
        let now_ms = self.now_ms();
        let mut all = self.pending.lock().expect("pending lock poisoned");
        let Some(pending) = all.get_mut(&answer.id) else {
            return;
        };
        pending.answers_left -= 1;
        let step = match answer.reply {
            LedgerReply::Stored(_) => AwaitedStep::Sync,
            _ => AwaitedStep::Answer,
        };
        pending.has_answered = true;
        if pending.kind != AskKind::Allotment {
            let took_ms = now_ms.saturating_sub(pending.sent_ms);
            self.times.lock().expect("times lock poisoned").record(&pending.member, step, took_ms);
        }
        let ended = pending.answers_left == 0 || matches!(answer.reply, LedgerReply::Stale(_));
        let update = AskUpdate {
            member: pending.member.clone(),
            turn: pending.turn.clone(),
            about_program: pending.about_program,
            event: AskOutcome::Reply(answer.reply),
        };
        self.note_reply(now_ms, &pending.member, &update.event);
        // The receiver may be gone once the round has enough replies.
        let _ = pending.sender.try_send(update);
        if ended {
            all.remove(&answer.id);
        }
    }

    fn note_reply(&self, now_ms: u64, member: &str, event: &AskOutcome) {
        let mut nodes = self.nodes.lock().expect("nodes lock poisoned");
        let node = nodes.entry(member.to_owned()).or_default();
        node.last_reply_ms = now_ms;
        node.is_disconnected = false;
        match event {
            AskOutcome::Reply(LedgerReply::News(news)) => node.complete = news.complete,
            AskOutcome::Reply(LedgerReply::Account(account)) => node.complete = account.complete,
            AskOutcome::Reply(_) | AskOutcome::ConnectionLost => {}
        }
    }

    /// fails all pending asks on a connection that closed.
    pub fn on_closed(&self, connection: ConnectionId) {
        let mut all = self.pending.lock().expect("pending lock poisoned");
        let mut nodes = self.nodes.lock().expect("nodes lock poisoned");
        all.retain(|_, pending| {
            if pending.connection != Some(connection) {
                return true;
            }
            nodes.entry(pending.member.clone()).or_default().is_disconnected = true;
            let update = AskUpdate {
                member: pending.member.clone(),
                turn: pending.turn.clone(),
                about_program: pending.about_program,
                event: AskOutcome::ConnectionLost,
            };
            let _ = pending.sender.try_send(update);
            false
        });
    }

    /// drops pending asks that were never answered.
    pub fn expire(&self) {
        let now_ms = self.now_ms();
        let mut all = self.pending.lock().expect("pending lock poisoned");
        all.retain(|_, pending| now_ms < pending.sent_ms + PENDING_EXPIRY_MS);
    }

    fn now_ms(&self) -> u64 {
        self.started.elapsed().as_millis() as u64
    }
}

fn names(view: &LedgerView) -> Vec<&str> {
    view.members.iter().map(|member| member.name.as_str()).collect()
}
