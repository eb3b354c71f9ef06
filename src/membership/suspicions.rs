use std::collections::BTreeMap;

/// a member that may be dead.
#[derive(Clone, Copy, Debug)]
pub(super) struct Suspicion {
    /// when the member is dead unless it refutes.
    pub deadline_ms: u64,
    /// whether the deadline has been put off because this instance may itself be cut off.
    pub extended: bool,
    /// when this instance probes the member again; only the one that raised the suspicion does.
    pub reprobe_ms: Option<u64>,
    /// whether this instance has asked the member itself.
    pub asked: bool,
}

/// suspected members by name.
#[derive(Debug, Default)]
pub(super) struct Suspicions {
    by_name: BTreeMap<String, Suspicion>,
}

impl Suspicions {
    /// starts the time of a suspicion, unless it runs already.
    pub fn start(&mut self, name: &str, suspicion: Suspicion) {
        self.by_name.entry(name.to_owned()).or_insert(suspicion);
    }

    /// ends a suspicion.
    pub fn end(&mut self, name: &str) {
        self.by_name.remove(name);
    }

    /// names whose time has run out.
    pub fn due(&self, now_ms: u64) -> Vec<String> {
        let due = self.by_name.iter().filter(|(_, suspicion)| now_ms >= suspicion.deadline_ms);
        due.map(|(name, _)| name.clone()).collect()
    }

    /// puts the end of one suspicion off, once; tells whether that was done.
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

    /// gives a member that this instance has not asked itself a last while; tells whether that was done.
    pub fn ask(&mut self, name: &str, extra_ms: u64) -> bool {
        let Some(suspicion) = self.by_name.get_mut(name) else {
            return false;
        };
        if suspicion.asked {
            return false;
        }
        suspicion.asked = true;
        suspicion.deadline_ms += extra_ms;
        true
    }

    /// puts the end of all suspicions off.
    pub fn extend_all(&mut self, extra_ms: u64) {
        for suspicion in self.by_name.values_mut() {
            suspicion.deadline_ms += extra_ms;
        }
    }

    /// names to probe again now; the next time is `pause_ms` later.
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
