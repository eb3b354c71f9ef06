//! prints figures of one owner in virtual time: journal bytes, platform calls, replay time and memory.

use std::collections::BTreeMap;
use std::collections::VecDeque;
use std::sync::Arc;
use std::time::Instant;

use flamingostand::clock::Now;
use flamingostand::ids::Digest;
use flamingostand::ids::Incarnation;
use flamingostand::member::Member;
use flamingostand::member::MemberView;
use flamingostand::owner::Owner;
use flamingostand::owner::OwnerAction;
use flamingostand::owner::OwnerInput;
use flamingostand::owner::OwnerSettings;
use flamingostand::platform::PlatformRequest;
use flamingostand::schema::ForwardedOpen;
use flamingostand::schema::ForwardedTurn;
use flamingostand::schema::JobDone;
use flamingostand::schema::JobEvent;
use flamingostand::schema::LimitSettings;
use flamingostand::schema::MemberHealth;
use flamingostand::schema::OpenBody;
use flamingostand::schema::OwnerEvent;
use flamingostand::schema::OwnerRequest;
use flamingostand::schema::Role;
use flamingostand::schema::StateSettings;
use flamingostand::schema::TurnBody;
use flamingostand::schema::Usage;

#[path = "../tests/support/owner_world/mod.rs"]
mod owner_world;

use owner_world::caller::WORKSPACE;
use owner_world::caller::text_message;
use owner_world::plan::configuration;
use owner_world::platform::FakePlatform;

/// time a platform call takes.
const PLATFORM_MS: u64 = 3;

/// time an engine takes for a turn.
const JOB_MS: u64 = 500;

/// text of each question and answer.
const TEXT_BYTES: usize = 400;

/// one owner, its platform, and what is under way.
struct Bench {
    owner: Owner,
    platform: FakePlatform,
    now_ms: u64,
    replies: VecDeque<(u64, OwnerInput)>,
    jobs: VecDeque<u64>,
    programs: BTreeMap<u64, String>,
    answers: Vec<OwnerEvent>,
}

impl Bench {
    fn new(name: &str, incarnation: &str, platform: FakePlatform) -> Self {
        let settings = OwnerSettings {
            state: StateSettings { writes_per_second: SHARE_WRITES_PER_SECOND, ..StateSettings::default() },
            limits: LimitSettings::default(),
            slot_count: 64,
            me: Incarnation::from(incarnation),
            name: name.to_owned(),
        };
        let owner = Owner::new(settings, Now::default());
        let mut bench = Self {
            owner,
            platform,
            now_ms: 0,
            replies: VecDeque::new(),
            jobs: VecDeque::new(),
            programs: BTreeMap::new(),
            answers: Vec::new(),
        };
        bench.give(OwnerInput::Configuration(Arc::new(configuration(100_000_000))));
        let address = std::net::SocketAddr::from(([127, 0, 0, 1], 7000));
        let me = Member {
            name: name.to_owned(),
            incarnation: Incarnation::from(incarnation),
            health: MemberHealth::Alive,
            leaving: false,
            region: "r".to_owned(),
            zone: "z".to_owned(),
            mesh: address,
            callers: address,
            release_version: 1,
        };
        let view = MemberView { own_incarnation: me.incarnation.clone(), members: vec![me], changed_ms: 0 };
        bench.give(OwnerInput::Members(Arc::new(view)));
        bench
    }

    fn give(&mut self, input: OwnerInput) {
        let now = Now { ms: self.now_ms, unix_ms: 1_700_000_000_000 + self.now_ms };
        for action in self.owner.handle(now, input) {
            match action {
                OwnerAction::Platform { call, request } => {
                    if matches!(request, PlatformRequest::Watch { .. }) {
                        continue;
                    }
                    let result = self.platform.call(&request);
                    self.replies
                        .push_back((self.now_ms + PLATFORM_MS, OwnerInput::Platform { call, result }));
                }
                OwnerAction::Job { job, turn } => {
                    self.jobs.push_back(job);
                    self.programs.insert(job, turn.program);
                }
                OwnerAction::Reply { event, .. } => self.answers.push(event),
                _ => {}
            }
        }
    }

