use std::collections::BTreeSet;

use crate::ids::Incarnation;
use crate::member::Member;
use crate::release::ReleaseAction;
use crate::release::core::Core;
use crate::release::reader::Reader;
use crate::release::snapshot;
use crate::release::snapshot::Assembly;
use crate::rendezvous;
use crate::schema::AcceptedRelease;
use crate::schema::ReleasePull;
use crate::schema::ReleasePush;
use crate::schema::SnapshotPart;

/// how long a release may take over the push tree before this instance asks for them.
const PULL_DELAY_MS: u64 = 100;

/// how long a peer has to answer.
const PULL_TIMEOUT_MS: u64 = 700;

/// unanswered pulls after which the platform is read too.
const MAX_SILENT_PEERS: u32 = 2;

/// bytes of releases in one answer, roughly.
const PUSH_BYTES: usize = 256 * 1024;

/// releases that an instance forwards at once; more are caught up with by pulls.
const MAX_PUSHED: usize = 16;

/// children of an instance in the push tree of its zone.
const FANOUT: usize = 4;

/// how long a snapshot that was made for a peer is kept.
const KEEP_SNAPSHOT_MS: u64 = 30_000;

#[derive(Debug)]
struct Asked {
    peer: Incarnation,
    id: u64,
    since_ms: u64,
}

/// parts made for peers that are far behind.
#[derive(Debug)]
struct PeerSnapshot {
    parts: Vec<SnapshotPart>,
    used_ms: u64,
}

/// pulls releases from peers, answers their pulls and forwards fresh ones.
#[derive(Debug, Default)]
pub(super) struct Peers {
    asked: Option<Asked>,
    last_id: u64,
    due_ms: Option<u64>,
    silent: u32,
    tried: BTreeSet<Incarnation>,
    assembly: Option<(Incarnation, Assembly)>,
    offered: Option<PeerSnapshot>,
    /// peers that answered since the start.
    pub(super) answered: BTreeSet<Incarnation>,
    /// those of them that had a configuration in force.
    pub(super) heard: BTreeSet<Incarnation>,
}

impl Peers {
    pub(super) fn tick(&mut self, core: &mut Core, reader: &mut Reader, serving: bool) {
        if self.offered.as_ref().is_some_and(|offered| core.now_ms > offered.used_ms + KEEP_SNAPSHOT_MS) {
            self.offered = None;
        }
        if let Some(asked) = &self.asked {
            if core.now_ms < asked.since_ms + PULL_TIMEOUT_MS {
                return;
            }
            self.tried.insert(asked.peer.clone());
            self.give_up(core, reader);
        }
        if !core.is_behind() && serving {
            self.due_ms = None;
            self.tried.clear();
            return;
        }
        let delay_ms = if serving { PULL_DELAY_MS + core.jitter_ms(2, PULL_DELAY_MS) } else { 0 };
        let due_ms = *self.due_ms.get_or_insert(core.now_ms + delay_ms);
        if core.now_ms >= due_ms {
            self.ask(core, reader, serving);
        }
    }

    /// the members changed; a fresh instance asks newcomers at once.
    pub(super) fn on_members(&mut self, serving: bool) {
        if !serving {
            self.due_ms = None;
        }
    }

    /// a peer asks; a fresh instance answers with what it has heard of.
    pub(super) fn on_pull(&mut self, core: &mut Core, peer: Incarnation, pull: &ReleasePull, serving: bool) {
        let mut push = ReleasePush {
            id: pull.id,
            releases: Vec::new(),
            latest_version: core.newest_seen,
            snapshot: Vec::new(),
            fresh: !serving,
        };
        if !serving {
            core.out.push(ReleaseAction::Push { peer, push: Box::new(push) });
            return;
        }
        match core.log.after(pull.after_version, PUSH_BYTES) {
            Some(releases) => push.releases = releases,
            None => push.snapshot = self.part_for(core, pull).into_iter().collect(),
        }
        core.out.push(ReleaseAction::Push { peer, push: Box::new(push) });
    }

    /// a peer answers, or forwards fresh ones.
    pub(super) fn on_push(
        &mut self,
        core: &mut Core,
        reader: &mut Reader,
        peer: Incarnation,
        push: ReleasePush,
        serving: bool,
    ) {
        core.saw(push.latest_version);
        let answered = self.asked.as_ref().is_some_and(|asked| asked.peer == peer && asked.id == push.id);
        if answered {
            self.asked = None;
            self.silent = 0;
            self.answered.insert(peer.clone());
            if !push.fresh {
                self.heard.insert(peer.clone());
            }
            self.due_ms = Some(core.now_ms);
        }
        for release in push.releases {
            if release.version > core.version() && !core.apply(release) {
                break;
            }
        }
        for part in push.snapshot {
            self.on_part(core, &peer, part);
        }
        if answered && (core.is_behind() || !serving) {
            self.tried.insert(peer);
            self.ask(core, reader, serving);
        }
    }

