use std::process::ExitCode;

/// how a program ends.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ExitStatus {
    /// it did what was asked.
    Done,
    /// it was refused, or failed.
    Failed,
    /// the command line makes no sense.
    Usage,
    /// the server does not answer, or not now; the same command may succeed later.
    Unavailable,
}

impl ExitStatus {
    /// the number that the shell sees.
    pub fn code(self) -> u8 {
        match self {
            Self::Done => 0,
            Self::Failed => 1,
            Self::Usage => 2,
            Self::Unavailable => 3,
        }
    }
}

impl From<ExitStatus> for ExitCode {
    fn from(status: ExitStatus) -> Self {
        Self::from(status.code())
    }
}

/// how exit codes stand in the help.
pub(super) const EXIT_CODES: &str = "\
Exit codes:
  0  done
  1  refused or failed
  2  wrong usage
  3  unavailable; try again later";
