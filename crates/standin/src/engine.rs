//! Stand-in for an inference engine over HTTP: a limited number of slots, a queue by priority, a
//! prefix cache, streamed answers that can be resumed, and fault injection.

use std::{
    collections::{BTreeMap, VecDeque},
    io::Write,
    net::SocketAddr,
    sync::{
        Arc,
        atomic::{AtomicU64, Ordering},
    },
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

use crate::http::{self, Handle, Handler};

/// Prefixes in the cache of an engine; the least recently used one is evicted.
const MAX_CACHED_PREFIXES: usize = 64;
/// Prompts with equal prefixes of this length share a cache entry.
const CACHED_PREFIX_CHARS: usize = 256;
/// The time between two bytes of an answer that drips.
const DRIP_INTERVAL: Duration = Duration::from_millis(50);
/// Length of an answer whose request has no `max_tokens`.
const DEFAULT_MAX_TOKENS: u64 = 20;

/// Capacity and speed of an engine.
#[derive(Clone, Debug)]
pub struct Profile {
    /// Maximum number of running requests.
    pub slots: u32,
    /// Delay before the first token of a request whose prompt prefix is not cached.
    pub first_token_delay: Duration,
    /// Delay between tokens.
    pub token_interval: Duration,
}

impl Default for Profile {
    fn default() -> Self {
        let (first_token_delay, token_interval) =
            (Duration::from_millis(10), Duration::from_millis(5));
        Self { slots: 4, first_token_delay, token_interval }
    }
}

/// Injected faults of an engine; the default is none. Changes also affect running streams, unless
/// noted.
#[derive(Clone, Debug, Default)]
pub struct Faults {
    /// Closes the connection of a stream before the token with this number, counted from 0 in the
    /// full answer; closes that of any other request without an answer.
    pub cut_after: Option<u64>,
    /// With `cut_after`: only streams that begin are cut, not those that go on.
    pub cut_new: bool,
    /// With `cut_after`: closes the connection of a stream in the middle of a chunk.
    pub half_chunk: bool,
    /// Stops sending before the token with this number, counted as in `cut_after`, and leaves the
    /// connection open.
    pub stall_after: Option<u64>,
    /// Answers with the id of another request; streams that already run are not affected.
    pub wrong_request_id: bool,
    /// Ends streams without the `[DONE]` event.
    pub omit_end_marker: bool,
    /// Refuses new requests with status 503.
    pub down: bool,
    /// Sends an endless event as the answer of each stream that starts.
    pub flood: bool,
    /// Sends a byte of an event that never ends now and then, as the answer of each stream that starts.
    pub drip: bool,
    /// Factor on the delay between tokens; 0 counts as 1.
    pub slowdown: u32,
    /// The bytes that answer each stream that goes on, in place of an answer; `ID` stands for the request's id.
    pub resumed_answer: Option<String>,
    /// The requests a second that streams which start name as the engine's limit, if any.
    pub limit: Option<f64>,
    /// A request whose path or body contains this text crashes the engine before its first token: the
    /// connections of all running requests are closed. The engine is back at once.
    pub fatal_text: Option<String>,
}

/// What an engine recorded of one request that got a slot.
#[derive(Clone, Debug)]
pub struct Record {
    /// The `request_id` of the body, or `none`.
    pub request_id: String,
    /// The received URL, headers and body.
    pub request_text: String,
    /// The `priority` of the body; 0 is the highest.
    pub priority: u64,
    /// Number of leading tokens that a resumed stream skips.
    pub resume_from: u64,
    /// Tokens generated so far.
    pub tokens: u64,
    /// When it got a slot.
    pub began: Instant,
    /// When its answer was complete or broken off; `None` before.
    pub ended: Option<Instant>,
    /// Whether the answer was written completely, end marker included.
    pub complete: bool,
}

/// A running engine; it stops listening when dropped.
pub struct Engine {
    /// Its name as a backend server.
    pub name: ServerId,
    state: Arc<State>,
    handle: Handle,
}

struct State {
    profile: Mutex<Profile>,
    faults: Mutex<Faults>,
    records: Mutex<Vec<Record>>,
    load: Mutex<Load>,
    slot_freed: Condvar,
    /// Counts the crashes; running requests break off when it changes.
    crashes: AtomicU64,
}

#[derive(Default)]
/// Running and waiting requests, and the prefix cache.
struct Load {
    running: u32,
    /// Waiting requests by priority, then by arrival.
    waiting: BTreeMap<(u64, u64), ()>,
    arrivals: u64,
    /// The most requests that ran or waited here at once.
    peak: usize,
    /// Cached prompt prefixes, the least recently used first.
    cached_prefixes: VecDeque<String>,
}

impl Engine {
    /// Starts an engine on a free port.
    pub fn start(name: &str, profile: Profile) -> anyhow::Result<Self> {
        let state = Arc::new(State {
            profile: Mutex::new(profile),
            faults: Mutex::default(),
            records: Mutex::default(),
            load: Mutex::default(),
            slot_freed: Condvar::new(),
            crashes: AtomicU64::new(0),
        });
        let handle = http::listen(http::any_port(), state.clone())?;
        Ok(Self { name: name.parse()?, state, handle })
    }

    /// Returns the address on which it listens.
    pub fn address(&self) -> SocketAddr {
        self.handle.address
    }

    /// Returns the engine as a release note lists it.
    pub fn server(&self, domain: &Domain, reclaimable: bool) -> Server {
        let slots = self.state.profile.lock().slots;
        Server {
            name: self.name.clone(),
            address: self.address(),
            build: Default::default(),
            domain: domain.clone(),
            reclaimable,
            slots,
        }
    }

    /// Changes the injected faults.
    pub fn update_faults(&self, change: impl FnOnce(&mut Faults)) {
        change(&mut self.state.faults.lock());
    }

    /// Returns the records of all requests that got a slot, by start.
    pub fn records(&self) -> Vec<Record> {
        self.state.records.lock().clone()
    }

    /// Returns the largest number of requests that ran or waited at the same time.
    pub fn peak(&self) -> usize {
        self.state.load.lock().peak
    }

    /// Breaks off all running requests, as when the process ends; it is back at once.
    pub fn crash(&self) {
        self.state.crashes.fetch_add(1, Ordering::SeqCst);
    }

    /// Returns the number of running requests.
    pub fn running(&self) -> u32 {
        self.state.load.lock().running
    }
}

/// Returns the text of token `number` of the answer to `prompt`.
pub fn token(prompt: &str, number: u64) -> String {
    let sum = prompt.bytes().fold(number, |sum, b| sum.wrapping_mul(31).wrapping_add(u64::from(b)));
    format!("w{number}-{:04x} ", sum & 0xffff)
}

/// Returns the text of the answer of `tokens` tokens to `prompt`.
pub fn answer(prompt: &str, tokens: u64) -> String {
    (0..tokens).map(|number| token(prompt, number)).collect()
}

/// The fields of a request body.
struct GenerationRequest {
    id: String,
    prompt: String,
    tokens: u64,
    resume_from: u64,
    priority: u64,
    stream: bool,
    chat: bool,
}

impl GenerationRequest {
    fn parse(url: &str, body: &Value) -> Self {
        let number = |name: &str| body.get(name).and_then(Value::as_u64);
        let prompt = match body.get("messages").or_else(|| body.get("prompt")) {
            Some(Value::String(text)) => text.clone(),
            Some(other) => other.to_string(),
            None => String::new(),
        };
        Self {
            id: body.get("request_id").and_then(Value::as_str).unwrap_or("none").to_string(),
            prompt,
            tokens: number("max_tokens").unwrap_or(DEFAULT_MAX_TOKENS),
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

/// An occupied slot, which becomes free on drop.
struct Slot<'a>(&'a State);

impl Drop for Slot<'_> {
    fn drop(&mut self) {
        self.0.load.lock().running -= 1;
        self.0.slot_freed.notify_all();
    }
}

impl State {
    /// Waits for a slot; the lowest priority number goes first, then the earliest arrival.
    fn acquire_slot(&self, priority: u64) -> Slot<'_> {
        let mut load = self.load.lock();
        load.arrivals += 1;
        let ticket = (priority, load.arrivals);
        load.waiting.insert(ticket, ());
        load.peak = load.peak.max(load.waiting.len() + load.running as usize);
        loop {
            let first = load.waiting.keys().next() == Some(&ticket);
            if first && load.running < self.profile.lock().slots {
                break;
            }
            self.slot_freed.wait(&mut load);
        }
        load.waiting.remove(&ticket);
        load.running += 1;
        self.slot_freed.notify_all();
        Slot(self)
    }

    /// Returns whether the prompt's prefix was cached, and makes it the most recently used one.
    fn touch_prefix(&self, prompt: &str) -> bool {
        let prefix: String = prompt.chars().take(CACHED_PREFIX_CHARS).collect();
        let mut load = self.load.lock();
        let cached_at = load.cached_prefixes.iter().position(|known| *known == prefix);
        if let Some(position) = cached_at {
            load.cached_prefixes.remove(position);
        }
        load.cached_prefixes.push_back(prefix);
        if load.cached_prefixes.len() > MAX_CACHED_PREFIXES {
            load.cached_prefixes.pop_front();
        }
        cached_at.is_some()
    }

    /// Adds the record of a request; returns its index.
    fn add_record(&self, generation: &GenerationRequest, request_text: String) -> usize {
        let record = Record {
            request_id: generation.id.clone(),
            request_text,
            priority: generation.priority,
            resume_from: generation.resume_from,
            tokens: 0,
            began: Instant::now(),
            ended: None,
            complete: false,
        };
        let mut records = self.records.lock();
        records.push(record);
        records.len() - 1
    }

    /// Returns the delay between tokens, slowed down by the faults.
    fn token_delay(&self) -> Duration {
        self.profile.lock().token_interval * self.faults.lock().slowdown.max(1)
    }

    /// Writes a streamed answer; returns whether its end marker was written.
    ///
    /// The slot is released after the last token and before the end marker, so that a caller that
    /// has read the end marker finds it free.
    fn stream(
        &self,
        generation: &GenerationRequest,
        record: usize,
        slot: Slot<'_>,
        out: &mut dyn Write,
        crashes: u64,
    ) -> std::io::Result<bool> {
        let faults = self.faults.lock().clone();
        if let Some(bytes) = faults.resumed_answer.filter(|_| generation.resume_from > 0) {
            out.write_all(bytes.replace("ID", &generation.id).as_bytes())?;
            out.flush()?;
            return Ok(false);
        }
        let limit = faults.limit.map(|rate| format!("x-rate-limit: {rate}\r\n"));
        let head = format!(
            "HTTP/1.1 200 OK\r\ncontent-type: text/event-stream\r\n\
             transfer-encoding: chunked\r\nconnection: close\r\n{}\r\n",
            limit.unwrap_or_default()
        );
        out.write_all(head.as_bytes())?;
        out.flush()?;
        if faults.flood {
            loop {
                write_chunk(out, "data: flood flood flood flood flood flood flood flood ")?;
            }
        }
        if faults.drip {
            loop {
                write_chunk(out, "x")?;
                thread::sleep(DRIP_INTERVAL);
            }
        }
        let id = if faults.wrong_request_id { "r-another" } else { generation.id.as_str() };
        for token_number in generation.resume_from..generation.tokens {
            let faults = self.faults.lock().clone();
            if faults.stall_after.is_some_and(|after| token_number >= after) {
                thread::sleep(Duration::from_secs(3_600));
            }
            if self.crashes.load(Ordering::SeqCst) != crashes {
                return Ok(false);
            }
            let may_cut = !faults.cut_new || generation.resume_from == 0;
            if may_cut && faults.cut_after.is_some_and(|after| token_number >= after) {
                if faults.half_chunk {
                    out.write_all(b"40\r\ndata: {\"id\":")?;
                    out.flush()?;
                }
                return Ok(false);
            }
            if token_number > generation.resume_from {
                thread::sleep(self.token_delay());
            }
            let text = token(&generation.prompt, token_number);
            let choice = if generation.chat {
                json!({"index": 0, "delta": {"content": text}})
            } else {
                json!({"index": 0, "text": text})
            };
            write_event(out, &json!({"id": id, "choices": [choice]}).to_string())?;
            self.records.lock()[record].tokens += 1;
        }
        drop(slot);
        let usage =
            generation.usage(generation.tokens - generation.resume_from.min(generation.tokens));
        write_event(out, &json!({"id": id, "choices": [], "usage": usage}).to_string())?;
        if self.faults.lock().omit_end_marker {
            out.write_all(b"0\r\n\r\n")?;
            out.flush()?;
            return Ok(false);
        }
        write_event(out, "[DONE]")?;
        out.write_all(b"0\r\n\r\n")?;
        out.flush()?;
        Ok(true)
    }

    /// Generates an answer that is not streamed; returns its body.
    fn unstreamed_body(&self, generation: &GenerationRequest, record: usize) -> String {
        thread::sleep(self.token_delay() * generation.tokens as u32);
        self.records.lock()[record].tokens = generation.tokens;
        let text = answer(&generation.prompt, generation.tokens);
        let wrong_request_id = self.faults.lock().wrong_request_id;
        let id = if wrong_request_id { "r-another" } else { generation.id.as_str() };
        let message = json!({"role": "assistant", "content": text});
        json!({
            "id": id,
            "object": "chat.completion",
            "choices": [{"index": 0, "message": message, "finish_reason": "stop"}],
            "usage": generation.usage(generation.tokens),
        })
        .to_string()
    }
}

impl Handler for State {
    fn serve(&self, mut request: Request) {
        let text = http::body(&mut request);
        let headers = request.headers().iter().map(|header| format!("{header}\n"));
        let request_text = format!("{}\n{}\n{text}", request.url(), headers.collect::<String>());
        let body: Value = serde_json::from_str(&text).unwrap_or_default();
        let generation = GenerationRequest::parse(request.url(), &body);
        if self.faults.lock().down {
            return http::respond(request, 503, "");
        }
        let slot = self.acquire_slot(generation.priority);
        let record = self.add_record(&generation, request_text);
        if !self.touch_prefix(&generation.prompt) {
            // Copied first: a lock guard inside the call to `sleep` would be held during the sleep.
            let first_token_delay = self.profile.lock().first_token_delay;
            thread::sleep(first_token_delay);
        }
        let fatal_text = self.faults.lock().fatal_text.clone();
        let is_fatal = fatal_text
            .is_some_and(|fatal| self.records.lock()[record].request_text.contains(fatal.as_str()));
        let crashes = self.crashes.load(Ordering::SeqCst);
        if is_fatal {
            self.crashes.fetch_add(1, Ordering::SeqCst);
        }
        let complete = if generation.stream {
            let mut out = request.into_writer();
            self.stream(&generation, record, slot, &mut *out, crashes).unwrap_or(false)
        } else if self.faults.lock().cut_after.is_some() {
            drop(request.into_writer());
            false
        } else {
            let answer = self.unstreamed_body(&generation, record);
            drop(slot);
            let crashed = self.crashes.load(Ordering::SeqCst) != crashes;
            match crashed {
                true => drop(request.into_writer()),
                false => http::respond(request, 200, answer),
            }
            !crashed
        };
        {
            let mut records = self.records.lock();
            records[record].ended = Some(Instant::now());
            records[record].complete = complete;
        }
    }
}

fn write_chunk(out: &mut dyn Write, text: &str) -> std::io::Result<()> {
    let chunk = format!("{:x}\r\n{text}\r\n", text.len());
    out.write_all(chunk.as_bytes())?;
    out.flush()
}

fn write_event(out: &mut dyn Write, data: &str) -> std::io::Result<()> {
    write_chunk(out, &format!("data: {data}\n\n"))
}
