use crate::ids::Incarnation;
use crate::schema::LimitSettings;
use crate::schema::StateSettings;

/// settings and identity of an owner, fixed for its lifetime.
#[derive(Clone, Debug)]
pub struct OwnerSettings {
    /// settings of journal and ownership.
    pub state: StateSettings,
    /// limits of requests.
    pub limits: LimitSettings,
    /// number of slots in the deployment.
    pub slot_count: u32,
    /// identity of this incarnation.
    pub me: Incarnation,
    /// name of this instance, kept across restarts.
    pub name: String,
}
