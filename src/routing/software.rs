/// the software of a replica. A stream goes on only at the software that began it, as different versions write
/// different texts.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Software {
    /// name of the service.
    pub service: String,
    /// version, which is not that of a model's weights.
    pub version: String,
}