    /// lets one millisecond pass.
    fn pass(&mut self) {
        self.now_ms += 1;
        while self.replies.front().is_some_and(|(at, _)| *at <= self.now_ms) {
            if let Some((_, input)) = self.replies.pop_front() {
                self.give(input);
            }
        }
        if self.now_ms.is_multiple_of(10) {
            self.give(OwnerInput::Tick);
        }
    }

    fn pass_ms(&mut self, ms: u64) {
        for _ in 0..ms {
            self.pass();
        }
    }

    fn open(&mut self, program: &str) {
        let body =
            OpenBody { agent_program: "reader".to_owned(), program: None, budget_tokens: None, parent: None };
        let request = OwnerRequest::Open(ForwardedOpen {
            program: program.to_owned(),
            workspace: WORKSPACE.to_owned(),
            body,
        });
        self.give(OwnerInput::Request { ticket: 0, request });
    }

    fn turn(&mut self, program: &str, extends: &str) {
        let body = TurnBody {
            extends: Some(extends.to_owned()),
            max_tokens: Some(200),
            messages: vec![text_message(Role::User, &"q".repeat(TEXT_BYTES))],
            stream: false,
            temperature: None,
            turn: None,
        };
        let request = OwnerRequest::Turn(ForwardedTurn {
            program: program.to_owned(),
            workspace: WORKSPACE.to_owned(),
            body,
        });
        self.give(OwnerInput::Request { ticket: 0, request });
    }

    fn program_of_job(&mut self, job: u64) -> String {
        self.programs.remove(&job).unwrap_or_default()
    }

    fn finish_jobs(&mut self) {
        while let Some(job) = self.jobs.pop_front() {
            let done = JobDone {
                text: "a".repeat(TEXT_BYTES),
                finish_reason: "stop".to_owned(),
                tool_calls: Vec::new(),
                usage: Usage { prompt_tokens: 100, cached_tokens: 0, completion_tokens: 100 },
            };
            self.give(OwnerInput::Job { job, event: JobEvent::Done(done) });
        }
    }

    /// opens programs and takes `turns` turns with each.
    fn fill(&mut self, programs: usize, turns: usize) {
        self.pass_ms(400);
        let names: Vec<String> = (0..programs).map(|index| format!("program-{index:08}")).collect();
        for name in &names {
            self.open(name);
        }
        self.pass_ms(600);
        let mut digests = vec![Digest::EMPTY.to_string(); programs];
        for _ in 0..turns {
            self.answers.clear();
            for (name, digest) in names.iter().zip(&digests) {
                self.turn(name, digest);
            }
            while self.answers.len() < programs {
                self.pass();
                self.finish_jobs();
            }
            for event in &self.answers {
                let OwnerEvent::Turned(answer) = event else { continue };
                let index: usize = answer.program[8..].parse().expect("the number of the program");
                digests[index].clone_from(&answer.history.digest);
            }
        }
    }
}

/// writes a second of one of nine instances that share the platform.
const SHARE_WRITES_PER_SECOND: u64 = 300 / 9;

fn main() {
    journal_and_replay();
    calls_per_turn();
    memory();
}

fn journal_and_replay() {
    let (programs, turns) = (1000, 4);
    let mut bench = Bench::new("i0", "a", FakePlatform::default());
    bench.fill(programs, turns);
    let bytes = bench.owner.journal_bytes();
    let content = (programs * turns * 2 * TEXT_BYTES) as u64;
    println!(
        "journal: {} bytes per program of {turns} turns, {} of them beside the texts ({} per turn)",
        bytes / programs as u64,
        (bytes - content) / programs as u64,
        (bytes - content) / (programs * turns) as u64
    );
    let mut next = Bench::new("i0", "b", bench.platform);
    let mut busy = std::time::Duration::ZERO;
    while next.owner.program_count() < programs {
        let start = Instant::now();
        next.pass();
        busy += start.elapsed();
    }
    println!(
        "replay: {programs} programs in {:.1} ms of processor time, {} ms of virtual time from start",
        busy.as_secs_f64() * 1000.0,
        next.now_ms
    );
    let before = next.owner.journal_bytes();
    next.pass_ms(1000);
    let copied = next.owner.journal_bytes() - before;
    println!("adoption: {} bytes per program copied", copied / programs as u64);
}

