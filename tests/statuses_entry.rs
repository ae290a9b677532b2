//! `wasabirouter run`: responses of servers whose status is none that can end a response.

mod common;

use std::net::{IpAddr, Ipv4Addr, SocketAddr};

use common::{programs, secret_of};
use serde_json::{Value, json};
use wasabi_core::note;
use wasabi_stand::cut::{Answer, Received, Server};
use wasabi_standin::{
    caller::Call,
    rig::{Rig, Size},
};

const LOCAL: SocketAddr = SocketAddr::new(IpAddr::V4(Ipv4Addr::LOCALHOST), 0);
const STATUSES: [&str; 7] = ["000", "042", "099", "101", "600", "777", "999"];
/// Servers of the pool: one that has failed gets no work for some seconds.
const SERVERS: usize = 40;
/// Calls that servers get at most: the first and the retries.
const MOST_SENDS: usize = 4;

fn start_server(number: usize, status: &'static str) -> anyhow::Result<(Server, note::Server)> {
    let server = Server::start(LOCAL, move |request: &Received| {
        let id = request.header("x-request-id");
        let text = format!(
            "HTTP/1.1 {status} X\r\nx-request-id: {id}\r\ncontent-type: application/json\r\n\
             content-length: 2\r\n\r\n{{}}"
        );
        Answer { text, closes: true, is_cut: false }
    })?;
    let entry = note::Server {
        name: format!("wrong-{number}").parse()?,
        address: server.address,
        build: Default::default(),
        domain: "tn-north-a".parse()?,
        reclaimable: false,
        slots: 16,
    };
    Ok((server, entry))
}

fn call(rig: &Rig, kind: &str) -> Call {
    let chat = |stream| json!({"model": "costing", "stream": stream, "messages": "x"}).to_string();
    let call = match kind {
        "stream" => Call::post("/v1/chat/completions", chat(true)),
        "chat" => Call::post("/v1/chat/completions", chat(false)),
        "assets" => Call::post("/assets", "x".to_string()),
        _ => Call::post("/records", "x".to_string()).header("idempotency-key", "k1"),
    };
    call.bearer(secret_of(&rig.sample.lab))
}

/// Calls servers whose responses all have an invalid status, and checks what the caller is told and how often
/// the call was sent.
fn assert_no_answer(kind: &str, most_sends: usize) -> anyhow::Result<()> {
    let mut wrong = Vec::new();
    for status in STATUSES {
        let started = (0..SERVERS).map(|number| start_server(number, status));
        let (servers, entries): (Vec<_>, Vec<_>) =
            started.collect::<anyhow::Result<Vec<_>>>()?.into_iter().unzip();
        let is_model_call = ["stream", "chat"].contains(&kind);
        let (engines, services) =
            if is_model_call { (&entries[..], &[][..]) } else { (&[][..], &entries[..]) };
        // A pool must have a server; no call goes to the pool of these.
        let size = Size {
            engines: usize::from(!is_model_call),
            services: usize::from(is_model_call),
            ..Size::default()
        };
        let rig = Rig::start_with(programs(), &size, engines, services)?;
        let answer = call(&rig, kind).fetch(rig.hosts[0].callers)?;
        let body: Value = serde_json::from_slice(&answer.body).unwrap_or_default();
        let received = servers.iter().flat_map(|server| server.received().into_values());
        let sends: usize = received.map(|requests| requests.len()).sum();
        let told = (answer.status, answer.complete, &body["error"]["ran"]);
        if told != (502, true, &json!("unknown")) || !(1..=most_sends).contains(&sends) {
            wrong.push(format!("{status}: {told:?} after {sends} sends"));
        }
    }
    assert!(wrong.is_empty(), "{wrong:#?}");
    Ok(())
}

#[test]
fn a_response_without_a_valid_status_is_no_answer_to_a_stream() -> anyhow::Result<()> {
    assert_no_answer("stream", MOST_SENDS)
}

#[test]
fn a_response_without_a_valid_status_is_no_answer_to_a_model_call() -> anyhow::Result<()> {
    assert_no_answer("chat", MOST_SENDS)
}

#[test]
fn a_response_without_a_valid_status_is_no_answer_to_a_repeatable_call() -> anyhow::Result<()> {
    assert_no_answer("assets", MOST_SENDS)
}

#[test]
fn a_response_without_a_valid_status_is_no_answer_to_a_call_that_runs_once() -> anyhow::Result<()> {
    assert_no_answer("records", 1)
}
