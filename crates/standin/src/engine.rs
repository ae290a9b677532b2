//! A model engine: continuous batching over a number of slots, streams, resume, priorities.

use std::{
    collections::{BTreeMap, VecDeque},
    io::Write,
    net::SocketAddr,
    sync::Arc,
    thread,
    time::{Duration, Instant},
};

use parking_lot::{Condvar, Mutex};
use serde_json::{Value, json};
use tiny_http::Request;
use wasabi_core::{
    note::Server,
    units::{Domain, ServerId},
};

use crate::http::{self, Listening, Service};

/// Prompt prefixes that an engine keeps.
const CACHE_PREFIXES: usize = 64;
const PREFIX_BYTES: usize = 256;
/// Tokens of an answer whose request states no limit.
const DEFAULT_TOKENS: u64 = 20;

/// How an engine works.
#[derive(Clone, Debug)]
pub struct Pace {
    /// Requests at a time.
    pub slots: u32,
    /// From the start of a request to its first token, when the prefix is not cached.
    pub first_token: Duration,
    /// Between tokens.
    pub interval: Duration,
}

impl Default for Pace {
    fn default() -> Self {
        let (first_token, interval) = (Duration::from_millis(10), Duration::from_millis(5));
        Self { slots: 4, first_token, interval }
    }
}

/// How an engine misbehaves.
#[derive(Clone, Debug, Default)]
pub struct Faults {
    /// Breaks the connection after this many tokens of a request.
    pub die_after: Option<u64>,
    /// Breaks it in the middle of a chunk.
    pub half_chunk: bool,
    /// Falls silent after this many tokens.
    pub stall_after: Option<u64>,
    /// Answers with another request's identity.
    pub crossed: bool,
    /// Ends streams without their end marker.
    pub no_end: bool,
    /// Refuses everything with status 503.
    pub down: bool,
    /// Sends endless bytes without an event's end.
    pub flood: bool,
    /// Multiplies the time between tokens.
    pub slowdown: u32,
}

/// What an engine saw of one request.
#[derive(Clone, Debug)]
pub struct Record {
    /// The identity that the request bore.
    pub request: String,
    /// Everything that was received: URL, headers and body.
    pub bytes: String,
    /// The tier that it was sent with.
    pub priority: u64,
    /// After how many tokens it went on.
    pub resume_from: u64,
    /// Tokens generated.
    pub tokens: u64,
    /// When it began to run.
    pub began: Instant,
    /// When it ended; none while it runs.
    pub ended: Option<Instant>,
    /// Whether its end marker was written.
    pub complete: bool,
}

/// A running engine.
pub struct Engine {
    /// Its name.
    pub name: ServerId,
    state: Arc<State>,
    listening: Listening,
}

struct State {
    pace: Mutex<Pace>,
    faults: Mutex<Faults>,
    records: Mutex<Vec<Record>>,
    busy: Mutex<Busy>,
    freed: Condvar,
}

#[derive(Default)]
struct Busy {
    running: u32,
    /// Waiting requests by priority, then by arrival.
    waiting: BTreeMap<(u64, u64), ()>,
    arrivals: u64,
    /// The most requests that ran or waited here at once.
    peak: usize,
    cached: VecDeque<String>,
}

impl Engine {
    /// Starts an engine on a port of the system's choice.
    pub fn start(name: &str, pace: Pace) -> anyhow::Result<Self> {
        let state = Arc::new(State {
            pace: Mutex::new(pace),
            faults: Mutex::default(),
            records: Mutex::default(),
            busy: Mutex::default(),
            freed: Condvar::new(),
        });
        let listening = http::listen(http::any_port(), state.clone())?;
        Ok(Self { name: name.parse()?, state, listening })
    }

    /// Returns where it listens.
    pub fn address(&self) -> SocketAddr {
        self.listening.address
    }

    /// Returns the engine as a release note lists it.
    pub fn server(&self, domain: &Domain, cheap: bool) -> Server {
        let slots = self.state.pace.lock().slots;
        Server {
            name: self.name.clone(),
            address: self.address(),
            domain: domain.clone(),
            cheap,
            slots,
        }
    }

    /// Changes how it misbehaves.
    pub fn fault(&self, change: impl FnOnce(&mut Faults)) {
        change(&mut self.state.faults.lock());
    }

