use crate::workspace::Allotment;

/// one of the parties that share a deployment.
#[derive(Clone, Debug, PartialEq)]
pub struct Workspace {
    /// name in the operators' configuration; replicas get it with each request.
    pub name: String,
    /// rank of its requests, 0 the most urgent; that of the route if `None`.
    pub priority: Option<u32>,
    /// limit of its requests; none if `None`.
    pub allotment: Option<Allotment>,
}
