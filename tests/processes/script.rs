use std::collections::BTreeMap;
use std::thread::JoinHandle;
use std::time::Duration;

use datadriven::TestCase;
use serde_json::Value;
use serde_json::json;

use super::caller::Answer;
use super::caller::Caller;
use super::cluster::Cluster;
use super::cluster::Process;
use super::wait::until;
use super::wait::until_served;

/// tries of 50 ms for a wish that the scenario waits for.
const WISH_TRIES: u32 = 600;

/// key of the caller; `KEY` in a release note stands for its hash.
const CALLER_KEY: &str = "desk-key";

/// what most scenarios need; `cluster ... ready` accepts it.
const STANDARD_NOTE: &str = r#"{
  "against_version": 0,
  "added": [
    {"workspace": {"id": "desk", "key_hashes": ["KEY"]}},
    {"model": {"id": "reader"}},
    {"service": {"id": "desk"}},
    {"service": {"id": "ledger", "finds_by_key": true}},
    {"agent_program": {"id": "assess", "workspace": "desk", "model": "reader", "budget_tokens": 100000}}
  ]
}"#;

/// runs the commands of one scenario file against real processes.
pub struct Script {
    name: String,
    cluster: Option<Cluster>,
    caller: Caller,
    /// identifier and history digest of each program, by its name in the script.
    programs: BTreeMap<String, (String, Option<String>)>,
    background: BTreeMap<String, JoinHandle<Answer>>,
    /// body of the last turn of each program, for `again`.
    last_turns: BTreeMap<String, Value>,
    /// instances that the script remembers under a name of its own.
    remembered: BTreeMap<String, String>,
}

impl Script {
    /// a script without processes; `name` keeps its files apart from others'.
    pub fn new(name: &str) -> Self {
        let caller = Caller::new(CALLER_KEY);
        Self {
            name: name.to_owned(),
            cluster: None,
            caller,
            programs: BTreeMap::new(),
            background: BTreeMap::new(),
            last_turns: BTreeMap::new(),
            remembered: BTreeMap::new(),
        }
    }

    /// runs one command and returns what it saw.
    pub fn run(&mut self, case: &TestCase) -> String {
        let seen = match case.directive.as_str() {
            "cluster" => self.start(case),
            "release" => self.release(case),
            "open" => self.open(case),
            "turn" => self.turn(case),
            "call" => self.call(case),
            "end" => self.end(case),
            "state" => self.state(case),
            "join" => self.join(case),
            "runs" => self.runs(case),
            "explain" => {
                self.explain();
                "ok".to_owned()
            }
            "leaving" => self.leaving(case),
            "hang-up" => self.hang_up(case),
            "wait-idle" => self.wait_idle(),
            "held-back" => self.held_back(),
            "holds" => self.holds(),
            "wait-holds" => self.wait_holds(case),
            "plant" => self.plant(case),
            "in-force" => self.in_force(case),
            "members" => self.members(case),
            "kill" => self.with_process(case, Process::kill),
            "freeze" => self.with_process(case, Process::freeze),
            "thaw" => self.with_process(case, Process::thaw),
            "terminate" => self.with_process(case, |process| process.signal("TERM")),
            "wait-end" => self.with_process(case, |process| assert_eq!(process.wait_end(), 0)),
            "start" => self.start_one(case),
            "fault" => self.fault(case),
            "pause" => pause(case),
            other => panic!("unknown command {other}"),
        };
        format!("{seen}\n")
    }

    fn cluster(&mut self) -> &mut Cluster {
        self.cluster.as_mut().expect("the script starts with `cluster`")
    }

    fn start(&mut self, case: &TestCase) -> String {
        let settings: Value = if case.input.trim().is_empty() {
            json!({})
        } else {
            serde_json::from_str(&case.input).expect("settings are JSON")
        };
        let count = |name: &str| word(case, name).map_or(0, |text| text.parse().expect("a number"));
        self.cluster =
            Some(Cluster::start(&self.name, count("entries"), count("engines"), count("services"), settings));
        if has(case, "ready") {
            let seen = self.accept(STANDARD_NOTE, "entry-1");
            assert_eq!(seen, "version 1", "the standard note is accepted");
            return self.wait_in_force(1);
        }
        "ok".to_owned()
    }

