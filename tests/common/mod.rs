//! Helpers shared by the integration tests.
#![allow(dead_code, reason = "each test file uses a part of it")]

use std::path::PathBuf;

use wasabi_config::keys::NewKey;
use wasabi_core::io::UsageTotals;
use wasabi_standin::{platform::Platform, rig::Programs};

/// Returns the programs under test.
pub fn programs() -> Programs {
    Programs {
        router: PathBuf::from(env!("CARGO_BIN_EXE_wasabirouter")),
        ctl: PathBuf::from(env!("CARGO_BIN_EXE_wasabictl")),
    }
}

/// Returns the secret of a key, which callers send.
pub fn secret_of(key: &NewKey) -> &str {
    &key.secret
}

/// Returns a workspace's figures summed over all accepted usage reports; a repeated report counts
/// again.
pub fn reported_totals(platform: &Platform, workspace: &str) -> UsageTotals {
    let mut sum = UsageTotals::default();
    let reports = platform.reports();
    let lines = reports.iter().flat_map(|report| &report.lines);
    lines
        .filter(|line| line.workspace.as_str() == workspace)
        .for_each(|line| sum.add(&line.figures));
    sum
}
