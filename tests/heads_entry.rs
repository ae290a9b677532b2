//! `wasabirouter run`: servers that stop in the middle of the head of an answer, at each of its bytes.

mod common;

use std::{
    collections::BTreeMap,
    net::{IpAddr, Ipv4Addr, SocketAddr},
    thread,
    time::{Duration, Instant},
};

use anyhow::Context as _;
use common::{programs, secret_of};
use serde_json::{Value, json};
use wasabi_core::note;
use wasabi_stand::cut::{Answer, Cut, End, Received, Server};
use wasabi_standin::{
    caller::Call,
    rig::{Rig, Size},
};

const LOCAL: SocketAddr = SocketAddr::new(IpAddr::V4(Ipv4Addr::LOCALHOST), 0);
/// Servers of the pool: one that has failed gets no work for some seconds.
const SERVERS: usize = 40;
/// Cuts that are played against one deployment.
const CUTS: usize = 10;
const CALLERS: usize = 6;
/// The longest time that a call may take; a second send may wait for a server that has not failed.
const LIMIT: Duration = Duration::from_secs(5);
/// How long a call is sent again until a server gets it.
const ARRIVAL_LIMIT: Duration = Duration::from_secs(10);
const HEADS: usize = 7;
/// Calls that servers get at most: the first and the retries.
const MOST_SENDS: usize = 4;

/// Returns the head of an answer that a server begins.
fn head(request: &Received, head: usize) -> String {
    let id = request.header("x-request-id");
    let own = format!("x-request-id: {id}\r\ncontent-type: application/json\r\n");
    match head {
        0 => format!("HTTP/1.1 200 OK\r\n{own}content-length: 2\r\n\r\n"),
        1 => format!("HTTP/1.1 200 OK\r\ncontent-length: 0\r\n{own}\r\n"),
        2 => format!("HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n{own}\r\n"),
        3 => format!("HTTP/1.1 200 OK\r\n{own}\r\n"),
        4 => format!("HTTP/1.1 103 X\r\nlink: x\r\n\r\nHTTP/1.1 200 OK\r\n{own}\r\n"),
        5 => format!("HTTP/1.1 204 X\r\n{own}\r\n"),
        _ => format!("HTTP/1.1 503 X\r\nretry-after: 1\r\ncontent-length: 0\r\n{own}\r\n"),
    }
}

fn cutting_servers(name: &str) -> anyhow::Result<(Vec<Server>, Vec<note::Server>)> {
    let start = |number| {
        let server = Server::start(LOCAL, |request| {
            let text = head(request, request.cut.map_or(0, |cut| cut.head));
            Answer { text, closes: true, is_cut: true }
        })?;
        let entry = note::Server {
            name: format!("{name}-{number}").parse()?,
            address: server.address,
            build: Default::default(),
            domain: "tn-north-a".parse()?,
            reclaimable: false,
            slots: 16,
        };
        anyhow::Ok((server, entry))
    };
    let servers: anyhow::Result<Vec<_>> = (0..SERVERS).map(start).collect();
    Ok(servers?.into_iter().unzip())
}

/// A call of a kind that asks for a cut; `number` makes it unlike all others.
fn call(rig: &Rig, kind: &str, cut: Cut, number: usize) -> Call {
    let text = format!("{number} {cut}");
    let chat = |stream| json!({"model": "costing", "stream": stream, "messages": text}).to_string();
    let call = match kind {
        "stream" => Call::post("/v1/chat/completions", chat(true)),
        "chat" => Call::post("/v1/chat/completions", chat(false)),
        "assets" => Call::post("/assets", text),
        _ => Call::post("/records", text).header("idempotency-key", &format!("k{number}")),
    };
    call.bearer(secret_of(&rig.sample.lab))
}

/// Cuts of each head before and after the end of each line, and within its status. An id that hosts give has
/// a length of its own.
fn cuts(id_bytes: usize) -> Vec<Cut> {
    let request = format!("POST / HTTP/1.1\r\nx-request-id: {}\r\n\r\n", "x".repeat(id_bytes));
    let request = Received { head: request, cut: None, number: 0 };
    let mut cuts = Vec::new();
    for number in 0..HEADS {
        let text = head(&request, number);
        let line_ends = text.match_indices("\r\n").flat_map(|(at, _)| [at, at + 1, at + 2]);
        let lengths = [0, 1, 11].into_iter().chain(line_ends).filter(|at| *at < text.len());
        cuts.extend(lengths.map(|length| (number, length)));
    }
    let ends = [End::Close, End::Reset].into_iter().cycle();
    cuts.into_iter().zip(ends).map(|((head, length), end)| Cut { head, length, end }).collect()
}

