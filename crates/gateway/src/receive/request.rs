//! A request that was admitted, with all that its sends need.

use std::time::{Duration, Instant};

use bytes::Bytes;
use hyper::http::request::Parts;
use wasabi_core::call::RequestHead;
use wasabi_policy::quarantine::Feature;

use crate::{
    receive::{admit::Admission, request_body::Reservation},
    send::{attempt::Outgoing, handover::Handover},
};

/// A caller's request with its complete body, admitted and ready to be placed.
pub struct AdmittedRequest {
    /// The HTTP head as received.
    pub parts: Parts,
    /// The caller's id, key, timeout and prompt, decoded from the HTTP head.
    pub head: RequestHead,
    /// The complete body.
    pub body: Bytes,
    /// The memory that the body takes.
    pub body_memory: Reservation,
    /// When the HTTP head had been received.
    pub arrived: Instant,
    /// The result of admission.
    pub admission: Admission,
    /// The earlier of the caller's deadline and the route's timeout.
    pub deadline: Instant,
    /// The first placement is refused if a longer wait is expected, for the first event of a stream
    /// or for a plain response.
    pub max_wait: Duration,
    /// The longest acceptable wait of a first attempt of its kind.
    pub first_wait: Duration,
    /// Whether the caller seems to return after a refusal, or takes up a stream.
    pub is_return: bool,
    /// What the request has in common with others; known once the service is.
    pub features: Vec<Feature>,
    /// The same for requests of one caller with the same method, path and body.
    pub content: Feature,
    /// What the peer said that handed it over, if one did.
    pub handover: Option<Handover>,
}

impl AdmittedRequest {
    /// Whether the caller takes up a stream of which it has some events.
    pub fn continues(&self) -> bool {
        self.head.resumes.is_some() || self.head.last_event.is_some_and(|event| event > 0)
    }

    /// Returns the request to send; a stream resumes after `last_event`.
    pub fn outgoing(&self, last_event: Option<u64>) -> Outgoing<'_> {
        Outgoing {
            parts: &self.parts,
            head: &self.head,
            body: &self.body,
            admission: &self.admission,
            deadline: self.deadline,
            last_event: last_event.or(self.head.last_event),
        }
    }
}
