use std::net::SocketAddr;

use crate::ids::Incarnation;
use crate::rendezvous;
use crate::schema::MemberHealth;

/// one instance, as far as it is known here.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Member {
    /// instance name from its settings.
    pub name: String,
    /// latest known incarnation; each start has a new one.
    pub incarnation: Incarnation,
    /// last known health.
    pub health: MemberHealth,
    /// whether it has announced that it is leaving.
    pub leaving: bool,
    /// region that it runs in.
    pub region: String,
    /// availability zone that it runs in.
    pub zone: String,
    /// address for other instances, over TCP and UDP.
    pub mesh: SocketAddr,
    /// address for clients.
    pub callers: SocketAddr,
    /// version of the configuration in force there, as last reported.
    pub release_version: u64,
}

impl Member {
    /// whether new work may be sent to this member.
    pub fn accepts_work(&self) -> bool {
        matches!(self.health, MemberHealth::Alive | MemberHealth::Suspect) && !self.leaving
    }

    /// whether this member is dead or has left, as far as is known.
    pub fn is_gone(&self) -> bool {
        matches!(self.health, MemberHealth::Dead | MemberHealth::Left)
    }
}

/// snapshot of the members, ordered by name; includes this instance unless a later start superseded it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct MemberView {
    /// incarnation of this instance.
    pub own_incarnation: Incarnation,
    /// one entry an instance, with its latest known incarnation.
    pub members: Vec<Member>,
    /// when this snapshot was taken, on the monotonic clock.
    pub changed_ms: u64,
}

impl MemberView {
    /// finds a member by incarnation.
    pub fn find(&self, incarnation: &Incarnation) -> Option<&Member> {
        self.members.iter().find(|member| member.incarnation == *incarnation)
    }

    /// finds a member by its mesh address.
    pub fn find_by_mesh(&self, mesh: SocketAddr) -> Option<&Member> {
        self.members.iter().find(|member| member.mesh == mesh)
    }

    /// this instance; `None` when the snapshot does not include it.
    pub fn own(&self) -> Option<&Member> {
        self.find(&self.own_incarnation)
    }

    /// the first of `ranked`: the member that should hold `key`.
    pub fn preferred(&self, key: &str) -> Option<&Member> {
        rendezvous::first(key, self.members.iter().filter(|member| member.accepts_work()), |member| {
            &member.name
        })
    }

    /// members that accept work, by rendezvous hashing of `key`.
    pub fn ranked(&self, key: &str) -> Vec<&Member> {
        rendezvous::ranked(key, self.members.iter().filter(|member| member.accepts_work()), |member| {
            &member.name
        })
    }
}
