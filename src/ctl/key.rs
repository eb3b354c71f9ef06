use std::env;
use std::fs;

use crate::cli::KeySource;
use crate::ctl::ApiError;

/// environment variable that holds the operator's key.
const KEY_VARIABLE: &str = "FLAMINGOCTL_KEY";

/// the hash of a key as settings and release notes hold it; white space around the key is no part of it.
pub fn hash_key(key: &str) -> Option<String> {
    let key = key.trim();
    (!key.is_empty()).then(|| blake3::hash(key.as_bytes()).to_hex().to_string())
}

/// reads the operator's key.
pub fn read_key(source: &KeySource) -> Result<String, ApiError> {
    let text = match source {
        KeySource::File(path) => fs::read_to_string(path)
            .map_err(|error| ApiError::Local(format!("cannot read {}: {error}", path.display())))?,
        KeySource::Environment => env::var(KEY_VARIABLE)
            .map_err(|_| ApiError::Local(format!("give the key by --key-file or {KEY_VARIABLE}")))?,
    };
    let key = text.trim();
    if key.is_empty() {
        return Err(ApiError::Local("the key is empty".to_owned()));
    }
    Ok(key.to_owned())
}
