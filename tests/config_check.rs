//! `wasabictl config check` on files of the platform's format, alone, against another file and against a gateway.

use std::{fs, path::PathBuf, process::Command};

use serde_json::{Value, json};
use wasabi_stand::rig::Rig;

const PROGRAM: &str = env!("CARGO_BIN_EXE_wasabirouter");
const CLIENT: &str = env!("CARGO_BIN_EXE_wasabictl");

/// A file that is removed when dropped.
struct File(PathBuf);

impl File {
    fn new(name: &str, text: &str) -> anyhow::Result<Self> {
        let path = std::env::temp_dir().join(format!("config-check-{}-{name}", std::process::id()));
        fs::write(&path, text)?;
        Ok(Self(path))
    }

    fn path(&self) -> String {
        self.0.to_string_lossy().into_owned()
    }
}

impl Drop for File {
    fn drop(&mut self) {
        let _ = fs::remove_file(&self.0);
    }
}

/// Runs the check; returns its exit code and output.
fn check(arguments: &[&str]) -> anyhow::Result<(Option<i32>, String)> {
    let output = Command::new(CLIENT).args(arguments).output()?;
    let text = [output.stdout, output.stderr].concat();
    Ok((output.status.code(), String::from_utf8_lossy(&text).into_owned()))
}

/// A finding: its severity, code and path.
type Finding = (String, u64, String);

/// Checks a file and returns the exit code, the findings and the differences.
fn check_json(file: &File, more: &[&str]) -> anyhow::Result<(Option<i32>, Vec<Finding>, Value)> {
    let path = file.path();
    let (code, output) = check(&[&["--json", "config", "check", &path], more].concat())?;
    let report: Value = serde_json::from_str(&output)?;
    let text = |value: &Value| value.as_str().unwrap_or_default().to_string();
    let findings = report["findings"].as_array().into_iter().flatten();
    let findings = findings.map(|finding| {
        let code = finding["code"].as_u64().unwrap_or_default();
        (text(&finding["severity"]), code, text(&finding["path"]))
    });
    Ok((code, findings.collect(), report["differences"].clone()))
}

/// The configuration of the rig, whose plain routes have a target for streams that has no effect.
fn sound(rig: &Rig) -> Value {
    let mut config = rig.store.get("config", "main").expect("the rig has written it");
    for route in config["routes"].as_array_mut().into_iter().flatten().skip(2) {
        route["target_gap_ms"] = Value::Null;
    }
    config
}

#[test]
fn what_decoding_would_drop_or_replace_is_found() -> anyhow::Result<()> {
    let rig = Rig::start(PROGRAM)?;
    let file = File::new("sound", &sound(&rig).to_string())?;
    assert_eq!(check(&["config", "check", &file.path()])?, (Some(0), "no findings\n".to_string()));
    let mut config = sound(&rig);
    config["routes"][0]["max_attempts"] = json!(0);
    config["routes"][1]["timeout_ms"] = json!(-1);
    config["routes"][3]["resumable"] = json!(true);
    config["tenants"][1]["api_keys"] = json!(["k1", "k2", "k2"]);
    let service = config["services"][0].clone();
    config["services"].as_array_mut().into_iter().for_each(|list| list.push(service.clone()));
    config["tenants"].as_array_mut().into_iter().for_each(|list| {
        list.push(json!({"name": "w3", "api_keys": []}));
    });
    let file = File::new("lossy", &config.to_string())?;
    let (code, findings, _) = check_json(&file, &[])?;
    assert_eq!(code, Some(3));
    for (severity, number, path) in [
        ("error", 2305, "routes/r-chat/max_attempts"),
        ("error", 2305, "routes/r-long/timeout_ms"),
        ("error", 2303, "routes/r-long/timeout"),
        ("warning", 2301, "routes/r-read/resumable"),
        ("error", 2304, "tenants/w2"),
        ("warning", 2304, "tenants/w2"),
        ("error", 2304, "services/llm"),
        ("warning", 2301, "tenants/w3"),
    ] {
        let wanted = (severity.to_string(), number, path.to_string());
        assert!(findings.contains(&wanted), "{wanted:?} is not among {findings:?}");
    }
    Ok(())
}

#[test]
fn a_file_that_is_no_configuration_is_an_error() -> anyhow::Result<()> {
    for text in ["{", "{}", "[]", r#"{"version": "seven", "routes": [], "services": []}"#] {
        let file = File::new("none", text)?;
        let (code, findings, _) = check_json(&file, &[])?;
        assert_eq!((code, findings.len()), (Some(3), 1), "{text}: {findings:?}");
        assert_eq!(findings[0].1, 2101, "{text}");
    }
    assert_eq!(check(&["config", "check", "/nowhere"])?.0, Some(2));
    Ok(())
}

#[test]
fn the_differences_from_the_version_in_force_are_listed_without_keys() -> anyhow::Result<()> {
    let rig = Rig::start(PROGRAM)?;
    let gateway = rig.start_gateway("g1")?;
    let address = gateway.addresses.operators.to_string();
    let in_force = rig.store.get("config", "main").expect("the rig has written it");
    let old = File::new("old", &in_force.to_string())?;
    let mut config = in_force;
    config["version"] = json!(2);
    config["routes"][0]["timeout_ms"] = json!(9_000);
    config["tenants"][1]["api_keys"] = json!(["secret-9", "k2"]);
    let new = File::new("new", &config.to_string())?;
    for (source, value) in [("--against", old.path()), ("--gateway", address.clone())] {
        let (code, findings, differences) = check_json(&new, &[source, &value])?;
        assert_eq!(code, Some(0), "{source}: {findings:?}");
        let expected = json!({"path": "routes/r-chat/timeout", "before": "8s", "after": "9s"});
        let differences = differences.as_array().cloned().unwrap_or_default();
        assert!(differences.contains(&expected), "{source}: {differences:?}");
        let paths: Vec<&str> = differences.iter().filter_map(|d| d["path"].as_str()).collect();
        assert!(paths.contains(&"workspaces/w2/keys") && paths.contains(&"version"), "{paths:?}");
        assert!(!json!(differences).to_string().contains("secret"), "{source}");
        // The version in force must not be sent again with other contents.
        let (code, findings, _) = check_json(&old, &[source, &value])?;
        let wanted = ("error".to_string(), 2306, "version".to_string());
        assert_eq!(code, Some(3), "{source}");
        assert!(findings.contains(&wanted), "{source}: {findings:?}");
    }
    let (code, _) = check(&["config", "check", &new.path(), "--gateway", "127.0.0.1:1"])?;
    assert_eq!(code, Some(5));
    let both = ["config", "check", &new.path(), "--gateway", &address, "--against", &old.path()];
    assert_eq!(check(&both)?.0, Some(2));
    Ok(())
}
