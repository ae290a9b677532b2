//! Why an answer is not whole.

use std::fmt;

use wasabi_core::{
    call::Framing,
    errors::{Code, Error, Ran},
};

/// Why an answer is not whole, although its end may look complete to HTTP.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Broken {
    /// An event has more bytes than are buffered.
    EventTooLarge,
    /// The stream ended before the blank line of its last event.
    InsideEvent,
    /// The status of the answer is not one of HTTP, or that of an interim response.
    StatusInvalid,
    /// A part of another answer stands in the head.
    HeadJoined,
    /// The head of another answer stands in place of an event.
    OtherAnswer,
    /// The stream ended with its connection, before its first event.
    NoEvent,
    /// An event's id shows that events before it are missing.
    EventsMissing,
    /// An event without an id came where the stream goes on, so its place is not known.
    EventUnplaced,
    /// The stream went on without an event that its caller lacks.
    NothingNew,
    /// A JSON document without a length or chunks is incomplete.
    InsideDocument,
    /// The stream ended without the event that marks its end.
    NoEndMarker,
    /// The connection was reset or closed.
    ConnectionLost,
    /// Only the end of the connection marked the end, and the server's process has ended.
    ServerGone,
    /// Only the end of the connection marked the end, and nothing shows that the server lives.
    EndUnconfirmed,
}

impl Broken {
    /// Returns the cause as logs and metrics name it.
    pub fn cause(self) -> &'static str {
        match self {
            Self::EventTooLarge => "an event is too large",
            Self::InsideEvent => "stream ended inside an event",
            Self::StatusInvalid => "answer without a valid status",
            Self::HeadJoined => "a part of another answer stands in the head",
            Self::OtherAnswer => "another answer inside a stream",
            Self::NoEvent => "stream ended without an event",
            Self::EventsMissing => "events are missing",
            Self::EventUnplaced => "an event without an id where the stream goes on",
            Self::NothingNew => "the stream went on without a new event",
            Self::InsideDocument => "answer ended inside a document",
            Self::NoEndMarker => "no end marker",
            Self::ConnectionLost => "the connection broke off",
            Self::ServerGone => "the server ended with the answer",
            Self::EndUnconfirmed => "end of the answer not confirmed",
        }
    }
}

impl Broken {
    /// Whether `cause` is that of an answer which ends as when the server's process ends: its connection is
    /// lost, or marks the end of an answer that lacks something. An end that is marked otherwise was sent.
    pub fn is_abrupt(cause: &str, framing: Framing) -> bool {
        let incomplete = [
            Self::InsideEvent,
            Self::NoEvent,
            Self::InsideDocument,
            Self::NoEndMarker,
            Self::ServerGone,
            Self::EndUnconfirmed,
        ];
        cause == Self::ConnectionLost.cause()
            || (framing == Framing::Close && incomplete.map(Self::cause).contains(&cause))
    }
}

impl fmt::Display for Broken {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.cause())
    }
}

impl std::error::Error for Broken {}

impl From<Broken> for Error {
    fn from(broken: Broken) -> Self {
        Self::new(Code::AnswerBroken, broken.cause()).ran(Ran::Unknown)
    }
}
