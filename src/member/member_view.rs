use std::net::SocketAddr;

use crate::ids::Incarnation;
use crate::rendezvous;
use crate::schema::MemberHealth;

/// what is known of one instance.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Member {
    /// name from its settings.
    pub name: String,
    /// its latest start.
    pub incarnation: Incarnation,
    /// what is believed of it.
    pub health: MemberHealth,
    /// whether it has said that it is leaving.
    pub leaving: bool,
    /// its region.
    pub region: String,
    /// its availability zone.
    pub zone: String,
    /// where other instances reach it, over TCP and UDP.
    pub mesh: SocketAddr,
    /// where callers reach it.
    pub callers: SocketAddr,
    /// configuration in force there when it last spoke.
    pub release_version: u64,
}

impl Member {
    /// tells whether new work may go to this member.
    pub fn accepts_work(&self) -> bool {
        matches!(self.health, MemberHealth::Alive | MemberHealth::Suspect) && !self.leaving
    }

    /// tells whether this member is believed to be gone.
    pub fn is_gone(&self) -> bool {
        matches!(self.health, MemberHealth::Dead | MemberHealth::Left)
    }
}

/// one snapshot of the members, this instance included, ordered by name.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct MemberView {
    /// this instance.
    pub own_incarnation: Incarnation,
    /// latest incarnation of each known instance.
    pub members: Vec<Member>,
    /// when the view last changed.
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

    /// this instance's own record.
    pub fn own(&self) -> Option<&Member> {
        self.find(&self.own_incarnation)
    }

    /// the member that should hold `key`, among those that take work.
    pub fn preferred(&self, key: &str) -> Option<&Member> {
        rendezvous::first(key, self.members.iter().filter(|member| member.accepts_work()), |member| {
            &member.name
        })
    }

    /// members that take work, in their order for `key`.
    pub fn ranked(&self, key: &str) -> Vec<&Member> {
        rendezvous::ranked(key, self.members.iter().filter(|member| member.accepts_work()), |member| {
            &member.name
        })
    }
}
