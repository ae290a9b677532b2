//! Usage windows are sealed once and reported by one host, always with the same lines; they add up
//! to what callers received.

mod common;

use std::collections::BTreeMap;

use common::{programs, reported_totals, secret_of};
use wasabi_core::io::Report;
use wasabi_standin::{
    caller::Call,
    platform::Platform,
    process::wait_until,
    proxy::{Mode, Proxy},
    rig::{self, Rig, Size},
};

/// Checks that all accepted reports of a window have the same lines and the same reporter.
fn check_reports(platform: &Platform) {
    let mut windows: BTreeMap<u64, Report> = BTreeMap::new();
    for report in platform.reports() {
        let first = windows.entry(report.window.0).or_insert_with(|| report.clone());
        assert_eq!(
            first.lines, report.lines,
            "window {} was reported with different lines",
            report.window
        );
        assert_eq!(
            first.reporter, report.reporter,
            "window {} was reported by two hosts",
            report.window
        );
    }
}

/// Returns the completion tokens reported for a workspace, with each window counted once.
fn reported_tokens(platform: &Platform, workspace: &str) -> u64 {
    let mut windows: BTreeMap<u64, Report> = BTreeMap::new();
    for report in platform.reports() {
        windows.insert(report.window.0, report);
    }
    let lines = windows.values().flat_map(|report| &report.lines);
    let lines = lines.filter(|line| line.workspace.as_str() == workspace);
    lines.map(|line| line.figures.completion.0).sum()
}

/// Streams `calls` responses through all hosts in turn and returns the tokens received.
fn send_calls(rig: &Rig, calls: usize) -> anyhow::Result<u64> {
    let mut received = 0;
    for i in 0..calls {
        let key = secret_of(&rig.sample.lab);
        let call = Call::chat(key, "costing", &format!("call {i}"), 3 + i as u64 % 5);
        let host = &rig.hosts[i % rig.hosts.len()];
        received += call.stream(host.callers)?.tokens;
    }
    Ok(received)
}

/// Returns the index of the host that holds the usage lease.
fn find_holder(rig: &Rig) -> Option<usize> {
    let object = rig.platform.state().objects.get("lease/usage")?;
    let record: serde_json::Value = serde_json::from_str(&object.value).ok()?;
    let incarnation = record["holder"]["incarnation"].as_str()?.to_string();
    rig.hosts
        .iter()
        .position(|host| host.dump().is_ok_and(|dump| dump["incarnation"] == incarnation.as_str()))
}

fn wait_holder(rig: &Rig) -> anyhow::Result<usize> {
    let mut found = None;
    wait_until("a host holds the usage lease", || {
        found = find_holder(rig);
        found.is_some()
    })?;
    Ok(found.unwrap_or_default())
}

/// Waits until `received` tokens and then two more reports have been accepted, and checks the
/// sums.
fn check_sums(rig: &Rig, received: u64) -> anyhow::Result<()> {
    wait_until("all is reported", || reported_tokens(&rig.platform, "lab") >= received)?;
    wait_reports(rig, 2)?;
    assert_eq!(reported_tokens(&rig.platform, "lab"), received);
    check_reports(&rig.platform);
    Ok(())
}

fn wait_reports(rig: &Rig, count: usize) -> anyhow::Result<()> {
    let before = rig.platform.reports().len();
    wait_until("more reports are accepted", || rig.platform.reports().len() >= before + count)
}

#[test]
fn reports_add_up_to_what_callers_received() -> anyhow::Result<()> {
    let rig = Rig::start(programs(), &Size { hosts: 3, engines: 2, ..Size::default() })?;
    let received = send_calls(&rig, 30)?;
    wait_until("all is reported", || reported_tokens(&rig.platform, "lab") >= received)?;
    wait_reports(&rig, 2)?;
    assert_eq!(reported_tokens(&rig.platform, "lab"), received);
    assert_eq!(reported_totals(&rig.platform, "lab").requests, 30);
    check_reports(&rig.platform);
    Ok(())
}

#[test]
fn lost_answers_change_no_figure() -> anyhow::Result<()> {
    let rig = Rig::start(programs(), &Size { hosts: 2, engines: 2, ..Size::default() })?;
    let mut received = 0;
    for _ in 0..6 {
        rig.platform.update_faults(|faults| (faults.lose_responses, faults.lose_reports) = (2, 1));
        received += send_calls(&rig, 6)?;
    }
    rig.platform.update_faults(|faults| (faults.lose_responses, faults.lose_reports) = (0, 0));
    check_sums(&rig, received)
}

/// The holder of the usage lease is paused until another host has taken over, and then resumes.
#[test]
fn a_paused_reporter_and_its_successor_never_report_the_same_window() -> anyhow::Result<()> {
    let rig = Rig::start(programs(), &Size { hosts: 3, engines: 2, ..Size::default() })?;
    let mut received = send_calls(&rig, 6)?;
    for _ in 0..2 {
        let paused = wait_holder(&rig)?;
        rig.hosts[paused].pause();
        let others: Vec<usize> = (0..3).filter(|i| *i != paused).collect();
        for i in &others {
            let call = Call::chat(secret_of(&rig.sample.lab), "costing", "meanwhile", 4);
            received += call.stream(rig.hosts[*i].callers)?.tokens;
        }
        wait_until("another holds the lease", || {
            let object = rig.platform.state().objects.get("lease/usage");
            let value = object.map_or(String::new(), |object| object.value);
            !value.contains(&format!("host-{paused}:"))
        })?;
        wait_reports(&rig, 2)?;
        rig.hosts[paused].resume();
        received += send_calls(&rig, 6)?;
    }
    check_sums(&rig, received)
}