    fn release(&mut self, case: &TestCase) -> String {
        let via = word(case, "via").unwrap_or_else(|| "entry-1".to_owned());
        self.accept(&case.input, &via)
    }

    fn accept(&mut self, text: &str, via: &str) -> String {
        let key_hash = blake3::hash(CALLER_KEY.as_bytes()).to_hex();
        let text = text.replace("KEY", key_hash.as_str());
        let note: Value = serde_json::from_str(&text).expect("a note is JSON");
        let cluster = self.cluster();
        let operators = cluster.entries[via].operators;
        let answer = cluster.operator.post(operators, "/admin/v1/release", &note);
        if answer.status == 200 {
            let repeated = if answer.body["repeated"] == true { ", accepted before" } else { "" };
            return format!("version {}{repeated}", answer.body["version"]);
        }
        let mut seen = format!("{} {}", answer.status, answer.code());
        for finding in answer.body["findings"].as_array().into_iter().flatten() {
            seen.push_str(&format!("\n{}", finding["place"].as_str().unwrap_or_default()));
        }
        seen
    }

    fn open(&mut self, case: &TestCase) -> String {
        let name = word(case, "as").expect("as=NAME");
        let mut body = json!({ "agent_program": word(case, "program").expect("program=NAME") });
        // A fixed identifier fixes the slot, and with it which instance owns the program.
        body["program"] = json!(word(case, "id").unwrap_or_else(|| name.clone()));
        if let Some(parent) = word(case, "parent") {
            body["parent"] = json!(self.programs[&parent].0);
        }
        if let Some(budget) = word(case, "budget") {
            body["budget_tokens"] = json!(budget.parse::<u64>().expect("a number"));
        }
        let peer = self.door(case, None);
        let answer = self.caller.post(peer, "/v1/programs", &body);
        if answer.status != 200 {
            return refusal(&answer);
        }
        let program = answer.body["program"].as_str().expect("an identifier").to_owned();
        let digest = answer.body["history"]["digest"].as_str().map(str::to_owned);
        self.programs.insert(name, (program, digest));
        format!("opened, turn {}", answer.body["history"]["turn"])
    }

    fn turn(&mut self, case: &TestCase) -> String {
        let name = word(case, "as").expect("as=NAME");
        let (program, digest) = self.programs[&name].clone();
        let mut body = json!({
            "messages": [{ "role": "user", "content": case.input.trim_end() }],
            "max_tokens": word(case, "max-tokens").map_or(16, |text| text.parse::<u64>().expect("a number")),
        });
        if let Some(digest) = digest {
            body["extends"] = json!(digest);
        }
        if let Some(turn) = word(case, "n") {
            body["turn"] = json!(turn.parse::<u32>().expect("a number"));
        }
        if has(case, "again") {
            body = self.last_turns[&name].clone();
        }
        self.last_turns.insert(name.clone(), body.clone());
        let peer = self.door(case, Some(&program));
        let path = format!("/v1/programs/{program}/turns");
        if let Some(handle) = word(case, "background") {
            let caller = self.caller.clone();
            self.background.insert(handle, std::thread::spawn(move || caller.post(peer, &path, &body)));
            return "started".to_owned();
        }
        let again = has(case, "until-served");
        let caller = self.caller.clone();
        let answer = self.ask_until(again, || caller.post(peer, &path, &body));
        self.note_turn(&name, &answer)
    }

    fn note_turn(&mut self, name: &str, answer: &Answer) -> String {
        if answer.status != 200 {
            return refusal(answer);
        }
        if let Some(entry) = self.programs.get_mut(name) {
            entry.1 = answer.body["history"]["digest"].as_str().map(str::to_owned);
        }
        let replayed = if answer.body["replayed"] == true { ", replayed" } else { "" };
        let whole = answer.body["message"]["content"].as_str().is_some_and(|text| !text.is_empty());
        let whole = if whole { "whole" } else { "empty" };
        format!("turn {}, {whole}{replayed}", answer.body["turn"])
    }

