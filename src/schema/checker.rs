use std::collections::HashMap;
use std::sync::LazyLock;

use anyhow::Context;
use jsonschema::Validator;
use serde::de::DeserializeOwned;
use serde_json::Value;

use crate::finding::Finding;
use crate::finding::Findings;
use crate::schema::line_of_pointer;

const SCHEMA_TEXT: &str = include_str!("../../schemas/wire.json");

/// definitions that arrive from outside and are checked before they are read.
const CHECKED: [&str; 8] =
    ["Settings", "ReleaseNote", "OpenBody", "TurnBody", "CallBody", "EndBody", "DrainBody", "PoisonLiftBody"];

static VALIDATORS: LazyLock<HashMap<&'static str, Validator>> =
    LazyLock::new(|| build_validators().expect("schemas/wire.json is a valid schema"));

/// reads `text` as the definition `name`; all findings come with pointer and line.
pub fn check_text<T: DeserializeOwned>(name: &str, text: &str) -> Result<T, Findings> {
    let value: Value = match serde_json::from_str(text) {
        Ok(value) => value,
        Err(error) => {
            let mut finding = Finding::new("", error.to_string());
            finding.line = Some(error.line());
            return Err(Findings::one(finding));
        }
    };
    check_value(name, &value).map_err(|mut findings| {
        for finding in &mut findings.list {
            finding.line = line_of_pointer(text, &finding.place);
        }
        findings
    })
}

/// reads `value` as the definition `name`; all findings come with their JSON pointer.
pub fn check_value<T: DeserializeOwned>(name: &str, value: &Value) -> Result<T, Findings> {
    let mut findings = Findings::default();
    let validator = VALIDATORS.get(name).expect("the definition is listed in CHECKED");
    for error in validator.iter_errors(value) {
        findings.push(Finding::new(error.instance_path().to_string(), error.to_string()));
    }
    if !findings.list.is_empty() {
        return Err(findings);
    }
    serde_json::from_value(value.clone()).map_err(|error| Findings::one(Finding::new("", error.to_string())))
}

fn build_validators() -> anyhow::Result<HashMap<&'static str, Validator>> {
    let schema: Value = serde_json::from_str(SCHEMA_TEXT).context("parse the schema")?;
    let mut validators = HashMap::new();
    for name in CHECKED {
        let root = serde_json::json!({
            "$schema": schema["$schema"],
            "definitions": schema["definitions"],
            "$ref": format!("#/definitions/{name}"),
        });
        validators.insert(name, jsonschema::validator_for(&root)?);
    }
    Ok(validators)
}
