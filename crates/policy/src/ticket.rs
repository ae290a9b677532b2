//! Tickets, by which requests ask a scheduler for a server, and the scheduler's decisions on them.

use std::time::{Duration, Instant};

use wasabi_core::{
    data,
    errors::Code,
    note::{Class, Server, Target},
    quantity,
    units::{Build, ClassId, PoolId, ServerId, TokenRate, Tokens, WorkspaceId},
};

use crate::quarantine::Feature;

quantity!(
    /// The id of a ticket, unique within its scheduler.
    TicketId
);

data! {
    /// A request for a slot on some server of a pool.
    pub struct Ticket {
        /// The pool of servers that can serve it.
        pub pool: PoolId,
        /// Its request class.
        pub class: ClassId,
        /// The tier of the class; 0 is the highest.
        pub tier: u8,
        /// The workspace on whose behalf it runs.
        pub workspace: WorkspaceId,
        /// The workspace's weight within the class; at least 1.
        pub weight: u32,
        /// The most tickets of the workspace that may wait or run at the scheduler; `None` for no
        /// limit.
        pub max_running: Option<u32>,
        /// How many tokens a minute the workspace may use at the scheduler; `None` for no limit.
        pub token_rate: Option<TokenRate>,
        /// How long the class may go without service while it has waiting tickets.
        pub max_gap: Duration,
        /// How long it may wait for a server and still meet its target.
        pub patience: Duration,
        /// How many tokens it is expected to generate.
        pub expected: Tokens,
        /// Whether it can be stopped and resumed while it runs.
        pub preemptible: bool,
        /// A server that has just failed it; used only if no other has a free slot.
        pub avoid: Option<ServerId>,
        /// A hash of its prompt prefix; equal prefixes prefer the same server, which may have them
        /// cached.
        pub prefix: u64,
        /// What the request has in common with others.
        #[serde(default)]
        pub features: Vec<Feature>,
        /// The only software version that may run it, if it goes on with what a server generated.
        #[serde(default)]
        pub build: Option<Build>,
        /// Whether it has already run in part. It is not refused for lateness, which would waste
        /// that work.
        pub resumed: bool,
    }
}

/// The class and the workspace of all tickets that are scheduled first in, first out.
const FIFO_NAME: &str = "plain";
const FIFO_PATIENCE: Duration = Duration::from_secs(3_600);

impl Ticket {
    /// Replaces everything by which the ticket could be ordered before or behind another, except
    /// `resumed`: resumed tickets still go to the front of their queue.
    pub fn into_fifo(self) -> Self {
        Self {
            class: FIFO_NAME.parse().expect("a name"),
            workspace: FIFO_NAME.parse().expect("a name"),
            tier: 0,
            weight: 1,
            patience: FIFO_PATIENCE,
            preemptible: false,
            ..self
        }
    }
}

/// What a scheduler decides.
#[derive(Clone, Debug, PartialEq)]
pub enum Decision {
    /// The ticket holds a slot of the server and may run there.
    Grant {
        /// The ticket's id.
        ticket: TicketId,
        /// The server that runs it.
        server: Server,
    },
    /// The ticket was removed and will not run.
    Refuse {
        /// The ticket's id.
        ticket: TicketId,
        /// The reason.
        code: Code,
        /// How long to wait before a retry.
        retry_after: Duration,
    },
    /// The running ticket must stop; it may be submitted again with `resumed` set.
    Preempt {
        /// The ticket's id.
        ticket: TicketId,
    },
}

data! {
    /// How a granted ticket ended.
    #[derive(Copy, Eq)]
    pub enum Outcome {
        /// The answer is complete, or the caller disconnected.
        Done,
        /// It was stopped by a `Preempt` decision.
        Preempted,
        /// The server failed it.
        Failed,
    }
}

/// A ticket in a queue.
#[derive(Clone, Debug)]
pub struct Waiting {
    /// The ticket's id.
    pub id: TicketId,
    /// The ticket itself.
    pub ticket: Ticket,
    /// When it arrived at the scheduler.
    pub since: Instant,
}

/// Returns [`Ticket::patience`]: how long a request of `class` may wait for a server and still meet
/// the class's target. It is not the time that the caller is ready to wait.
///
/// `first_token` and `answer` are the times that the first token and the whole answer are expected
/// to take once it runs.
pub fn patience(class: &Class, first_token: Duration, answer: Duration) -> Duration {
    match class.target {
        Target::Stream { first_token_ms, .. } => {
            Duration::from_millis(first_token_ms).saturating_sub(first_token)
        }
        Target::Whole { answer_ms } => Duration::from_millis(answer_ms).saturating_sub(answer),
    }
}
