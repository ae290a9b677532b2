//! The interfaces for operators: command line, settings, health, metrics, logs and dumps.

mod common;

use common::{programs, secret_of};
use serde_json::{Value, json};
use wasabi_standin::{
    caller::Call,
    process::{self, wait_until},
    rig::{self, Rig, Size},
};

/// Runs `wasabirouter check` on `settings` and returns its exit code and output.
fn check_settings(settings: &Value) -> anyhow::Result<(Option<i32>, String)> {
    let path = process::scratch_file("settings", &settings.to_string())?;
    let file = path.to_string_lossy().into_owned();
    let output = process::run(&programs().router, &["check", "--settings", &file])?;
    std::fs::remove_file(path)?;
    let text = [output.stdout, output.stderr].concat();
    Ok((output.status.code(), String::from_utf8_lossy(&text).into_owned()))
}

#[test]
fn settings_are_checked_and_every_problem_is_named() -> anyhow::Result<()> {
    let good = rig::settings("host-0", "http://127.0.0.1:1");
    assert_eq!(check_settings(&good)?, (Some(0), "the settings are valid\n".to_string()));
    let mut bad = good;
    bad["host"] = json!("no spaces");
    bad["callers"] = json!("nowhere");
    bad["objects"] = json!("ftp://x");
    bad["surprise"] = json!(1);
    bad["cell_servers"] = json!(0);
    bad["policy"] = json!("random");
    bad["times"]["lease_ms"] = json!("long");
    bad["times"]["watch_ms"] = json!(0);
    bad["times"]["never_ms"] = json!(1);
    let (code, output) = check_settings(&bad)?;
    assert_eq!(code, Some(2));
    for path in [
        "host",
        "callers",
        "objects",
        "surprise",
        "cell_servers",
        "policy",
        "times.lease_ms",
        "times.watch_ms",
        "times.never_ms",
    ] {
        assert!(output.contains(&format!("E2201 {path}: ")), "{path} is not named in: {output}");
    }
    Ok(())
}

#[test]
fn wasabictl_shows_objects_status_and_usage() -> anyhow::Result<()> {
    let rig = Rig::start(programs(), &Size { hosts: 2, ..Size::default() })?;
    let json_of = |args: &[&str]| -> anyhow::Result<Value> {
        let (code, output) = rig.ctl(args)?;
        anyhow::ensure!(code == Some(0), "{args:?}: {output}");
        Ok(serde_json::from_str(&output)?)
    };
    assert_eq!(json_of(&["get", "workspaces"])?.as_array().map(Vec::len), Some(2));
    assert_eq!(json_of(&["get", "routes", "chat"])?["object"]["class"], "costing");
    assert_eq!(rig.ctl(&["get", "routes", "none"])?.0, Some(6));
    assert_eq!(rig.ctl(&["get", "gadgets"])?.0, Some(2));
    assert_eq!(json_of(&["dump", "host-1"])?["host"], "host-1");
    assert_eq!(json_of(&["--json", "note", "log"])?[0]["note"]["id"], "first");
    let (code, table) = rig.ctl(&["status"])?;
    assert_eq!(code, Some(0));
    assert!(table.contains("HOST") && table.contains("host-0") && table.contains("lease/usage"));
    wait_until("a window is sealed", || {
        rig.ctl(&["--json", "usage", "1"]).is_ok_and(|(code, _)| code == Some(0))
    })?;
    assert_eq!(rig.ctl(&["usage", "999999"])?.0, Some(6));
    rig.platform.update_faults(|faults| faults.down = true);
    assert_eq!(rig.ctl(&["status"])?.0, Some(5));
    Ok(())
}

#[test]
fn a_new_key_works_after_its_entry_is_applied() -> anyhow::Result<()> {
    let rig = Rig::start(programs(), &Size::default())?;
    let (code, output) = rig.ctl(&["--json", "key", "new", "lab"])?;
    assert_eq!(code, Some(0));
    let new: Value = serde_json::from_str(&output)?;
    let secret = new["secret"].as_str().unwrap_or_default().to_string();
    let call = Call::chat(&secret, "costing", "new", 2);
    assert_eq!(call.stream(rig.hosts[0].callers)?.code(), Some(1002));
    rig.apply(&json!({"id": "new", "base": 1, "added": {"keys": [new["entry"]]}}))?;
    rig.wait_revision(&rig.hosts[0], 2)?;
    assert!(call.stream(rig.hosts[0].callers)?.complete);
    let entry = new["entry"].to_string();
    assert!(!entry.contains(&secret), "the secret is shown once and must not be in the entry");
    Ok(())
}

#[test]
fn health_metrics_and_log_show_a_served_request_without_its_prompt() -> anyhow::Result<()> {
    let rig = Rig::start(programs(), &Size::default())?;
    let host = &rig.hosts[0];
    assert_eq!(host.get_operator_path("/health")?, "ready\n");
    let key = secret_of(&rig.sample.lab);
    assert!(Call::chat(key, "costing", "secret prompt", 3).stream(host.callers)?.complete);
    let line = host.wait_log("request ended")?;
    for (field, value) in [("workspace", "lab"), ("class", "costing"), ("route", "chat")] {
        assert_eq!(line[field], value);
    }
    assert_eq!(line["code"], 0);
    assert!(!host.log_text().contains("secret prompt"), "the log contains the prompt");
    let metrics = host.get_operator_path("/metrics")?;
    for name in [
        "wasabi_requests_total{class=\"costing\",code=\"0\"} 1",
        "wasabi_config_revision 1",
        "wasabi_platform_calls_total{kind=\"store_watch\"}",
        "wasabi_lease_held{role=\"usage\"}",
        "wasabi_request_seconds",
    ] {
        assert!(metrics.contains(name), "{name} is not in: {metrics}");
    }
    Ok(())
}

/// A workspace's limits on concurrent requests and on tokens per minute.
#[test]
fn workspaces_are_held_to_their_limits() -> anyhow::Result<()> {
    let rig = Rig::start(programs(), &Size::default())?;
    let host = &rig.hosts[0];
    let changed = json!([{"name": "lab", "max_running": 1}, {"name": "office", "token_rate": 10}]);
    rig.apply(&json!({"id": "limits", "base": 1, "changed": {"workspaces": changed}}))?;
    rig.wait_revision(host, 2)?;
    let lab = Call::chat(secret_of(&rig.sample.lab), "costing", "long", 100_000);
    let mut first = lab.send(host.callers)?;
    assert_eq!(first.wait_first_chunk()?, 200);
    assert_eq!(lab.stream(host.callers)?.code(), Some(1201));
    let office = Call::chat(secret_of(&rig.sample.office), "costing", "many", 30);
    assert!(office.stream(host.callers)?.complete);
    let refused = office.stream(host.callers)?;
    assert_eq!(refused.code(), Some(1201));
    let error = refused.error.unwrap_or_default()["error"].clone();
    assert!(error["retry_after_s"].as_u64() > Some(60), "{error}");
    Ok(())
}
