//! A sample release note.

use serde_json::{Value, json};
use wasabi_config::keys;
use wasabi_core::note::Server;

/// A sample release note and its keys.
pub struct Sample {
    /// The release note as JSON.
    pub note: Value,
    /// The key of workspace `lab`.
    pub lab: keys::NewKey,
    /// The key of workspace `office`.
    pub office: keys::NewKey,
}

/// Builds a release note with two workspaces, two request classes for streams, one for plain calls,
/// and their routes.
///
/// `engines` serve the model `costing`. `services`, if there are any, serve plain calls: `/records`
/// is not repeatable, `/status` needs no key, and `/assets` is repeatable and needs a key.
pub fn build(engines: &[Server], services: &[Server]) -> Sample {
    let lab = keys::fresh();
    let office = keys::fresh();
    let class = |name: &str, tier: u8, target: Value| json!({"name": name, "tier": tier, "target": target, "max_gap_ms": 2_000});
    let check = json!({"stream": {"first_token_ms": 1_800, "inter_token_ms": 38}});
    let costing = json!({"stream": {"first_token_ms": 60_000, "inter_token_ms": 200}});
    let record = json!({"whole": {"answer_ms": 30_000}});
    let key = |key: &keys::NewKey, workspace: &str| json!({"name": key.name, "workspace": workspace, "digest": key.digest});
    let mut pools = vec![json!({"name": "costing", "model": "costing", "servers": engines})];
    let mut routes = vec![
        json!({"name": "chat", "path": "/v1/chat/completions", "class": "costing",
               "pools": ["costing"]}),
        json!({"name": "check", "path": "/check/v1/chat/completions", "class": "check",
               "pools": ["costing"]}),
    ];
    if !services.is_empty() {
        pools.push(json!({"name": "records", "servers": services}));
        routes.push(json!({"name": "records", "path": "/records", "class": "record",
                           "pools": ["records"], "repeatable": false}));
        routes.push(json!({"name": "status", "path": "/status", "class": "record",
                           "pools": ["records"], "open": true}));
        routes.push(json!({"name": "assets", "path": "/assets", "class": "record",
                           "pools": ["records"]}));
    }
    let note = json!({
        "id": "first",
        "base": 0,
        "added": {
            "classes": [class("check", 0, check), class("costing", 2, costing),
                        class("record", 1, record)],
            "workspaces": [{"name": "lab"}, {"name": "office", "weight": 2}],
            "keys": [key(&lab, "lab"), key(&office, "office")],
            "pools": pools,
            "routes": routes,
        },
    });
    Sample { note, lab, office }
}
