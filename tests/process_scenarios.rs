//! scripted scenarios over real processes: instances, platform, engines and services.

mod processes;

use processes::script::Script;
use test_case::test_case;

#[test_case("thin_path")]
#[test_case("kill_owner")]
#[test_case("freeze_owner")]
#[test_case("call_kill")]
#[test_case("platform_outage")]
#[test_case("lost_replies")]
#[test_case("service_faults")]
#[test_case("rolling_restart")]
#[test_case("cache_sweep")]
#[test_case("engine_faults")]
#[test_case("poison")]
#[test_case("hang_up")]
#[test_case("outage_kill")]
#[test_case("freeze_kill")]
#[test_case("release_faults")]
fn scenario(name: &str) {
    let path = format!("tests/scenarios/process/{name}");
    datadriven::walk(&path, |file| {
        let mut script = Script::new(name);
        file.run(|case| script.run(case));
    });
}
