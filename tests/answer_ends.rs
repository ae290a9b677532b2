//! Answers of backend servers that end early, however their end is framed.

use std::{
    io::{Read as _, Write as _},
    net::{Shutdown, TcpStream},
    time::Duration,
};

use wasabi_core::call::Framing;
use wasabi_stand::{
    caller::{Request, Response},
    rig::Rig,
    scripted::{self, Server},
    server,
};

const PROGRAM: &str = env!("CARGO_BIN_EXE_wasabirouter");
const FRAMINGS: [Framing; 3] = [Framing::Close, Framing::Chunked, Framing::Length];
const EVENTS: &str = "content-type: text/event-stream\r\n";
const JSON: &str = "content-type: application/json\r\n";
/// Two events and a part of a third.
const CUT_STREAM: &str = "id: 1\ndata: event 1\n\nid: 2\ndata: event 2\n\nid: 3\ndata: ev";

/// Starts a server that answers each request with `body` and closes the connection in an orderly
/// way.
fn serve(framing: Framing, kind: &'static str, body: &'static str) -> anyhow::Result<Server> {
    Server::start(move |mut stream, _| {
        let head = scripted::read_head(&mut stream)?;
        stream.write_all(scripted::framed(&head, framing, kind, body).as_bytes())?;
        stream.shutdown(Shutdown::Both)
    })
}

/// Sends one request to `path` in a deployment whose servers of `service` answer with `body`.
fn fetch(
    service: &str,
    path: &str,
    framing: Framing,
    kind: &'static str,
    body: &'static str,
) -> anyhow::Result<Response> {
    let rig = Rig::start(PROGRAM)?;
    rig.replace_servers(service, serve(framing, kind, body)?.address);
    let gateway = rig.start_gateway("g1")?;
    Request::new("POST", path, "a1").send(gateway.addresses.callers)
}

#[test]
fn a_stream_that_ends_inside_an_event_never_looks_complete() -> anyhow::Result<()> {
    for framing in FRAMINGS {
        let response = fetch("llm", "/long/x", framing, EVENTS, CUT_STREAM)?;
        assert_eq!(response.event_ids(), [1, 2], "{framing:?}");
        assert!(!response.complete, "{framing:?}: {}", response.body);
    }
    Ok(())
}

#[test]
fn a_stream_that_ends_inside_an_event_goes_on_elsewhere() -> anyhow::Result<()> {
    for framing in FRAMINGS {
        let rig = Rig::start(PROGRAM)?;
        let cut = serve(framing, EVENTS, CUT_STREAM)?;
        rig.store.remove("servers", "e1");
        rig.store.put("servers", "x1", server::store_object("llm", cut.address, "ready"));
        let gateway = rig.start_gateway("g1")?;
        while cut.connections() == 0 {
            let response = Request::new("POST", "/chat/x", "b1").send(gateway.addresses.callers)?;
            assert_eq!(response.event_ids(), (1..=10).collect::<Vec<_>>(), "{framing:?}");
            assert!(response.complete, "{framing:?}");
        }
    }
    Ok(())
}

#[test]
fn a_stream_that_ends_with_its_connection_is_passed_on_whole() -> anyhow::Result<()> {
    const WHOLE: &str = "id: 1\ndata: event 1\n\nid: 2\ndata: event 2\n\n";
    for framing in FRAMINGS {
        let response = fetch("llm", "/long/x", framing, EVENTS, WHOLE)?;
        assert_eq!((response.body.as_str(), response.complete), (WHOLE, true), "{framing:?}");
    }
    Ok(())
}

#[test]
fn a_stream_without_events_is_complete_only_if_its_framing_says_so() -> anyhow::Result<()> {
    for framing in FRAMINGS {
        let response = fetch("llm", "/long/x", framing, EVENTS, "")?;
        assert_eq!(response.complete, framing != Framing::Close, "{framing:?}");
    }
    Ok(())
}

/// A server may answer a streaming route with a document, for example with an error report.
#[test]
fn a_document_on_a_streaming_route_is_passed_on_whole() -> anyhow::Result<()> {
    for framing in FRAMINGS {
        let response = fetch("llm", "/long/x", framing, JSON, "{\"a\": 1}")?;
        assert_eq!((response.body.as_str(), response.complete), ("{\"a\": 1}", true));
    }
    Ok(())
}