    /// forwards fresh releases to the next instances in this zone's tree.
    pub(super) fn forward(&mut self, core: &mut Core, releases: Vec<AcceptedRelease>) {
        if releases.is_empty() || releases.len() > MAX_PUSHED {
            return;
        }
        let Some(place) = core.zone.place else {
            return;
        };
        let children = core.zone.members.iter().skip(FANOUT * place + 1).take(FANOUT);
        let children: Vec<Incarnation> = children.cloned().collect();
        let latest_version = core.version();
        for peer in children {
            let releases = releases.clone();
            let push = ReleasePush { id: 0, releases, latest_version, snapshot: Vec::new(), fresh: false };
            core.out.push(ReleaseAction::Push { peer, push: Box::new(push) });
        }
    }

    fn give_up(&mut self, core: &Core, reader: &mut Reader) {
        self.asked = None;
        self.assembly = None;
        self.silent += 1;
        if self.silent >= MAX_SILENT_PEERS {
            reader.hurry(core);
        }
    }

    fn ask(&mut self, core: &mut Core, reader: &mut Reader, serving: bool) {
        // A peer that is in the middle of sending its snapshot is asked for the rest of it.
        let (peer, snapshot_version, part) = match &self.assembly {
            Some((holder, assembly)) => (Some(holder.clone()), assembly.version(), assembly.next_part()),
            None => (self.next_peer(core, serving), 0, 0),
        };
        let Some(peer) = peer else {
            // Everyone was asked; the next round waits a little, and the platform may know more.
            reader.hurry(core);
            self.tried.clear();
            self.due_ms = Some(core.now_ms + PULL_TIMEOUT_MS + core.jitter_ms(3, PULL_DELAY_MS));
            return;
        };
        self.last_id += 1;
        let id = self.last_id;
        let pull = ReleasePull { id, after_version: core.version(), snapshot_version, part };
        self.asked = Some(Asked { peer: peer.clone(), id, since_ms: core.now_ms });
        core.out.push(ReleaseAction::Pull { peer, pull });
    }

    /// a member that is ahead, of this zone if there is one; before serving any member will do.
    fn next_peer(&self, core: &Core, serving: bool) -> Option<Incarnation> {
        let own_zone = core.view.as_ref().and_then(|view| view.own()).map(|own| own.zone.clone());
        let candidates: Vec<&Member> = core
            .peers()
            .into_iter()
            .filter(|member| !serving || member.release_version > core.version())
            .filter(|member| !self.tried.contains(&member.incarnation))
            .collect();
        let order =
            rendezvous::ranked(core.me.as_str(), candidates.into_iter(), |member: &Member| &member.name);
        let near = order.iter().find(|member| Some(&member.zone) == own_zone.as_ref());
        near.or(order.first()).map(|member| member.incarnation.clone())
    }

    fn on_part(&mut self, core: &mut Core, peer: &Incarnation, part: SnapshotPart) {
        if part.version <= core.version() {
            self.assembly = None;
            return;
        }
        let mut assembly = match self.assembly.take() {
            Some((holder, assembly)) if holder == *peer && part.part > 0 => assembly,
            _ => Assembly::default(),
        };
        if !assembly.add(part) {
            return;
        }
        if assembly.is_complete() {
            core.install(assembly.into_log());
            return;
        }
        self.assembly = Some((peer.clone(), assembly));
    }

    /// the part that a peer wants; the first of a newer snapshot when the old one is gone.
    fn part_for(&mut self, core: &Core, pull: &ReleasePull) -> Option<SnapshotPart> {
        let known = self.offered.as_ref().and_then(|offered| offered.parts.first()).map(|part| part.version);
        let continues = known == Some(pull.snapshot_version);
        if !continues && !known.is_some_and(|version| core.log.reaches(version)) {
            self.offered = Some(PeerSnapshot { parts: snapshot::split(&core.log), used_ms: core.now_ms });
        }
        let offered = self.offered.as_mut()?;
        offered.used_ms = core.now_ms;
        let part = if continues { pull.part as usize } else { 0 };
        offered.parts.get(part).cloned()
    }
}
