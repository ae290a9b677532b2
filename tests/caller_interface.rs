//! The interface to callers: complete answers to the right caller, and numbered errors for bad
//! input.

mod common;

use std::{
    collections::BTreeSet,
    io::{Read as _, Write as _},
    net::{SocketAddr, TcpStream},
    thread,
    time::{Duration, Instant},
};

use common::{programs, secret_of};
use quickcheck::{Arbitrary as _, Gen, QuickCheck, TestResult, Testable};
use serde_json::json;
use wasabi_standin::{
    caller::Call,
    engine::{self, Engine, Profile},
    process::wait_until,
    rig::{Rig, Size},
};

fn two_engines() -> Size {
    Size { engines: 2, ..Size::default() }
}

fn chat(rig: &Rig, prompt: &str, tokens: u64) -> Call {
    Call::chat(secret_of(&rig.sample.lab), "costing", prompt, tokens)
}

/// Sends raw bytes, closes the sending direction, and returns all that is received.
fn send_and_shutdown(address: SocketAddr, bytes: &[u8]) -> anyhow::Result<String> {
    let socket = TcpStream::connect(address)?;
    // The host may close before it has read everything.
    let _ = (&socket).write_all(bytes);
    let _ = socket.shutdown(std::net::Shutdown::Write);
    read_all(socket)
}

/// Sends raw bytes and returns all that is received until the host closes the connection.
fn send_and_wait(address: SocketAddr, bytes: &[u8]) -> anyhow::Result<String> {
    let socket = TcpStream::connect(address)?;
    let _ = (&socket).write_all(bytes);
    read_all(socket)
}

fn read_all(mut socket: TcpStream) -> anyhow::Result<String> {
    socket.set_read_timeout(Some(Duration::from_secs(20)))?;
    let mut response = Vec::new();
    let _ = socket.read_to_end(&mut response);
    Ok(String::from_utf8_lossy(&response).into_owned())
}

fn is_alive(rig: &Rig) -> anyhow::Result<bool> {
    Ok(chat(rig, "still there", 2).stream(rig.hosts[0].callers)?.complete)
}

#[test]
fn a_stream_goes_on_elsewhere_when_its_server_fails() -> anyhow::Result<()> {
    let rig = Rig::start(programs(), &two_engines())?;
    for half in [false, true] {
        for engine in &rig.engines {
            engine.update_faults(|faults| (faults.cut_after, faults.half_chunk) = (Some(5), half));
        }
        let failing = chat(&rig, "resume me", 20).send(rig.hosts[0].callers)?;
        wait_until("one has failed", || {
            rig.engines.iter().any(|engine| engine.records().iter().any(|r| r.ended.is_some()))
        })?;
        rig.engines
            .iter()
            .for_each(|engine| engine.update_faults(|faults| faults.cut_after = None));
        let stream = failing.stream()?;
        assert!(stream.complete);
        assert_eq!(
            stream.text,
            engine::answer("resume me", 20),
            "a token is missing or came twice"
        );
    }
    Ok(())
}

#[test]
fn only_events_of_its_own_get_into_a_resumed_stream() -> anyhow::Result<()> {
    const EVENTS: &str = "HTTP/1.1 200 X\r\ncontent-type: text/event-stream\r\n\r\n";
    let whole = "HTTP/1.1 500 X\r\ncontent-length: 17\r\n\r\nthe engine failed";
    let answers = [
        whole.to_string(),
        "HTTP/1.1 503 X\r\ncontent-length: 0\r\n\r\n".to_string(),
        "HTTP/1.1 204 X\r\n\r\n".to_string(),
        "HTTP/1.1 206 X\r\n\r\ndata: {\"id\": \"ID\", \"choices\": [{\"text\": \"x\"}]}\n\n"
            .to_string(),
        "HTTP/1.1 200 X\r\n\r\nthe engine failed\n\n".to_string(),
        "HTTP/1.1 200 X\r\ncontent-type: application/json\r\n\r\n{\"error\": 1}".to_string(),
        "HTTP/1.1 200 X\r\ncontent-ty".to_string(),
        "data: {\"id\": \"ID\"}\n\n".to_string(),
        format!("{EVENTS}{whole}"),
        format!("{EVENTS}data: {whole}\n\n"),
        format!("{EVENTS}data: {{\"error\": {{\"message\": \"failed\"}}}}\n\ndata: [DONE]\n\n"),
        format!("{EVENTS}data: {{\"id\": \"other\", \"choices\": [{{\"text\": \"x\"}}]}}\n\n"),
        format!("{EVENTS}data: [DONE]\n\n"),
        EVENTS.to_string(),
        String::new(),
    ];
    thread::scope(|scope| {
        let checks = answers.chunks(4).map(|some| {
            scope.spawn(|| some.iter().try_for_each(|answer| assert_not_in_resumed_stream(answer)))
        });
        let checks: Vec<_> = checks.collect();
        checks.into_iter().try_for_each(|check| check.join().expect("no panic"))
    })
}

