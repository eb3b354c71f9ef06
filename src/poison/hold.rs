use strum::IntoStaticStr;

/// why a content is not sent to another replica.
#[derive(Clone, Copy, Debug, PartialEq, Eq, IntoStaticStr)]
#[strum(serialize_all = "snake_case")]
pub enum Hold {
    /// it has crashed as many replicas as the threshold.
    Struck,
    /// it has not crashed that many, but would have if all runs with an unknown outcome did.
    Suspected,
}
