//! Streams that go on at another server, which may answer with anything: its events are compared with
//! where the stream stands.

use std::{
    io::Write as _,
    net::{Shutdown, TcpStream},
    sync::{
        Arc,
        atomic::{AtomicUsize, Ordering},
    },
};

use wasabi_core::call::Framing;
use wasabi_stand::{
    caller::{Request, Response},
    gateway::{Gateway, wait_for},
    rig::Rig,
    scripted::{self, Server},
    server,
};

const PROGRAM: &str = env!("CARGO_BIN_EXE_wasabirouter");
const FRAMINGS: [Framing; 3] = [Framing::Close, Framing::Chunked, Framing::Length];
const EVENTS: &str = "content-type: text/event-stream\r\n";
/// Events of a stream before it breaks off.
const BEGUN: u64 = 4;
const EVENT_5: &str = "id: 5\ndata: x\n\n";
/// Text that must not get into a stream.
const ERROR: &str = "the engine failed";

/// Returns the bytes that a server writes in answer to a request with this head before it closes the
/// connection.
type Script = Arc<dyn Fn(&str) -> String + Send + Sync>;

fn script(script: impl Fn(&str) -> String + Send + Sync + 'static) -> Script {
    Arc::new(script)
}

fn events(ids: impl IntoIterator<Item = u64>) -> String {
    ids.into_iter().map(|id| format!("id: {id}\ndata: event {id}\n\n")).collect()
}

/// An answer with these events.
fn stream(framing: Framing, body: String) -> Script {
    script(move |head| scripted::framed(head, framing, EVENTS, &body))
}

/// A signed answer with this status.
fn failure(status: u16, kind: &'static str, body: &'static str) -> Script {
    let length = format!("content-length: {}\r\n", body.len());
    script(move |head| scripted::signed(head, status, &format!("{kind}{length}")) + body)
}

/// Two servers that follow scripts.
struct Stage {
    rig: Rig,
    gateway: Gateway,
    /// Requests that go on with a stream.
    resumed: Arc<AtomicUsize>,
}

impl Stage {
    /// Starts two servers that answer new streams with `first` and those that go on with `next`.
    fn start(first: &Script, next: &Script) -> anyhow::Result<Self> {
        let rig = Rig::start(PROGRAM)?;
        let resumed = Arc::new(AtomicUsize::new(0));
        let answer = |first: Script, next: Script, resumed: Arc<AtomicUsize>| {
            move |mut connection: TcpStream, _: usize| {
                let head = scripted::read_head(&mut connection)?;
                let goes_on = !scripted::header(&head, "last-event-id").is_empty();
                resumed.fetch_add(usize::from(goes_on), Ordering::SeqCst);
                let bytes = if goes_on { next(&head) } else { first(&head) };
                connection.write_all(bytes.as_bytes())?;
                connection.shutdown(Shutdown::Both)
            }
        };
        for name in ["x1", "x2"] {
            let server = Server::start(answer(first.clone(), next.clone(), resumed.clone()))?;
            if name == "x1" {
                rig.replace_servers("llm", server.address);
            }
            rig.store.put("servers", name, server::store_object("llm", server.address, "ready"));
        }
        let gateway = rig.start_repeating_gateway("g1")?;
        Ok(Self { rig, gateway, resumed })
    }

    /// Begins a stream that goes on at the other server.
    fn begin(&self) -> anyhow::Result<Response> {
        let response =
            Request::new("POST", "/chat/x", "a1").send(self.gateway.addresses.callers)?;
        assert_eq!(self.resumed.load(Ordering::SeqCst), 1, "it was not sent on: {response:?}");
        Ok(response)
    }

    /// Takes a stream up after event `after`.
    fn take_up(&self, after: u64) -> anyhow::Result<Response> {
        Request::resume("/chat/x", "a2", "a1", after).send(self.gateway.addresses.callers)
    }

    /// The causes of failed sends in the log.
    fn causes(&self) -> Vec<String> {
        let lines = self.gateway.log_lines("send failed");
        lines.iter().map(|line| line["cause"].as_str().unwrap_or_default().to_string()).collect()
    }
}

