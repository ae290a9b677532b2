//! What a request asks of a desk, and what the desk decides.

use std::time::{Duration, Instant};

use wasabi_core::{
    data,
    errors::Code,
    note::{Class, Server, Target},
    quantity,
    units::{ClassId, PoolId, ServerId, TokenRate, Tokens, WorkspaceId},
};

quantity!(
    /// The number of a ticket, unique within its desk.
    TicketId
);

data! {
    /// A request's wish to run on some server of a pool.
    pub struct Ticket {
        /// The pool that can serve it.
        pub pool: PoolId,
        /// Its class.
        pub class: ClassId,
        /// The tier of the class; 0 is the highest.
        pub tier: u8,
        /// The workspace that it runs for.
        pub workspace: WorkspaceId,
        /// The workspace's weight within the class; at least 1.
        pub weight: u32,
        /// How many tickets of the workspace may wait or run at the desk.
        pub max_running: Option<u32>,
        /// How many tokens a minute the workspace may use at the desk.
        pub token_rate: Option<TokenRate>,
        /// How long the class may go without service while it has waiting work.
        pub max_gap: Duration,
        /// How long it may wait for a server and still meet its target.
        pub patience: Duration,
        /// How many tokens it is expected to generate.
        pub expected: Tokens,
        /// Whether it can be stopped and resumed while it runs.
        pub preemptible: bool,
        /// A server that has just failed it.
        pub avoid: Option<ServerId>,
        /// Picks a server that may hold its prompt prefix.
        pub prefix: u64,
        /// Whether it has already run in part, so that refusing it would waste work.
        pub resumed: bool,
    }
}

/// The class, and the workspace, of tickets whose own do not count.
const PLAIN: &str = "plain";
const PLAIN_PATIENCE: Duration = Duration::from_secs(3_600);

impl Ticket {
    /// Returns the ticket with nothing by which it could go before or behind another.
    pub fn plain(self) -> Self {
        Self {
            class: PLAIN.parse().expect("a name"),
            workspace: PLAIN.parse().expect("a name"),
            tier: 0,
            weight: 1,
            patience: PLAIN_PATIENCE,
            preemptible: false,
            ..self
        }
    }
}

/// What a desk decides.
#[derive(Clone, Debug, PartialEq)]
pub enum Decision {
    /// The ticket may run on the server.
    Grant {
        /// Which ticket.
        ticket: TicketId,
        /// Where it runs.
        server: Server,
    },
    /// The ticket is given up and will not run.
    Refuse {
        /// Which ticket.
        ticket: TicketId,
        /// Why.
        code: Code,
        /// When it helps to come back.
        retry_after: Duration,
    },
    /// The running ticket must stop; it may be asked for again as a resumed one.
    Preempt {
        /// Which ticket.
        ticket: TicketId,
    },
}

data! {
    /// How a granted ticket ended.
    #[derive(Copy, Eq)]
    pub enum Outcome {
        /// The answer is complete, or the caller went away.
        Done,
        /// It was stopped for a higher tier.
        Preempted,
        /// The server failed it.
        Failed,
    }
}

/// A ticket while it waits.
#[derive(Clone, Debug)]
pub struct Waiting {
    /// Its number.
    pub id: TicketId,
    /// What it asks.
    pub ticket: Ticket,
    /// When it arrived.
    pub since: Instant,
}

/// Returns how long a request of `class` may wait for a server, given how long the first token
/// and the whole answer are expected to take once it runs.
pub fn patience(class: &Class, first_token: Duration, answer: Duration) -> Duration {
    match class.target {
        Target::Stream { first_token_ms, .. } => {
            Duration::from_millis(first_token_ms).saturating_sub(first_token)
        }
        Target::Whole { answer_ms } => Duration::from_millis(answer_ms).saturating_sub(answer),
    }
}
