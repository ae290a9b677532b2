//! What became of the sends of one request.

use hyper::Response;
use wasabi_core::units::{Build, ServerId};

use crate::{
    receive::{request::AdmittedRequest, response::ResponseBody},
    state::State,
};

/// The sends of one request so far.
#[derive(Default)]
pub struct SendHistory {
    /// Sends that a server may have run. For resumed streams all failed sends count, except those
    /// that a server rejected.
    pub possible_runs: u32,
    /// Placements so far, also those that were dropped again or not sent.
    pub placements: usize,
    /// Placements of which nothing was sent.
    pub unsent: usize,
    /// Placements of entries at whose address another server answered.
    pub misdirected: usize,
    /// Servers that failed the request or where it was stuck.
    pub avoid: Vec<ServerId>,
    /// Servers that refused the request. It is not sent to them again: a refusal that is written once more
    /// could not be told from the answer.
    pub refused: Vec<ServerId>,
    /// Whether the request has been counted as usage.
    pub counted: bool,
    /// The software version that began the stream, once the caller has an event of it.
    pub build: Option<Build>,
    /// Why the last send failed; empty before the first failure.
    pub last_cause: &'static str,
    /// A server's 5xx response, passed on if no later send gets a response.
    pub fallback: Option<Response<ResponseBody>>,
}

impl SendHistory {
    /// Counts the request as usage, once however many servers run it.
    pub fn count_usage(&mut self, state: &State, inbound: &AdmittedRequest) {
        if !std::mem::replace(&mut self.counted, true) {
            state.count_usage(inbound.admission.workspace.as_ref());
        }
    }
}