    fn call(&mut self, case: &TestCase) -> String {
        let name = word(case, "as").expect("as=NAME");
        let program = self.programs[&name].0.clone();
        let body = json!({
            "call": word(case, "id").expect("id=NAME"),
            "service": word(case, "service").unwrap_or_else(|| "desk".to_owned()),
            "path": word(case, "path").unwrap_or_else(|| "/letters".to_owned()),
            "idempotent": has(case, "idempotent"),
            "wait": !has(case, "nowait"),
            "body": { "text": case.input.trim_end() },
        });
        let peer = self.door(case, Some(&program));
        let path = format!("/v1/programs/{program}/calls");
        if let Some(handle) = word(case, "background") {
            let caller = self.caller.clone();
            self.background.insert(handle, std::thread::spawn(move || caller.post(peer, &path, &body)));
            return "started".to_owned();
        }
        let caller = self.caller.clone();
        let answer = self.ask_until(has(case, "until-served"), || caller.post(peer, &path, &body));
        if answer.status == 0 {
            self.explain();
        }
        call_seen(&answer)
    }

    fn end(&mut self, case: &TestCase) -> String {
        let program = self.programs[&word(case, "as").expect("as=NAME")].0.clone();
        let peer = self.door(case, Some(&program));
        let answer =
            self.caller.post(peer, &format!("/v1/programs/{program}/end"), &json!({ "reason": "finished" }));
        if answer.status == 200 {
            answer.body["phase"].as_str().unwrap_or("?").to_owned()
        } else {
            refusal(&answer)
        }
    }

    fn state(&mut self, case: &TestCase) -> String {
        let program = self.programs[&word(case, "as").expect("as=NAME")].0.clone();
        let peer = self.door(case, Some(&program));
        let answer = self.caller.get(peer, &format!("/v1/programs/{program}"));
        if answer.status != 200 {
            return refusal(&answer);
        }
        let body = &answer.body;
        let inside = body["spent_tokens"].as_u64() <= body["budget_tokens"].as_u64();
        let budget = if inside { "inside its budget" } else { "beyond its budget" };
        format!("{}, turn {}, {budget}", body["phase"].as_str().unwrap_or("?"), body["history"]["turn"])
    }

    fn join(&mut self, case: &TestCase) -> String {
        let handle = self.background.remove(&word(case, "id").expect("id=NAME")).expect("started before");
        let answer = handle.join().expect("the caller's thread ends");
        match word(case, "as") {
            Some(name) => self.note_turn(&name, &answer),
            None => call_seen(&answer),
        }
    }

    /// counts the runs of a key over all replicas of the services.
    fn runs(&mut self, case: &TestCase) -> String {
        let program = self.programs[&word(case, "as").expect("as=NAME")].0.clone();
        let key = format!("{program}:{}", word(case, "id").expect("id=NAME"));
        let cluster = self.cluster();
        let mut total = 0;
        for process in cluster.services.values() {
            let answer = cluster.operator.get(process.address, "/control/runs");
            for (seen, count) in answer.body.as_object().into_iter().flatten() {
                // An attempt after a recorded `not_run` has a key of its own.
                if seen.split('#').next() == Some(&key) {
                    total += count.as_u64().unwrap_or(0);
                }
            }
        }
        format!("{total}")
    }

    fn leaving(&mut self, case: &TestCase) -> String {
        let name = word(case, "name").expect("name=NAME");
        self.cluster().mark_leaving(&name);
        "ok".to_owned()
    }

    /// sends a turn and closes the connection without reading the answer.
    fn hang_up(&mut self, case: &TestCase) -> String {
        let program = self.programs[&word(case, "as").expect("as=NAME")].0.clone();
        let peer = self.door(case, Some(&program));
        let body =
            json!({ "messages": [{ "role": "user", "content": case.input.trim_end() }], "max_tokens": 4000 });
        self.caller.hang_up(peer, &format!("/v1/programs/{program}/turns"), &body);
        "hung up".to_owned()
    }

    /// waits until no engine runs anything.
    fn wait_idle(&mut self) -> String {
        let cluster = self.cluster();
        let caller = cluster.operator.clone();
        let engines: Vec<_> = cluster.engines.values().map(|process| process.address).collect();
        until("the engines are idle", WISH_TRIES, || {
            let busy = |peer| caller.get(peer, "/v1/load").body["running"].as_u64() != Some(0);
            (!engines.iter().copied().any(busy)).then(|| "idle".to_owned())
        })
    }

