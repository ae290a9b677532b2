//! Each fault of a configuration is found under its code and path, and a sound one has none.

use std::time::Duration;

use wasabi_core::{
    catalog::{Catalog, Engine, KeyOwner, Kind, Limits, Route, Scaling, Service},
    catalog_check::{self, Severity},
    catalog_diff,
    errors::Code,
    units::{Bytes, Revision, Tokens},
};

fn route(name: &str, path: &str, service: &str) -> Route {
    Route {
        name: name.parse().expect("a name"),
        host: "site.example".to_string(),
        path: path.to_string(),
        kind: Kind::ResumableStream,
        timeout: Duration::from_secs(8),
        target: Duration::from_millis(500),
        target_gap: Some(Duration::from_millis(400)),
        rank: 1,
        backends: vec![(service.parse().expect("a name"), 1)],
        max_attempts: 2,
        open: false,
        homes: Default::default(),
    }
}

fn sound() -> Catalog {
    let engine = Engine { slots: 8, memory: Tokens(100_000), event_tokens: 5 };
    let scaling = Scaling {
        min: 1,
        max: 3,
        boot: Duration::from_secs(4),
        reclaimable_price_ratio: Some(0.2),
        prices: [("d1".parse().expect("a name"), 0.5)].into(),
    };
    let service = Service {
        max_connections: 100,
        health_path: "/health".to_string(),
        engine: Some(engine),
        scaling: Some(scaling),
        cold_rate: None,
    };
    let owner = |name: &str| KeyOwner {
        workspace: name.parse().expect("a name"),
        rank: Some(1),
        homes: Default::default(),
    };
    Catalog {
        version: Revision(7),
        routes: vec![route("a", "/a/", "llm"), route("b", "/a/b/", "llm")],
        services: [("llm".to_string(), service)].into(),
        limits: Limits::default(),
        keys: [("secret-1", "w1"), ("secret-2", "w2")]
            .map(|(key, workspace)| (key.to_string(), owner(workspace)))
            .into(),
        requires_keys: true,
    }
}

fn service(catalog: &mut Catalog) -> &mut Service {
    catalog.services.get_mut("llm").expect("the service")
}

fn scaling(catalog: &mut Catalog) -> &mut Scaling {
    service(catalog).scaling.as_mut().expect("the bounds")
}

fn engine(catalog: &mut Catalog) -> &mut Engine {
    service(catalog).engine.as_mut().expect("the engine")
}