/// Starts a deployment in which servers that cut run the calls of a kind.
fn start(kind: &str) -> anyhow::Result<(Rig, Vec<Server>)> {
    let (servers, entries) = cutting_servers("cutting")?;
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
    Ok((rig, servers))
}

/// Plays all cuts of calls of a kind; see [`play`].
fn assert_no_answer(kind: &str, most_sends: usize) -> anyhow::Result<()> {
    let mut played = 0;
    loop {
        let cuts = play(kind, most_sends, played)?;
        played += CUTS;
        if played >= cuts {
            return Ok(());
        }
    }
}

/// Plays some cuts of calls of a kind, those from `first` on, and checks what callers are told and how often a
/// call was sent. Returns how many cuts there are.
fn play(kind: &str, most_sends: usize, first: usize) -> anyhow::Result<usize> {
    let (rig, servers) = start(kind)?;
    let to = rig.hosts[0].callers;
    let probe = Cut { head: 0, length: 0, end: End::Close };
    call(&rig, kind, probe, usize::MAX).fetch(to)?;
    let received = servers.iter().flat_map(|server| server.received().into_keys());
    let all = cuts(received.map(|id| id.len()).max().context("no server got the first call")?);
    let cuts = &all[first..all.len().min(first + CUTS)];
    thread::scope(|scope| {
        let rig = &rig;
        let play = |caller: usize| {
            cuts.iter().enumerate().skip(caller).step_by(CALLERS).try_for_each(|(number, cut)| {
                let begun = Instant::now();
                for again in 0.. {
                    let sent = Instant::now();
                    let answer = call(rig, kind, *cut, number + again * cuts.len()).fetch(to)?;
                    let body: Value = serde_json::from_slice(&answer.body)?;
                    let what = format!("{cut} {} {body} {:?}", answer.status, sent.elapsed());
                    anyhow::ensure!(answer.complete && answer.status >= 400, "{what}");
                    anyhow::ensure!(sent.elapsed() < LIMIT, "{what}");
                    if body["error"]["ran"] == "unknown" {
                        break;
                    }
                    anyhow::ensure!(begun.elapsed() < ARRIVAL_LIMIT, "{what}");
                    thread::sleep(Duration::from_millis(10));
                }
                anyhow::Ok(())
            })
        };
        let callers: Vec<_> =
            (0..CALLERS).map(|caller| scope.spawn(move || play(caller))).collect();
        callers.into_iter().try_for_each(|caller| caller.join().expect("no panic"))
    })?;
    let mut sends: BTreeMap<String, usize> = BTreeMap::new();
    for (id, requests) in servers.iter().flat_map(Server::received) {
        assert!(requests.iter().all(|request| request.cut.is_some()), "{requests:?}");
        *sends.entry(id).or_default() += requests.len();
    }
    assert!(sends.len() > cuts.len(), "{} of {} arrived", sends.len(), cuts.len());
    assert!(sends.values().all(|sends| *sends <= most_sends), "{:?}", sends.values().max());
    Ok(all.len())
}

#[test]
fn a_head_that_ends_early_is_no_answer_to_a_stream() -> anyhow::Result<()> {
    assert_no_answer("stream", MOST_SENDS)
}

#[test]
fn a_head_that_ends_early_is_no_answer_to_a_model_call() -> anyhow::Result<()> {
    assert_no_answer("chat", MOST_SENDS)
}

#[test]
fn a_head_that_ends_early_is_no_answer_to_a_repeatable_call() -> anyhow::Result<()> {
    assert_no_answer("assets", MOST_SENDS)
}

#[test]
fn a_head_that_ends_early_is_no_answer_to_a_call_that_runs_at_most_once() -> anyhow::Result<()> {
    assert_no_answer("records", 1)
}

/// Where the head ends, so does the doubt: the same answer with its last byte is an answer.
#[test]
fn a_head_with_its_last_byte_is_an_answer_to_a_call() -> anyhow::Result<()> {
    const EMPTY: usize = 1;
    let (rig, _servers) = start("assets")?;
    let whole = Cut { head: EMPTY, length: usize::MAX, end: End::Close };
    let answer = call(&rig, "assets", whole, 0).fetch(rig.hosts[0].callers)?;
    assert_eq!((answer.status, answer.complete), (200, true));
    Ok(())
}
