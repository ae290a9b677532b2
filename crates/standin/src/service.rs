//! Stand-in for a backend server of plain calls; it records every execution, so that tests can find
//! calls that ran more than once.

use std::{
    io::Write as _,
    net::SocketAddr,
    sync::Arc,
    thread,
    time::{Duration, Instant},
};

use parking_lot::Mutex;
use serde_json::json;
use tiny_http::Request;
use wasabi_core::{
    note::Server,
    units::{Domain, ServerId},
};

use crate::http::{self, Handle, Handler};

/// Injected faults of a service; the default is none.
#[derive(Clone, Debug, Default)]
pub struct Faults {
    /// Executes the call and then closes the connection without a response.
    pub lose_response: bool,
    /// Executes the call, sends a part of the response without a length or chunks, and closes the
    /// connection in an orderly way.
    pub cut_response: bool,
    /// Delay of the response after the execution.
    pub response_delay: Duration,
    /// A call whose path, headers or body contain this text is executed and gets no response, as if it
    /// had crashed the service.
    pub fatal_text: Option<String>,
}

/// An executed call.
#[derive(Clone, Debug)]
pub struct Execution {
    /// The `idempotency-key` header, empty if there is none.
    pub idempotency_key: String,
    /// The received URL, headers and body.
    pub request_text: String,
    /// When it was received.
    pub at: Instant,
}

/// A running service; it stops listening when dropped.
pub struct Service {
    /// Its name as a backend server.
    pub name: ServerId,
    state: Arc<State>,
    handle: Handle,
}

#[derive(Default)]
struct State {
    faults: Mutex<Faults>,
    executions: Mutex<Vec<Execution>>,
}

impl Service {
    /// Starts a service on a free port.
    pub fn start(name: &str) -> anyhow::Result<Self> {
        let state = Arc::new(State::default());
        let handle = http::listen(http::any_port(), state.clone())?;
        Ok(Self { name: name.parse()?, state, handle })
    }

    /// Returns the address on which it listens.
    pub fn address(&self) -> SocketAddr {
        self.handle.address
    }

    /// Returns the service as a release note lists it.
    pub fn server(&self, domain: &Domain) -> Server {
        Server {
            name: self.name.clone(),
            address: self.address(),
            build: Default::default(),
            domain: domain.clone(),
            reclaimable: false,
            slots: 16,
        }
    }

    /// Changes the injected faults.
    pub fn update_faults(&self, change: impl FnOnce(&mut Faults)) {
        change(&mut self.state.faults.lock());
    }

    /// Returns all executed calls, in their order.
    pub fn executions(&self) -> Vec<Execution> {
        self.state.executions.lock().clone()
    }
}

impl Handler for State {
    fn serve(&self, mut request: Request) {
        let text = http::body(&mut request);
        let headers = request.headers().iter().map(|header| format!("{header}\n"));
        let request_text = format!("{}\n{}\n{text}", request.url(), headers.collect::<String>());
        let idempotency_key =
            request.headers().iter().find(|header| header.field.equiv("idempotency-key"));
        let idempotency_key =
            idempotency_key.map_or_else(String::new, |header| header.value.to_string());
        let fatal_text = self.faults.lock().fatal_text.clone();
        let is_fatal = fatal_text.is_some_and(|fatal| request_text.contains(fatal.as_str()));
        let receipt = {
            let mut executions = self.executions.lock();
            executions.push(Execution { idempotency_key, request_text, at: Instant::now() });
            executions.len()
        };
        let faults = self.faults.lock().clone();
        thread::sleep(faults.response_delay);
        if faults.lose_response || is_fatal {
            drop(request.into_writer());
            return;
        }
        let answer = json!({"receipt": receipt}).to_string();
        if faults.cut_response {
            let part = &answer[..answer.len() / 2];
            let head = "HTTP/1.1 200 OK\r\ncontent-type: application/json\r\n\r\n";
            let mut out = request.into_writer();
            let written = out.write_all(format!("{head}{part}").as_bytes());
            let _ = written.and_then(|()| out.flush());
            return;
        }
        http::respond(request, 200, answer);
    }
}
