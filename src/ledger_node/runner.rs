use std::collections::BTreeMap;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::time::Instant;

use anyhow::bail;
use async_channel::Sender;
use flamingo_edge::Spawner;
use slog::Logger;
use slog::debug;
use slog::error;
use slog::info;
use slog::warn;

use crate::ledger::AskCounts;
use crate::ledger::AskKind;
use crate::ledger::CoreAction;
use crate::ledger::CoreInput;
use crate::ledger::NodeCore;
use crate::ledger::empty_view;
use crate::ledger_log::LedgerLog;
use crate::ledger_log::LogEvent;
use crate::ledger_node::event::Event;
use crate::ledger_node::view_store;
use crate::mesh::Mesh;
use crate::platform::HttpPlatform;
use crate::platform::Platform;
use crate::platform::RetirementPhase;
use crate::platform::retirement_status;
use crate::schema::LedgerAsk;
use crate::schema::LedgerMember;
use crate::schema::LedgerView;
use crate::schema::MeshMessage;
use crate::telemetry::Lateness;

/// the main task of a ledger node: passes events to `NodeCore` and performs the actions it returns.
pub(super) struct Runner {
    pub core: NodeCore,
    pub name: String,
    pub lost_disks: u32,
    pub log: Logger,
    pub disk: LedgerLog,
    pub mesh: Arc<Mesh>,
    pub platform: Arc<HttpPlatform>,
    pub spawner: Spawner,
    pub events: Sender<Event>,
    pub started: Instant,
    /// whether the node is a member of the view, as far as it knows.
    pub is_member: Arc<AtomicBool>,
    pub lateness: Lateness,
    /// asks by kind since the last log line about lateness.
    pub asks: AskCounts,
    pub asks_since: Instant,
}

impl Runner {
    /// handles one event; `false` ends the process.
    pub fn handle(&mut self, event: Event) -> anyhow::Result<bool> {
        let input = match event {
            Event::Input(input) => {
                self.count(&input);
                input
            }
            Event::Tick { late_ms } => {
                self.record_lateness(late_ms);
                CoreInput::Tick
            }
            Event::Log(LogEvent::Synced(number)) => {
                metrics::counter!("ledger_syncs_total").increment(1);
                CoreInput::Synced(number)
            }
            Event::Log(LogEvent::SegmentFull) => CoreInput::SegmentFull,
            Event::Log(LogEvent::Failed(cause)) => {
                error!(self.log, "failed to write the ledger log; the process stops";
                    "error" => cause.to_string());
                bail!("failed to write the ledger log: {cause}");
            }
            Event::Stop => return Ok(false),
        };
        let now_ms = self.started.elapsed().as_millis() as u64;
        for action in self.core.handle(now_ms, input) {
            self.perform(action);
        }
        Ok(true)
    }

    fn count(&mut self, input: &CoreInput) {
        if let CoreInput::Ask(_, ask) = input {
            let kind = AskKind::from(&ask.request);
            self.asks.add(kind);
            let kind: &'static str = kind.into();
            metrics::counter!("ledger_asks_total", "kind" => kind).increment(1);
        }
    }

    fn record_lateness(&mut self, late_ms: u64) {
        metrics::histogram!("process_late_ms").record(late_ms as f64);
        let now_ms = self.started.elapsed().as_millis() as u64;
        let Some(note) = self.lateness.observe(now_ms, late_ms) else {
            return;
        };
        let note: &'static str = note.into();
        info!(self.log, "process lateness changed"; "note" => note, "late_ms" => late_ms,
            "waiting" => self.events.len(), "asks" => self.asks.to_string(),
            "over_ms" => self.asks_since.elapsed().as_millis() as u64);
        self.asks = AskCounts::default();
        self.asks_since = Instant::now();
    }

