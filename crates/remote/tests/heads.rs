//! Responses of the outside systems that end within their heads, at each byte.

use std::{
    io::{Read as _, Write as _},
    net::TcpListener,
    sync::{Arc, Mutex},
    thread,
    time::Duration,
};

use wasabi_core::{
    errors::{Code, Error},
    io::{Condition, Provider as _, Store as _},
    units::Version,
};
use wasabi_remote::{http::Endpoint, provider, store};

const HEADS: [&str; 6] = [
    "HTTP/1.1 200 OK\r\nserver: x\r\ncontent-length: 13\r\ncontent-type: y\r\n\r\n",
    "HTTP/1.1 200 OK\r\ncontent-length: 0\r\nserver: x\r\n\r\n",
    "HTTP/1.1 404 X\r\ncontent-length: 0\r\nserver: x\r\n\r\n",
    "HTTP/1.1 404 X\r\nserver: x\r\ntransfer-encoding: chunked\r\n\r\n",
    "HTTP/1.1 409 X\r\nserver: x\r\n\r\n",
    "HTTP/1.1 100 X\r\n\r\nHTTP/1.1 200 OK\r\ncontent-length: 0\r\n\r\n",
];

fn code<T>(result: Result<T, Error>) -> Option<Code> {
    result.err().map(|e| e.code)
}

#[test]
fn a_head_that_ends_at_any_byte_leaves_the_outcome_unknown() -> anyhow::Result<()> {
    let response = Arc::new(Mutex::new(""));
    let listener = TcpListener::bind(("127.0.0.1", 0))?;
    let url = format!("http://{}", listener.local_addr()?);
    let sent = response.clone();
    thread::spawn(move || {
        for mut stream in listener.incoming().map_while(Result::ok) {
            let mut request = [0; 4096];
            let text = *sent.lock().expect("no panic");
            // What the client has sent does not matter here.
            let _ = stream.read(&mut request).and_then(|_| stream.write_all(text.as_bytes()));
        }
    });
    let endpoint = Endpoint::new(&url, Duration::from_secs(2));
    let (store, provider) = (store::Client::new(endpoint.clone()), provider::Client::new(endpoint));
    for head in HEADS {
        for length in 0..head.len() {
            let cut = &head[..length];
            *response.lock().expect("no panic") = cut;
            let unknown = Some(Code::StoreUnavailable);
            assert_eq!(code(store.get("k")), unknown, "{cut}");
            assert_eq!(code(store.put("k", "1", Condition::Absent)), unknown, "{cut}");
            assert_eq!(code(store.delete("k", Version(1))), unknown, "{cut}");
            assert_eq!(code(provider.is_accepted("i")), unknown, "{cut}");
        }
    }
    Ok(())
}
