use std::collections::HashMap;
use std::sync::LazyLock;

use anyhow::Context;
use jsonschema::ValidationError;
use jsonschema::Validator;
use jsonschema::error::ValidationErrorKind;
use serde::de::DeserializeOwned;
use serde_json::Value;

use crate::finding::Finding;
use crate::finding::Findings;
use crate::schema::line_of_pointer;

const SCHEMA_TEXT: &str = include_str!("../../schemas/wire.json");

/// definitions that arrive from outside and are checked before they are read.
const CHECKED: [&str; 9] = [
    "Settings",
    "NodeSettings",
    "ReleaseNote",
    "OpenBody",
    "TurnBody",
    "CallBody",
    "EndBody",
    "DrainBody",
    "PoisonLiftBody",
];

/// longest sentence of a finding.
const MAX_DETAIL_CHARS: usize = 300;

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
        report(&error, &mut findings);
    }
    if !findings.list.is_empty() {
        return Err(findings);
    }
    serde_json::from_value(value.clone()).map_err(|error| Findings::one(Finding::new("", error.to_string())))
}

/// adds what an error says to the findings: each unknown key at its own place, and of a choice between
/// variants only what is wrong with the variant that was meant.
fn report(error: &ValidationError<'_>, findings: &mut Findings) {
    let place = error.instance_path().to_string();
    match error.kind() {
        ValidationErrorKind::AdditionalProperties { unexpected } => {
            for key in unexpected {
                let key = key.replace('~', "~0").replace('/', "~1");
                findings.push(Finding::new(format!("{place}/{key}"), "this key is not known here"));
            }
        }
        ValidationErrorKind::OneOfNotValid { context } => report_variant(&place, context, findings),
        _ => findings.push(Finding::new(place, shortened(&error.to_string()))),
    }
}

fn report_variant(place: &str, variants: &[Vec<ValidationError<'static>>], findings: &mut Findings) {
    let mut names = Vec::new();
    for errors in variants {
        match errors.iter().find_map(|error| missing_key(place, error)) {
            Some(name) => names.push(name),
            None => {
                for error in errors {
                    report(error, findings);
                }
                return;
            }
        }
    }
    let detail = format!("exactly one of these keys is expected here: {}", names.join(", "));
    findings.push(Finding::new(place, detail));
}

/// the key that a variant requires at `place` and that is not there.
fn missing_key(place: &str, error: &ValidationError<'_>) -> Option<String> {
    match error.kind() {
        ValidationErrorKind::Required { property } if error.instance_path().to_string() == place => {
            Some(property.as_str().unwrap_or_default().to_owned())
        }
        _ => None,
    }
}

/// an error quotes the faulty value, which can be large.
fn shortened(detail: &str) -> String {
    if detail.chars().count() <= MAX_DETAIL_CHARS {
        return detail.to_owned();
    }
    let start: String = detail.chars().take(MAX_DETAIL_CHARS / 2).collect();
    let skipped = detail.chars().count() - MAX_DETAIL_CHARS / 2;
    let end: String = detail.chars().skip(skipped).collect();
    format!("{start} ... {end}")
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
