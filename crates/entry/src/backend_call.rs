//! A call to a backend server.
//!
//! Each call opens a connection and closes it afterwards, so a late response cannot be read as
//! the response to another request.

use std::{net::SocketAddr, time::Duration};

use bytes::{Bytes, BytesMut};
use http_body_util::{BodyExt as _, Full};
use hyper::{Request, body::Incoming, client::conn::http1, header};
use hyper_util::rt::TokioIo;
use log::{debug, info};
use tokio::{net::TcpStream, task::AbortHandle, time};
use wasabi_answer::{
    broken::Broken,
    evidence::{self, Evidence, SETTLING_TIME},
    head_limit::Limited,
    response_head, whole,
};
use wasabi_core::{
    call::{Content, Framing},
    errors::{Code, Error, Ran, Result},
    note::Server,
    units::{RequestId, RequestRate},
};

use crate::{context::Options, head};

/// The header in which a server names the requests a second that it takes from all hosts together.
const LIMIT: &str = "x-rate-limit";

/// A failed call to a backend server.
#[derive(Debug)]
pub struct Failure {
    /// Whether any byte of the request may have been sent.
    pub sent: bool,
    /// The error to report.
    pub error: Error,
}

impl Failure {
    /// Whether the server broke the request off, so that it may have crashed.
    pub fn may_be_crash(&self) -> bool {
        // A complete answer lacks something only where its connection marks its end.
        self.sent && Broken::is_abrupt(&self.error.detail, Framing::Close)
    }
}

/// The head of a response, from which its body can be read; dropping it closes the connection.
pub struct Reply {
    /// The HTTP status.
    pub status: u16,
    /// The value of `content-type`, if any.
    pub content_type: Option<String>,
    /// The request id that the server returned in `x-request-id`, if any.
    pub echoed: Option<String>,
    /// The requests a second that the server takes from all hosts together, if it names a limit.
    pub limit: Option<RequestRate>,
    /// How the end of the body is marked.
    pub framing: Framing,
    body: Incoming,
    address: SocketAddr,
    /// Time limit for connecting to the server once more; see [`Reply::confirm_end`].
    connect_timeout: Duration,
    _connection: Connection,
}

struct Connection(AbortHandle);

impl Drop for Connection {
    fn drop(&mut self) {
        self.0.abort();
    }
}

/// Sends `request` to `server` and waits at most `limit` for the head of the response. `sent` is set
/// before any byte of the request may be sent, so that it holds also if the call is cancelled.
///
/// Connecting has a time limit of its own, `options.connect_timeout`.
pub async fn send(
    options: &Options,
    server: &Server,
    mut request: Request<Full<Bytes>>,
    limit: Duration,
    sent: &mut bool,
) -> Result<Reply, Failure> {
    let not_sent =
        |detail: &str| Failure { sent: false, error: Error::new(Code::ServerUnavailable, detail) };
    let connecting = time::timeout(options.connect_timeout, TcpStream::connect(server.address));
    let socket = connecting.await.map_err(|_| not_sent("connect timeout"))?;
    let socket = socket.map_err(|_| not_sent("connect failed"))?;
    let _ = socket.set_nodelay(true);
    let (socket, head_limit) = Limited::new(socket);
    let (mut sender, connection) =
        http1::handshake(TokioIo::new(socket)).await.map_err(|_| not_sent("handshake failed"))?;
    let connection = Connection(tokio::spawn(connection).abort_handle());
    let host = server.address.to_string().parse().expect("an address is a header value");
    let method = request.method().clone();
    request.headers_mut().insert(header::HOST, host);
    request.headers_mut().insert(header::CONNECTION, header::HeaderValue::from_static("close"));
    let failed = |code: Code| Failure { sent: true, error: Error::new(code, "").ran(Ran::Unknown) };
    *sent = true;
    head_limit.begin_request();
    let answering = time::timeout(limit, sender.send_request(request));
    let response = answering.await.map_err(|_| failed(Code::AnswerTimeout))?;
    let response =
        response.map_err(|_| Failure { sent: true, error: Broken::ConnectionLost.into() })?;
    response_head::check(&response).map_err(|broken| match broken {
        Broken::HeadJoined => failed(Code::AnswerCrossed),
        broken => Failure { sent: true, error: broken.into() },
    })?;
    let text = |name: &str| head::single_value(response.headers(), name).ok().flatten();
    let has = |name| response.headers().contains_key(name);
    let (has_chunks, has_length) = (has(header::TRANSFER_ENCODING), has(header::CONTENT_LENGTH));
    let status = response.status().as_u16();
    Ok(Reply {
        status,
        content_type: text("content-type"),
        echoed: text("x-request-id"),
        limit: parse_limit(text(LIMIT), server),
        framing: Framing::of(method.as_str(), status, has_chunks, has_length),
        body: response.into_body(),
        address: server.address,
        connect_timeout: options.connect_timeout,
        _connection: connection,
    })
}