/// Breaks a stream off after five tokens; all engines answer with `answer` when it goes on.
fn assert_not_in_resumed_stream(answer: &str) -> anyhow::Result<()> {
    let rig = Rig::start(programs(), &two_engines())?;
    for engine in &rig.engines {
        engine.update_faults(|faults| {
            (faults.cut_after, faults.cut_new) = (Some(5), true);
            faults.resumed_answer = Some(answer.to_string());
        });
    }
    let stream = chat(&rig, "resume me", 20).stream(rig.hosts[0].callers)?;
    let resumed =
        |engine: &engine::Engine| engine.records().iter().any(|record| record.resume_from == 5);
    assert!(rig.engines.iter().any(resumed), "{answer}: it did not go on: {stream:?}");
    assert!(!stream.complete, "{answer}: {stream:?}");
    assert_eq!(stream.text, engine::answer("resume me", 5), "{answer}");
    Ok(())
}

#[test]
fn a_broken_stream_never_looks_complete() -> anyhow::Result<()> {
    let rig = Rig::start(programs(), &two_engines())?;
    for engine in &rig.engines {
        engine.update_faults(|faults| faults.omit_end_marker = true);
    }
    let stream = chat(&rig, "no end", 5).stream(rig.hosts[0].callers)?;
    assert!(!stream.complete);
    assert_eq!(stream.code(), Some(1302));
    for engine in &rig.engines {
        engine.update_faults(|faults| (faults.omit_end_marker, faults.flood) = (false, true));
    }
    let stream = chat(&rig, "flood", 5).stream(rig.hosts[0].callers)?;
    assert!(!stream.complete);
    assert_eq!((stream.status, stream.tokens), (502, 0));
    Ok(())
}

/// To an HTTP/1.0 caller, the end of the connection is the end of the stream.
#[test]
fn a_broken_stream_resets_the_connection_of_a_caller_without_chunks() -> anyhow::Result<()> {
    let rig = Rig::start(programs(), &two_engines())?;
    let body = json!({"model": "costing", "max_tokens": 5, "messages": "x", "stream": true});
    let (body, key) = (body.to_string(), secret_of(&rig.sample.lab));
    let request = format!(
        "POST /v1/chat/completions HTTP/1.0\r\nhost: h\r\nauthorization: Bearer {key}\r\n\
         content-type: application/json\r\ncontent-length: {}\r\n\r\n{body}",
        body.len()
    );
    for whole in [true, false] {
        for engine in &rig.engines {
            engine.update_faults(|faults| faults.cut_after = (!whole).then_some(3));
        }
        let mut caller = TcpStream::connect(rig.hosts[0].callers)?;
        caller.set_read_timeout(Some(Duration::from_secs(20)))?;
        caller.write_all(request.as_bytes())?;
        let mut response = Vec::new();
        let end = caller.read_to_end(&mut response);
        let text = String::from_utf8_lossy(&response);
        assert!(text.starts_with("HTTP/1.0 200"), "{text}");
        assert_eq!(end.is_ok(), whole, "{end:?}: {text}");
        assert_eq!(text.contains("[DONE]"), whole, "{text}");
    }
    Ok(())
}

