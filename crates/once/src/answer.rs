//! What is kept of a call that ran.

use wasabi_core::data;
use wasabi_lease::witness::Process;

data! {
    /// A backend server's answer, kept to be returned byte for byte.
    pub struct Answer {
        /// The HTTP status.
        pub status: u16,
        /// The media type, if the backend server stated one.
        pub content_type: Option<String>,
        /// The body in hexadecimal digits.
        pub body_hex: String,
    }

    /// How far a claimed call has come.
    pub enum Progress {
        /// The owner may be running it.
        Claimed,
        /// It ran, and this was its answer.
        Ran(Answer),
        /// It ran, and its answer was too large to keep.
        RanTooLarge,
        /// No byte of it left; another host may claim it.
        NotRun,
        /// It may have run; it is never run again.
        Unknown,
    }

    /// What the object API holds for a claimed call.
    pub struct Record {
        /// The digest of the request, to tell another request under the same key.
        pub request: String,
        /// Drawn for each claim.
        pub token: String,
        /// The process that made the claim.
        pub owner: Process,
        /// How far the call has come; once it has ended it changes only from `NotRun`.
        pub progress: Progress,
        /// When the record may be removed, in milliseconds from the Unix epoch.
        pub expires_ms: u64,
    }
}

impl Answer {
    /// Gets the kept form of an answer.
    pub fn new(status: u16, content_type: Option<String>, body: &[u8]) -> Self {
        Self { status, content_type, body_hex: hex::encode(body) }
    }

    /// Returns the body.
    pub fn body(&self) -> Vec<u8> {
        hex::decode(&self.body_hex).unwrap_or_default()
    }
}
