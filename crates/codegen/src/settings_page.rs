use std::path::Path;

use anyhow::Context;
use serde_json::Value;

use crate::SCHEMA_PATH;

/// path of the committed page below the workspace root.
pub const SETTINGS_PAGE_PATH: &str = "docs/operators/settings.md";

const HEAD: &str = "\
<!-- Generated from schemas/wire.json by `cargo run -p flamingo-codegen`; do not edit. -->

# Settings

Each instance reads one JSON file. `flamingostand example-settings` prints a whole example, and
`flamingostand check SETTINGS.json` reports every fault of a file at once, each with its line and its JSON pointer;
unknown keys are faults. A group or key with a default can be left out. Changes need a restart: drain the instance
first (see [drains](drains.md)).

Beyond the ranges below, `check` also reports: addresses that are not IP and port, that share a port, or that others
cannot reach; keys and hashes that are not hexadecimal digits; operators' keys listed twice; 0 where it leaves nothing
to work with; limits that do not fit together, such as a turn that is larger than a journal entry.
";

/// returns the settings reference for the schema found below `root`.
pub fn settings_page(root: &Path) -> anyhow::Result<String> {
    let path = root.join(SCHEMA_PATH);
    let text = std::fs::read_to_string(&path).with_context(|| format!("read {}", path.display()))?;
    let schema: Value = serde_json::from_str(&text).context("parse the schema")?;
    let definitions = &schema["definitions"];
    let mut page = HEAD.to_owned();
    let mut own = String::new();
    for (name, property) in properties(&definitions["Settings"]) {
        match group_of(property) {
            Some(group) => page.push_str(&section(name, property, &definitions[group], definitions)),
            None => own.push_str(&row(name, property, &definitions["Settings"], definitions)),
        }
    }
    if !own.is_empty() {
        page.push_str(&format!("\n## Other keys\n\n{}{own}", table_head()));
    }
    Ok(page)
}

fn properties(definition: &Value) -> impl Iterator<Item = (&String, &Value)> {
    definition["properties"].as_object().into_iter().flatten()
}

/// the definition of a group of settings, or of the elements of a list of groups.
fn group_of(property: &Value) -> Option<&str> {
    let places = ["/$ref", "/allOf/0/$ref", "/items/$ref"];
    let reference = places.iter().find_map(|place| property.pointer(place))?;
    reference.as_str()?.rsplit('/').next()
}

fn section(name: &str, property: &Value, group: &Value, definitions: &Value) -> String {
    let list = property.get("items").is_some();
    let description = text(property, "description").or(text(group, "description")).unwrap_or_default();
    let mut section = format!("\n## `{name}`\n\n{}", sentence(description));
    if list {
        section.push_str(" A list; each element has these keys:");
    }
    section.push_str(&format!("\n\n{}", table_head()));
    for (key, field) in properties(group) {
        section.push_str(&row(key, field, group, definitions));
    }
    section
}

fn table_head() -> &'static str {
    "| key | type | default | meaning |\n|---|---|---|---|\n"
}

fn row(key: &str, field: &Value, group: &Value, definitions: &Value) -> String {
    let target = group_of(field).map(|name| &definitions[name]);
    let shape = target.unwrap_or(field);
    let required =
        group["required"].as_array().is_some_and(|names| names.iter().any(|name| name.as_str() == Some(key)));
    let default = match field.get("default") {
        Some(default) => format!("`{default}`"),
        None if required => "required".to_owned(),
        None => "none".to_owned(),
    };
    let description = text(field, "description").unwrap_or_default();
    format!("| `{key}` | {} | {default} | {} |\n", kind(shape), sentence(description))
}

/// type of a value with its bounds.
fn kind(shape: &Value) -> String {
    if let Some(names) = shape["enum"].as_array() {
        let names: Vec<String> = names.iter().map(|name| format!("`{name}`")).collect();
        return names.join(" or ");
    }
    let kind = text(shape, "type").unwrap_or("value");
    let (low, high) = match kind {
        "string" => ("minLength", "maxLength"),
        _ => ("minimum", "maximum"),
    };
    let unit = if kind == "string" { " characters" } else { "" };
    match (shape[low].as_u64(), shape[high].as_u64()) {
        (Some(low), Some(high)) if low == high => format!("{kind}, {low}{unit}"),
        (Some(low), Some(high)) => format!("{kind}, {low} to {high}{unit}"),
        (None, Some(high)) => format!("{kind}, at most {high}{unit}"),
        (Some(low), None) if low > 0 => format!("{kind}, at least {low}{unit}"),
        (Some(_) | None, None) => kind.to_owned(),
    }
}

fn text<'a>(value: &'a Value, key: &str) -> Option<&'a str> {
    value.get(key).and_then(Value::as_str)
}

/// a description as a sentence.
fn sentence(description: &str) -> String {
    let mut letters = description.chars();
    match letters.next() {
        Some(first) => format!("{}{}.", first.to_uppercase(), letters.as_str()),
        None => String::new(),
    }
}