#[test]
fn an_answer_of_another_request_is_never_passed_on() -> anyhow::Result<()> {
    let rig = Rig::start(programs(), &two_engines())?;
    rig.engines
        .iter()
        .for_each(|engine| engine.update_faults(|faults| faults.wrong_request_id = true));
    let stream = chat(&rig, "mine", 5).stream(rig.hosts[0].callers)?;
    assert_eq!((stream.status, stream.code(), stream.tokens), (502, Some(1303), 0));
    let body = json!({"model": "costing", "max_tokens": 2, "messages": "mine"}).to_string();
    let whole = Call::post("/v1/chat/completions", body).bearer(secret_of(&rig.sample.lab));
    assert_eq!(whole.fetch(rig.hosts[0].callers)?.code(), Some(1303));
    Ok(())
}

#[test]
fn callers_at_once_each_get_their_own_answer() -> anyhow::Result<()> {
    let rig = Rig::start(programs(), &Size { hosts: 2, engines: 3, ..Size::default() })?;
    thread::scope(|scope| {
        let calling = |i: usize| {
            let rig = &rig;
            scope.spawn(move || -> anyhow::Result<()> {
                let prompt = format!("prompt {i}");
                let stream = chat(rig, &prompt, 15).stream(rig.hosts[i % 2].callers)?;
                anyhow::ensure!(stream.complete && stream.text == engine::answer(&prompt, 15));
                Ok(())
            })
        };
        let callers: Vec<_> = (0..24).map(calling).collect();
        callers.into_iter().try_for_each(|caller| caller.join().expect("no panic"))
    })
}

#[test]
fn bad_requests_get_numbered_errors() -> anyhow::Result<()> {
    let rig = Rig::start(programs(), &Size::default())?;
    let host = rig.hosts[0].callers;
    let key = secret_of(&rig.sample.lab);
    let post = |body: &str| Call::post("/v1/chat/completions", body).bearer(key);
    let get = |path: &str| Call::get(path).bearer(key);
    let cases = [
        (post("{"), 1105),
        (post("[1]"), 1105),
        (post("{\"model\": 3}"), 1105),
        (post("{\"model\": \"costing\", \"stream\": \"yes\"}"), 1105),
        (post("{\"model\": \"none\"}"), 1103),
        (Call { body: vec![0xff, 0xfe, b'{'], ..post("") }, 1105),
        (get("/nowhere"), 1101),
        (get("/v1/chat/completions"), 1101),
        (get("/assets/../records/1"), 1102),
        (get("/assets/%2e%2e/records"), 1102),
        (get("/assets/a%2Fb"), 1102),
        (get("/assets//b"), 1102),
        (get("/assets/%ff"), 1102),
        (get("/assets/%00"), 1102),
        (get("/assets/a%5c..%5cb"), 1102),
        (get("/assetsx"), 1101),
        (Call { body: vec![b'x'; 5_000_000], ..Call::post("/assets/1", "").bearer(key) }, 1106),
        (
            Call::post("/records/1", "{}")
                .bearer(key)
                .header("idempotency-key", "a")
                .header("idempotency-key", "b"),
            1104,
        ),
    ];
    for (call, code) in &cases {
        let response = call.fetch(host)?;
        let what = format!("{} {}", call.method, call.target);
        assert_eq!(response.code(), Some(*code), "{what}");
        assert_eq!(response.ran().as_deref(), Some("not run"), "{what}");
        assert!((400..500).contains(&response.status), "{what}");
    }
    assert!(rig.engines[0].records().is_empty() && rig.services[0].executions().is_empty());
    assert!(is_alive(&rig)?);
    Ok(())
}

