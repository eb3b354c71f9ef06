//! writes the generated files, or checks with `--check` that they are current.

use std::path::Path;

use anyhow::Context;
use anyhow::bail;

fn main() -> anyhow::Result<()> {
    let root = Path::new(env!("CARGO_MANIFEST_DIR")).join("../..");
    let check = std::env::args().any(|arg| arg == "--check");
    let mut outdated = Vec::new();
    for file in flamingo_codegen::generate_all(&root)? {
        let path = root.join(file.path);
        if !check {
            std::fs::write(&path, file.text).with_context(|| format!("write {}", path.display()))?;
            continue;
        }
        let committed = std::fs::read_to_string(&path).with_context(|| format!("read {}", path.display()))?;
        if committed != file.text {
            outdated.push(file.path);
        }
    }
    if !outdated.is_empty() {
        bail!("out of date: {}; run `cargo run -p flamingo-codegen`", outdated.join(", "));
    }
    Ok(())
}