/// Parses a limit of requests; a malformed one counts as none.
fn parse_limit(text: Option<String>, server: &Server) -> Option<RequestRate> {
    let parsed: Result<RequestRate> = text?.parse();
    if let Err(e) = &parsed {
        let cause = e.detail.as_str();
        debug!(server = server.name.as_str(), cause = cause; "limit of a backend server not understood");
    }
    parsed.ok()
}

impl Reply {
    /// Waits at most `limit` for the next bytes of the body; `None` at its end.
    pub async fn next(&mut self, limit: Duration) -> Result<Option<Bytes>> {
        let timed_out = || Error::new(Code::AnswerTimeout, "").ran(Ran::Unknown);
        // Bytes that are ready win against a timer.
        if limit.is_zero() {
            return Err(timed_out());
        }
        loop {
            let frame = time::timeout(limit, self.body.frame()).await;
            let frame = frame.map_err(|_| timed_out())?;
            let Some(frame) = frame else { return Ok(None) };
            let frame = frame.map_err(|_| Error::from(Broken::ConnectionLost))?;
            if let Ok(data) = frame.into_data() {
                return Ok(Some(data));
            }
        }
    }

    /// Reads the rest of the body within `limit`.
    ///
    /// Errors: `AnswerBroken` if it has more than `max` bytes, or is not known to be whole.
    pub async fn read_body(&mut self, limit: Duration, max: usize) -> Result<Bytes> {
        let deadline = time::Instant::now() + limit;
        let mut buffer = BytesMut::new();
        while let Some(data) =
            self.next(deadline.saturating_duration_since(time::Instant::now())).await?
        {
            if buffer.len() + data.len() > max {
                return Err(Error::new(Code::AnswerBroken, "too large").ran(Ran::Unknown));
            }
            buffer.extend_from_slice(&data);
        }
        let content = Content::of(self.content_type.as_deref());
        whole::check(self.framing, content, &buffer)?;
        if evidence::is_needed(self.framing, content, &buffer) {
            self.confirm_end().await?;
        }
        Ok(buffer.freeze())
    }

    /// Connects to the server to see whether it lives, after its connection has marked the end of the
    /// answer.
    async fn confirm_end(&self) -> Result<(), Broken> {
        time::sleep(SETTLING_TIME).await;
        let connecting = TcpStream::connect(self.address);
        let connected = time::timeout(self.connect_timeout, connecting).await;
        let evidence = Evidence::of_connecting(connected.as_ref().ok());
        metrics::counter!("wasabi_entry_closed_ends_total", "evidence" => evidence.name())
            .increment(1);
        info!(server = self.address.to_string().as_str(), evidence = evidence.name();
            "answer ended with its connection");
        evidence.check()
    }

    /// Checks that the response does not carry the id of another request; a response without an id
    /// passes.
    ///
    /// Errors: `AnswerCrossed`.
    pub fn check_echo(&self, request: &RequestId) -> Result<()> {
        match &self.echoed {
            Some(echoed) if echoed != request.as_str() => {
                Err(Error::new(Code::AnswerCrossed, "").ran(Ran::Unknown))
            }
            _ => Ok(()),
        }
    }
}