fn calls_per_turn() {
    for per_second in [1, 10, 100] {
        let seconds = 60;
        let mut bench = Bench::new("i0", "a", FakePlatform::default());
        let programs = per_second * 4;
        bench.fill(programs as usize, 0);
        let names: Vec<String> = (0..programs).map(|index| format!("program-{index:08}")).collect();
        let mut digests = vec![Digest::EMPTY.to_string(); programs as usize];
        let before: u64 = bench.platform.calls.values().sum();
        let mut running: VecDeque<(u64, u64)> = VecDeque::new();
        let mut waits = Vec::new();
        let mut ended: BTreeMap<String, u64> = BTreeMap::new();
        let started = bench.now_ms;
        let mut sent = 0;
        while waits.len() < (per_second * seconds) as usize {
            let elapsed = bench.now_ms - started;
            if sent < per_second * seconds && elapsed * per_second >= sent * 1000 {
                let program = (sent % programs) as usize;
                bench.turn(&names[program], &digests[program]);
                sent += 1;
            }
            while let Some(job) = bench.jobs.pop_front() {
                running.push_back((bench.now_ms + JOB_MS, job));
            }
            while running.front().is_some_and(|(at, _)| *at <= bench.now_ms) {
                if let Some((_, job)) = running.pop_front() {
                    bench.jobs.push_back(job);
                    let program = bench.program_of_job(job);
                    bench.finish_jobs();
                    ended.insert(program, bench.now_ms);
                }
            }
            bench.pass();
            for event in std::mem::take(&mut bench.answers) {
                let OwnerEvent::Turned(answer) = event else { continue };
                let index: usize = answer.program[8..].parse().expect("the number of the program");
                digests[index].clone_from(&answer.history.digest);
                waits.push(bench.now_ms - ended[&answer.program]);
            }
        }
        let calls: u64 = bench.platform.calls.values().sum::<u64>() - before;
        waits.sort_unstable();
        println!(
            "calls: {:.2} per turn at {per_second} a second; the commit takes {} ms in the median, {} ms at most",
            calls as f64 / waits.len() as f64,
            waits[waits.len() / 2],
            waits[waits.len() - 1]
        );
    }
    // Many turns at once: the commits gather them.
    let mut bench = Bench::new("i0", "a", FakePlatform::default());
    bench.fill(500, 0);
    let before: u64 = bench.platform.calls.values().sum();
    let started = bench.now_ms;
    bench.fill(500, 4);
    let calls: u64 = bench.platform.calls.values().sum::<u64>() - before;
    println!(
        "calls: {:.3} per turn, 500 programs at once, 2000 turns in {} ms",
        calls as f64 / 2000.0,
        bench.now_ms - started
    );
}

fn memory() {
    let programs = 20_000;
    let mut bench = Bench::new("i0", "a", FakePlatform::default());
    bench.pass_ms(400);
    let before = resident_bytes();
    bench.fill(programs, 1);
    bench.answers.clear();
    let journal = bench.platform.objects.values().map(|(_, value)| value.capacity()).sum::<usize>();
    let used = resident_bytes().saturating_sub(before).saturating_sub(journal as u64);
    let texts = (programs * 2 * TEXT_BYTES) as u64;
    println!(
        "memory: {} bytes per idle program of one turn, {} beside its texts",
        used / programs as u64,
        used.saturating_sub(texts) / programs as u64
    );
}

fn resident_bytes() -> u64 {
    let text = std::fs::read_to_string("/proc/self/statm").unwrap_or_default();
    let pages: u64 = text.split(' ').nth(1).and_then(|pages| pages.parse().ok()).unwrap_or(0);
    pages * 4096
}
