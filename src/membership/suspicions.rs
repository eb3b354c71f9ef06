use std::collections::BTreeMap;

/// timer of one suspicion.
#[derive(Clone, Copy, Debug)]
pub(super) struct Suspicion {
    /// when the member is declared dead unless it has refuted.
    pub deadline_ms: u64,
    /// whether the deadline was extended because this instance may itself be isolated.
    pub extended: bool,
    /// when to probe the member again; set only on the instance that raised the suspicion.
    pub reprobe_ms: Option<u64>,
    /// whether this instance has probed the suspect itself.
    pub probed: bool,
}

/// running suspicions by member name.
#[derive(Debug, Default)]
pub(super) struct Suspicions {
    by_name: BTreeMap<String, Suspicion>,
}

impl Suspicions {
    /// starts a suspicion unless the member has one already.
    pub fn start(&mut self, name: &str, suspicion: Suspicion) {
        self.by_name.entry(name.to_owned()).or_insert(suspicion);
    }

    /// ends the suspicion of a member, if any.
    pub fn end(&mut self, name: &str) {
        self.by_name.remove(name);
    }

    /// members whose deadline has passed.
    pub fn due(&self, now_ms: u64) -> Vec<String> {
        let due = self.by_name.iter().filter(|(_, suspicion)| now_ms >= suspicion.deadline_ms);
        due.map(|(name, _)| name.clone()).collect()
    }

    /// extends a deadline, at most once for each suspicion; tells whether it did.
    pub fn extend(&mut self, name: &str, extra_ms: u64) -> bool {
        let Some(suspicion) = self.by_name.get_mut(name) else {
            return false;
        };
        if suspicion.extended {
            return false;
        }
        suspicion.extended = true;
        suspicion.deadline_ms += extra_ms;
        true
    }

    /// extends the deadline for a final probe, once, unless this instance raised the suspicion; tells whether
    /// it did.
    pub fn begin_final_probe(&mut self, name: &str, extra_ms: u64) -> bool {
        let Some(suspicion) = self.by_name.get_mut(name) else {
            return false;
        };
        if suspicion.probed {
            return false;
        }
        suspicion.probed = true;
        suspicion.deadline_ms += extra_ms;
        true
    }

    /// extends all deadlines.
    pub fn extend_all(&mut self, extra_ms: u64) {
        for suspicion in self.by_name.values_mut() {
            suspicion.deadline_ms += extra_ms;
        }
    }

    /// members to probe again now; each is due again after `pause_ms`.
    pub fn take_reprobes(&mut self, now_ms: u64, pause_ms: u64) -> Vec<String> {
        let mut names = Vec::new();
        for (name, suspicion) in &mut self.by_name {
            let Some(reprobe_ms) = &mut suspicion.reprobe_ms else {
                continue;
            };
            if now_ms >= *reprobe_ms {
                *reprobe_ms = now_ms + pause_ms;
                names.push(name.clone());
            }
        }
        names
    }
}
