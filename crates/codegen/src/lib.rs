//! generates the wire and settings types, and the settings reference, from the JSON Schema.

mod settings_page;

use std::path::Path;

use anyhow::Context;
use schemars::schema::RootSchema;
use serde_json::Map;
use serde_json::Value;
use typify::TypeSpace;
use typify::TypeSpaceSettings;

pub use settings_page::SETTINGS_PAGE_PATH;
pub use settings_page::settings_page;

/// constraints that the schema check enforces on input, and that the generated types leave out.
const CONSTRAINTS: [&str; 7] =
    ["pattern", "minLength", "maxLength", "minItems", "maxItems", "maximum", "additionalProperties"];

/// path of the schema below the workspace root.
pub const SCHEMA_PATH: &str = "schemas/wire.json";

/// path of the committed generated code below the workspace root.
pub const GENERATED_PATH: &str = "src/schema/generated.rs";

/// returns the generated source for the schema found below `root`.
pub fn generate(root: &Path) -> anyhow::Result<String> {
    let path = root.join(SCHEMA_PATH);
    let text = std::fs::read_to_string(&path).with_context(|| format!("read {}", path.display()))?;
    let mut value: Value = serde_json::from_str(&text).context("parse the schema")?;
    strip_constraints(&mut value);
    let definitions = value["definitions"].clone();
    fill_defaults(&mut value, &definitions);
    let schema: RootSchema = serde_json::from_value(value).context("read the schema")?;
    let mut settings = TypeSpaceSettings::default();
    settings.with_derive("PartialEq".to_owned());
    settings.with_replacement("Octets", "crate::schema::Octets", std::iter::empty());
    let mut space = TypeSpace::new(&settings);
    space.add_root_schema(schema).context("convert the schema")?;
    let file = syn::parse2::<syn::File>(space.to_stream()).context("parse the generated tokens")?;
    let header = "// Generated from schemas/wire.json by `cargo run -p flamingo-codegen`; do not edit.\n\n";
    Ok(format!("{header}{}", prettyplease::unparse(&file)))
}

/// removes what would turn plain strings and numbers into wrapper types.
///
/// Unknown fields pass too: a newer instance may send fields that an older one does not know.
fn strip_constraints(value: &mut Value) {
    match value {
        Value::Object(map) => {
            map.retain(|key, _| !CONSTRAINTS.contains(&key.as_str()));
            if map.get("type").is_some_and(|kind| kind == "integer") {
                map.insert("minimum".to_owned(), Value::from(0));
            }
            for child in map.values_mut() {
                strip_constraints(child);
            }
        }
        Value::Array(items) => {
            for item in items {
                strip_constraints(item);
            }
        }
        _ => {}
    }
}

/// writes out the defaults of groups whose default is an empty object.
///
/// typify takes an empty default as zero for each field, not as the defaults of the fields.
fn fill_defaults(value: &mut Value, definitions: &Value) {
    match value {
        Value::Object(map) => {
            if map.get("default").is_some_and(|default| default == &Value::Object(Map::new())) {
                let name = map["allOf"][0]["$ref"].as_str().and_then(|path| path.rsplit('/').next());
                let filled = name.map(|name| field_defaults(&definitions[name]));
                map.insert("default".to_owned(), Value::Object(filled.unwrap_or_default()));
            }
            for child in map.values_mut() {
                fill_defaults(child, definitions);
            }
        }
        Value::Array(items) => {
            for item in items {
                fill_defaults(item, definitions);
            }
        }
        _ => {}
    }
}

/// the defaults of all fields of a group.
fn field_defaults(group: &Value) -> Map<String, Value> {
    let mut defaults = Map::new();
    for (field, shape) in group["properties"].as_object().into_iter().flatten() {
        if let Some(default) = shape.get("default") {
            defaults.insert(field.clone(), default.clone());
        }
    }
    defaults
}

/// a generated file: its path below the workspace root, and its text.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct GeneratedFile {
    /// path below the workspace root.
    pub path: &'static str,
    /// what it must hold.
    pub text: String,
}

/// returns everything that is generated from the schema found below `root`.
pub fn generate_all(root: &Path) -> anyhow::Result<Vec<GeneratedFile>> {
    Ok(vec![
        GeneratedFile { path: GENERATED_PATH, text: generate(root)? },
        GeneratedFile { path: SETTINGS_PAGE_PATH, text: settings_page(root)? },
    ])
}
