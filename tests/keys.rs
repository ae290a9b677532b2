//! API keys: a withdrawn key stops working within seconds, also for connected callers, and no key
//! appears in requests to backend servers, stored objects, logs or operator pages.

mod common;

use std::time::Duration;

use common::{programs, secret_of};
use serde_json::{Value, json};
use wasabi_standin::{
    caller::{Call, PendingResponse},
    engine::Profile,
    process::{HostProcess, wait_until},
    proxy::{Mode, Proxy},
    rig::{self, Rig, Size},
};

const LONG_STREAM_TOKENS: u64 = 100_000;

fn withdrawal_note(rig: &Rig) -> Value {
    json!({"id": "withdraw", "base": 1, "withdrawn": {"keys": [rig.sample.lab.name]}})
}

fn long_stream(rig: &Rig, host: &HostProcess) -> anyhow::Result<PendingResponse> {
    let call = Call::chat(secret_of(&rig.sample.lab), "costing", "long", LONG_STREAM_TOKENS);
    let mut pending = call.send(host.callers)?;
    assert_eq!(pending.wait_first_chunk()?, 200);
    Ok(pending)
}

fn is_refused(rig: &Rig, host: &HostProcess, code: u64) -> anyhow::Result<bool> {
    let call = Call::chat(secret_of(&rig.sample.lab), "costing", "short", 1);
    Ok(call.stream(host.callers)?.code() == Some(code))
}

#[test]
fn withdrawal_cuts_connected_callers_on_every_host() -> anyhow::Result<()> {
    let rig = Rig::start(programs(), &Size { hosts: 3, ..Size::default() })?;
    let streams =
        rig.hosts.iter().map(|host| long_stream(&rig, host)).collect::<anyhow::Result<Vec<_>>>()?;
    rig.apply(&withdrawal_note(&rig))?;
    for stream in streams {
        let (text, complete) = stream.read_rest();
        assert!(!complete, "a cut stream must not look complete");
        assert!(text.contains("1004"), "the cut stream does not state its code");
        assert!(!text.contains("[DONE]"));
    }
    for host in &rig.hosts {
        assert!(is_refused(&rig, host, 1002)?);
    }
    wait_until("the engine's work is cancelled", || rig.engines[0].running() == 0)?;
    let office = Call::chat(secret_of(&rig.sample.office), "costing", "short", 2);
    assert!(office.stream(rig.hosts[0].callers)?.complete, "another key stopped working");
    Ok(())
}

/// A request that a server may have run is not reported as "not run" when it is cut.
#[test]
fn a_call_cut_during_its_first_attempt_may_have_run() -> anyhow::Result<()> {
    const UNANSWERED: Duration = Duration::from_secs(15);
    let slow = Profile { first_token_delay: UNANSWERED, ..Profile::default() };
    let rig = Rig::start(programs(), &Size { profile: slow, ..Size::default() })?;
    rig.services[0].update_faults(|faults| faults.response_delay = UNANSWERED);
    let (key, to) = (secret_of(&rig.sample.lab), rig.hosts[0].callers);
    let plain = Call::get("/assets/1").bearer(key).send(to)?;
    let streamed = Call::chat(key, "costing", "never answered", 5).send(to)?;
    wait_until("both run", || {
        rig.services[0].executions().len() == 1 && rig.engines[0].running() == 1
    })?;
    rig.apply(&withdrawal_note(&rig))?;
    for pending in [plain, streamed] {
        let response = pending.read()?;
        assert_eq!(response.code(), Some(1004));
        assert_eq!(response.ran().as_deref(), Some("unknown"));
    }
    Ok(())
}

#[test]
fn withdrawal_reaches_a_host_cut_off_from_the_store() -> anyhow::Result<()> {
    let mut rig = Rig::start(programs(), &Size { hosts: 2, ..Size::default() })?;
    let store_proxy = Proxy::start(rig.platform.address())?;
    rig.add_host_with("far", &rig::settings("far", &store_proxy.url()))?;
    rig.wait_revision(&rig.hosts[2], 1)?;
    store_proxy.set_mode(Mode::Swallow);
    let stream = long_stream(&rig, &rig.hosts[2])?;
    rig.apply(&withdrawal_note(&rig))?;
    let (text, complete) = stream.read_rest();
    assert!(
        !complete && text.contains("1004"),
        "the stream was not cut or does not state its code"
    );
    assert!(is_refused(&rig, &rig.hosts[2], 1002)?);
    Ok(())
}

/// A host that reaches neither the store nor its peers cannot learn of a withdrawal, so it refuses
/// all keys.
#[test]
fn a_host_without_any_contact_refuses_keys() -> anyhow::Result<()> {
    let mut rig = Rig::start(programs(), &Size { hosts: 2, ..Size::default() })?;
    let store_proxy = Proxy::start(rig.platform.address())?;
    let mut settings = rig::settings("far", &store_proxy.url());
    settings["times"]["isolation_ms"] = json!(1_000);
    rig.add_host_with("far", &settings)?;
    rig.wait_revision(&rig.hosts[2], 1)?;
    let peers: Vec<Proxy> =
        rig.hosts[..2].iter().map(|host| Proxy::start(host.peers)).collect::<Result<_, _>>()?;
    for (host, peer) in rig.platform.state().hosts.lock().iter_mut().zip(&peers) {
        host.peer = peer.address();
    }
    wait_until("the host uses the proxies", || {
        let dump = rig.hosts[2].dump().unwrap_or_default();
        dump["hosts"][0]["peer"] == json!(peers[0].address())
    })?;
    let stream = long_stream(&rig, &rig.hosts[2])?;
    store_proxy.set_mode(Mode::Cut);
    peers.iter().for_each(|peer| peer.set_mode(Mode::Cut));
    let (text, complete) = stream.read_rest();
    assert!(
        !complete && text.contains("1004"),
        "the stream was not cut or does not state its code"
    );
    assert!(is_refused(&rig, &rig.hosts[2], 1205)?);
    let open = Call::get("/status").fetch(rig.hosts[2].callers)?;
    assert_eq!(open.status, 200, "a route that needs no key was refused");
    store_proxy.set_mode(Mode::Pass);
    wait_until("keys work again", || is_refused(&rig, &rig.hosts[2], 1205).is_ok_and(|r| !r))
}

