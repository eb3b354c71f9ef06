use crate::ids::Incarnation;
use crate::schema::LimitSettings;
use crate::schema::StateSettings;

/// what an owner needs to know from the start.
#[derive(Clone, Debug)]
pub struct OwnerSettings {
    /// journal and ownership.
    pub state: StateSettings,
    /// bounds of requests.
    pub limits: LimitSettings,
    /// number of slots of the deployment.
    pub slot_count: u32,
    /// this incarnation.
    pub me: Incarnation,
    /// name of this instance.
    pub name: String,
}
