use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use flamingo_edge::timeout;

use crate::instance::Shared;
use crate::instance::queries::OwnerQuery;
use crate::instance::queries::ReleaseQuery;
use crate::instance::shared::Question;
use crate::owner::OwnerInput;
use crate::release::ReleaseAnswer;
use crate::release::ReleaseInput;
use crate::schema::AcceptedRelease;
use crate::schema::InstanceStatus;
use crate::schema::MeshMessage;
use crate::schema::PoisonHeld;
use crate::schema::ProgramState;
use crate::schema::ProgramsPull;
use crate::schema::ReleaseCheck;
use crate::schema::ReleaseNote;
use crate::schema::StatusPull;
use crate::schema::TimelineEvent;
use crate::schema::TimelinePull;

/// how long an operator's question waits for other instances.
const ANSWER_WAIT: Duration = Duration::from_millis(1_000);

/// how long an operator waits for a release to be accepted.
const ACCEPT_WAIT: Duration = Duration::from_secs(30);

/// when an operator should come back after the wait ran out.
const ACCEPT_RETRY_AFTER_MS: u64 = 2_000;

impl Shared {
    /// asks every member for its state; those that do not answer in time are left out.
    pub async fn all_statuses(self: &Arc<Self>) -> BTreeMap<String, InstanceStatus> {
        let own = self.status();
        let mut found = BTreeMap::from([(own.name.clone(), own)]);
        let (sender, answers) = async_channel::unbounded();
        let id = self.questions.insert(Question::Status(sender));
        let asked = self.ask_members(&MeshMessage::StatusPull(StatusPull { id }));
        let collect = async {
            while found.len() <= asked {
                let Ok(status) = answers.recv().await else {
                    return;
                };
                found.insert(status.name.clone(), status);
            }
        };
        timeout(ANSWER_WAIT, collect).await;
        self.questions.remove(id);
        found
    }

    /// states of the programs that this instance owns.
    pub(crate) async fn own_programs(&self, workspace: Option<String>, limit: usize) -> Vec<ProgramState> {
        let (reply, answer) = async_channel::bounded(1);
        let _ = self.owner_queries.try_send(OwnerQuery::Programs { workspace, limit, reply });
        timeout(ANSWER_WAIT, answer.recv()).await.and_then(Result::ok).unwrap_or_default()
    }

    /// states of the programs of all instances that answer, by name.
    pub async fn all_programs(self: &Arc<Self>, workspace: Option<String>, limit: u32) -> Vec<ProgramState> {
        let (sender, answers) = async_channel::unbounded();
        let id = self.questions.insert(Question::Programs(sender));
        let asked = self.ask_members(&MeshMessage::ProgramsPull(ProgramsPull {
            id,
            workspace: workspace.clone(),
            limit,
        }));
        let mut programs = self.own_programs(workspace, limit as usize).await;
        let collect = async {
            for _ in 0..asked {
                let Ok(part) = answers.recv().await else {
                    return;
                };
                programs.extend(part);
            }
        };
        timeout(ANSWER_WAIT, collect).await;
        self.questions.remove(id);
        programs.sort_by(|left, right| left.program.cmp(&right.program));
        programs.truncate(limit as usize);
        programs
    }

    /// contents that are held back or were.
    pub async fn poison(&self) -> Vec<PoisonHeld> {
        let (reply, answer) = async_channel::bounded(1);
        let _ = self.owner_queries.try_send(OwnerQuery::Poison { reply });
        timeout(ANSWER_WAIT, answer.recv()).await.and_then(Result::ok).unwrap_or_default()
    }

    /// lets a content that was held back run again, here and on the other instances.
    pub fn lift_poison(&self, mut held: PoisonHeld) {
        held.lifted = true;
        held.changed_unix_ms = self.now().unix_ms;
        self.tell_owner(OwnerInput::Poison(held.clone()));
        self.tell_others(&MeshMessage::Poison(held));
    }

    /// the latest releases, newest first.
    pub async fn release_history(&self, limit: usize) -> Vec<Arc<AcceptedRelease>> {
        let (reply, answer) = async_channel::bounded(1);
        let _ = self.release_queries.try_send(ReleaseQuery::History { limit, reply });
        timeout(ANSWER_WAIT, answer.recv()).await.and_then(Result::ok).unwrap_or_default()
    }

    /// what stands against a note; nothing when the releases do not answer in time.
    pub(crate) async fn check_note(&self, note: ReleaseNote) -> Option<ReleaseCheck> {
        let (reply, answer) = async_channel::bounded(1);
        let _ = self.release_queries.try_send(ReleaseQuery::Check { note: Box::new(note), reply });
        timeout(ANSWER_WAIT, answer.recv()).await?.ok()
    }

    /// collects the time line of all members, ordered by hybrid time.
    pub async fn whole_timeline(self: &Arc<Self>, mut pull: TimelinePull) -> Vec<TimelineEvent> {
        let mut events = self.timeline.select(&pull);
        let (sender, answers) = async_channel::unbounded();
        let id = self.questions.insert(Question::Timeline(sender));
        pull.id = id;
        let limit = pull.limit as usize;
        let asked = self.ask_members(&MeshMessage::TimelinePull(pull));
        let collect = async {
            for _ in 0..asked {
                let Ok(part) = answers.recv().await else {
                    return;
                };
                events.extend(part);
            }
        };
        timeout(ANSWER_WAIT, collect).await;
        self.questions.remove(id);
        events.sort_by(|left, right| (left.at, &left.instance).cmp(&(right.at, &right.instance)));
        let surplus = events.len().saturating_sub(limit);
        events.drain(..surplus);
        events
    }

    /// accepts a release note in the name of an operator.
    pub async fn accept_release(self: &Arc<Self>, note: ReleaseNote, operator: &str) -> ReleaseAnswer {
        let (sender, answers) = async_channel::bounded(1);
        let ticket = self.questions.insert(Question::Release(sender));
        let unix_ms = self.now().unix_ms;
        let operator = operator.to_owned();
        self.tell_releases(ReleaseInput::Accept { ticket, note: Box::new(note), operator, unix_ms });
        let answer = timeout(ACCEPT_WAIT, answers.recv()).await;
        self.questions.remove(ticket);
        match answer {
            Some(Ok(answer)) => answer,
            // The note may still be accepted; a repeat of it finds out.
            _ => ReleaseAnswer::Unavailable { unknown: true, retry_after_ms: ACCEPT_RETRY_AFTER_MS },
        }
    }

    /// sends news to all other members that are not gone.
    pub(crate) fn tell_others(&self, news: &MeshMessage) {
        self.ask_members(news);
    }

    /// sends a question to all other members that are not gone; returns how many were asked.
    fn ask_members(&self, question: &MeshMessage) -> usize {
        let view = self.view.load();
        let mut asked = 0;
        for member in &view.members {
            if member.is_gone() || member.incarnation == view.own_incarnation {
                continue;
            }
            if self.mesh().send(member.mesh, None, question.clone()).is_ok() {
                asked += 1;
            }
        }
        asked
    }
}
