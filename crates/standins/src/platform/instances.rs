use std::collections::VecDeque;
use std::net::SocketAddr;
use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;

/// one row of the list of instances.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct InstanceRow {
    /// name, unique in the list.
    pub name: String,
    /// `entry`, `engine`, `service` or `weight_store`.
    pub kind: String,
    /// model or service that it serves.
    #[serde(default)]
    pub serves: String,
    /// address.
    pub address: SocketAddr,
    /// availability zone.
    pub zone: String,
    /// `live` or `leaving`.
    pub state: String,
}

/// the list of instances, shown with a lag.
#[derive(Clone, Debug)]
pub(super) struct LaggingList {
    lag: Duration,
    versions: VecDeque<(Duration, Vec<InstanceRow>)>,
}

impl LaggingList {
    pub(super) fn new(lag: Duration) -> Self {
        Self { lag, versions: VecDeque::new() }
    }

    pub(super) fn set_lag(&mut self, lag: Duration) {
        self.lag = lag;
    }

    pub(super) fn set(&mut self, now: Duration, rows: Vec<InstanceRow>) {
        // The first list stands from the start, so that a fresh stand-in is not empty.
        let from = if self.versions.is_empty() { Duration::ZERO } else { now + self.lag };
        self.versions.push_back((from, rows));
    }

    pub(super) fn shown(&mut self, now: Duration) -> &[InstanceRow] {
        while self.versions.get(1).is_some_and(|(from, _)| *from <= now) {
            self.versions.pop_front();
        }
        self.versions.front().map_or(&[], |(_, rows)| rows)
    }

    pub(super) fn newest(&self) -> &[InstanceRow] {
        self.versions.back().map_or(&[], |(_, rows)| rows)
    }
}
