//! Numbered errors reported to callers and operators, and the `Result` alias that carries them.

use std::{fmt, time::Duration};

use serde::{Deserialize, Serialize};

/// A result whose error is a numbered [`Error`].
pub type Result<T, E = Error> = std::result::Result<T, E>;

/// Whether a backend server executed the request that an error answers.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Ran {
    /// No backend server executed the request: it was not sent, or the server stated that it did
    /// not run it.
    #[serde(rename = "not run")]
    No,
    /// A backend server executed the request.
    #[serde(rename = "ran")]
    Yes,
    /// A backend server may have executed the request.
    #[serde(rename = "unknown")]
    Unknown,
}

macro_rules! codes {
    ($($(#[doc = $doc:literal])* $name:ident = $number:literal, $status:literal;)*) => {
        /// The code of an error; `docs/ERRORS.md` lists all codes.
        #[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
        pub enum Code {
            $($(#[doc = $doc])* $name,)*
        }

        impl Code {
            /// All codes, in ascending order of their numbers.
            pub const ALL: &[Code] = &[$(Code::$name),*];

            /// Returns the number that identifies the code outside the process.
            pub fn number(self) -> u16 {
                match self { $(Code::$name => $number,)* }
            }

            /// Returns the HTTP status of a response with this code.
            pub fn status(self) -> u16 {
                match self { $(Code::$name => $status,)* }
            }

            /// Returns the message for callers, without the detail of a single error.
            pub fn message(self) -> &'static str {
                match self { $(Code::$name => concat!($($doc),*).trim_ascii(),)* }
            }
        }
    };
}

codes! {
    /// The request carries no key and its route needs one.
    KeyMissing = 1001, 401;
    /// The key is not known, or has been withdrawn.
    KeyUnknown = 1002, 401;
    /// The request carries different keys in different places.
    KeyConflict = 1003, 400;
    /// The key was withdrawn while the request ran.
    KeyWithdrawn = 1004, 401;
    /// No route matches the path.
    RouteUnknown = 1101, 404;
    /// The path is not in normal form.
    PathInvalid = 1102, 400;
    /// The model is not served on this route.
    ModelUnknown = 1103, 404;
    /// The head of the request is malformed.
    HeadInvalid = 1104, 400;
    /// The body is not the JSON that the route takes.
    BodyInvalid = 1105, 400;
    /// The body is larger than the limit.
    BodyTooLarge = 1106, 413;
    /// The request was not received within the time limit.
    ReceiveTimeout = 1107, 408;
    /// The workspace has reached its limit.
    LimitReached = 1201, 429;
    /// The class could not be served within its target.
    Overloaded = 1202, 503;
    /// The host is stopping and takes no new requests.
    Stopping = 1203, 503;
    /// The host has no configuration yet.
    NotReady = 1204, 503;
    /// The host has lost contact with the store and every peer.
    Isolated = 1205, 503;
    /// It is not known at which software version the stream began, so it cannot go on.
    StreamUnknown = 1206, 503;
    /// Requests like this one have crashed backend servers.
    Quarantined = 1207, 503;
    /// No backend server could be reached.
    ServerUnavailable = 1301, 503;
    /// The backend server broke off its answer.
    AnswerBroken = 1302, 502;
    /// The backend server answered with the identity of another request.
    AnswerCrossed = 1303, 502;
    /// The backend server did not answer within the time limit.
    AnswerTimeout = 1304, 504;
    /// The route needs an idempotency key.
    OnceKeyMissing = 1401, 400;
    /// The idempotency key was used with another request.
    OnceKeyReused = 1402, 422;
    /// The first request with this idempotency key has not ended.
    OnceRunning = 1403, 409;
    /// The outcome of the first request with this idempotency key is not known.
    OnceUnknown = 1404, 502;
    /// The request ran, but its answer was too large to keep.
    OnceTooLarge = 1405, 410;
    /// The store could not record the claim.
    OnceUnavailable = 1406, 503;
    /// A name has characters or a length that names cannot have.
    NameInvalid = 2001, 400;
    /// A number could not be read.
    NumberInvalid = 2002, 400;
    /// A release note or settings file is not valid.
    NoteInvalid = 2101, 400;
    /// A release note conflicts with one accepted after its base.
    NoteConflict = 2102, 409;
    /// The identity of the release note belongs to another note.
    NoteReused = 2103, 409;
    /// The settings are not valid.
    SettingsInvalid = 2201, 400;
    /// An entry of the configuration can never take effect.
    ConfigUnused = 2301, 400;
    /// An entry of the configuration names something that is not there.
    ConfigReferenceMissing = 2302, 400;
    /// Limits of the configuration contradict each other, or let nothing through.
    ConfigConflict = 2303, 400;
    /// Two entries of the configuration have the same name or key.
    ConfigDuplicate = 2304, 400;
    /// A value of the configuration is out of its range, and another is used instead.
    ConfigValueReplaced = 2305, 400;
    /// The version of the configuration is not greater than the one in force.
    ConfigVersionOld = 2306, 409;
    /// The object is not there.
    ObjectMissing = 3001, 404;
    /// The object has changed, so the conditional write took no effect.
    StoreConflict = 3002, 409;
    /// The store refused the call, and it took no effect.
    StoreBusy = 3003, 429;
    /// The store did not answer; a write may have taken effect.
    StoreUnavailable = 3004, 503;
    /// A stored object could not be read; the others hold.
    ObjectUnreadable = 3005, 502;
    /// Another process holds the lease.
    LeaseHeld = 3101, 409;
    /// The lease has ended, so its holder may not act.
    LeaseLost = 3102, 409;
    /// A peer did not answer.
    PeerUnavailable = 3201, 503;
    /// What a peer said of the request that it handed over could not be read.
    HandoverUnknown = 3202, 502;
    /// The outside system refused the call.
    PlatformRefused = 3301, 502;
    /// The router met a state it should never be in.
    Internal = 9001, 500;
}

/// A numbered error with its execution state and retry advice.
#[derive(Clone, Debug, PartialEq)]
pub struct Error {
    /// The error code; it determines the number, the HTTP status and the message.
    pub code: Code,
    /// Whether a backend server executed the caller's request; says nothing about calls to the
    /// store. `Ran::No` promises that the caller can safely send the request again.
    pub ran: Ran,
    /// Details of this occurrence. Must not contain API keys, prompts or addresses.
    pub detail: String,
    /// How long to wait before a retry; `None` if no wait is known to help.
    pub retry_after: Option<Duration>,
}

impl Error {
    /// Creates an error for a request that was not executed, without retry advice.
    pub fn new(code: Code, detail: impl Into<String>) -> Self {
        Self { code, ran: Ran::No, detail: detail.into(), retry_after: None }
    }

    /// Sets whether the request was executed.
    pub fn ran(mut self, ran: Ran) -> Self {
        self.ran = ran;
        self
    }

    /// Sets how long to wait before a retry.
    pub fn retry_after(mut self, wait: Duration) -> Self {
        self.retry_after = Some(wait);
        self
    }

    /// Returns whether a write that failed with this error may still have taken effect.
    pub fn may_have_written(&self) -> bool {
        self.code == Code::StoreUnavailable
    }
}

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "E{}: {}", self.code.number(), self.code.message())?;
        if !self.detail.is_empty() {
            write!(f, " ({})", self.detail)?;
        }
        Ok(())
    }
}

impl std::error::Error for Error {}

/// Error for a text that is not a valid name; the detail quotes the text.
pub fn bad_name(text: &str) -> Error {
    Error::new(Code::NameInvalid, format!("{text:?}"))
}

/// Error for a text that is not a valid number; the detail quotes the text.
pub fn bad_number(text: &str) -> Error {
    Error::new(Code::NumberInvalid, format!("{text:?}"))
}

/// Error for a conditional write to `key` that found another version.
pub fn conflict(key: &str) -> Error {
    Error::new(Code::StoreConflict, key)
}

/// Error for an outside system that did not answer; a write to it may have taken effect.
pub fn unavailable(detail: impl Into<String>) -> Error {
    Error::new(Code::StoreUnavailable, detail)
}

/// Error for an internal state that should not occur.
pub fn internal(detail: impl Into<String>) -> Error {
    Error::new(Code::Internal, detail)
}
