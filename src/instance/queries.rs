use std::sync::Arc;

use async_channel::Sender;

use crate::schema::AcceptedRelease;
use crate::schema::PoisonHeld;
use crate::schema::ProgramState;
use crate::schema::ReleaseCheck;
use crate::schema::ReleaseNote;

/// what operators want to know of the owner in this process.
#[derive(Debug)]
pub(crate) enum OwnerQuery {
    /// states of the programs that it holds.
    Programs { workspace: Option<String>, limit: usize, reply: Sender<Vec<ProgramState>> },
    /// contents that it holds back.
    Poison { reply: Sender<Vec<PoisonHeld>> },
}

/// what operators want to know of the releases.
#[derive(Debug)]
pub(crate) enum ReleaseQuery {
    /// the latest releases, newest first.
    History { limit: usize, reply: Sender<Vec<Arc<AcceptedRelease>>> },
    /// what stands against a note.
    Check { note: Box<ReleaseNote>, reply: Sender<ReleaseCheck> },
}

/// counts of the owner for the state of an instance.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct OwnerCounts {
    pub(crate) programs: u32,
    pub(crate) journal_entries: u64,
    pub(crate) platform_calls: u64,
}