    /// counts the contents that are held back, on the instance that knows the fewest.
    fn held_back(&mut self) -> String {
        let cluster = self.cluster();
        let caller = cluster.operator.clone();
        let doors: Vec<_> = cluster.awake().map(|(_, process)| process.operators).collect();
        until("every instance holds a content back", WISH_TRIES, || {
            let counts = doors.iter().map(|peer| {
                let answer = caller.get(*peer, "/admin/v1/poison");
                let held = |row: &&Value| row["deaths"].as_u64() >= Some(2) && row["lifted"] == false;
                answer.body.as_array().map_or(0, |rows| rows.iter().filter(held).count())
            });
            counts.min().filter(|count| *count > 0).map(|count| format!("{count} on every instance"))
        })
    }

    /// counts the programs that engines hold cache for.
    fn holds(&mut self) -> String {
        let cluster = self.cluster();
        let mut programs = std::collections::BTreeSet::new();
        for process in cluster.engines.values() {
            let answer = cluster.operator.get(process.address, "/v1/cache/holds");
            for hold in answer.body.as_array().into_iter().flatten() {
                programs.insert(hold["program"].as_str().unwrap_or_default().to_owned());
            }
        }
        format!("{}", programs.len())
    }

    fn wait_holds(&mut self, case: &TestCase) -> String {
        let count = word(case, "count").expect("count=N");
        until("the engines hold as many programs", WISH_TRIES, || {
            (self.holds() == count).then(|| count.clone())
        })
    }

    /// lets an engine run a turn that no instance knows of.
    fn plant(&mut self, case: &TestCase) -> String {
        let program = word(case, "program").expect("program=NAME");
        let messages = [json!({ "role": "user", "content": "a turn of an instance that is gone" })];
        let body = json!({ "model": "reader", "messages": messages, "max_tokens": 4, "stream": true });
        let cluster = self.cluster();
        let engine = cluster.engines.values().next().expect("an engine").address;
        let answer = cluster.operator.post_for(engine, "/v1/chat/completions", &body, &program);
        assert_eq!(answer.status, 200, "the engine runs the turn");
        "ok".to_owned()
    }

    fn in_force(&mut self, case: &TestCase) -> String {
        self.wait_in_force(word(case, "version").expect("version=N").parse().expect("a number"))
    }

    fn wait_in_force(&mut self, version: u64) -> String {
        let cluster = self.cluster();
        let process = cluster.entries.values().next().expect("an instance");
        let caller = cluster.operator.clone();
        let operators = process.operators;
        until("the release is in force everywhere", WISH_TRIES, || {
            let answer = caller.get(operators, "/admin/v1/release/status");
            let rows = answer.body["instances"].as_array()?;
            let there = rows.iter().filter(|row| row["version"].as_u64() >= Some(version)).count();
            (there == rows.len()).then(|| format!("{there} of {}", rows.len()))
        })
    }

    fn members(&mut self, case: &TestCase) -> String {
        let count: usize = word(case, "count").expect("count=N").parse().expect("a number");
        self.cluster().wait_members(count);
        format!("{count} members")
    }

    fn start_one(&mut self, case: &TestCase) -> String {
        let name = word(case, "name").expect("name=NAME");
        let cluster = self.cluster();
        if name.starts_with("entry") {
            cluster.start_entry(&name);
        } else if name.starts_with("engine") {
            cluster.start_engine(&name, "reader", &[]);
        } else {
            cluster.start_service(&name, "desk", &[]);
        }
        cluster.publish_list();
        "ok".to_owned()
    }

    fn fault(&mut self, case: &TestCase) -> String {
        let fault: Value = serde_json::from_str(&case.input).expect("a fault is JSON");
        let at = word(case, "at").unwrap_or_else(|| "platform".to_owned());
        let cluster = self.cluster();
        let address = match at.as_str() {
            "platform" => cluster.platform.address,
            name if name.starts_with("engine") => cluster.engines[name].address,
            name => cluster.services[name].address,
        };
        let answer = cluster.operator.put(address, "/control/faults", &fault);
        assert_eq!(answer.status, 200, "{at} takes the fault: {answer:?}");
        "ok".to_owned()
    }

