//! The parts of a request and of a backend server's response that the router evaluates.

use std::time::Duration;

use crate::{
    data,
    units::{RequestRate, ServerId, WorkspaceId},
};

data! {
    /// The head of a caller's request.
    #[derive(Default)]
    pub struct RequestHead {
        /// The id that the caller gave to this attempt; empty if it gave none.
        pub id: String,
        /// How long the caller waits for the response, if stated.
        #[serde(rename = "patience")]
        pub caller_timeout: Option<Duration>,
        /// The API key that the caller sent.
        pub key: Option<String>,
        /// The prompt, for requests to language-model engines.
        pub prompt: Option<Prompt>,
        /// The id of the last event that the caller received, if it resumes a stream.
        pub last_event: Option<u64>,
        /// The id of the caller's attempt that brought the first event of the stream which it resumes.
        pub resumes: Option<String>,
    }

    /// The size of a prompt and its parts.
    pub struct Prompt {
        /// Number of prompt tokens.
        pub tokens: u32,
        /// The maximum number of completion tokens.
        pub output: u32,
        /// The parts in order. All but the last may be shared with other requests.
        pub parts: Vec<Part>,
    }

    /// A part of a prompt.
    #[derive(Copy)]
    pub struct Part {
        /// Identifies the text: equal texts have equal ids.
        pub id: u64,
        /// Number of tokens in the part.
        pub tokens: u32,
    }

    /// The values that the router sets on a request to a backend server.
    pub struct ForwardedHead {
        /// The only server that may run the request.
        pub server: ServerId,
        /// How long the server may work on the request.
        pub time_left: Duration,
        /// The workspace that the request runs for.
        pub workspace: Option<WorkspaceId>,
        /// From 0, the most urgent, to 9, the least.
        pub urgency: u8,
        /// The id of the last event that the caller received, if the stream is resumed.
        pub last_event: Option<u64>,
    }

    /// How the end of a response body is marked (RFC 9112, section 6.3).
    #[derive(Copy, Default)]
    pub enum Framing {
        /// The head states the length.
        Length,
        /// The body comes in chunks, of which the last one is marked.
        Chunked,
        /// The body ends with its connection, so its end alone does not show that it is complete.
        #[default]
        Close,
        /// There is no body, whatever the headers say.
        Absent,
    }

    /// What a response body contains, by its media type.
    #[derive(Copy, Default)]
    pub enum Content {
        /// No media type is stated.
        #[default]
        Unstated,
        /// Server-sent events.
        Events,
        /// A JSON document.
        Json,
        /// Anything else.
        Other,
    }

    /// The head of a backend server's response.
    #[derive(Default)]
    pub struct ResponseHead {
        /// The id of the request that the response belongs to, if stated.
        pub id: Option<String>,
        /// Whether the server states that it did not run the request.
        pub not_run: bool,
        /// Whether the response carries the server's signature; its value is not checked.
        pub signed: bool,
        /// Whether the body has a content coding. Servers apply none, so an intermediary changed
        /// the body.
        pub encoded: bool,
        /// How the end of the body is marked.
        pub framing: Framing,
        /// What the body contains.
        pub content: Content,
        /// Whether the server that was asked says that it is about to leave. A response of another
        /// server at its address does not count.
        pub leaving: bool,
        /// For how long the server wants no request from this host, if it turned this one away and
        /// stated a time.
        pub pause: Option<Duration>,
        /// The requests a second that the server takes from all hosts together, if it names a limit.
        pub limit: Option<RequestRate>,
        /// How many requests the server can turn away within a second for want of room before it falls
        /// over, if it says so.
        pub brittle: Option<u32>,
        /// The headers whose values were not understood; they count as absent.
        pub malformed: Vec<String>,
        /// The load reported by the server.
        pub load: Option<Load>,
        /// How long the server keeps an idle connection open, if stated.
        #[serde(rename = "keep")]
        pub keep_alive: Option<Duration>,
    }

    /// The load that a server reports with a response.
    #[derive(Copy, Default)]
    pub struct Load {
        /// Requests running.
        pub running: u32,
        /// Requests waiting.
        pub waiting: u32,
        /// How many requests the server runs concurrently.
        pub slots: u32,
        /// How long work takes on the machine at present, in percent of the usual time, if stated.
        #[serde(default)]
        pub work_percent: Option<u32>,
    }
}

impl Prompt {
    /// Returns the parts that other requests may share: all but the last.
    pub fn shared_parts(&self) -> &[Part] {
        self.parts.split_last().map_or(&[], |(_, shared)| shared)
    }
}

impl Framing {
    /// Returns the framing of a response to `method` with this status and with these headers
    /// present; chunks take precedence over a length.
    pub fn of(
        method: &str,
        status: u16,
        has_transfer_encoding: bool,
        has_content_length: bool,
    ) -> Self {
        if method == "HEAD" || matches!(status, 100..200 | 204 | 304) {
            return Self::Absent;
        }
        match (has_transfer_encoding, has_content_length) {
            (true, _) => Self::Chunked,
            (false, true) => Self::Length,
            (false, false) => Self::Close,
        }
    }

    /// Returns the name used in logs and metrics.
    pub fn name(self) -> &'static str {
        match self {
            Self::Length => "length",
            Self::Chunked => "chunked",
            Self::Close => "close",
            Self::Absent => "absent",
        }
    }
}

impl Content {
    /// Returns the content for the value of a `content-type` header.
    pub fn of(content_type: Option<&str>) -> Self {
        let Some(value) = content_type else { return Self::Unstated };
        let media_type = value.split(';').next().unwrap_or_default().trim().to_ascii_lowercase();
        match media_type.as_str() {
            "text/event-stream" => Self::Events,
            "application/json" => Self::Json,
            other if other.ends_with("+json") => Self::Json,
            _ => Self::Other,
        }
    }

    /// Returns whether the body may be server-sent events.
    pub fn may_be_events(self) -> bool {
        matches!(self, Self::Events | Self::Unstated)
    }
}
