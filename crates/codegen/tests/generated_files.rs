//! what is committed is what the schema generates.

use std::path::Path;

#[test]
fn committed_files() {
    let root = Path::new(env!("CARGO_MANIFEST_DIR")).join("../..");
    for file in flamingo_codegen::generate_all(&root).expect("the schema generates") {
        let committed = std::fs::read_to_string(root.join(file.path)).expect("the file is committed");
        assert!(committed == file.text, "{} is out of date; run `cargo run -p flamingo-codegen`", file.path);
    }
}
