use std::collections::VecDeque;

use crate::ids::Digest;
use crate::platform::PlatformError;
use crate::platform::PlatformReply;
use crate::platform::PlatformRequest;
use crate::platform::PlatformResult;
use crate::release::ReleaseAction;
use crate::release::ReleaseAnswer;
use crate::release::codec;
use crate::release::core::Core;
use crate::release::core::PageUse;
use crate::release::evaluate::evaluate;
use crate::release::keys;
use crate::release::reader::Reader;
use crate::schema::AcceptedRelease;
use crate::schema::ReleaseNote;

/// how long an operator waits for an acceptance.
const ACCEPT_TIMEOUT_MS: u64 = 5_000;

/// notes that wait behind the one being accepted.
const MAX_WAITING: usize = 64;

/// when an operator should come back.
const RETRY_AFTER_MS: u64 = 1_000;

/// what an acceptance waits for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Stage {
    /// the note is evaluated against the newest version known here.
    Evaluate,
    /// the newest releases are read before the note is refused.
    Refresh { call: u64 },
    /// the conditional create that is the acceptance.
    Create { call: u64, version: u64 },
    /// the newest releases are read to see who made the next version.
    Settle { call: u64 },
}

/// one note on its way.
#[derive(Debug)]
struct Accepting {
    ticket: u64,
    note: Box<ReleaseNote>,
    operator: String,
    unix_ms: u64,
    mark: String,
    deadline_ms: u64,
    due_ms: u64,
    failures: u32,
    stage: Stage,
    refreshed: bool,
    /// whether a create was tried.
    created: bool,
    /// whether one may have taken effect.
    may_exist: bool,
}

/// accepts operators' notes, one at a time.
#[derive(Debug, Default)]
pub(super) struct Acceptor {
    current: Option<Accepting>,
    waiting: VecDeque<Accepting>,
}

impl Acceptor {
    pub(super) fn submit(
        &mut self,
        core: &mut Core,
        ticket: u64,
        note: Box<ReleaseNote>,
        operator: String,
        unix_ms: u64,
        serving: bool,
    ) {
        if !serving || self.waiting.len() >= MAX_WAITING {
            answer(core, ticket, unavailable(false));
            return;
        }
        let mark = mark_of(&note);
        let deadline_ms = core.now_ms + ACCEPT_TIMEOUT_MS;
        let accepting = Accepting {
            ticket,
            note,
            operator,
            unix_ms,
            mark,
            deadline_ms,
            due_ms: 0,
            failures: 0,
            stage: Stage::Evaluate,
            refreshed: false,
            created: false,
            may_exist: false,
        };
        self.waiting.push_back(accepting);
    }

    pub(super) fn tick(&mut self, core: &mut Core) {
        loop {
            let Some(mut accepting) = self.current.take().or_else(|| self.waiting.pop_front()) else {
                return;
            };
            let Some(reply) = accepting.advance(core) else {
                self.current = Some(accepting);
                return;
            };
            count(&reply);
            answer(core, accepting.ticket, reply);
        }
    }

    pub(super) fn owns(&self, call: u64) -> bool {
        self.current.as_ref().is_some_and(|accepting| accepting.stage.call() == Some(call))
    }

    pub(super) fn on_result(&mut self, core: &mut Core, reader: &mut Reader, result: PlatformResult) {
        if let Some(accepting) = &mut self.current {
            accepting.on_result(core, reader, result);
        }
    }
}

impl Accepting {
    /// goes on as far as possible without a reply; returns the answer when there is one.
    fn advance(&mut self, core: &mut Core) -> Option<ReleaseAnswer> {
        if let Some(version) = core.log.history().accepted_as(&self.mark) {
            let repeated = !self.is_own(core, version);
            return Some(ReleaseAnswer::Accepted { version, repeated });
        }
        if core.now_ms >= self.deadline_ms {
            let under_way = matches!(self.stage, Stage::Create { .. });
            return Some(unavailable(self.may_exist || under_way));
        }
        if self.stage != Stage::Evaluate || core.now_ms < self.due_ms {
            return None;
        }
        match evaluate(&self.note, &core.log) {
            Ok(()) => {
                let release = self.release(core.version() + 1);
                let version = release.version;
                let key = keys::release_key(version);
                let value = codec::encode(&release);
                let call = core.call(PlatformRequest::Create { key, value });
                self.stage = Stage::Create { call, version };
                self.created = true;
                None
            }
            Err(_) if !self.refreshed => {
                // This instance may be behind; a refusal needs the newest version.
                let call = core.call_for_tail();
                self.stage = Stage::Refresh { call };
                None
            }
            Err(refusal) => Some(ReleaseAnswer::Refused {
                findings: refusal.findings,
                version: core.version(),
                conflict: refusal.conflict,
            }),
        }
    }

