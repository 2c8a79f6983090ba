//! Settings files of the launched processes.

use std::fs;
use std::net::SocketAddr;
use std::path::Path;

use serde_json::{Map, Value, json};
use snafu::ResultExt;

use super::error::{Error, Result, SystemSnafu};

/// Addresses of an entry process.
#[derive(Debug, Clone, Copy)]
pub(super) struct EntryAddresses {
    /// HTTP listener.
    pub(super) http: SocketAddr,
    /// Frame listener.
    pub(super) frames: SocketAddr,
    /// Frame listener as others reach it.
    pub(super) advertised: SocketAddr,
    /// Admin listener.
    pub(super) admin: SocketAddr,
    /// Store as this process reaches it.
    pub(super) store: SocketAddr,
}

/// Settings of an entry process.
pub(super) fn entry(name: &str, zone: &str, at: EntryAddresses, seeds: &[SocketAddr]) -> Value {
    json!({
        "name": name,
        "zone": zone,
        "http": { "listen": at.http },
        "frames": { "listen": at.frames, "address": at.advertised, "seeds": seeds },
        "admin": { "listen": at.admin },
        "store": { "address": at.store },
    })
}

/// Settings of an agent.
pub(super) fn agent(
    name: &str,
    zone: &str,
    slots: u32,
    endpoint: SocketAddr,
    admin: SocketAddr,
    seeds: &[SocketAddr],
) -> Value {
    json!({
        "name": name,
        "zone": zone,
        "slots": slots,
        "endpoint": endpoint,
        "seeds": seeds,
        "admin": admin,
    })
}

/// Writes `settings`, changed by `changes`, as YAML.
///
/// # Errors
/// When the file cannot be written.
pub(super) fn write(path: &Path, mut settings: Value, changes: &Value) -> Result<()> {
    merge(&mut settings, changes);
    let name = path.display().to_string();
    let text = serde_saphyr::to_string(&settings);
    let text = text.map_err(|e| Error::Request {
        text: format!("{name}: {e}"),
    })?;
    fs::write(path, text).context(SystemSnafu {
        step: "write",
        name,
    })
}

/// Replaces the fields of `target` that `changes` names, at any depth.
fn merge(target: &mut Value, changes: &Value) {
    let Value::Object(changes) = changes else {
        return;
    };
    if !target.is_object() {
        *target = Value::Object(Map::new());
    }
    let Value::Object(fields) = target else {
        return;
    };
    for (name, change) in changes {
        let field = fields.entry(name.clone()).or_insert(Value::Null);
        if change.is_object() {
            merge(field, change);
        } else {
            *field = change.clone();
        }
    }
}
