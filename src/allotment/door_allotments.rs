use std::collections::BTreeMap;

use crate::allotment::AllotmentBounds;
use crate::allotment::AllotmentTerms;
use crate::allotment::Token;
use crate::allotment::holding::Holding;
use crate::rendezvous;
use crate::schema::AllotmentAsk;
use crate::schema::AllotmentGrant;

/// time for which a node that did not answer is not asked: it is slow, gone, or runs a build without allotments.
const SILENT_MS: u64 = 1_000;

/// place of a request in its program.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ProgramStanding {
    /// its program begins with it.
    New,
    /// requests of its program have been served before.
    UnderWay,
}

/// what a door does with a request.
#[derive(Clone, Debug, PartialEq)]
pub enum Admission {
    /// it goes on; with a token if the workspace is limited.
    Granted(Option<Token>),
    /// a ledger node is asked first.
    Ask(Question),
    /// the workspace has used up its allotment.
    Refused {
        /// when a node may have tokens again.
        retry_after_ms: u64,
    },
    /// no ledger node answers, so that it is not known whether the request is allowed.
    Unanswered,
}

/// a question to a ledger node.
#[derive(Clone, Debug, PartialEq)]
pub struct Question {
    /// the node.
    pub member: String,
    /// what it is asked.
    pub ask: AllotmentAsk,
    /// when; the tokens are good for a lease from then on.
    pub asked_ms: u64,
}

/// the tokens that a door holds of all allotments.
#[derive(Debug)]
pub struct DoorAllotments {
    name: String,
    bounds: AllotmentBounds,
    workspaces: BTreeMap<String, (AllotmentTerms, Holding)>,
    /// nodes that did not answer, and until when they are not asked.
    silent: BTreeMap<String, u64>,
}

impl DoorAllotments {
    /// a door without tokens; `name` is the name of its instance.
    pub fn new(name: &str, bounds: AllotmentBounds) -> Self {
        Self { name: name.to_owned(), bounds, workspaces: BTreeMap::new(), silent: BTreeMap::new() }
    }

    /// decides on a request; `members` are the seated ledger nodes and `tried` those that were asked for it.
    pub fn admit(
        &mut self,
        now_ms: u64,
        workspace: &str,
        terms: AllotmentTerms,
        standing: ProgramStanding,
        members: &[String],
        tried: &[String],
    ) -> Admission {
        if !terms.is_limited() {
            return Admission::Granted(None);
        }
        let (known, holding) = entry(&mut self.workspaces, workspace, terms);
        holding.expire(now_ms, self.bounds.span_ms());
        if standing == ProgramStanding::UnderWay {
            if tried.is_empty() {
                holding.add_demand(now_ms);
            }
            if let Some(token) = holding.take(now_ms) {
                return Admission::Granted(Some(token));
            }
        }
        let key = format!("{}/{workspace}", self.name);
        let mut shortest_ms: Option<u64> = None;
        for member in rendezvous::ranked(&key, members.iter(), String::as_str) {
            if let Some(wait_ms) = holding.wait_ms(now_ms, member, standing) {
                shortest_ms = Some(shortest_ms.map_or(wait_ms, |shortest_ms| shortest_ms.min(wait_ms)));
                continue;
            }
            let is_silent = self.silent.get(member).is_some_and(|until_ms| now_ms < *until_ms);
            if is_silent || tried.contains(member) {
                continue;
            }
            let (starts, turns) = match standing {
                ProgramStanding::New => (1, 0),
                ProgramStanding::UnderWay => (0, 1 + holding.ahead(now_ms)),
            };
            let ask = question(workspace, *known, starts, turns, holding, member);
            return Admission::Ask(Question { member: member.clone(), ask, asked_ms: now_ms });
        }
        match shortest_ms {
            Some(retry_after_ms) => Admission::Refused { retry_after_ms },
            None => Admission::Unanswered,
        }
    }

