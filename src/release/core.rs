use std::sync::Arc;

use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::ids::Incarnation;
use crate::member::Member;
use crate::member::MemberView;
use crate::platform::Object;
use crate::platform::PlatformRequest;
use crate::release::ReleaseAction;
use crate::release::ReleaseLog;
use crate::release::codec;
use crate::release::keys;
use crate::rendezvous;
use crate::schema::AcceptedRelease;

/// releases in one page of the platform's list.
const PAGE_RELEASES: usize = 200;

/// first delay after a failed call.
const BACKOFF_MS: u64 = 200;

/// longest delay after failed calls.
const MAX_BACKOFF_MS: u64 = 10_000;

/// key of the order within a zone.
const ZONE_KEY: &str = "release-watch";

/// what a page of releases was good for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum PageUse {
    /// it holds nothing new, or releases that follow in order.
    InOrder,
    /// releases are missing in it; the newest snapshot is needed.
    Gap,
}

/// members of this instance's zone that take work, in the order of watching and of the push tree.
#[derive(Debug, Default)]
pub(super) struct ZoneOrder {
    pub(super) members: Vec<Incarnation>,
    /// place of this instance; none while it takes no work or knows of no view.
    pub(super) place: Option<usize>,
}

impl ZoneOrder {
    fn of(view: &MemberView) -> Self {
        let Some(own) = view.own() else {
            return Self::default();
        };
        let zone = view.members.iter().filter(|member| member.zone == own.zone && member.accepts_work());
        let order = rendezvous::ranked(ZONE_KEY, zone, |member: &Member| &member.name);
        let members: Vec<Incarnation> = order.into_iter().map(|member| member.incarnation.clone()).collect();
        let place = members.iter().position(|member| *member == view.own_incarnation);
        Self { members, place }
    }
}

/// what the parts of `Releases` share.
#[derive(Debug)]
pub(super) struct Core {
    pub(super) me: Incarnation,
    pub(super) view: Option<Arc<MemberView>>,
    pub(super) log: ReleaseLog,
    pub(super) newest_seen: u64,
    pub(super) zone: ZoneOrder,
    pub(super) now_ms: u64,
    pub(super) out: Vec<ReleaseAction>,
    pub(super) fresh: Vec<AcceptedRelease>,
    last_call: u64,
}

impl Core {
    pub(super) fn new(me: Incarnation) -> Self {
        Self {
            me,
            view: None,
            log: ReleaseLog::default(),
            newest_seen: 0,
            zone: ZoneOrder::default(),
            now_ms: 0,
            out: Vec::new(),
            fresh: Vec::new(),
            last_call: 0,
        }
    }

    pub(super) fn version(&self) -> u64 {
        self.log.version()
    }

    pub(super) fn is_behind(&self) -> bool {
        self.version() < self.newest_seen
    }

    pub(super) fn saw(&mut self, version: u64) {
        self.newest_seen = self.newest_seen.max(version);
    }

    /// asks the platform; the number names the call in its result.
    pub(super) fn call(&mut self, request: PlatformRequest) -> u64 {
        self.last_call += 1;
        let call = self.last_call;
        self.out.push(ReleaseAction::Platform { call, request });
        call
    }

    /// asks for the releases after the newest one known here.
    pub(super) fn call_for_tail(&mut self) -> u64 {
        self.call(PlatformRequest::List {
            prefix: keys::RELEASES.to_owned(),
            after: keys::release_key(self.version()),
            limit: PAGE_RELEASES,
            with_values: true,
        })
    }

    /// adds the next release and keeps it to be forwarded.
    pub(super) fn apply(&mut self, release: AcceptedRelease) -> bool {
        self.saw(release.version);
        if !self.log.apply(release.clone()) {
            return false;
        }
        self.fresh.push(release);
        true
    }

    /// replaces the log by a newer one; an older one changes nothing.
    pub(super) fn install(&mut self, log: ReleaseLog) -> bool {
        if log.version() <= self.version() {
            return false;
        }
        self.saw(log.version());
        self.log = log;
        // What led there is unknown here, so there is nothing to forward.
        self.fresh.clear();
        true
    }

    /// applies a page of releases, unless one is missing in it.
    ///
    /// An object below the retained releases can be a leftover: its writer was paused while the sweep
    /// removed the real release of that number. The page then shows a gap behind it, so nothing of a
    /// page with a gap is applied.
    pub(super) fn apply_page(&mut self, objects: &[Object]) -> PageUse {
        let mut releases = Vec::new();
        let mut next = self.version() + 1;
        for object in objects {
            let Some(version) = keys::release_version(&object.key) else {
                continue;
            };
            if version < next {
                continue;
            }
            if version > next {
                self.saw(version);
                return PageUse::Gap;
            }
            next += 1;
            releases.push(codec::decode::<AcceptedRelease>(&object.value));
        }
        for release in releases {
            let Some(release) = release else {
                metrics::counter!("release_unreadable_total").increment(1);
                break;
            };
            if !self.apply(release) {
                break;
            }
        }
        PageUse::InOrder
    }

    /// delay before the next try after `failures` failed ones, with jitter.
    pub(super) fn backoff_ms(&self, failures: u32) -> u64 {
        let delay = (BACKOFF_MS << failures.min(6)).min(MAX_BACKOFF_MS);
        delay / 2 + self.jitter_ms(u64::from(failures), delay / 2)
    }

    /// a delay below `range_ms` that differs between instances.
    pub(super) fn jitter_ms(&self, salt: u64, range_ms: u64) -> u64 {
        let seed = salt ^ self.now_ms.rotate_left(32);
        xxh3_64_with_seed(self.me.as_str().as_bytes(), seed) % range_ms.max(1)
    }

    /// members other than this one that take work.
    pub(super) fn peers(&self) -> Vec<&Member> {
        let Some(view) = &self.view else {
            return Vec::new();
        };
        view.members.iter().filter(|member| member.accepts_work() && member.incarnation != self.me).collect()
    }

    /// takes the view, and keeps the order of this zone: it is looked at on every tick.
    pub(super) fn set_view(&mut self, view: Arc<MemberView>) {
        for member in &view.members {
            if member.incarnation != self.me {
                self.saw(member.release_version);
            }
        }
        self.zone = ZoneOrder::of(&view);
        self.view = Some(view);
    }

    /// tells whether this instance comes first for `key` among all members; alone it does.
    pub(super) fn is_first(&self, key: &str) -> bool {
        let Some(view) = &self.view else {
            return true;
        };
        view.preferred(key).is_none_or(|member| member.incarnation == self.me)
    }
}
