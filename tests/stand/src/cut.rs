//! Backend server that stops in the middle of an answer's head, where the request says so.

use std::{
    collections::BTreeMap,
    fmt,
    io::{self, Read as _, Write as _},
    net::{Shutdown, SocketAddr, TcpStream},
    str::FromStr,
    sync::Arc,
    thread,
    time::Duration,
};

use anyhow::Context as _;
use parking_lot::Mutex;
use socket2::SockRef;

use crate::scripted;

/// How long a server that does not read a request to its end keeps the connection.
const HOLD: Duration = Duration::from_millis(30);
const PREFIX: &str = "cut-";

/// Where and how a server cuts an answer, named in the path or the body of the request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Cut {
    /// The number of the head among those that the server knows.
    pub head: usize,
    /// The number of bytes that it sends.
    pub length: usize,
    /// What it does then.
    pub end: End,
}

/// How a server ends a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum End {
    /// It closes it, after it has read the whole request.
    Close,
    /// It resets it, after it has read the whole request.
    Reset,
    /// It answers once it has the head of the request, and reads no body.
    Early,
}

/// A request as the server received it.
#[derive(Clone, Debug)]
pub struct Received {
    /// The head.
    pub head: String,
    /// The cut that it asks for.
    pub cut: Option<Cut>,
    /// Its number on its connection, counted from 0.
    pub number: usize,
}

/// What a server answers.
#[derive(Clone, Debug)]
pub struct Answer {
    /// All of the answer.
    pub text: String,
    /// Whether the server closes the connection after it.
    pub closes: bool,
    /// Whether it is cut if the request asks for that.
    pub is_cut: bool,
}

/// The server.
pub struct Server {
    /// The listen address.
    pub address: SocketAddr,
    received: Arc<Mutex<BTreeMap<String, Vec<Received>>>>,
}

impl fmt::Display for Cut {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{PREFIX}{}-{}-{:?}.", self.head, self.length, self.end)
    }
}

impl FromStr for Cut {
    type Err = anyhow::Error;

    /// Finds the first cut in a text.
    fn from_str(text: &str) -> anyhow::Result<Self> {
        let (_, rest) = text.split_once(PREFIX).context("no cut")?;
        let (cut, _) = rest.split_once('.').context("no end")?;
        let parts: Vec<&str> = cut.split('-').collect();
        let [head, length, end] = parts[..] else { anyhow::bail!("not a cut: {cut}") };
        let end = match end {
            "Close" => End::Close,
            "Reset" => End::Reset,
            "Early" => End::Early,
            other => anyhow::bail!("not an end: {other}"),
        };
        Ok(Self { head: head.parse()?, length: length.parse()?, end })
    }
}

impl Received {
    /// Returns the id that a host gives a request.
    pub fn id(&self) -> String {
        [self.header("request-id"), self.header("x-request-id")].concat()
    }

    /// Returns the first value of a header, or an empty string.
    pub fn header(&self, name: &str) -> String {
        scripted::header(&self.head, name)
    }
}

impl Server {
    /// Starts a server on `address`, which closes the connection after a cut.
    pub fn start(
        address: SocketAddr,
        answer: impl Fn(&Received) -> Answer + Send + Sync + 'static,
    ) -> anyhow::Result<Self> {
        let received = Arc::new(Mutex::new(BTreeMap::<_, Vec<_>>::new()));
        let log = received.clone();
        let server = scripted::Server::start_at(address, move |mut stream, _| {
            for number in 0.. {
                let Some(request) = receive(&mut stream, number)? else { break };
                log.lock().entry(request.id()).or_default().push(request.clone());
                let Answer { text, closes, is_cut } = answer(&request);
                let cut = request.cut.filter(|_| is_cut);
                let length = cut.map_or(text.len(), |cut| cut.length.min(text.len()));
                if cut.is_some_and(|cut| cut.end == End::Reset) {
                    SockRef::from(&stream).set_linger(Some(Duration::ZERO))?;
                }
                stream.write_all(&text.as_bytes()[..length])?;
                match cut.map(|cut| cut.end) {
                    Some(End::Early) => {
                        stream.shutdown(Shutdown::Write)?;
                        thread::sleep(HOLD);
                        break;
                    }
                    Some(_) => break,
                    None if closes => break,
                    None => {}
                }
            }
            Ok(())
        })?;
        Ok(Self { address: server.address, received })
    }

    /// Returns the requests so far, by their ids.
    pub fn received(&self) -> BTreeMap<String, Vec<Received>> {
        self.received.lock().clone()
    }

    /// Returns how many requests with this id it has received.
    pub fn count(&self, id: &str) -> usize {
        self.received.lock().get(id).map_or(0, Vec::len)
    }
}

/// Reads a request, its body too unless it is to be answered early; `None` if the connection is closed.
fn receive(stream: &mut TcpStream, number: usize) -> io::Result<Option<Received>> {
    let head = scripted::read_head(stream)?;
    if head.is_empty() {
        return Ok(None);
    }
    let in_head: Option<Cut> = head.parse().ok();
    if in_head.is_some_and(|cut| cut.end == End::Early) {
        return Ok(Some(Received { head, cut: in_head, number }));
    }
    let mut body = vec![0; scripted::header(&head, "content-length").parse().unwrap_or(0)];
    stream.read_exact(&mut body)?;
    let cut = in_head.or_else(|| String::from_utf8_lossy(&body).parse().ok());
    Ok(Some(Received { head, cut, number }))
}