/// The proxy holds back a report until the lease of its sender has gone to another host.
#[test]
fn a_held_back_report_changes_no_sum() -> anyhow::Result<()> {
    let mut rig = Rig::start(programs(), &Size { hosts: 0, engines: 1, ..Size::default() })?;
    let usage_proxy = Proxy::start(rig.platform.address())?;
    let mut settings = rig.settings("first");
    settings["usage"] = serde_json::json!(usage_proxy.url());
    rig.add_host_with("first", &settings)?;
    rig.wait_revision(&rig.hosts[0], 1)?;
    wait_holder(&rig)?;
    rig.add_host("second")?;
    rig.wait_revision(&rig.hosts[1], 1)?;
    usage_proxy.set_mode(Mode::Hold);
    let received = send_calls(&rig, 4)?;
    wait_until("a window is sealed that is not sent", || {
        let windows = rig.platform.state().objects.list("usage/window/", "", 1_000);
        windows.iter().any(|object| object.value.contains("\"sent\":false"))
    })?;
    rig.hosts[0].pause();
    wait_until("the second holds the lease", || lease_record(&rig).contains("second:"))?;
    wait_reports(&rig, 2)?;
    usage_proxy.set_mode(Mode::Pass);
    rig.hosts[0].resume();
    check_sums(&rig, received)
}

/// Returns the stored record of the usage lease, or an empty string.
fn lease_record(rig: &Rig) -> String {
    let object = rig.platform.state().objects.get("lease/usage");
    object.map_or(String::new(), |object| object.value)
}

/// The windows of a killed host are reported by another one only on evidence that it is gone. Only
/// counts that a host has not flushed are lost with it; here all have been reported before.
#[test]
fn windows_of_a_killed_reporter_are_reported_on_evidence() -> anyhow::Result<()> {
    let mut rig = Rig::start(programs(), &Size { hosts: 3, engines: 2, ..Size::default() })?;
    let received = send_calls(&rig, 9)?;
    wait_until("all is reported", || reported_tokens(&rig.platform, "lab") >= received)?;
    let dead = wait_holder(&rig)?;
    rig.platform.update_faults(|faults| faults.lose_reports = u32::MAX);
    wait_until("the holder has sealed a window whose report is not confirmed", || {
        let windows = rig.platform.state().objects.list("usage/window/", "", 1_000);
        let open = windows.iter().filter(|o| o.value.contains("\"sent\":false"));
        open.clone().any(|o| o.value.contains(&format!("\"incarnation\":\"host-{dead}:")))
    })?;
    rig.hosts[dead].kill();
    rig.platform.update_faults(|faults| faults.lose_reports = 0);
    rig.unregister_host(&format!("host-{dead}"));
    rig.hosts.remove(dead);
    wait_until("at most one sealed window is unsent and the lease has moved", || {
        let windows = rig.platform.state().objects.list("usage/window/", "", 1_000);
        let open = windows.iter().filter(|o| o.value.contains("\"sent\":false")).count();
        open <= 1 && !lease_record(&rig).contains(&format!("host-{dead}:"))
    })?;
    wait_reports(&rig, 2)?;
    let mut windows: BTreeMap<u64, Report> = BTreeMap::new();
    for report in rig.platform.reports() {
        let first = windows.entry(report.window.0).or_insert_with(|| report.clone());
        assert_eq!(
            first.lines, report.lines,
            "window {} was reported with different lines",
            report.window
        );
    }
    assert_eq!(reported_tokens(&rig.platform, "lab"), received);
    Ok(())
}

#[test]
fn an_outage_delays_reports_and_loses_none() -> anyhow::Result<()> {
    let rig = Rig::start(programs(), &Size { hosts: 2, engines: 2, ..Size::default() })?;
    let mut received = send_calls(&rig, 4)?;
    rig.platform.update_faults(|faults| faults.down = true);
    received += send_calls(&rig, 8)?;
    rig.platform.update_faults(|faults| faults.down = false);
    received += send_calls(&rig, 4)?;
    check_sums(&rig, received)
}

#[test]
fn another_window_length_on_a_second_host_changes_no_sum() -> anyhow::Result<()> {
    let mut rig = Rig::start(programs(), &Size { hosts: 1, ..Size::default() })?;
    let mut settings = rig::settings("short", &rig.platform.url());
    settings["times"]["usage_window_ms"] = serde_json::json!(100);
    rig.add_host_with("short", &settings)?;
    rig.wait_revision(&rig.hosts[1], 1)?;
    let received = send_calls(&rig, 10)?;
    check_sums(&rig, received)
}
