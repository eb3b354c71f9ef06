/// how a replica treats the requests that reach it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum ReplicaFault {
    /// it answers.
    #[default]
    None,
    /// it refuses without running.
    Shed,
    /// it runs the request and closes the connection without an answer.
    LoseAnswer,
    /// it runs the request and never answers.
    Mute,
    /// it answers with the id of another request.
    Foreign,
    /// it announces more bytes than it sends.
    Short,
    /// it breaks a stream off after this many events.
    BreakAfter(usize),
    /// it answers without a signature.
    Unsigned,
}