    /// Returns what it saw of every request.
    pub fn records(&self) -> Vec<Record> {
        self.state.records.lock().clone()
    }

    /// Returns the most requests that it had at once, running or waiting.
    pub fn peak(&self) -> usize {
        self.state.busy.lock().peak
    }

    /// Returns how many requests it runs now.
    pub fn running(&self) -> u32 {
        self.state.busy.lock().running
    }
}

/// Returns the text of token `number` of the answer to `prompt`.
pub fn token(prompt: &str, number: u64) -> String {
    let sum = prompt.bytes().fold(number, |sum, b| sum.wrapping_mul(31).wrapping_add(u64::from(b)));
    format!("w{number}-{:04x} ", sum & 0xffff)
}

/// Returns the whole answer to `prompt` of `tokens` tokens.
pub fn answer(prompt: &str, tokens: u64) -> String {
    (0..tokens).map(|number| token(prompt, number)).collect()
}

struct Work {
    id: String,
    prompt: String,
    tokens: u64,
    resume_from: u64,
    priority: u64,
    stream: bool,
    chat: bool,
}

impl Work {
    fn read(url: &str, body: &Value) -> Self {
        let number = |name: &str| body.get(name).and_then(Value::as_u64);
        let prompt = match body.get("messages").or_else(|| body.get("prompt")) {
            Some(Value::String(text)) => text.clone(),
            Some(other) => other.to_string(),
            None => String::new(),
        };
        Self {
            id: body.get("request_id").and_then(Value::as_str).unwrap_or("none").to_string(),
            prompt,
            tokens: number("max_tokens").unwrap_or(DEFAULT_TOKENS),
            resume_from: number("resume_from").unwrap_or(0),
            priority: number("priority").unwrap_or(0),
            stream: body.get("stream").and_then(Value::as_bool).unwrap_or(false),
            chat: url.starts_with("/v1/chat"),
        }
    }

    fn usage(&self, tokens: u64) -> Value {
        json!({"prompt_tokens": self.prompt.len().div_ceil(4), "completion_tokens": tokens})
    }
}

/// A slot, free again when this is dropped.
struct Slot<'a>(&'a State);

impl Drop for Slot<'_> {
    fn drop(&mut self) {
        self.0.busy.lock().running -= 1;
        self.0.freed.notify_all();
    }
}