/// A change of a sound configuration, and the path and code of the only finding that it has then.
type Fault = (&'static str, Code, fn(&mut Catalog));

const ERRORS: [Fault; 26] = [
    ("routes/a", Code::ConfigUnused, |c| c.routes[1].path = "/a/".to_string()),
    ("routes/b", Code::ConfigDuplicate, |c| c.routes[0].name = c.routes[1].name.clone()),
    ("routes/a/host", Code::ConfigUnused, |c| c.routes[0].host = "site.example:80".to_string()),
    ("routes/a/host", Code::ConfigUnused, |c| c.routes[0].host = String::new()),
    ("routes/a/path", Code::ConfigUnused, |c| c.routes[0].path = "a/".to_string()),
    ("routes/a/path", Code::ConfigUnused, |c| c.routes[0].path = "/a?b/".to_string()),
    ("routes/a/timeout", Code::ConfigConflict, |c| {
        let route = &mut c.routes[0];
        (route.timeout, route.target, route.target_gap) = (Duration::ZERO, route.target, None);
    }),
    ("routes/a/target", Code::ConfigConflict, |c| c.routes[0].target = Duration::ZERO),
    ("routes/a/target", Code::ConfigConflict, |c| c.routes[0].target = Duration::from_secs(9)),
    ("routes/a/target_gap", Code::ConfigConflict, |c| {
        c.routes[0].target_gap = Some(Duration::from_secs(9));
    }),
    ("routes/a/target_gap", Code::ConfigConflict, |c| {
        c.routes[0].target_gap = Some(Duration::ZERO);
    }),
    ("routes/a/services", Code::ConfigConflict, |c| c.routes[0].backends[0].1 = 0),
    ("routes/a/services/gone", Code::ConfigReferenceMissing, |c| {
        c.routes[0].backends[0].0 = "gone".parse().expect("a name");
    }),
    ("services/llm/max_connections", Code::ConfigConflict, |c| service(c).max_connections = 0),
    ("services/llm/engine/slots", Code::ConfigConflict, |c| engine(c).slots = 0),
    ("services/llm/engine/memory", Code::ConfigConflict, |c| engine(c).memory = Tokens(0)),
    ("services/llm/scaling/min", Code::ConfigConflict, |c| scaling(c).min = 4),
    ("services/llm/scaling/reclaimable_price_ratio", Code::ConfigConflict, |c| {
        scaling(c).reclaimable_price_ratio = Some(1.5);
    }),
    ("services/llm/scaling/prices/d1", Code::ConfigConflict, |c| {
        scaling(c).prices.values_mut().for_each(|price| *price = -1.0);
    }),
    ("limits/max_head", Code::ConfigConflict, |c| c.limits.max_head = Bytes(0)),
    ("limits/head_timeout", Code::ConfigConflict, |c| c.limits.head_timeout = Duration::ZERO),
    ("workspaces", Code::ConfigConflict, |c| {
        let owner = c.keys["secret-1"].clone();
        c.keys.insert(String::new(), owner);
    }),
    ("routes/b/open", Code::ConfigUnused, |c| {
        c.keys.clear();
        c.routes[0].open = true;
    }),
    ("routes/a/services", Code::ConfigConflict, |c| {
        service(c);
        let other = c.services["llm"].clone();
        c.services.insert("app".to_string(), other);
        let app = "app".parse().expect("a name");
        c.routes[0].backends = vec![("llm".parse().expect("a name"), u32::MAX), (app, 1)];
    }),
    ("limits/idle_timeout", Code::ConfigConflict, |c| {
        (c.limits.head_timeout, c.limits.idle_timeout) = (Duration::from_nanos(1), Duration::ZERO);
    }),
    ("routes/a", Code::ConfigUnused, |c| {
        c.routes[1].path = "/a/".to_string();
        c.routes[1].host = "SITE.example".to_string();
    }),
];

const WARNINGS: [Fault; 10] = [
    ("routes/a/path", Code::ConfigConflict, |c| c.routes[0].path = "/a".to_string()),
    ("routes/a/rank", Code::ConfigValueReplaced, |c| c.routes[0].rank = 10),
    ("routes/a/target_gap", Code::ConfigUnused, |c| c.routes[0].kind = Kind::Idempotent),
    ("routes/a/services/llm", Code::ConfigDuplicate, |c| {
        let backend = c.routes[0].backends[0].clone();
        c.routes[0].backends.push(backend);
    }),
    ("services/idle", Code::ConfigUnused, |c| {
        let other = c.services["llm"].clone();
        c.services.insert("idle".to_string(), other);
    }),
    ("services/llm/scaling", Code::ConfigUnused, |c| scaling(c).prices.clear()),
    ("limits/max_body", Code::ConfigConflict, |c| c.limits.max_body = Bytes(0)),
    ("limits/head_timeout", Code::ConfigConflict, |c| {
        c.limits.head_timeout = Duration::from_secs(60);
    }),
    ("workspaces/w1/rank", Code::ConfigConflict, |c| {
        c.keys.get_mut("secret-1").expect("the key").rank = None;
    }),
    ("workspaces/w2/rank", Code::ConfigValueReplaced, |c| {
        c.keys.get_mut("secret-2").expect("the key").rank = Some(12);
    }),
];

#[test]
fn a_sound_configuration_has_no_findings() {
    assert_eq!(catalog_check::check(&sound()), []);
}

#[test]
fn each_fault_is_found() {
    for (faults, severity) in [(&ERRORS[..], Severity::Error), (&WARNINGS[..], Severity::Warning)] {
        for (path, code, change) in faults {
            let mut catalog = sound();
            change(&mut catalog);
            let found = catalog_check::check(&catalog);
            let found = found.iter().find(|f| (f.path.as_str(), f.code) == (path, *code));
            assert_eq!(found.map(|found| found.severity), Some(severity), "{path}");
        }
    }
}

/// A route without weight is one fault, not one for each of its services.
#[test]
fn a_service_without_weight_is_found_beside_others() {
    let mut catalog = sound();
    let other = catalog.services["llm"].clone();
    catalog.services.insert("app".to_string(), other);
    catalog.routes[0].backends.push(("app".parse().expect("a name"), 0));
    let found = catalog_check::check(&catalog);
    let found: Vec<_> = found.iter().map(|f| (f.path.as_str(), f.code, f.severity)).collect();
    assert_eq!(found, [("routes/a/services/app", Code::ConfigUnused, Severity::Warning)]);
}

#[test]
fn a_version_must_rise() {
    assert_eq!(catalog_check::check_version(Revision(8), Revision(7)), None);
    for version in [6, 7] {
        let found = catalog_check::check_version(Revision(version), Revision(7));
        assert_eq!(found.map(|found| found.code), Some(Code::ConfigVersionOld));
    }
}

#[test]
fn differences_are_single_values() {
    let old = sound();
    let mut new = sound();
    new.version = Revision(8);
    new.routes[0].timeout = Duration::from_millis(1_500);
    new.routes.remove(1);
    let differences =
        catalog_diff::compare(&catalog_diff::summary(&old), &catalog_diff::summary(&new));
    let paths: Vec<&str> = differences.iter().map(|d| d.path.as_str()).collect();
    assert_eq!(paths, ["routes/a/timeout", "routes/b", "version"]);
    assert_eq!((&differences[0].before, &differences[0].after), (&"8s".into(), &"1.5s".into()));
    assert!(differences[1].after.is_null());
}

/// Guards against keys in reports, which operators may pass on.
#[test]
fn no_key_is_shown() {
    let old = sound();
    let mut new = sound();
    let owner = new.keys.remove("secret-1").expect("the key");
    new.keys.insert("secret-3".to_string(), owner);
    let keys = catalog_diff::compare_keys(&old, &new);
    assert_eq!(keys.len(), 1);
    assert_eq!((&keys[0].before, &keys[0].after), (&"1 withdrawn".into(), &"1 added".into()));
    let summary = catalog_diff::summary(&new);
    assert_eq!(summary["workspaces"]["w1"]["keys"], 1);
    let shown = format!("{keys:?} {summary} {:?}", catalog_check::check(&new));
    assert!(!shown.contains("secret"), "{shown}");
}
