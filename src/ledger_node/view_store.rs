use std::sync::Arc;

use slog::Logger;
use slog::warn;

use crate::platform::HttpPlatform;
use crate::platform::Platform;
use crate::platform::PlatformError;
use crate::platform::PlatformReply;
use crate::platform::PlatformRequest;
use crate::schema::LedgerView;

/// key of the ledger view in the platform's store.
pub(crate) const VIEW_KEY: &str = "ledger/view";

/// reads the view and its version; a view that was never written is `empty`, at version 0.
pub(crate) async fn read_view(
    platform: &HttpPlatform,
    empty: LedgerView,
) -> Result<(u64, LedgerView), String> {
    match platform.call(PlatformRequest::Get { key: VIEW_KEY.to_owned() }).await {
        Ok(PlatformReply::Object(object)) => {
            let view = serde_json::from_slice(&object.value).map_err(|error| error.to_string())?;
            Ok((object.version, view))
        }
        Err(PlatformError::NotFound) => Ok((0, empty)),
        Ok(_) => Err("unexpected reply type from the platform".to_owned()),
        Err(error) => Err(error.to_string()),
    }
}

/// writes `proposed` if it directly follows the stored view, and returns the view in force afterwards; `None`
/// if a call failed.
///
/// A lost reply needs no special handling: the next attempt reads the view in force, which shows which
/// proposal won.
pub(super) async fn propose_view(
    platform: Arc<HttpPlatform>,
    empty: LedgerView,
    proposed: LedgerView,
    log: Logger,
) -> Option<LedgerView> {
    let (version, current) = match read_view(&platform, empty).await {
        Ok(read) => read,
        Err(error) => {
            warn!(log, "failed to read the ledger view; no view is proposed";
                "dependency" => "platform", "error" => error);
            return None;
        }
    };
    if current.epoch + 1 != proposed.epoch {
        return Some(current);
    }
    let value = serde_json::to_vec(&proposed).ok()?;
    let key = VIEW_KEY.to_owned();
    let write = match version {
        0 => PlatformRequest::Create { key, value },
        version => PlatformRequest::Update { key, value, version },
    };
    match platform.call(write).await {
        Ok(_) => Some(proposed),
        Err(error) => {
            warn!(log, "failed to write the proposed ledger view"; "epoch" => proposed.epoch,
                "error" => error.to_string());
            None
        }
    }
}
