//! scripted scenarios over real processes: instances, platform, engines and services.

mod processes;

use processes::script::Script;
use test_case::test_case;

#[test_case("thin_path")]
fn scenario(name: &str) {
    let path = format!("tests/scenarios/process/{name}");
    datadriven::walk(&path, |file| {
        let mut script = Script::new(name);
        file.run(|case| script.run(case));
    });
}