/// Two lengths that disagree, a malformed header, or a length beside a chunked body must not hide a
/// second request (request smuggling).
#[test]
fn a_smuggled_request_is_not_run() -> anyhow::Result<()> {
    let rig = Rig::start(programs(), &Size::default())?;
    let host = rig.hosts[0].callers;
    let key = secret_of(&rig.sample.lab);
    let hidden = "GET /status/hidden HTTP/1.1\r\nhost: h\r\n\r\n";
    let length = hidden.len() + 5;
    let head = format!("POST /assets/1 HTTP/1.1\r\nhost: h\r\nx-api-key: {key}\r\n");
    let chunked = "transfer-encoding: chunked\r\n";
    let cases = [
        format!("{head}content-length: 2\r\ncontent-length: {length}\r\n\r\n{{}}{hidden}"),
        format!("{head}transfer-encoding: xchunked\r\n\r\n0\r\n\r\n{hidden}"),
        format!("{head}content-length: +2\r\n\r\n{{}}{hidden}"),
        format!("{head}content-length : 2\r\n\r\n{{}}{hidden}"),
    ];
    for case in &cases {
        let response = send_and_shutdown(host, case.as_bytes())?;
        assert!(response.starts_with("HTTP/1.1 4"), "{case:?} was answered {response:?}");
        assert_eq!(response.matches("HTTP/1.1 ").count(), 1, "{case:?} was answered {response:?}");
    }
    // RFC 9112, section 6.1: the chunked encoding overrides the length, and the connection ends.
    let allowed = [
        format!("{head}content-length: {length}\r\n{chunked}\r\n0\r\n\r\n{hidden}"),
        format!("{head}{chunked}content-length: {length}\r\n\r\n0\r\n\r\n{hidden}"),
    ];
    for (ran, case) in allowed.iter().enumerate() {
        let response = send_and_wait(host, case.as_bytes())?;
        assert_eq!(response.matches("HTTP/1.1 ").count(), 1, "{case:?} was answered {response:?}");
        let executions = rig.services[0].executions();
        assert_eq!(executions.len(), ran + 1);
        assert!(executions[ran].request_text.starts_with("/assets/1"), "{executions:?}");
    }
    assert!(
        rig.services[0].executions().len() == allowed.len(),
        "{:?}",
        rig.services[0].executions()
    );
    let big = format!("{head}x-big: {}\r\n\r\n", "x".repeat(200_000));
    assert!(send_and_shutdown(host, big.as_bytes())?.starts_with("HTTP/1.1 4"));
    assert!(is_alive(&rig)?);
    Ok(())
}

#[test]
fn slow_senders_and_readers_are_cut() -> anyhow::Result<()> {
    let profile = Profile { token_interval: Duration::ZERO, ..Profile::default() };
    let mut rig = Rig::start(programs(), &Size { hosts: 0, profile, ..Size::default() })?;
    let mut settings = rig.settings("strict");
    for name in ["receive_head_ms", "receive_body_ms", "write_ms"] {
        settings["times"][name] = json!(300);
    }
    rig.add_host_with("strict", &settings)?;
    rig.wait_revision(&rig.hosts[0], 1)?;
    let host = rig.hosts[0].callers;
    let mut slow_head = TcpStream::connect(host)?;
    slow_head.write_all(b"GET /status HTTP/1.1\r\nhost:")?;
    let mut slow_body = TcpStream::connect(host)?;
    slow_body.write_all(b"POST /status HTTP/1.1\r\nhost: h\r\ncontent-length: 9\r\n\r\n{")?;
    for socket in [&mut slow_head, &mut slow_body] {
        socket.set_read_timeout(Some(Duration::from_secs(20)))?;
        let mut response = Vec::new();
        socket.read_to_end(&mut response)?;
    }
    // The answer is larger than all buffers between the engine and a caller who does not read.
    let prompt = "x";
    let call = chat(&rig, prompt, 10_000_000);
    let unread = call.send(host)?;
    wait_until("the work of a caller who does not read is cancelled", || {
        let records = rig.engines[0].records();
        records.first().is_some_and(|record| record.ended.is_some())
    })?;
    drop(unread);
    assert!(is_alive(&rig)?);
    Ok(())
}

/// Requests of generated content: the whole request, the target, the body, or the end of a path.
struct GeneratedRequests {
    host: SocketAddr,
    key: String,
}