impl State {
    /// Waits for a slot; the lowest priority number goes first.
    fn enter(&self, priority: u64) -> Slot<'_> {
        let mut busy = self.busy.lock();
        busy.arrivals += 1;
        let place = (priority, busy.arrivals);
        busy.waiting.insert(place, ());
        busy.peak = busy.peak.max(busy.waiting.len() + busy.running as usize);
        loop {
            let first = busy.waiting.keys().next() == Some(&place);
            if first && busy.running < self.pace.lock().slots {
                break;
            }
            self.freed.wait(&mut busy);
        }
        busy.waiting.remove(&place);
        busy.running += 1;
        self.freed.notify_all();
        Slot(self)
    }

    /// Returns whether the prompt's prefix was cached, and caches it.
    fn cached(&self, prompt: &str) -> bool {
        let prefix: String = prompt.chars().take(PREFIX_BYTES).collect();
        let mut busy = self.busy.lock();
        let hit = busy.cached.iter().position(|known| *known == prefix);
        if let Some(position) = hit {
            busy.cached.remove(position);
        }
        busy.cached.push_back(prefix);
        if busy.cached.len() > CACHE_PREFIXES {
            busy.cached.pop_front();
        }
        hit.is_some()
    }

    fn begin(&self, work: &Work, bytes: String) -> usize {
        let record = Record {
            request: work.id.clone(),
            bytes,
            priority: work.priority,
            resume_from: work.resume_from,
            tokens: 0,
            began: Instant::now(),
            ended: None,
            complete: false,
        };
        let mut records = self.records.lock();
        records.push(record);
        records.len() - 1
    }

    fn interval(&self) -> Duration {
        self.pace.lock().interval * self.faults.lock().slowdown.max(1)
    }

    /// Writes the stream; returns whether its end marker was written.
    ///
    /// The slot is free once the last token is made: whoever reads the end marker may send the next
    /// request at once.
    fn stream(
        &self,
        work: &Work,
        number: usize,
        slot: Slot<'_>,
        out: &mut dyn Write,
    ) -> std::io::Result<bool> {
        let head = "HTTP/1.1 200 OK\r\ncontent-type: text/event-stream\r\n\
                    transfer-encoding: chunked\r\nconnection: close\r\n\r\n";
        out.write_all(head.as_bytes())?;
        out.flush()?;
        let faults = self.faults.lock().clone();
        if faults.flood {
            loop {
                chunk(out, "data: flood flood flood flood flood flood flood flood ")?;
            }
        }
        let id = if faults.crossed { "r-another" } else { work.id.as_str() };
        for token_number in work.resume_from..work.tokens {
            let faults = self.faults.lock().clone();
            if faults.stall_after.is_some_and(|after| token_number >= after) {
                thread::sleep(Duration::from_secs(3_600));
            }
            if faults.die_after.is_some_and(|after| token_number >= after) {
                if faults.half_chunk {
                    out.write_all(b"40\r\ndata: {\"id\":")?;
                    out.flush()?;
                }
                return Ok(false);
            }
            if token_number > work.resume_from {
                thread::sleep(self.interval());
            }
            let text = token(&work.prompt, token_number);
            let choice = if work.chat {
                json!({"index": 0, "delta": {"content": text}})
            } else {
                json!({"index": 0, "text": text})
            };
            event(out, &json!({"id": id, "choices": [choice]}).to_string())?;
            self.records.lock()[number].tokens += 1;
        }
        drop(slot);
        let usage = work.usage(work.tokens - work.resume_from.min(work.tokens));
        event(out, &json!({"id": id, "choices": [], "usage": usage}).to_string())?;
        if self.faults.lock().no_end {
            out.write_all(b"0\r\n\r\n")?;
            out.flush()?;
            return Ok(false);
        }
        event(out, "[DONE]")?;
        out.write_all(b"0\r\n\r\n")?;
        out.flush()?;
        Ok(true)
    }

    fn whole(&self, work: &Work, number: usize) -> String {
        thread::sleep(self.interval() * work.tokens as u32);
        self.records.lock()[number].tokens = work.tokens;
        let text = answer(&work.prompt, work.tokens);
        let crossed = self.faults.lock().crossed;
        let id = if crossed { "r-another" } else { work.id.as_str() };
        let message = json!({"role": "assistant", "content": text});
        json!({
            "id": id,
            "object": "chat.completion",
            "choices": [{"index": 0, "message": message, "finish_reason": "stop"}],
            "usage": work.usage(work.tokens),
        })
        .to_string()
    }
}

impl Service for State {
    fn serve(&self, mut request: Request) {
        let text = http::body(&mut request);
        let headers = request.headers().iter().map(|header| format!("{header}\n"));
        let bytes = format!("{}\n{}\n{text}", request.url(), headers.collect::<String>());
        let body: Value = serde_json::from_str(&text).unwrap_or_default();
        let work = Work::read(request.url(), &body);
        if self.faults.lock().down {
            return http::respond(request, 503, "");
        }
        let slot = self.enter(work.priority);
        let number = self.begin(&work, bytes);
        if !self.cached(&work.prompt) {
            // Copied first: a guard inside the call would be held while it sleeps.
            let first_token = self.pace.lock().first_token;
            thread::sleep(first_token);
        }
        let complete = if work.stream {
            let mut out = request.into_writer();
            self.stream(&work, number, slot, &mut *out).unwrap_or(false)
        } else if self.faults.lock().die_after.is_some() {
            drop(request.into_writer());
            false
        } else {
            let answer = self.whole(&work, number);
            drop(slot);
            http::respond(request, 200, answer);
            true
        };
        {
            let mut records = self.records.lock();
            records[number].ended = Some(Instant::now());
            records[number].complete = complete;
        }
    }
}

fn chunk(out: &mut dyn Write, text: &str) -> std::io::Result<()> {
    let whole = format!("{:x}\r\n{text}\r\n", text.len());
    out.write_all(whole.as_bytes())?;
    out.flush()
}

fn event(out: &mut dyn Write, data: &str) -> std::io::Result<()> {
    chunk(out, &format!("data: {data}\n\n"))
}