    fn on_result(&mut self, core: &mut Core, reader: &mut Reader, result: PlatformResult) {
        let stage = std::mem::replace(&mut self.stage, Stage::Evaluate);
        match (stage, result) {
            // Only what is read back tells who made the version, and that it is no leftover number.
            (Stage::Create { version, .. }, Err(PlatformError::Conflict)) => {
                core.saw(version);
                self.settle(core);
            }
            (Stage::Create { version, .. }, Ok(_)) => {
                core.saw(version);
                self.may_exist = true;
                self.settle(core);
            }
            (Stage::Create { .. }, Err(PlatformError::Unknown | PlatformError::Invalid(_))) => {
                self.may_exist = true;
                self.settle(core);
            }
            (Stage::Refresh { .. } | Stage::Settle { .. }, Ok(PlatformReply::Page { objects, .. })) => {
                let before = core.version();
                if core.apply_page(&objects) == PageUse::Gap {
                    reader.reload(core);
                    self.wait(core);
                    return;
                }
                self.refreshed = true;
                if core.version() == before && matches!(stage, Stage::Settle { .. }) {
                    // The platform answered from the past.
                    self.wait(core);
                }
            }
            (Stage::Settle { .. }, Err(_)) => self.wait(core),
            (_, Err(PlatformError::RateLimited { retry_after_ms })) => {
                self.wait(core);
                self.due_ms = self.due_ms.max(core.now_ms + retry_after_ms);
            }
            (_, _) => self.wait(core),
        }
    }

    fn settle(&mut self, core: &mut Core) {
        let call = core.call_for_tail();
        self.stage = Stage::Settle { call };
    }

    fn wait(&mut self, core: &Core) {
        self.due_ms = core.now_ms + core.backoff_ms(self.failures) / 4;
        self.failures += 1;
    }

    fn release(&self, version: u64) -> AcceptedRelease {
        AcceptedRelease {
            version,
            operator: self.operator.clone(),
            accepted_unix_ms: self.unix_ms,
            mark: self.mark.clone(),
            note: self.note.as_ref().clone(),
        }
    }

    /// tells whether this very request made the version.
    fn is_own(&self, core: &Core, version: u64) -> bool {
        let Some(release) = core.log.recent(version) else {
            return false;
        };
        self.created && release.operator == self.operator && release.accepted_unix_ms == self.unix_ms
    }
}

impl Stage {
    fn call(self) -> Option<u64> {
        match self {
            Self::Evaluate => None,
            Self::Refresh { call } | Self::Create { call, .. } | Self::Settle { call } => Some(call),
        }
    }
}

/// digest of a note; the version that it was written against is part of the note.
pub fn mark_of(note: &ReleaseNote) -> String {
    // A note always serialises: its keys are strings and its numbers finite.
    let bytes = serde_json::to_vec(note).unwrap_or_default();
    Digest::of(&bytes).to_string()
}

fn unavailable(unknown: bool) -> ReleaseAnswer {
    ReleaseAnswer::Unavailable { unknown, retry_after_ms: RETRY_AFTER_MS }
}

fn answer(core: &mut Core, ticket: u64, answer: ReleaseAnswer) {
    core.out.push(ReleaseAction::Answer { ticket, answer });
}

fn count(reply: &ReleaseAnswer) {
    let outcome = match reply {
        ReleaseAnswer::Accepted { repeated: false, .. } => "accepted",
        ReleaseAnswer::Accepted { repeated: true, .. } => "repeated",
        ReleaseAnswer::Refused { conflict: true, .. } => "conflict",
        ReleaseAnswer::Refused { conflict: false, .. } => "faulty",
        ReleaseAnswer::Unavailable { .. } => "unavailable",
    };
    metrics::counter!("release_notes_total", "outcome" => outcome).increment(1);
}
