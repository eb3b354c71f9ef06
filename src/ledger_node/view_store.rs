use std::sync::Arc;

use slog::Logger;
use slog::warn;

use crate::platform::HttpPlatform;
use crate::platform::Platform;
use crate::platform::PlatformError;
use crate::platform::PlatformReply;
use crate::platform::PlatformRequest;
use crate::schema::LedgerView;

/// object that holds the view.
pub(crate) const VIEW_KEY: &str = "ledger/view";

/// reads the view; one that was never written is epoch 0.
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
        Ok(_) => Err("the reply belongs to another call".to_owned()),
        Err(error) => Err(error.to_string()),
    }
}

/// replaces the view that `proposed` follows on, and returns the view that stands afterwards.
///
/// A lost reply needs no care: the view that stands is read at the next try, and says who won.
pub(super) async fn propose(
    platform: Arc<HttpPlatform>,
    empty: LedgerView,
    proposed: LedgerView,
    log: Logger,
) -> Option<LedgerView> {
    let (version, standing) = match read_view(&platform, empty).await {
        Ok(read) => read,
        Err(error) => {
            warn!(log, "the view cannot be read"; "dependency" => "platform", "error" => error);
            return None;
        }
    };
    if standing.epoch + 1 != proposed.epoch {
        return Some(standing);
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
            warn!(log, "the view was not written"; "epoch" => proposed.epoch, "error" => error.to_string());
            None
        }
    }
}
