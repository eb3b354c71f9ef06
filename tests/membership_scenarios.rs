//! scripted failures of instances and links, in simulated time.
//!
//! Commands: `start`, `crash`, `restart`, `freeze`, `cut`, `heal`, `loss`, `leave`, `left`, `release`, `run`,
//! `until` (converged, or what the observers see of a subject), `views`, `deaths` and `forget-deaths`.

#![allow(clippy::unwrap_used, reason = "a test fails where it unwraps")]

mod membership_network;

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::fmt::Write;

use datadriven::TestCase;
use datadriven::walk;
use flamingostand::membership::MembershipInput;
use membership_network::Network;
use membership_network::name;

/// state of `subject` in the view of `observer`, as one word.
fn observed_state(network: &Network, observer: usize, subject: usize) -> String {
    let subject = name(subject);
    match network.nodes[&observer].view.members.iter().find(|member| member.name == subject) {
        None => "unknown".into(),
        Some(member) if member.leaving && !member.is_gone() => "leaving".into(),
        Some(member) => member.health.to_string(),
    }
}

fn number_list(case: &TestCase, key: &str) -> Vec<usize> {
    let values = case.args.get(key).into_iter().flatten();
    values.map(|value| value.parse().unwrap()).collect()
}

fn number(case: &TestCase, key: &str) -> u64 {
    case.args[key][0].parse().unwrap()
}

fn views(network: &Network, subject: usize) -> String {
    let mut observers: BTreeMap<String, Vec<String>> = BTreeMap::new();
    for observer in network.nodes.keys().filter(|observer| **observer != subject) {
        observers.entry(observed_state(network, *observer, subject)).or_default().push(observer.to_string());
    }
    let lines = observers.iter().map(|(health, observers)| format!("{health}: {}\n", observers.join(" ")));
    lines.collect()
}

fn until(network: &mut Network, case: &TestCase) -> String {
    let limit_ms = number(case, "within_ms");
    let done = if case.args.contains_key("converged") {
        network.run_until(limit_ms, Network::converged)
    } else {
        let subject = number(case, "subject") as usize;
        let expected = case.args["is"][0].clone();
        network.run_until(limit_ms, |now| {
            now.nodes
                .keys()
                .all(|observer| *observer == subject || observed_state(now, *observer, subject) == expected)
        })
    };
    if done.is_some() { "yes\n".into() } else { "no\n".into() }
}

fn step(network: &mut Network, case: &TestCase) -> String {
    let on = number_list(case, "on");
    match case.directive.as_str() {
        "start" => *network = Network::start(number(case, "count") as usize, number(case, "seed")),
        "crash" => on.iter().for_each(|index| network.crash(*index)),
        "restart" => {
            for index in on {
                let all: Vec<usize> = (0..=*network.nodes.keys().max().unwrap().max(&index)).collect();
                network.add(index);
                network.send_list(index, all.into_iter());
            }
        }
        "freeze" => on.iter().for_each(|index| network.freeze(*index, number(case, "for_ms"))),
        "cut" => {
            for from in number_list(case, "from") {
                network.blocked_links.extend(number_list(case, "to").into_iter().map(|to| (from, to)));
            }
        }
        "heal" => network.blocked_links.clear(),
        "loss" => network.loss_percent = number(case, "percent") as u32,
        "leave" => on.iter().for_each(|index| network.input(*index, MembershipInput::Leave)),
        "left" => {
            for index in on {
                network.input(index, MembershipInput::Left);
                network.crash(index);
            }
        }
        "release" => {
            let version = number(case, "version");
            on.iter().for_each(|index| network.input(*index, MembershipInput::ReleaseInForce(version)));
        }
        "forget-deaths" => network.deaths.clear(),
        "run" => network.run(number(case, "for_ms")),
        "until" => return until(network, case),
        "views" => return views(network, number(case, "of") as usize),
        "deaths" => {
            let subjects: BTreeSet<String> = network.deaths.drain(..).map(|(_, _, name)| name).collect();
            let mut out = String::new();
            for subject in subjects {
                writeln!(out, "{subject}").unwrap();
            }
            return if out.is_empty() { "none\n".into() } else { out };
        }
        other => panic!("unknown command {other} in a scenario"),
    }
    String::new()
}

#[test]
fn scripted_failures() {
    walk("tests/scenarios/membership", |file| {
        let mut network = Network::empty(0);
        file.run(|case| step(&mut network, case));
    });
}
