//! The operator: writes configurations and watches that they come into force and stay.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use hyper::Method;
use serde_json::{Value, json};
use tokio::time::sleep;

use super::connection::{Connection, HOST, Reply};
use super::fleet::{Fleet, SERVICE};
use super::job::{ATTEMPTS, QUEUES, STRETCH, TARGET_MS};
use super::rules::Rule;
use super::witness::Witness;
use crate::site::SiteStore;

/// Time in which a configuration is in force, as on the platform's pages.
const APPLY_LIMIT: Duration = Duration::from_secs(2);

/// Time after which no request may meet an older configuration than one before it.
const DOWNGRADE_SLACK: Duration = Duration::from_millis(250);

/// Pause between two looks at a process.
const LOOK_INTERVAL: Duration = Duration::from_millis(100);

/// Time in which a process answers a look.
const LOOK_LIMIT: Duration = Duration::from_secs(1);

/// The newest configuration: its version, and when it was acknowledged.
#[derive(Debug)]
pub(super) struct Operator {
    store: Arc<SiteStore>,
    newest: Mutex<(u64, Instant)>,
}

impl Operator {
    pub(super) fn new(store: Arc<SiteStore>) -> Self {
        Self {
            store,
            newest: Mutex::new((0, Instant::now())),
        }
    }

    /// Writes the next version, in which one queue more exists than in the one before.
    pub(super) fn change(&self) {
        let mut newest = self.newest();
        let version = newest.0 + 1;
        let document = document(version).to_string();
        // The store takes the operator's writes whatever its faults.
        let _version = self.store.put("op", "config", document.as_bytes());
        *newest = (version, Instant::now());
    }

    fn newest(&self) -> MutexGuard<'_, (u64, Instant)> {
        self.newest.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Looks at one entry process again and again.
    pub(super) async fn watch(
        self: Arc<Self>,
        fleet: Arc<Fleet>,
        at: usize,
        witness: Arc<Witness>,
    ) {
        let entry = &fleet.entries[at];
        let mut connection = Connection::default();
        // Life of the process and the newest version that it has shown, since when.
        let mut shown: Option<(u64, u64, Instant)> = None;
        loop {
            sleep(LOOK_INTERVAL).await;
            let Some(life) = entry.node.life() else {
                continue;
            };
            if shown.is_some_and(|(known, ..)| known != life) {
                shown = None;
            }
            let (version, acknowledged) = *self.newest();
            let sent = Instant::now();
            let Some(exists) = look(&mut connection, entry.callers, version).await else {
                continue;
            };
            if exists {
                shown = shown.filter(|shown| shown.1 == version);
                shown = shown.or(Some((life, version, Instant::now())));
                continue;
            }
            if let Some((_, known, since)) = shown
                && known == version
                && since + DOWNGRADE_SLACK < sent
                && entry.node.life() == Some(life)
            {
                let text = format!("{} went back from version {version}", entry.node.name());
                witness.violate(Rule::Configuration, text);
            }
            let late = acknowledged + APPLY_LIMIT < sent;
            if late && witness.calm().is_undisturbed(sent) {
                let text = format!("{} has no version {version}", entry.node.name());
                witness.violate(Rule::Configuration, text);
            }
        }
    }
}

/// Whether the queue exists that the version has added.
async fn look(connection: &mut Connection, peer: SocketAddr, version: u64) -> Option<bool> {
    if connection.peer().is_none() && !connection.connect(peer).await {
        return None;
    }
    let path = format!("/version-{version}/");
    let reply = connection.send(Method::GET, &path, String::new(), LOOK_LIMIT);
    match reply.await {
        Reply::Status(200, _) => Some(true),
        Reply::Status(404, _) => Some(false),
        _ => None,
    }
}

/// A configuration with the queues of the load and one that is named for the version.
fn document(version: u64) -> Value {
    let queue = |name: &str| {
        json!({
            "Name": name, "Host": HOST, "Prefix": format!("/{name}/"), "Service": SERVICE,
            "TargetLatencyMs": TARGET_MS, "MaxAttempts": ATTEMPTS, "StretchFactor": STRETCH,
        })
    };
    let mut routes: Vec<Value> = QUEUES.iter().map(|name| queue(name)).collect();
    routes.push(queue(&format!("version-{version}")));
    json!({
        "Version": version,
        "Routes": routes,
        "Services": [{"Name": SERVICE}],
        "Limits": {"MaxBodyBytes": 262_144},
    })
}
