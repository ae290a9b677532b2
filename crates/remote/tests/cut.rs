//! Responses of the outside systems that end early.

use std::{
    io::{Read as _, Write as _},
    net::TcpListener,
    sync::{
        Arc,
        atomic::{AtomicUsize, Ordering},
    },
    thread,
    time::Duration,
};

use wasabi_core::{
    errors::{Code, Error},
    io::{Condition, Provider as _, Store as _},
    units::Version,
};
use wasabi_remote::{http::Endpoint, provider, store};

/// Responses that are cut at every kind of place.
const CUT: [&str; 9] = [
    "HTTP/1.1 2",
    "HTTP/1.1 40",
    "HTTP/1.1 404",
    "HTTP/1.1 409 Conflict\r\ncontent-len",
    "HTTP/1.1 200 OK\r\ncontent-length: 14\r\n\r\n{\"version\": 7",
    "HTTP/1.1 404 X\r\ncontent-length: 5\r\n\r\n",
    "HTTP/1.1 404 X\r\n\r\n{\"error\"",
    "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\nd\r\n{\"version\"",
    "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\nd\r\n{\"version\":7}\r\n",
];

/// Answers each connection with `response` and closes it.
fn endpoint(response: &'static str) -> anyhow::Result<Endpoint> {
    let listener = TcpListener::bind(("127.0.0.1", 0))?;
    let url = format!("http://{}", listener.local_addr()?);
    thread::spawn(move || {
        for mut stream in listener.incoming().map_while(Result::ok) {
            let mut request = [0; 4096];
            // What the client has sent does not matter here.
            let _ = stream.read(&mut request).and_then(|_| stream.write_all(response.as_bytes()));
        }
    });
    Ok(Endpoint::new(&url, Duration::from_secs(2)))
}

fn code<T>(result: Result<T, Error>) -> Option<Code> {
    result.err().map(|e| e.code)
}

#[test]
fn a_response_that_ends_early_leaves_the_outcome_unknown() -> anyhow::Result<()> {
    for response in CUT {
        let store = store::Client::new(endpoint(response)?);
        let provider = provider::Client::new(endpoint(response)?);
        let unknown = Some(Code::StoreUnavailable);
        assert_eq!(code(store.put("k", "1", Condition::Absent)), unknown, "{response}");
        assert_eq!(code(store.delete("k", Version(1))), unknown, "{response}");
        assert_eq!(code(store.get("k")), unknown, "{response}");
        assert_eq!(code(provider.is_accepted("i")), unknown, "{response}");
    }
    Ok(())
}

#[test]
fn whole_responses_are_read() -> anyhow::Result<()> {
    for response in [
        "HTTP/1.1 200 OK\r\ncontent-length: 13\r\n\r\n{\"version\":7}",
        "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\nd\r\n{\"version\":7}\r\n0\r\n\r\n",
        "HTTP/1.1 200 OK\r\n\r\n{\"version\":7}",
    ] {
        let store = store::Client::new(endpoint(response)?);
        assert_eq!(store.put("k", "1", Condition::Absent), Ok(Version(7)), "{response}");
    }
    let gone = store::Client::new(endpoint("HTTP/1.1 404 X\r\ncontent-length: 0\r\n\r\n")?);
    assert_eq!(gone.get("k").map(|found| found.is_none()), Ok(true));
    Ok(())
}

/// What an outside system sends without end: a beginning, and the part that it repeats.
const ENDLESS: [(&str, &str); 5] = [
    ("", "x"),
    ("HTTP/1.1 200 OK\r\n", "x-filler: xxxxxxxx\r\n"),
    ("HTTP/1.1 200 OK\r\n\r\n[", "1, "),
    ("HTTP/1.1 404 X\r\ntransfer-encoding: chunked\r\n\r\n", "8\r\nxxxxxxxx\r\n"),
    ("HTTP/1.1 200 OK\r\ncontent-length: 99999999999\r\n\r\n", "xxxxxxxx"),
];

#[test]
fn a_response_without_end_fails_before_it_takes_much_memory() -> anyhow::Result<()> {
    const MAX_TAKEN_BYTES: usize = 32 * 1024 * 1024;
    for (begin, part) in ENDLESS {
        let listener = TcpListener::bind(("127.0.0.1", 0))?;
        let url = format!("http://{}", listener.local_addr()?);
        let written = Arc::new(AtomicUsize::new(0));
        let counter = written.clone();
        thread::spawn(move || {
            let part = part.repeat(4_096 / part.len());
            for mut stream in listener.incoming().map_while(Result::ok) {
                let mut request = [0; 4096];
                let read = stream.read(&mut request);
                let begun = read.and_then(|_| stream.write_all(begin.as_bytes()));
                while begun.is_ok() && stream.write_all(part.as_bytes()).is_ok() {
                    counter.fetch_add(part.len(), Ordering::SeqCst);
                }
            }
        });
        let store = store::Client::new(Endpoint::new(&url, Duration::from_secs(2)));
        assert_eq!(code(store.get("k")), Some(Code::StoreUnavailable), "{begin}{part}");
        let taken = written.load(Ordering::SeqCst);
        assert!(taken < MAX_TAKEN_BYTES, "{begin}{part}: {taken} bytes");
    }
    Ok(())
}
