use std::sync::Arc;
use std::sync::atomic::Ordering;

use http_body_util::BodyExt;
use hyper::Response;
use slog::info;

use crate::door::answer::DoorBody;
use crate::door::door::Door;
use crate::door::refusal::Refusal;
use crate::door::request::DoorRequest;
use crate::reach::PassTag;
use crate::reach::PassedRequest;

/// requests of other doors that a door has under way at most: their bodies and answers take its memory, and its
/// own callers need its processor.
const MAX_TAKEN: usize = 256;

/// counts a request of another door as under way until it is dropped.
pub(super) struct PassGuard {
    door: Arc<Door>,
}

impl PassGuard {
    /// takes a request of another door; an error if the door takes none now, or the request proves nothing.
    pub fn new(door: &Arc<Door>, request: &DoorRequest) -> Result<Self, Refusal> {
        let passed = PassedRequest {
            receiver: &door.incarnation,
            method: &request.method,
            target: &request.target,
            headers: &request.headers,
            body: &request.body,
        };
        let (key, cluster) = (&door.settings.mesh_key, &door.settings.cluster);
        let tag = PassTag::from_headers(&request.headers).filter(|tag| tag.is_valid(key, cluster, &passed));
        let is_new = tag.is_some_and(|tag| door.pass_windows().take(&tag.sender, tag.number));
        if !is_new {
            metrics::counter!("door_passes_refused_total").increment(1);
            info!(door.log, "request proves no other door as its sender; refused";
                "request" => request.caller.id.as_deref());
            return Err(Refusal::NotPassedOn);
        }
        let under_way = door.taken_count.fetch_add(1, Ordering::Relaxed);
        let guard = Self { door: Arc::clone(door) };
        if door.is_draining() || under_way >= MAX_TAKEN {
            return Err(Refusal::HelperBusy);
        }
        metrics::counter!("door_passes_taken_total").increment(1);
        Ok(guard)
    }

    /// keeps the request under way until its answer has been sent.
    pub fn watch(self, answer: Response<DoorBody>) -> Response<DoorBody> {
        answer.map(|body| {
            body.map_frame(move |frame| {
                let _ = &self;
                frame
            })
            .boxed_unsync()
        })
    }
}

impl Drop for PassGuard {
    fn drop(&mut self) {
        self.door.taken_count.fetch_sub(1, Ordering::Relaxed);
    }
}