    /// handles an answer; returns the token of the request that asked, if it got one that is still good.
    pub fn answered(&mut self, now_ms: u64, question: &Question, grant: &AllotmentGrant) -> Option<Token> {
        self.silent.remove(&question.member);
        let (_, holding) = entry(&mut self.workspaces, &question.ask.workspace, asked_terms(&question.ask));
        let standing = match question.ask.starts {
            0 => ProgramStanding::UnderWay,
            _ => ProgramStanding::New,
        };
        holding.note(now_ms, &question.member, standing, grant);
        let count = grant.starts + grant.turns;
        let expires_ms = question.asked_ms + self.bounds.lease_ms();
        // A question is about one kind of tokens.
        let is_start = grant.starts > 0;
        let token =
            Token { member: question.member.clone(), start: grant.start.clone(), slot: grant.slot, is_start };
        if count == 0 {
            return None;
        }
        if now_ms >= expires_ms {
            holding.give_back(token, count, expires_ms + self.bounds.span_ms());
            return None;
        }
        holding.add(token.clone(), count - 1, expires_ms);
        Some(token)
    }

    /// handles a question without an answer; what was to go back with it counts as used.
    pub fn unanswered(&mut self, now_ms: u64, question: &Question) {
        self.silent.insert(question.member.clone(), now_ms + SILENT_MS);
    }

    /// handles a question that a node has not looked at, as it follows another view.
    pub fn not_taken(&mut self, now_ms: u64, question: &Question) {
        let ask = &question.ask;
        let (_, holding) = entry(&mut self.workspaces, &ask.workspace, asked_terms(ask));
        holding.restore_returns(&question.member, &ask.returns, now_ms + self.bounds.span_ms());
    }

    /// has the token of a request given back that no replica will run.
    pub fn give_back(&mut self, now_ms: u64, workspace: &str, terms: AllotmentTerms, token: Token) {
        let (_, holding) = entry(&mut self.workspaces, workspace, terms);
        holding.give_back(token, 1, now_ms + self.bounds.span_ms());
    }

    /// messages with the tokens that go back now, with their nodes.
    pub fn take_returns(&mut self, now_ms: u64) -> Vec<(String, AllotmentAsk)> {
        let span_ms = self.bounds.span_ms();
        let mut asks = Vec::new();
        for (workspace, (terms, holding)) in &mut self.workspaces {
            holding.expire(now_ms, span_ms);
            for member in holding.return_members() {
                asks.push((member.clone(), question(workspace, *terms, 0, 0, holding, &member)));
            }
        }
        self.workspaces.retain(|_, (_, holding)| !holding.is_empty(now_ms));
        self.silent.retain(|_, until_ms| now_ms < *until_ms);
        asks
    }
}

/// what is held of a workspace's allotment. It may have been forgotten between a question and its answer, or while
/// a request has its token.
fn entry<'a>(
    workspaces: &'a mut BTreeMap<String, (AllotmentTerms, Holding)>,
    workspace: &str,
    terms: AllotmentTerms,
) -> &'a mut (AllotmentTerms, Holding) {
    let entry = workspaces.entry(workspace.to_owned()).or_insert_with(|| (terms, Holding::default()));
    if terms.version > entry.0.version {
        entry.0 = terms;
    }
    entry
}

/// the terms that a question was asked with.
fn asked_terms(ask: &AllotmentAsk) -> AllotmentTerms {
    AllotmentTerms { version: ask.version, rate_per_s: ask.rate_per_s, burst: ask.burst }
}

fn question(
    workspace: &str,
    terms: AllotmentTerms,
    starts: u32,
    turns: u32,
    holding: &mut Holding,
    member: &str,
) -> AllotmentAsk {
    AllotmentAsk {
        workspace: workspace.to_owned(),
        version: terms.version,
        rate_per_s: terms.rate_per_s,
        burst: terms.burst,
        starts,
        turns,
        returns: holding.take_returns(member),
    }
}