    fn perform(&self, action: CoreAction) {
        match action {
            CoreAction::Append { number, record } => {
                metrics::counter!("ledger_appends_total").increment(1);
                self.disk.append(number, record);
            }
            CoreAction::CompactLog(records) => {
                info!(self.log, "rewriting live records into a new log segment"; "records" => records.len());
                self.disk.compact(records);
            }
            CoreAction::Answer { to, answer } => {
                // If the connection is gone, so is the caller.
                let _ = self.mesh.reply_on(to, MeshMessage::LedgerAnswer(answer));
            }
            CoreAction::Ask { member, ask } => self.ask(&member, ask),
            CoreAction::ReadView => self.read_view(),
            CoreAction::ProposeView { change, view } => {
                let change: &'static str = change.into();
                info!(self.log, "proposing a ledger view"; "change" => change, "epoch" => view.epoch,
                    "members" => view.members.len());
                self.propose_view(view);
            }
            CoreAction::ReportRetirement(phase) => self.report_retirement(phase),
            CoreAction::ViewChanged(view) => self.on_view_in_force(&view),
            CoreAction::StrikeAdded { strike, victims } if strike.acquitted == Some(true) => {
                metrics::counter!("ledger_strikes_cleared_total").increment(1);
                info!(self.log, "strike no longer counts: the content has been run to a successful end";
                    "content" => strike.content, "victim" => strike.victim, "victims" => victims);
            }
            CoreAction::StrikeAdded { strike, victims } => {
                metrics::counter!("ledger_strikes_total").increment(1);
                info!(self.log, "received a strike: request content ended a replica";
                    "content" => strike.content, "victim" => strike.victim, "victims" => victims);
            }
            CoreAction::RunsOrphaned(runs) => {
                for run in runs {
                    metrics::counter!("ledger_runs_orphaned_total").increment(1);
                    info!(self.log, "a door ended with a run in flight; its replica is suspected to have ended";
                        "request" => run.request, "content" => run.content, "replica" => run.replica);
                }
            }
            CoreAction::ToldMissingTurns { member, count } => {
                info!(self.log, "told a member to keep turns that newer ones here go on from, but that are missing here";
                    "member" => member, "turns" => count);
            }
            CoreAction::TurnsExtended(count) => {
                metrics::counter!("ledger_turns_extended_total").increment(count as u64);
            }
            CoreAction::CaughtUp => {
                let store = self.core.node().store();
                info!(self.log, "caught up; all records are present";
                    "epoch" => self.core.node().view().epoch,
                    "programs" => store.program_count(), "turns" => store.turn_count());
            }
        }
    }

    fn ask(&self, member: &LedgerMember, ask: LedgerAsk) {
        let Ok(address) = member.mesh.parse() else {
            warn!(self.log, "mesh address of a ledger member is invalid; the request is not sent";
                "member" => &member.name, "mesh" => &member.mesh);
            return;
        };
        // The core asks an unreachable member again after the timeout of the ask.
        if let Err(error) = self.mesh.send(address, None, MeshMessage::LedgerAsk(ask)) {
            debug!(self.log, "failed to send a request to a ledger member"; "member" => &member.name,
                "error" => error.to_string());
        }
    }

    fn read_view(&self) {
        let platform = Arc::clone(&self.platform);
        let empty = empty_view(self.lost_disks);
        let events = self.events.clone();
        let log = self.log.clone();
        self.spawner.detach(async move {
            let view = match view_store::read_view(&platform, empty).await {
                Ok((_, view)) => Some(view),
                Err(error) => {
                    warn!(log, "failed to read the ledger view"; "dependency" => "platform",
                        "error" => error);
                    None
                }
            };
            let _ = events.try_send(Event::Input(CoreInput::View(view)));
        });
    }

    fn propose_view(&self, view: LedgerView) {
        let platform = Arc::clone(&self.platform);
        let call = view_store::propose_view(platform, empty_view(self.lost_disks), view, self.log.clone());
        let events = self.events.clone();
        self.spawner.detach(async move {
            let view = call.await;
            let _ = events.try_send(Event::Input(CoreInput::View(view)));
        });
    }

    fn report_retirement(&self, phase: RetirementPhase) {
        let platform = Arc::clone(&self.platform);
        let request = retirement_status(&self.name, phase);
        let events = self.events.clone();
        let log = self.log.clone();
        self.spawner.detach(async move {
            let phase_name: &'static str = phase.into();
            let reported = match platform.call(request).await {
                Ok(_) => {
                    info!(log, "reported the retirement phase"; "phase" => phase_name);
                    Some(phase)
                }
                Err(error) => {
                    warn!(log, "failed to report the retirement phase"; "phase" => phase_name,
                        "error" => error.to_string());
                    None
                }
            };
            let _ = events.try_send(Event::Input(CoreInput::RetirementReported { phase: reported }));
        });
    }

    fn on_view_in_force(&self, view: &LedgerView) {
        self.is_member.store(self.core.node().is_member(), Ordering::Relaxed);
        let members: BTreeMap<&str, &str> =
            view.members.iter().map(|member| (member.name.as_str(), member.mesh.as_str())).collect();
        info!(self.log, "ledger view is in force"; "epoch" => view.epoch, "members" => format!("{members:?}"),
            "is_member" => self.core.node().is_member(), "complete" => self.core.node().is_complete());
    }
}
