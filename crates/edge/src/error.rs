use std::fmt;

/// why a body could not be read whole.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReadError {
    /// the peer sent fewer bytes than it announced, or broke the connection.
    Broken,
    /// the body is longer than the reader accepts.
    TooLarge,
    /// the body did not arrive in time.
    TooSlow,
}

impl fmt::Display for ReadError {
    fn fmt(&self, out: &mut fmt::Formatter<'_>) -> fmt::Result {
        out.write_str(match self {
            Self::Broken => "the body ended before its announced length",
            Self::TooLarge => "the body is larger than the limit",
            Self::TooSlow => "the body did not arrive in time",
        })
    }
}

impl std::error::Error for ReadError {}

/// why a call got no whole response, and whether the peer can have seen it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ClientError {
    /// nothing listens at the peer's address, so no byte of the request was sent.
    Refused(String),
    /// no byte of the request was sent.
    NotSent(String),
    /// some of the request may have been sent; whether it ran is unknown.
    Broken(String),
}

impl ClientError {
    /// tells whether the peer certainly saw nothing of the request.
    pub fn is_not_sent(&self) -> bool {
        matches!(self, Self::Refused(_) | Self::NotSent(_))
    }
}

impl fmt::Display for ClientError {
    fn fmt(&self, out: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Refused(why) | Self::NotSent(why) => write!(out, "request not sent: {why}"),
            Self::Broken(why) => write!(out, "request broken off: {why}"),
        }
    }
}

impl std::error::Error for ClientError {}

impl From<ReadError> for ClientError {
    fn from(error: ReadError) -> Self {
        Self::Broken(error.to_string())
    }
}
