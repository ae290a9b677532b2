//! Whether a server lives after it has ended a connection.
//!
//! The kernel of a process that is killed closes its connections as in order (RFC 9293, section 3.6), so
//! the end of a connection alone does not show that the server has sent all of an answer.

use std::{io, time::Duration};

use wasabi_core::call::{Content, Framing};

use crate::broken::Broken;

/// The connections of a process end within this time of each other when it is killed.
pub const SETTLING_TIME: Duration = Duration::from_millis(20);

/// What is known of a server some time after it has ended a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Evidence {
    /// It has answered over another connection that was open before.
    Open,
    /// It has answered over a new connection, or reset one: it resets those above the number that it serves.
    Accepted,
    /// As `Accepted`, but the process did not say whether it is the one that was asked before.
    Unidentified,
    /// It refuses connections: its process has ended.
    Refused,
    /// Another process has its id or its address, so it has ended.
    Replaced,
    /// It has not answered, or this host could not ask.
    Unanswered,
}

impl Evidence {
    /// Judges an attempt to connect; `None` if it timed out.
    pub fn of_connecting<T>(connected: Option<&io::Result<T>>) -> Self {
        match connected {
            Some(Ok(_)) => Self::Accepted,
            Some(Err(e)) => match e.kind() {
                // A refused connection was never established; one that is reset was.
                io::ErrorKind::ConnectionRefused => Self::Refused,
                io::ErrorKind::ConnectionReset => Self::Accepted,
                _ => Self::Unanswered,
            },
            None => Self::Unanswered,
        }
    }

    /// Decides whether the end of the connection may be taken for the end of the answer.
    ///
    /// Errors: `ServerGone`, or `EndUnconfirmed` if nothing is known.
    pub fn check(self) -> Result<(), Broken> {
        match self {
            Self::Open | Self::Accepted | Self::Unidentified => Ok(()),
            Self::Refused | Self::Replaced => Err(Broken::ServerGone),
            Self::Unanswered => Err(Broken::EndUnconfirmed),
        }
    }

    /// Returns the name for logs and metrics.
    pub fn name(self) -> &'static str {
        match self {
            Self::Open => "open",
            Self::Accepted => "accepted",
            Self::Unidentified => "unidentified",
            Self::Refused => "refused",
            Self::Replaced => "replaced",
            Self::Unanswered => "unanswered",
        }
    }
}

/// Returns whether only the end of the connection shows that an answer is whole. A JSON document shows
/// its own end, unless it is a number.
pub fn is_needed(framing: Framing, content: Content, body: &[u8]) -> bool {
    let ends_itself = || {
        let last = body.trim_ascii_end().last();
        content == Content::Json && last.is_some_and(|byte| !byte.is_ascii_digit())
    };
    framing == Framing::Close && !ends_itself()
}
