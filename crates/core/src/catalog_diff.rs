//! The differences between two configurations, without their keys.

use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

use serde::Deserialize as _;
use serde_json::{Map, Value, json};

use crate::{catalog::Catalog, data, units::WorkspaceId};

data! {
    /// A value that differs between two configurations.
    pub struct Difference {
        /// The location, for example `routes/NAME/target`.
        pub path: String,
        /// The value before; `null` if there was none.
        pub before: Value,
        /// The value after; `null` if there is none any more.
        pub after: Value,
    }
}

/// Returns a configuration with its entries by their names. In place of the keys it has how many each workspace
/// has: it is shown to operators and written to logs.
pub fn summary(catalog: &Catalog) -> Value {
    let mut workspaces = Map::new();
    for (workspace, keys) in keys_of(catalog) {
        let owner = keys.iter().find_map(|key| catalog.keys.get(*key));
        let rank = owner.and_then(|owner| owner.rank);
        workspaces.insert(workspace.to_string(), json!({"keys": keys.len(), "rank": rank}));
    }
    let routes = catalog.routes.iter().map(|route| {
        let mut entry = json!(route);
        let services =
            route.backends.iter().map(|(service, weight)| (service.to_string(), json!(weight)));
        entry["backends"] = services.collect::<Map<_, _>>().into();
        (route.name.to_string(), entry)
    });
    let mut all = json!(catalog);
    all["keys"] = Value::Null;
    all["routes"] = routes.collect::<Map<_, _>>().into();
    all["workspaces"] = workspaces.into();
    with_times_as_text(all)
}

/// Writes each time as a number with its unit, so that a difference in it is one value.
fn with_times_as_text(value: Value) -> Value {
    if let Ok(time) = Duration::deserialize(&value) {
        return json!(format!("{time:?}"));
    }
    match value {
        Value::Object(fields) => {
            fields.into_iter().map(|(name, field)| (name, with_times_as_text(field))).collect()
        }
        other => other,
    }
}

/// Returns the differences between two summaries, the values that are only in one of them among them.
pub fn compare(before: &Value, after: &Value) -> Vec<Difference> {
    let mut differences = Vec::new();
    compare_at("", before, after, &mut differences);
    differences
}

/// Returns for each workspace how many keys were withdrawn and added, if any were: a key that replaces another
/// does not change a summary.
pub fn compare_keys(before: &Catalog, after: &Catalog) -> Vec<Difference> {
    let (old, new) = (keys_of(before), keys_of(after));
    let workspaces: BTreeSet<_> = old.keys().chain(new.keys()).copied().collect();
    let none = BTreeSet::new();
    let difference = |workspace: &WorkspaceId| {
        let (old, new) = (old.get(workspace).unwrap_or(&none), new.get(workspace).unwrap_or(&none));
        let (withdrawn, added) = (old.difference(new).count(), new.difference(old).count());
        (withdrawn + added > 0).then(|| Difference {
            path: format!("workspaces/{workspace}/keys"),
            before: json!(format!("{withdrawn} withdrawn")),
            after: json!(format!("{added} added")),
        })
    };
    workspaces.into_iter().filter_map(difference).collect()
}

fn keys_of(catalog: &Catalog) -> BTreeMap<&WorkspaceId, BTreeSet<&str>> {
    let mut keys: BTreeMap<&WorkspaceId, BTreeSet<&str>> = BTreeMap::new();
    for (key, owner) in &catalog.keys {
        keys.entry(&owner.workspace).or_default().insert(key);
    }
    keys
}

fn compare_at(path: &str, before: &Value, after: &Value, differences: &mut Vec<Difference>) {
    match (before, after) {
        _ if before == after => {}
        (Value::Object(old), Value::Object(new)) => {
            let names: BTreeSet<&String> = old.keys().chain(new.keys()).collect();
            for name in names {
                let path = if path.is_empty() { name.clone() } else { format!("{path}/{name}") };
                let value =
                    |object: &Map<String, Value>| object.get(name).cloned().unwrap_or_default();
                compare_at(&path, &value(old), &value(new), differences);
            }
        }
        _ => differences.push(Difference {
            path: path.to_string(),
            before: before.clone(),
            after: after.clone(),
        }),
    }
}
