//! Logs as JSON lines on standard error.

use std::io::Write as _;

use env_logger::{Builder, Env};
use log::kv::{Error, Key, Value, VisitSource};
use serde_json::{Map, json};
use wasabi_core::time::{self, Clock as _, System};

struct Fields<'a>(&'a mut Map<String, serde_json::Value>);

impl<'kvs> VisitSource<'kvs> for Fields<'_> {
    fn visit_pair(&mut self, key: Key<'kvs>, value: Value<'kvs>) -> Result<(), Error> {
        let json = match (value.to_u64(), value.to_bool()) {
            (Some(number), _) => json!(number),
            (None, Some(truth)) => json!(truth),
            (None, None) => json!(value.to_string()),
        };
        self.0.insert(key.to_string(), json);
        Ok(())
    }
}

/// Starts logging for `host`; `RUST_LOG` sets the level, which is `info` otherwise.
pub fn start(host: &str) {
    let host = host.to_string();
    let format = move |out: &mut env_logger::fmt::Formatter, record: &log::Record<'_>| {
        let mut fields = Map::new();
        fields.insert("at_ms".to_string(), json!(time::unix_ms(System.wall())));
        fields.insert("level".to_string(), json!(record.level().as_str()));
        fields.insert("host".to_string(), json!(host));
        fields.insert("module".to_string(), json!(record.target()));
        fields.insert("message".to_string(), json!(record.args().to_string()));
        let _ = record.key_values().visit(&mut Fields(&mut fields));
        writeln!(out, "{}", serde_json::Value::Object(fields))
    };
    let mut builder = Builder::from_env(Env::default().default_filter_or("info"));
    let _ = builder.format(format).try_init();
}
