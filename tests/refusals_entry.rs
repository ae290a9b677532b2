//! Answers that a backend server writes once more, at the product's own interface.

mod common;

use std::{
    io::{Read as _, Write as _},
    sync::Arc,
    time::Duration,
};

use common::{programs, secret_of};
use parking_lot::Mutex;
use serde_json::json;
use wasabi_stand::scripted::{self, Server};
use wasabi_standin::{
    caller::Call,
    rig::{Rig, Size},
};

/// Refuses each second call, writes each answer twice, and the refusal of another call after it.
fn serve(calls: Arc<Mutex<Vec<String>>>) -> anyhow::Result<Server> {
    let answer = |status: u16, id: &str, key: &str| {
        format!(
            "HTTP/1.1 {status} X\r\nx-request-id: {id}\r\ncontent-length: {}\r\n\r\n{key}",
            key.len()
        )
    };
    let earlier = Mutex::new(String::new());
    Server::start(move |mut stream, _| {
        loop {
            let head = scripted::read_head(&mut stream)?;
            if head.is_empty() {
                return Ok(());
            }
            let length = scripted::header(&head, "content-length").parse().unwrap_or(0);
            stream.read_exact(&mut vec![0; length])?;
            let key = scripted::header(&head, "idempotency-key");
            let status = if calls.lock().len().is_multiple_of(2) { 200 } else { 503 };
            calls.lock().push(key.clone());
            let own = answer(status, &scripted::header(&head, "x-request-id"), &key);
            stream.write_all(own.as_bytes())?;
            std::thread::sleep(Duration::from_millis(5));
            let refusal = answer(503, "r-another", &earlier.lock());
            stream.write_all(format!("{own}{refusal}").as_bytes())?;
            *earlier.lock() = key;
        }
    })
}

#[test]
fn a_refusal_repeated_after_an_answer_reaches_no_other_call() -> anyhow::Result<()> {
    let calls = Arc::default();
    let server = serve(Arc::clone(&calls))?;
    let rig = Rig::start(programs(), &Size { services: 1, ..Size::default() })?;
    let entry = json!({"name": "faulty", "address": server.address, "domain": "tn-north-a",
        "slots": 4});
    let changed = json!({"pools": [{"name": "records", "servers": [entry]}]});
    rig.apply(&json!({"id": "faulty", "base": 1, "changed": changed}))?;
    rig.wait_revision(&rig.hosts[0], 2)?;
    for number in 0..8 {
        let key = format!("call-{number}");
        let call = Call::post("/records/cert", r#"{"asset": 7}"#)
            .bearer(secret_of(&rig.sample.lab))
            .header("idempotency-key", &key);
        let response = call.fetch(rig.hosts[0].callers)?;
        let status = if number % 2 == 0 { 200 } else { 503 };
        assert_eq!((response.status, response.body.as_slice()), (status, key.as_bytes()));
        assert_eq!(calls.lock().iter().filter(|other| **other == key).count(), 1, "{key}");
    }
    assert_eq!(server.connections(), calls.lock().len(), "a connection was used twice");
    Ok(())
}