/// A stream that breaks off after its first events.
fn breaks_off() -> Script {
    stream(Framing::Chunked, events(1..=BEGUN) + "id: 5\nda")
}

/// Begins a stream whose next server follows `next`.
fn go_on(next: &Script) -> anyhow::Result<Response> {
    Stage::start(&breaks_off(), next)?.begin()
}

fn assert_broken_off(name: &str, response: &Response) {
    assert!(!response.complete, "{name}: it looks complete: {}", response.body);
    assert_eq!(response.body, events(1..=BEGUN), "{name}");
}

#[test]
fn a_resumed_stream_of_its_caller_begins_after_the_callers_last_event() -> anyhow::Result<()> {
    for framing in FRAMINGS {
        for from in [1, 3, 5, 6] {
            let next = stream(framing, events(from..=8));
            let response = Stage::start(&breaks_off(), &next)?.take_up(5)?;
            assert_eq!(response.event_ids(), [6, 7, 8], "{framing:?}, from {from}");
            assert!(response.complete, "{framing:?}, from {from}");
        }
    }
    Ok(())
}

#[test]
fn a_resumed_stream_with_a_gap_is_broken_off_before_it() -> anyhow::Result<()> {
    for framing in FRAMINGS {
        assert_broken_off("7 on", &go_on(&stream(framing, events(7..=10)))?);
        let response = go_on(&stream(framing, events(5..=6) + &events(9..=10)))?;
        assert_eq!(response.event_ids(), [1, 2, 3, 4, 5, 6], "{framing:?}");
        assert!(!response.complete, "{framing:?}");
        let stage = Stage::start(&breaks_off(), &stream(framing, events(7..=10)))?;
        let response = stage.take_up(4)?;
        assert_eq!((response.event_ids(), response.complete), (vec![], false), "{framing:?}");
        let logged = || stage.causes().contains(&"events are missing".to_string());
        wait_for("the cause", logged)?;
    }
    Ok(())
}

#[test]
fn a_new_stream_with_a_gap_goes_on_elsewhere_or_is_broken_off() -> anyhow::Result<()> {
    for framing in FRAMINGS {
        let gap = stream(framing, events(1..=2) + &events(4..=10));
        let response = Stage::start(&gap, &stream(framing, events(3..=10)))?.begin()?;
        assert_eq!(response.event_ids(), (1..=10).collect::<Vec<_>>(), "{framing:?}");
        assert!(response.complete, "{framing:?}");
        let stage = Stage::start(&stream(framing, events(2..=10)), &breaks_off())?;
        let response =
            Request::new("POST", "/chat/x", "a3").send(stage.gateway.addresses.callers)?;
        assert_eq!((response.event_ids(), response.complete), (vec![], false), "{framing:?}");
    }
    Ok(())
}

#[test]
fn a_resumed_stream_that_overlaps_has_each_event_once() -> anyhow::Result<()> {
    for framing in FRAMINGS {
        for from in 1..=5 {
            let response = go_on(&stream(framing, events(from..=10)))?;
            assert_eq!(response.body, events(1..=10), "{framing:?}, from {from}");
            assert!(response.complete, "{framing:?}, from {from}");
        }
    }
    Ok(())
}

#[test]
fn the_answer_of_another_kind_gets_into_no_resumed_stream() -> anyhow::Result<()> {
    let kind = |framing, kind: &'static str, body: &'static str| {
        script(move |head| scripted::framed(head, framing, kind, body))
    };
    let whole = "HTTP/1.1 500 X\r\ncontent-length: 17\r\n\r\nthe engine failed\n\n";
    for framing in FRAMINGS {
        for body in [ERROR, "the engine failed\n\n", "data: the engine failed\n\n", whole] {
            assert_broken_off("no content type", &go_on(&kind(framing, "", body))?);
        }
        assert_broken_off(
            "typed events without a type",
            &go_on(&kind(framing, "", "id: 5\ndata: the engine failed\n\n"))?,
        );
        let json = "content-type: application/json\r\n";
        assert_broken_off("a document", &go_on(&kind(framing, json, "{\"error\": 1}"))?);
        let text = "content-type: text/plain\r\n";
        assert_broken_off("a text", &go_on(&kind(framing, text, ERROR))?);
        let coded = "content-type: text/event-stream\r\ncontent-encoding: gzip\r\n";
        assert_broken_off("encoded", &go_on(&kind(framing, coded, EVENT_5))?);
    }
    Ok(())
}

