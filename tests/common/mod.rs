//! What the integration tests share.
#![allow(dead_code, reason = "each test file uses a part of it")]

use std::path::PathBuf;

use wasabi_config::keys::Fresh;
use wasabi_core::io::Figures;
use wasabi_standin::{platform::Platform, rig::Programs};

/// Returns the programs under test.
pub fn programs() -> Programs {
    Programs {
        router: PathBuf::from(env!("CARGO_BIN_EXE_wasabirouter")),
        ctl: PathBuf::from(env!("CARGO_BIN_EXE_wasabictl")),
    }
}

/// Returns a key as a caller sends it.
pub fn key_of(key: &Fresh) -> &str {
    &key.secret
}

/// Returns a workspace's figures over all reports that the platform has taken.
pub fn total(platform: &Platform, workspace: &str) -> Figures {
    let mut sum = Figures::default();
    let reports = platform.reports();
    let lines = reports.iter().flat_map(|report| &report.lines);
    lines
        .filter(|line| line.workspace.as_str() == workspace)
        .for_each(|line| sum.add(&line.figures));
    sum
}
