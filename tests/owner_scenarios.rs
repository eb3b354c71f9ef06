//! scripted cases of owners: takeover, handover, paused owners, budgets, calls, platform outages.

#[path = "support/owner_world/mod.rs"]
mod owner_world;

use owner_world::script::OwnerScript;

#[test]
fn owner_scenarios() {
    datadriven::walk("tests/scenarios/owner", |file| {
        let mut script = OwnerScript::new();
        file.run(|case| script.run(case));
    });
}