#[test]
fn a_failure_gets_into_no_resumed_stream() -> anyhow::Result<()> {
    for (status, kind) in [500, 503, 502, 404, 400].into_iter().flat_map(|s| [(s, EVENTS), (s, "")])
    {
        assert_broken_off(&status.to_string(), &go_on(&failure(status, kind, ERROR))?);
    }
    assert_broken_off("partial", &go_on(&failure(206, EVENTS, EVENT_5))?);
    assert_broken_off("created", &go_on(&failure(201, EVENTS, EVENT_5))?);
    let none = script(|head| scripted::signed(head, 204, EVENTS));
    assert_broken_off("no content", &go_on(&none)?);
    let unsigned = script(|head| {
        let id = scripted::header(head, "request-id");
        format!("HTTP/1.1 200 X\r\nrequest-id: {id}\r\n{EVENTS}content-length: 15\r\n\r\n{EVENT_5}")
    });
    assert_broken_off("unsigned", &go_on(&unsigned)?);
    let of = |id: &'static str| {
        script(move |_| {
            let id = if id.is_empty() { String::new() } else { format!("request-id: {id}\r\n") };
            format!(
                "HTTP/1.1 200 X\r\n{id}response-signature: s\r\n{EVENTS}content-length: 15\r\n\r\n\
                 {EVENT_5}"
            )
        })
    };
    assert_broken_off("of another request", &go_on(&of("z9"))?);
    assert_broken_off("of no request", &go_on(&of(""))?);
    assert_eq!(go_on(&of("a1"))?.event_ids(), [1, 2, 3, 4, 5], "the request's own");
    Ok(())
}

#[test]
fn bytes_that_are_no_answer_get_into_no_resumed_stream() -> anyhow::Result<()> {
    let half = script(|head| {
        let whole = scripted::signed(head, 200, EVENTS);
        whole[..whole.len() - 6].to_string()
    });
    assert_broken_off("half a head", &go_on(&half)?);
    assert_broken_off("no answer", &go_on(&script(|_| events(5..=10)))?);
    assert_broken_off("nothing", &go_on(&script(|_| String::new()))?);
    Ok(())
}

#[test]
fn text_without_a_place_gets_into_no_resumed_stream() -> anyhow::Result<()> {
    let whole = "HTTP/1.1 500 X\r\ncontent-length: 17\r\n\r\nthe engine failed\n\n";
    for framing in FRAMINGS {
        for body in [
            ERROR,
            "the engine failed\n\n",
            "data: the engine failed\n\n",
            whole,
            "event: error\ndata: the engine failed\n\n",
            "id: none\ndata: the engine failed\n\n",
        ] {
            assert_broken_off(body, &go_on(&stream(framing, body.to_string()))?);
            let after_overlap = events(3..=4) + body;
            assert_broken_off(body, &go_on(&stream(framing, after_overlap))?);
            let stage = Stage::start(&breaks_off(), &stream(framing, body.to_string()))?;
            let response = stage.take_up(4)?;
            assert_eq!((response.body.as_str(), response.complete), ("", false), "{framing:?}");
        }
    }
    Ok(())
}

#[test]
fn a_resumed_stream_may_hold_comments() -> anyhow::Result<()> {
    for framing in FRAMINGS {
        let response = go_on(&stream(framing, format!(": alive\n\n{}", events(5..=6))))?;
        assert_eq!(response.event_ids(), [1, 2, 3, 4, 5, 6], "{framing:?}");
        assert!(response.complete, "{framing:?}");
    }
    Ok(())
}