impl Testable for GeneratedRequests {
    fn result(&self, source: &mut Gen) -> TestResult {
        let bytes = Vec::<u8>::arbitrary(source);
        let request = match u8::arbitrary(source) % 4 {
            0 => bytes,
            1 => [b"GET /", bytes.as_slice(), b" HTTP/1.1\r\nhost: h\r\n\r\n"].concat(),
            2 => {
                let head = format!(
                    "POST /v1/chat/completions HTTP/1.1\r\nhost: h\r\nx-api-key: {}\r\n\
                     connection: close\r\ncontent-length: {}\r\n\r\n",
                    self.key,
                    bytes.len()
                );
                [head.as_bytes(), bytes.as_slice()].concat()
            }
            _ => {
                let path = String::arbitrary(source);
                let path: String = path.chars().filter(|c| !c.is_whitespace()).collect();
                let head = format!("GET /assets/{path} HTTP/1.1\r\nhost: h\r\n");
                format!("{head}x-api-key: {}\r\n\r\n", self.key).into_bytes()
            }
        };
        match send_and_shutdown(self.host, &request) {
            Ok(response) => TestResult::from_bool(!response.starts_with("HTTP/1.1 5")),
            Err(e) => TestResult::error(e.to_string()),
        }
    }
}

#[test]
fn generated_requests_get_no_server_error_and_never_end_the_process() -> anyhow::Result<()> {
    let rig = Rig::start(programs(), &Size::default())?;
    let host = rig.hosts[0].callers;
    let key = secret_of(&rig.sample.lab).to_string();
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(200, 7))
        .tests(300)
        .quickcheck(GeneratedRequests { host, key });
    assert!(is_alive(&rig)?);
    Ok(())
}

#[test]
fn a_stream_goes_on_only_at_the_software_version_that_began_it() -> anyhow::Result<()> {
    let builds = ["v1", "v2"].map(str::to_string).to_vec();
    let rig = Rig::start(programs(), &Size { hosts: 2, engines: 6, builds, ..Size::default() })?;
    for engine in &rig.engines {
        engine.update_faults(|faults| (faults.cut_after, faults.cut_new) = (Some(3), true));
    }
    let mut went_on = 0;
    for number in 0..24 {
        let prompt = format!("prompt-{number}.");
        let stream = chat(&rig, &prompt, 8).stream(rig.hosts[number % 2].callers)?;
        went_on += usize::from(stream.complete);
        let ran = |engine: &Engine| {
            engine.records().iter().any(|record| record.request_text.contains(&prompt))
        };
        let numbers = 0..rig.engines.len();
        let versions: BTreeSet<usize> =
            numbers.filter(|i| ran(&rig.engines[*i])).map(|i| i % 2).collect();
        assert_eq!(versions.len(), 1, "stream {number} ran at both versions");
    }
    // The others found the budget of retries used up.
    assert!(went_on >= 3, "{went_on} streams went on");
    Ok(())
}

/// Each byte counts as a sign of life of the connection, but not of progress.
#[test]
fn a_stream_of_single_bytes_without_an_event_goes_on_elsewhere() -> anyhow::Result<()> {
    const LIMIT: Duration = Duration::from_secs(4);
    let mut rig = Rig::start(programs(), &Size { hosts: 0, ..two_engines() })?;
    let mut settings = rig.settings("host-0");
    settings["times"]["first_part_ms"] = json!(1_000);
    rig.add_host_with("host-0", &settings)?;
    rig.wait_revision(&rig.hosts[0], 1)?;
    let to = rig.hosts[0].callers;
    for number in 0..2 {
        rig.engines.iter().for_each(|engine| engine.update_faults(|faults| faults.drip = false));
        rig.engines[number].update_faults(|faults| faults.drip = true);
        let begun = Instant::now();
        let stream = chat(&rig, "the same prompt", 5).stream(to)?;
        assert!(stream.complete, "{stream:?}");
        assert!(begun.elapsed() < LIMIT, "{:?}", begun.elapsed());
    }
    assert!(rig.engines.iter().any(|engine| engine.records().len() > 1), "none was tried twice");
    Ok(())
}
