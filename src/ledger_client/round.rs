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

/// one round of questions about a program to the members of a view.
///
/// The members that a program is kept at first are the same from every door, so that they have all of it.
#[derive(Debug)]
pub(super) struct Round {
    pub view: Arc<LedgerView>,
    pub gather: QuorumReplies,
    sender: Sender<AskUpdate>,
    pub receiver: Receiver<AskUpdate>,
    /// members in the order in which they are asked.
    ranked: Vec<LedgerMember>,
    /// whether other members than the first ones of the program are asked.
    pub is_away: bool,
    /// whether all members are asked, and not only as many as a write needs.
    pub is_wide: bool,
    asked: BTreeSet<String>,
    /// members whose connection is gone, or that could not be asked.
    lost: BTreeSet<String>,
    /// members that have said what they know of the program.
    answered: BTreeSet<String>,
}

/// what became of a round after something was heard.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Progress {
    /// it goes on.
    Goes,
    /// another view is in force; its members should be asked.
    NewView,
    /// too few members are left.
    Hopeless,
}

impl Round {
    /// starts a round; `previous` is the turn whose history is asked for. `is_away` asks other members than the
    /// first ones of the program, as is done in any case while one of those does not answer.
    pub fn new(client: &LedgerClient, program: &str, previous: Option<&str>, is_away: bool) -> Self {
        let view = client.view();
        let (ranked, first_near) = client.ranked(&view, program);
        let (sender, receiver) = async_channel::unbounded();
        Self {
            gather: QuorumReplies::new(&view, previous),
            ranked,
            is_away: is_away || !first_near,
            is_wide: false,
            view,
            sender,
            receiver,
            asked: BTreeSet::new(),
            lost: BTreeSet::new(),
            answered: BTreeSet::new(),
        }
    }

    /// whether the view has enough members to store anything.
    pub fn has_quorum(&self) -> bool {
        self.view.members.len() >= self.view.quorum().write()
    }

    /// the member that is asked first.
    pub fn first(&self) -> Option<&str> {
        self.ranked.first().map(|member| member.name.as_str())
    }

    /// members that a question is sent to: as many as a write and a read need, or all of a wide round.
    pub fn width(&self) -> usize {
        let quorum = self.view.quorum();
        if self.is_wide { self.view.members.len() } else { quorum.write().max(quorum.read()) }
    }

    /// takes what has arrived already.
    pub fn hear_arrived(&mut self, client: &LedgerClient, again: &LedgerRequest) -> Progress {
        while let Ok(heard) = self.receiver.try_recv() {
            let progress = self.hear(client, heard, again);
            if progress != Progress::Goes {
                return progress;
            }
        }
        Progress::Goes
    }

    /// whether a member that was asked is lost.
    pub fn has_lost(&self) -> bool {
        !self.lost.is_empty()
    }

    /// whether the answers suffice for the last word on the budget.
    pub fn is_settled(&self) -> bool {
        let first = self.view.quorum().write().min(self.ranked.len());
        !self.is_away && self.gather.is_decisive(&self.ranked[..first])
    }

    /// asks only some members.
    pub fn keep_only(&mut self, keeps: impl Fn(&str) -> bool) {
        self.ranked.retain(|member| keeps(&member.name));
    }

    /// whether nothing more will be heard of the member that was asked first.
    pub fn has_heard_first(&self) -> bool {
        self.first().is_none_or(|name| self.answered.contains(name) || self.lost.contains(name))
    }

    /// asks members until `count` that are not lost were asked; asks nobody twice.
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

    /// asks all members something more, beside the question of the round.
    pub fn ask_more(&mut self, client: &LedgerClient, turn: Option<&str>, request: &LedgerRequest) {
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

    /// takes what was heard; a member that lags behind the view is taught it and asked `again`.
    pub fn hear(&mut self, client: &LedgerClient, heard: AskUpdate, again: &LedgerRequest) -> Progress {
        let turn = heard.turn.as_deref();
        match heard.event {
            AskOutcome::Reply(LedgerReply::Account(account)) => {
                if heard.about_program {
                    self.gather.add_account(&heard.member, turn, account);
                    self.answered.insert(heard.member);
                } else {
                    self.gather.add_history(&heard.member, turn, account);
                }
            }
            AskOutcome::Reply(LedgerReply::Stored(stored)) => self.gather.add_stored(&heard.member, stored),
            AskOutcome::Reply(LedgerReply::Stale(stale)) if stale.view.epoch > self.view.epoch => {
                client.adopt(&stale.view);
                return Progress::NewView;
            }
            AskOutcome::Reply(LedgerReply::Stale(stale)) if stale.view.epoch < self.view.epoch => {
                self.teach(client, &heard.member, again);
            }
            // A node that is no member any more under its own view cannot help.
            AskOutcome::Reply(LedgerReply::Stale(_)) | AskOutcome::ConnectionLost => {
                self.lost.insert(heard.member);
            }
            AskOutcome::Reply(LedgerReply::Records(_) | LedgerReply::News(_)) => {}
        }
        if self.is_hopeless() { Progress::Hopeless } else { Progress::Goes }
    }

    /// whether too few members are left.
    pub fn is_hopeless(&self) -> bool {
        let quorum = self.view.quorum();
        self.view.members.len() - self.lost.len() < quorum.read().max(quorum.write())
    }

    /// takes note of the members that another round has lost.
    pub fn take_lost(&mut self, other: &Self) {
        self.lost.extend(other.lost.iter().cloned());
    }

    fn teach(&mut self, client: &LedgerClient, name: &str, again: &LedgerRequest) {
        let view = Arc::clone(&self.view);
        let Some(member) = view.member(name) else {
            return;
        };
        client.teach(member, &view);
        let turn = match again {
            LedgerRequest::Begin(begin) => begin.previous.as_deref(),
            _ => None,
        };
        self.ask_one(client, member, again.clone(), turn);
    }
}