#[test]
fn a_resumed_stream_that_brings_no_event_is_not_complete() -> anyhow::Result<()> {
    for framing in FRAMINGS {
        for body in [String::new(), events(1..=2), events(1..=4)] {
            assert_broken_off(&format!("{framing:?} {body:?}"), &go_on(&stream(framing, body))?);
        }
        let response = go_on(&stream(framing, ": alive\n\n".to_string()))?;
        assert_eq!((response.event_ids(), response.complete), (vec![1, 2, 3, 4], false));
    }
    Ok(())
}

/// A server may state in its own answer that nothing follows the caller's last event.
#[test]
fn an_empty_answer_to_a_resumed_stream_of_its_caller_ends_as_framed() -> anyhow::Result<()> {
    for framing in FRAMINGS {
        let stage = Stage::start(&breaks_off(), &stream(framing, String::new()))?;
        let response = stage.take_up(4)?;
        let expected = ("", framing != Framing::Close);
        assert_eq!((response.body.as_str(), response.complete), expected, "{framing:?}");
        let stage = Stage::start(&breaks_off(), &stream(framing, events(1..=3)))?;
        let response = stage.take_up(4)?;
        assert_eq!((response.body.as_str(), response.complete), ("", false), "{framing:?}");
    }
    Ok(())
}

#[test]
fn a_failure_answers_a_resumed_stream_of_its_caller_unchanged() -> anyhow::Result<()> {
    for (status, body) in [(500, ERROR), (404, ERROR), (400, "")] {
        let response =
            Stage::start(&breaks_off(), &failure(status, "content-type: text/plain\r\n", body))?
                .take_up(4)?;
        assert_eq!((response.status, response.body.as_str()), (status, body));
        assert!(response.complete && response.headers.contains_key("response-signature"));
    }
    Ok(())
}

#[test]
fn a_stream_without_ids_is_passed_on_and_not_resumed() -> anyhow::Result<()> {
    const WHOLE: &str = "data: one\n\ndata: two\n\n";
    for framing in FRAMINGS {
        let whole = stream(framing, WHOLE.to_string());
        let stage = Stage::start(&whole, &whole)?;
        let callers = stage.gateway.addresses.callers;
        let response = Request::new("POST", "/chat/x", "b1").send(callers)?;
        assert_eq!((response.body.as_str(), response.complete), (WHOLE, true), "{framing:?}");
        let sent = Arc::new(AtomicUsize::new(0));
        let count = sent.clone();
        let cut = script(move |head| {
            count.fetch_add(usize::from(head.starts_with("POST")), Ordering::SeqCst);
            scripted::framed(head, framing, EVENTS, &format!("{WHOLE}data: thr"))
        });
        let stage = Stage::start(&cut, &whole)?;
        let callers = stage.gateway.addresses.callers;
        let response = Request::new("POST", "/chat/x", "b2").send(callers)?;
        assert_eq!((response.body.as_str(), response.complete), (WHOLE, false), "{framing:?}");
        assert_eq!(sent.load(Ordering::SeqCst), 1, "{framing:?}");
    }
    Ok(())
}

#[test]
fn a_resumed_stream_whose_first_next_server_fails_goes_on_at_a_third() -> anyhow::Result<()> {
    let served = Arc::new(AtomicUsize::new(0));
    let count = served.clone();
    let next = script(move |head| match count.fetch_add(1, Ordering::SeqCst) {
        0 => scripted::framed(head, Framing::Chunked, EVENTS, &events(7..=10)),
        _ => scripted::framed(head, Framing::Chunked, EVENTS, &events(5..=10)),
    });
    let stage = Stage::start(&breaks_off(), &next)?;
    stage.rig.configure(2, |config| config["routes"][0]["max_attempts"] = 3.into());
    wait_for("the configuration", || stage.gateway.log_lines("configuration in force").len() > 1)?;
    let response = Request::new("POST", "/chat/x", "c1").send(stage.gateway.addresses.callers)?;
    assert_eq!((response.body, response.complete), (events(1..=10), true));
    assert_eq!(served.load(Ordering::SeqCst), 2);
    Ok(())
}
