//! End-to-end tests: streamed and plain responses, cancellation, and the usage report.

mod common;

use common::{programs, reported_totals, secret_of};
use wasabi_standin::{
    caller::Call,
    engine,
    process::wait_until,
    rig::{Rig, Size},
};

#[test]
fn a_streamed_request_is_served_and_billed() -> anyhow::Result<()> {
    let rig = Rig::start(programs(), &Size::default())?;
    let host = &rig.hosts[0];
    let call = Call::chat(secret_of(&rig.sample.lab), "costing", "line by line", 12);
    let stream = call.stream(host.callers)?;
    assert_eq!(stream.status, 200);
    assert!(stream.complete);
    assert_eq!(stream.text, engine::answer("line by line", 12));

    let unknown_key = Call::chat("wk_k0_00", "costing", "line by line", 12).stream(host.callers)?;
    assert_eq!((unknown_key.status, unknown_key.code()), (401, Some(1002)));
    assert_eq!(rig.engines[0].records().len(), 1);

    wait_until("usage is reported", || reported_totals(&rig.platform, "lab").completion.0 > 0)?;
    let figures = reported_totals(&rig.platform, "lab");
    assert_eq!((figures.requests, figures.completion.0), (1, 12));
    Ok(())
}

#[test]
fn a_caller_who_leaves_cancels_the_work() -> anyhow::Result<()> {
    let rig = Rig::start(programs(), &Size::default())?;
    let call = Call::chat(secret_of(&rig.sample.lab), "costing", "never read", 100_000);
    let mut pending = call.send(rig.hosts[0].callers)?;
    assert_eq!(pending.wait_first_chunk()?, 200);
    drop(pending);
    wait_until("the engine is free", || rig.engines[0].running() == 0)?;
    assert!(!rig.engines[0].records()[0].complete);
    Ok(())
}

#[test]
fn a_plain_answer_is_served_and_models_are_listed() -> anyhow::Result<()> {
    let rig = Rig::start(programs(), &Size::default())?;
    let host = &rig.hosts[0];
    let key = secret_of(&rig.sample.office);
    let body = r#"{"model": "costing", "max_tokens": 5, "messages": "one line"}"#;
    let response = Call::post("/v1/chat/completions", body).header("x-api-key", key);
    let response = response.fetch(host.callers)?;
    assert_eq!(response.status, 200);
    let content = response.json()["choices"][0]["message"]["content"].clone();
    assert_eq!(content, engine::answer("one line", 5));
    let models = Call::get("/v1/models").bearer(key).fetch(host.callers)?;
    assert_eq!(models.json()["data"][0]["id"], "costing");
    let without_key = Call::get("/v1/models").fetch(host.callers)?;
    assert_eq!((without_key.status, without_key.code()), (401, Some(1001)));
    Ok(())
}
