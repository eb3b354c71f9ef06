use std::collections::BTreeSet;
use std::sync::Arc;

use async_channel::Receiver;
use async_channel::Sender;

use crate::ledger::QuorumReplies;
use crate::ledger_client::AskOutcome;
use crate::ledger_client::AskUpdate;
use crate::ledger_client::LedgerClient;
use crate::schema::LedgerMember;
use crate::schema::LedgerReply;
use crate::schema::LedgerRequest;
use crate::schema::LedgerView;

/// one round of asks about a program to the members of a view.
///
/// The preferred members of a program are the same for all doors, so that they have all of its records.
#[derive(Debug)]
pub(super) struct Round {
    pub view: Arc<LedgerView>,
    pub gather: QuorumReplies,
    sender: Sender<AskUpdate>,
    pub receiver: Receiver<AskUpdate>,
    /// members in the order in which they are asked.
    ranked: Vec<LedgerMember>,
    /// whether members other than the preferred ones of the program are asked.
    pub is_away: bool,
    /// whether all members are asked, and not only as many as a quorum needs.
    pub asks_all: bool,
    asked: BTreeSet<String>,
    /// members that cannot take part: the ask could not be sent, its connection closed, or their own view
    /// excludes them.
    lost: BTreeSet<String>,
    /// members that have replied with the account of the program.
    answered: BTreeSet<String>,
}

/// state of a round after an update.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Progress {
    /// the round continues.
    Continue,
    /// another view is in force; its members have to be asked.
    NewView,
    /// too few members are left for a quorum.
    QuorumLost,
}

impl Round {
    /// starts a round. `previous` is the turn whose history is fetched. `is_away` asks members other than the
    /// preferred ones, which also happens whenever a preferred one is not live.
    pub fn new(client: &LedgerClient, program: &str, previous: Option<&str>, is_away: bool) -> Self {
        let view = client.view();
        let (ranked, preferred_live) = client.ranked(&view, program);
        let (sender, receiver) = async_channel::unbounded();
        Self {
            gather: QuorumReplies::new(&view, previous),
            ranked,
            is_away: is_away || !preferred_live,
            asks_all: false,
            view,
            sender,
            receiver,
            asked: BTreeSet::new(),
            lost: BTreeSet::new(),
            answered: BTreeSet::new(),
        }
    }

    /// whether the view has enough members for a write quorum.
    pub fn has_quorum(&self) -> bool {
        self.view.members.len() >= self.view.quorum().write()
    }

    /// the member that is asked first.
    pub fn first(&self) -> Option<&str> {
        self.ranked.first().map(|member| member.name.as_str())
    }

    /// number of members to ask: enough for a write and a read quorum, or all of them.
    pub fn width(&self) -> usize {
        let quorum = self.view.quorum();
        if self.asks_all { self.view.members.len() } else { quorum.write().max(quorum.read()) }
    }

    /// applies the updates that have already arrived.
    pub fn drain_updates(&mut self, client: &LedgerClient, retry: &LedgerRequest) -> Progress {
        while let Ok(update) = self.receiver.try_recv() {
            let progress = self.apply_update(client, update, retry);
            if progress != Progress::Continue {
                return progress;
            }
        }
        Progress::Continue
    }

    /// whether any member of the round is lost.
    pub fn has_lost(&self) -> bool {
        !self.lost.is_empty()
    }

    /// whether the replies are enough for the final decision on the budget.
    pub fn is_settled(&self) -> bool {
        let first = self.view.quorum().write().min(self.ranked.len());
        !self.is_away && self.gather.is_decisive(&self.ranked[..first])
    }

    /// restricts the round to some members.
    pub fn retain(&mut self, keeps: impl Fn(&str) -> bool) {
        self.ranked.retain(|member| keeps(&member.name));
    }

    /// whether the first member has replied or is lost.
    pub fn is_first_done(&self) -> bool {
        self.first().is_none_or(|name| self.answered.contains(name) || self.lost.contains(name))
    }

    /// asks members in order until `count` that are not lost were asked; asks none twice.
    pub fn ask(
        &mut self,
        client: &LedgerClient,
        count: usize,
        turn: Option<&str>,
        request: impl Fn(&str) -> LedgerRequest,
    ) {
        for member in self.ranked.clone() {
            if self.asked.difference(&self.lost).count() >= count {
                return;
            }
            if self.asked.insert(member.name.clone()) {
                self.ask_one(client, &member, request(&member.name), turn);
            }
        }
    }

    /// asks all members something else, besides the ask of the round.
    pub fn ask_all(&mut self, client: &LedgerClient, turn: Option<&str>, request: &LedgerRequest) {
        for member in self.ranked.clone() {
            self.ask_one(client, &member, request.clone(), turn);
        }
    }

    fn ask_one(
        &mut self,
        client: &LedgerClient,
        member: &LedgerMember,
        request: LedgerRequest,
        turn: Option<&str>,
    ) {
        if !client.ask(member, self.view.epoch, request, turn, &self.sender) {
            self.lost.insert(member.name.clone());
        }
    }

    /// applies an update. A member with an older view is sent the current one and asked again, with `retry`.
    pub fn apply_update(
        &mut self,
        client: &LedgerClient,
        update: AskUpdate,
        retry: &LedgerRequest,
    ) -> Progress {
        let turn = update.turn.as_deref();
        match update.event {
            AskOutcome::Reply(LedgerReply::Account(account)) => {
                if update.about_program {
                    self.gather.add_account(&update.member, turn, account);
                    self.answered.insert(update.member);
                } else {
                    self.gather.add_history(&update.member, turn, account);
                }
            }
            AskOutcome::Reply(LedgerReply::Stored(stored)) => self.gather.add_stored(&update.member, stored),
            AskOutcome::Reply(LedgerReply::Stale(stale)) if stale.view.epoch > self.view.epoch => {
                client.adopt(&stale.view);
                return Progress::NewView;
            }
            AskOutcome::Reply(LedgerReply::Stale(stale)) if stale.view.epoch < self.view.epoch => {
                self.update_member(client, &update.member, retry);
            }
            // A node whose view of the same epoch excludes it cannot help.
            AskOutcome::Reply(LedgerReply::Stale(_)) | AskOutcome::ConnectionLost => {
                self.lost.insert(update.member);
            }
            AskOutcome::Reply(LedgerReply::Records(_) | LedgerReply::News(_) | LedgerReply::Granted(_)) => {}
        }
        if self.has_lost_quorum() { Progress::QuorumLost } else { Progress::Continue }
    }

    /// whether too few members are left for a quorum.
    pub fn has_lost_quorum(&self) -> bool {
        let quorum = self.view.quorum();
        self.view.members.len() - self.lost.len() < quorum.read().max(quorum.write())
    }

    /// adds the members that another round has lost.
    pub fn merge_lost(&mut self, other: &Self) {
        self.lost.extend(other.lost.iter().cloned());
    }

    fn update_member(&mut self, client: &LedgerClient, name: &str, retry: &LedgerRequest) {
        let view = Arc::clone(&self.view);
        let Some(member) = view.member(name) else {
            return;
        };
        client.push_view(member, &view);
        let turn = match retry {
            LedgerRequest::Begin(begin) => begin.previous.as_deref(),
            _ => None,
        };
        self.ask_one(client, member, retry.clone(), turn);
    }
}
