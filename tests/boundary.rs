//! Checks that `src`, `crates` and `examples` do not contain the platform's names, and that
//! `platform/src` contains no waiting, random choices, retries or queues.

use std::{
    fs,
    path::{Path, PathBuf},
};

/// Headers, fields and paths of the platform that `src`, `crates` and `examples` must not contain,
/// their folders `tests` aside.
const PLATFORM_NAMES: &[&str] = &[
    "Response-Signature",
    "response-signature",
    "Not-Executed",
    "not-executed",
    "Expect-Instance",
    "expect-instance",
    "Request-Urgency",
    "request-urgency",
    "Prompt-Prefix",
    "prompt-prefix",
    "Token-Usage",
    "token-usage",
    "Server-Load",
    "server-load",
    "Duty-Holder",
    "duty-holder",
    "Fencing-Token",
    "fencing-token",
    "Kv-From",
    "kv-from",
    "Kv-Backup",
    "kv-backup",
    "kv_capacity",
    "kv_token",
    "cold_remaining_ms",
    "after_rev",
    "current_rev",
    "has_more",
    "/api/objects",
    "/api/readiness",
    "zone_prices",
    "spot_price",
    "path_prefix",
    "api_keys",
];

/// Adds the Rust files in `folder` to `found`, without folders named `tests`.
fn collect_sources(folder: &Path, found: &mut Vec<PathBuf>) -> std::io::Result<()> {
    for entry in fs::read_dir(folder)? {
        let path = entry?.path();
        if path.is_dir() && path.file_name().is_some_and(|name| name != "tests") {
            collect_sources(&path, found)?;
        } else if path.extension().is_some_and(|kind| kind == "rs") {
            found.push(path);
        }
    }
    Ok(())
}

#[test]
fn only_the_platform_crate_contains_the_platforms_names() -> anyhow::Result<()> {
    let mut files = Vec::new();
    for folder in ["src", "crates", "examples"] {
        collect_sources(Path::new(folder), &mut files)?;
    }
    assert!(files.len() > 100);
    for file in files {
        let text = fs::read_to_string(&file)?;
        for name in PLATFORM_NAMES {
            assert!(!text.contains(name), "{}: {name}", file.display());
        }
    }
    Ok(())
}

/// The platform crate only translates calls: waiting, random choices, retries and queues belong
/// elsewhere.
#[test]
fn the_platform_crate_contains_no_policy() -> anyhow::Result<()> {
    let mut files = Vec::new();
    collect_sources(Path::new("platform/src"), &mut files)?;
    for file in files {
        let text = fs::read_to_string(&file)?;
        for word in ["tokio::time", "sleep(", "rand::", "retry_after", "VecDeque"] {
            assert!(!text.contains(word), "{}: {word}", file.display());
        }
    }
    Ok(())
}
