//! What the router reads of a request and of a backend server's answer.

use std::time::Duration;

use crate::{
    data,
    units::{ServerId, WorkspaceId},
};

data! {
    /// What decides how a request is handled.
    #[derive(Default)]
    pub struct Head {
        /// The caller's id of this attempt.
        pub id: String,
        /// How long the caller will wait.
        pub patience: Option<Duration>,
        /// The key that the caller presented.
        pub key: Option<String>,
        /// The prompt, for requests to engines.
        pub prompt: Option<Prompt>,
        /// The last event that the caller has, if it continues a stream.
        pub last_event: Option<u64>,
    }

    /// A prompt by its parts.
    pub struct Prompt {
        /// How many tokens it has.
        pub tokens: u32,
        /// The most tokens that the answer may have.
        pub output: u32,
        /// The parts in order. All but the last may be shared with other requests.
        pub parts: Vec<Part>,
    }

    /// A part of a prompt.
    #[derive(Copy)]
    pub struct Part {
        /// The same text has the same id.
        pub id: u64,
        /// How many tokens it has.
        pub tokens: u32,
    }

    /// What the router sets on a request that it sends to a backend server.
    pub struct Sending {
        /// The only server that may run it.
        pub server: ServerId,
        /// How long the server may work on it.
        pub time_left: Duration,
        /// The workspace that it runs for.
        pub workspace: Option<WorkspaceId>,
        /// 0 is the most urgent, 9 the least.
        pub urgency: u8,
        /// The last event that the caller has.
        pub last_event: Option<u64>,
    }

    /// What the router reads of a backend server's answer.
    #[derive(Default)]
    pub struct Reply {
        /// The request that the answer belongs to, if it says so.
        pub id: Option<String>,
        /// Whether the server states that it did not run the request.
        pub not_run: bool,
        /// Whether the server's signature is there.
        pub signed: bool,
        /// Whether the body was changed on the way by a coding that nobody asked for.
        pub encoded: bool,
        /// The load that the server reports.
        pub load: Option<Load>,
        /// How long the server keeps an idle connection.
        pub keep: Option<Duration>,
    }

    /// The load that a server reports with an answer.
    #[derive(Copy, Default)]
    pub struct Load {
        /// Requests that run.
        pub running: u32,
        /// Requests that wait.
        pub waiting: u32,
        /// Requests that can run at a time.
        pub slots: u32,
    }
}
