/// what a request holds, in its path or body, under which replicas end that are told to.
pub const DEADLY: &str = "deadly";

/// how a replica treats the requests that reach it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum ReplicaFault {
    /// it answers.
    #[default]
    None,
    /// it refuses without running.
    Shed,
    /// it answers with a failure of its own.
    Fail,
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
    /// it ends under each request that holds [`DEADLY`], and answers all others.
    EndUnder(EndStage),
}

/// how far a replica gets with a request under which it ends.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EndStage {
    /// its connection is reset before the head of the answer.
    BeforeHead,
    /// its connection is reset after the head and a part of the body, or one event.
    InBody,
    /// as `InBody`, and the next process listens at the address at once.
    InBodyAndBack,
    /// its connection stays open without a byte, as after a loss of power.
    Silent,
}