#[test]
fn a_buffered_answer_that_ends_early_is_not_passed_on() -> anyhow::Result<()> {
    for (framing, kind, body) in
        [(Framing::Close, JSON, "{\"a\": 1, \"b"), (Framing::Length, EVENTS, CUT_STREAM)]
    {
        let response = fetch("app", "/write/x", framing, kind, body)?;
        assert_eq!(response.status, 502, "{kind}: {response:?}");
    }
    Ok(())
}

/// To an HTTP/1.0 caller, the end of the connection is the end of the stream.
#[test]
fn a_broken_stream_resets_the_connection_of_a_caller_without_chunks() -> anyhow::Result<()> {
    const WHOLE: &str = "id: 1\ndata: event 1\n\n";
    for (body, whole) in [(WHOLE, true), (CUT_STREAM, false)] {
        let rig = Rig::start(PROGRAM)?;
        rig.replace_servers("llm", serve(Framing::Chunked, EVENTS, body)?.address);
        let gateway = rig.start_gateway("g1")?;
        let mut caller = TcpStream::connect(gateway.addresses.callers)?;
        caller.set_read_timeout(Some(Duration::from_secs(10)))?;
        caller.write_all(
            b"POST /long/x HTTP/1.0\r\nhost: site.example\r\nrequest-id: c1\r\n\
              deadline-ms: 5000\r\nauthorization: Token k1\r\ncontent-length: 0\r\n\r\n",
        )?;
        let mut response = Vec::new();
        let end = caller.read_to_end(&mut response);
        let text = String::from_utf8_lossy(&response);
        assert!(text.starts_with("HTTP/1.0 200"), "{text}");
        assert_eq!(end.is_ok(), whole, "{end:?}: {text}");
        assert!(!whole || text.ends_with(WHOLE), "{text}");
    }
    Ok(())
}

/// Two events, and the answer to some other request.
const MIXED_STREAM: &str = "id: 1\ndata: event 1\n\nid: 2\ndata: event 2\n\n\
                            HTTP/1.1 500 X\r\ncontent-length: 5\r\n\r\nerror";

#[test]
fn the_head_of_another_answer_inside_a_stream_reaches_no_caller() -> anyhow::Result<()> {
    for framing in FRAMINGS {
        let response = fetch("llm", "/long/x", framing, EVENTS, MIXED_STREAM)?;
        assert_eq!(response.event_ids(), [1, 2], "{framing:?}");
        assert!(!response.complete, "{framing:?}: {}", response.body);
        assert!(!response.body.contains("HTTP/1.1"), "{framing:?}: {}", response.body);
        let rig = Rig::start(PROGRAM)?;
        let mixed = serve(framing, EVENTS, MIXED_STREAM)?;
        rig.store.put("servers", "x1", server::store_object("llm", mixed.address, "ready"));
        let gateway = rig.start_gateway("g1")?;
        while mixed.connections() == 0 {
            let response = Request::new("POST", "/chat/x", "m1").send(gateway.addresses.callers)?;
            assert!(!response.body.contains("HTTP/1.1"), "{framing:?}: {}", response.body);
            assert_eq!(response.event_ids(), (1..=10).collect::<Vec<_>>(), "{framing:?}");
            assert!(response.complete, "{framing:?}");
        }
    }
    Ok(())
}

/// One write holds the end of a stream and a whole answer that nobody asked for.
#[test]
fn bytes_after_the_end_of_a_stream_reach_no_caller() -> anyhow::Result<()> {
    const FOREIGN: &str = "id: 7\ndata: foreign\n\n";
    for framing in [Framing::Length, Framing::Chunked] {
        let server = Server::start(move |mut stream, _| {
            loop {
                let head = scripted::read_head(&mut stream)?;
                if head.is_empty() {
                    return Ok(());
                }
                let own = format!("id: 1\ndata: {}\n\n", scripted::header(&head, "request-id"));
                let own = scripted::framed(&head, framing, EVENTS, &own);
                let foreign = scripted::framed(&head, framing, EVENTS, FOREIGN);
                stream.write_all(format!("{own}{foreign}").as_bytes())?;
            }
        })?;
        let rig = Rig::start(PROGRAM)?;
        rig.replace_servers("llm", server.address);
        let gateway = rig.start_gateway("g1")?;
        for number in 0..8 {
            let id = format!("f{number}");
            let response = Request::new("POST", "/long/x", &id).send(gateway.addresses.callers)?;
            let own = format!("id: 1\ndata: {id}\n\n");
            assert_eq!((response.body, response.complete), (own, true), "{framing:?}");
        }
    }
    Ok(())
}
