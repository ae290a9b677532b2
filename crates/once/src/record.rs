//! The stored record of a claimed call.

use wasabi_core::data;
use wasabi_lease::failure_detector::Process;

data! {
    /// A backend server's response, kept to be returned byte for byte.
    pub struct StoredResponse {
        /// The HTTP status.
        pub status: u16,
        /// The media type, if the backend server stated one.
        pub content_type: Option<String>,
        /// The body in hexadecimal digits.
        pub body_hex: String,
    }

    /// The state of a claimed call.
    pub enum Progress {
        /// The owner may be running it.
        Claimed,
        /// It ran, with this response.
        Ran(StoredResponse),
        /// It ran, and its response was too large to keep.
        RanTooLarge,
        /// No byte of it was sent; any host may claim it again.
        NotRun,
        /// It may have run; it is never run again.
        Unknown,
    }

    /// The record of a claimed call in the object API.
    pub struct Record {
        /// The digest of the request, to detect another request with the same key.
        pub request: String,
        /// A random value that identifies the claim.
        pub token: String,
        /// The process that made the claim.
        pub owner: Process,
        /// The state. `Claimed` and `NotRun` may change; the other states are final.
        pub progress: Progress,
        /// When the record may be removed, in milliseconds from the Unix epoch.
        pub expires_ms: u64,
    }
}

impl StoredResponse {
    /// Encodes a response for storage.
    pub fn new(status: u16, content_type: Option<String>, body: &[u8]) -> Self {
        Self { status, content_type, body_hex: hex::encode(body) }
    }

    /// The decoded body; empty if `body_hex` is not valid.
    pub fn body(&self) -> Vec<u8> {
        hex::decode(&self.body_hex).unwrap_or_default()
    }
}