#[test]
fn hosts_that_reach_each_other_serve_without_the_store() -> anyhow::Result<()> {
    let mut rig = Rig::start(programs(), &Size { hosts: 0, ..Size::default() })?;
    for i in 0..3 {
        let name = format!("host-{i}");
        let mut settings = rig.settings(&name);
        settings["times"]["isolation_ms"] = json!(500);
        rig.add_host_with(&name, &settings)?;
        rig.wait_revision(&rig.hosts[i], 1)?;
    }
    let stream = long_stream(&rig, &rig.hosts[0])?;
    rig.platform.update_faults(|faults| faults.down = true);
    let store_silent_ms = |host: &HostProcess| {
        let dump = host.dump().unwrap_or_default();
        dump["store_silent_ms"].as_u64().unwrap_or(0)
    };
    wait_until("the outage is longer than the limit", || {
        rig.hosts.iter().all(|host| store_silent_ms(host) > 2_000)
    })?;
    for host in &rig.hosts {
        let call = Call::chat(secret_of(&rig.sample.lab), "costing", "short", 2);
        assert!(call.stream(host.callers)?.complete);
    }
    drop(stream);
    Ok(())
}

#[test]
fn no_key_is_seen_by_servers_or_in_objects_logs_and_pages() -> anyhow::Result<()> {
    let rig = Rig::start(programs(), &Size { hosts: 2, ..Size::default() })?;
    let host = &rig.hosts[0];
    let key = secret_of(&rig.sample.lab);
    let body = json!({"model": "costing", "max_tokens": 2, "messages": "m"}).to_string();
    let chat = || Call::post("/v1/chat/completions", body.clone());
    let calls = [
        chat().header("authorization", &format!("Bearer {key}")),
        chat().header("AUTHORIZATION", &format!("bEaReR   {key}")),
        chat().header("X-Api-Key", key).header("cookie", &format!("k={key}")),
        chat().header("x-api-key", key).header("x-note", &key.to_uppercase()),
        Call::post(&format!("/v1/chat/completions?api_key={key}&a=1"), body.clone()),
        Call::post(&format!("/v1/chat/completions?API_KEY={key}&b={key}"), body.clone()),
        Call::post("/records/1", "{}").bearer(key).header("idempotency-key", "one"),
        Call::get(&format!("/assets/7?key={key}")),
        Call::get(&format!("/status?key={key}")),
    ];
    for call in &calls {
        assert_eq!(call.fetch(host.callers)?.status, 200, "{call:?}");
    }
    let hidden = [
        Call::post("/assets/7", format!("{{\"note\": \"{key}\"}}")).bearer(key),
        Call::get(&format!("/assets/{key}")).bearer(key),
        Call::post("/assets/7", format!("{{\"note\": \"\\u0077{}\"}}", &key[1..])).bearer(key),
        Call::post("/assets/7", format!("note=%77{}", &key[1..])).bearer(key),
        Call::post(
            "/v1/chat/completions",
            json!({"model": "costing", "messages": [key]}).to_string().replace("wk_", "\\u0077k_"),
        )
        .bearer(key),
    ];
    for call in &hidden {
        assert_eq!(call.fetch(host.callers)?.code(), Some(1105), "{call:?}");
    }
    let secret = key.to_lowercase();
    let mut seen: Vec<String> =
        rig.engines[0].records().into_iter().map(|record| record.request_text).collect();
    seen.extend(rig.services[0].executions().into_iter().map(|execution| execution.request_text));
    assert_eq!(seen.len(), calls.len());
    for object in rig.platform.state().objects.history("") {
        seen.push(object.value);
    }
    for host in &rig.hosts {
        seen.push(host.log_text());
        seen.push(host.get_operator_path("/dump")?);
        seen.push(host.get_operator_path("/metrics")?);
    }
    for bytes in seen {
        assert!(!bytes.to_lowercase().contains(&secret), "the key appears in: {bytes}");
    }
    Ok(())
}

#[test]
fn a_request_runs_only_for_the_workspace_of_its_key() -> anyhow::Result<()> {
    let rig = Rig::start(programs(), &Size::default())?;
    let host = &rig.hosts[0];
    let (lab, office) = (secret_of(&rig.sample.lab), secret_of(&rig.sample.office));
    let two = Call::get("/assets/1").bearer(lab).header("x-api-key", office);
    assert_eq!(two.fetch(host.callers)?.code(), Some(1003));
    let query = Call::get(&format!("/assets/1?key={office}")).bearer(lab);
    assert_eq!(query.fetch(host.callers)?.code(), Some(1003));
    assert_eq!(Call::get("/assets/1").fetch(host.callers)?.code(), Some(1001));
    let forged = format!("wk_{}_{}", rig.sample.lab.name, office.rsplit('_').next().unwrap_or(""));
    let forged = Call::get("/assets/1").bearer(&forged);
    assert_eq!(forged.fetch(host.callers)?.code(), Some(1002));
    let basic = Call::get("/assets/1").header("authorization", "Basic abc");
    assert_eq!(basic.fetch(host.callers)?.code(), Some(1002));
    assert_eq!(rig.services[0].executions().len(), 0);
    Ok(())
}
