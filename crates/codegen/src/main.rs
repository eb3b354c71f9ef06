//! writes the generated types, or checks with `--check` that they are current.

use std::path::Path;

use anyhow::Context;
use anyhow::bail;

fn main() -> anyhow::Result<()> {
    let root = Path::new(env!("CARGO_MANIFEST_DIR")).join("../..");
    let generated = flamingo_codegen::generate(&root)?;
    let path = root.join(flamingo_codegen::GENERATED_PATH);
    if std::env::args().any(|arg| arg == "--check") {
        let committed = std::fs::read_to_string(&path).context("read the committed code")?;
        if committed != generated {
            bail!("{} is out of date; run `cargo run -p flamingo-codegen`", flamingo_codegen::GENERATED_PATH);
        }
        return Ok(());
    }
    std::fs::write(&path, generated).context("write the generated code")
}