    fn with_process(&mut self, case: &TestCase, act: impl FnOnce(&mut Process)) -> String {
        let owner = word(case, "owner-of").map(|name| self.programs[&name].0.clone());
        let remembered = self.remembered.clone();
        let cluster = self.cluster();
        let name = match owner {
            Some(program) => cluster.owner_of(&program),
            None => word(case, "name").expect("name=NAME or owner-of=NAME"),
        };
        let name = remembered.get(&name).cloned().unwrap_or(name);
        let process = match name.as_str() {
            "platform" => &mut cluster.platform,
            name if name.starts_with("entry") => cluster.entries.get_mut(name).expect("an instance"),
            name if name.starts_with("engine") => cluster.engines.get_mut(name).expect("an engine"),
            name => cluster.services.get_mut(name).expect("a service"),
        };
        act(process);
        if case.directive == "kill" || case.directive == "wait-end" {
            cluster.entries.remove(&name);
        }
        if let Some(own_name) = word(case, "remember") {
            self.remembered.insert(own_name, name);
        }
        "ok".to_owned()
    }

    /// the door that a command names: an instance, `owner`, `other` than the owner, or the first.
    fn door(&mut self, case: &TestCase, program: Option<&str>) -> std::net::SocketAddr {
        let via = word(case, "via").unwrap_or_default();
        let via = self.remembered.get(&via).cloned().unwrap_or(via);
        let cluster = self.cluster();
        let name = match (via.as_str(), program) {
            ("owner", Some(program)) => cluster.owner_of(program),
            ("other", Some(program)) => {
                let owner = cluster.owner_of(program);
                cluster.awake().find(|(name, _)| **name != owner).expect("another instance").0.clone()
            }
            ("", _) => cluster.awake().next().expect("an instance").0.clone(),
            (name, _) => name.to_owned(),
        };
        cluster.entries[&name].address
    }

    /// prints what the instances know, for the log of a failed test.
    fn explain(&mut self) {
        let cluster = self.cluster();
        for (name, process) in cluster.awake() {
            let answer = cluster.operator.get(process.operators, "/admin/v1/timeline?limit=60");
            for event in
                answer.body.as_array().into_iter().flatten().filter(|event| event["instance"] == **name)
            {
                println!("{event}");
            }
            println!("{name} {}", cluster.operator.get(process.address, "/health").body);
            for line in cluster.operator.text(process.operators, "/metrics").lines() {
                if line.starts_with("owner_") || line.starts_with("platform_") || line.starts_with("entry_") {
                    println!("{name} {line}");
                }
            }
        }
    }

    fn ask_until(&mut self, again: bool, ask: impl Fn() -> Answer) -> Answer {
        if !again {
            return ask();
        }
        if let Some(answer) = until_served(WISH_TRIES, ask) {
            return answer;
        }
        self.explain();
        panic!("gave up waiting: the request is served");
    }
}

fn call_seen(answer: &Answer) -> String {
    if answer.status != 200 {
        return refusal(answer);
    }
    let replayed = if answer.body["replayed"] == true { ", replayed" } else { "" };
    format!("{}{replayed}", answer.body["state"].as_str().unwrap_or("?"))
}

fn refusal(answer: &Answer) -> String {
    let ran = answer.body["ran"].as_str().unwrap_or("no answer");
    let when = if answer.body["retry_after_ms"].is_u64() { ", says when to come back" } else { "" };
    format!("{} {}, {ran}{when}", answer.status, answer.code())
}

fn pause(case: &TestCase) -> String {
    let pause_ms = word(case, "ms").expect("ms=N").parse().expect("a number");
    std::thread::sleep(Duration::from_millis(pause_ms));
    "ok".to_owned()
}

fn word(case: &TestCase, name: &str) -> Option<String> {
    case.args.get(name).and_then(|values| values.first()).cloned()
}

fn has(case: &TestCase, name: &str) -> bool {
    case.args.contains_key(name)
}
