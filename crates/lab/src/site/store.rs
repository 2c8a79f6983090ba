//! The platform's store of rows as an HTTP server with faults.

use std::collections::HashMap;
use std::io;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use hyper::body::Incoming;
use hyper::{Request, StatusCode};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use serde::{Deserialize, Serialize};
use serde_json::{Value, json};
use tokio::sync::watch;
use tokio::time::{sleep, timeout};

use super::rows::{Change, Condition, Row, RowKey, Rows};
use crate::http::{Answer, Gate, Handler, Server, json as answer_json, read_body};

/// Time of a transaction, as in the settings of the platform.
const WRITE_TIME: Duration = Duration::from_millis(8);

/// Time of a reading, as in the platform's sheets.
const READ_TIME: Duration = Duration::from_millis(4);

/// Longest wait of a reader of the feed.
const LONGEST_WAIT: Duration = Duration::from_secs(30);

/// Time after which a write without an answer may still take effect.
const LATE_WRITE: Duration = Duration::from_secs(2);

/// Largest body of a call, in bytes.
const BODY_BYTES: usize = 1 << 20;

/// Most rows of one answer.
const ROWS_LIMIT: usize = 500;

/// How the store fails as a whole.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub enum Outage {
    /// It serves.
    #[default]
    None,
    /// It declines every call.
    Busy,
    /// It resets the connection of every call.
    Reset,
    /// It does not answer.
    Silent,
}

/// Present faults of the store.
#[derive(Debug, Clone, Copy, PartialEq, Default)]
pub struct StoreFaults {
    /// Failure as a whole.
    pub outage: Outage,
    /// Added to the time of each call.
    pub slow: Duration,
    /// Share of the writes that take effect and are not answered.
    pub lost: f64,
    /// Share of the writes that are not answered and take effect 2 s later.
    pub late: f64,
}

/// The running store.
#[derive(Debug)]
pub struct SiteStore {
    shared: Arc<Shared>,
    server: Server,
}

#[derive(Debug)]
struct Shared {
    state: Mutex<State>,
    version: watch::Sender<u64>,
    began: Instant,
}

#[derive(Debug)]
struct State {
    rows: Rows,
    faults: StoreFaults,
    rng: ChaCha8Rng,
}

impl SiteStore {
    /// Starts an empty store on a free port.
    ///
    /// # Errors
    /// When the system refuses a listener.
    pub fn open(seed: u64) -> io::Result<Self> {
        let shared = Arc::new(Shared {
            state: Mutex::new(State {
                rows: Rows::default(),
                faults: StoreFaults::default(),
                rng: ChaCha8Rng::seed_from_u64(seed),
            }),
            version: watch::Sender::new(0),
            began: Instant::now(),
        });
        let address = SocketAddr::from(([127, 0, 0, 1], 0));
        let server = Server::open(address, Arc::clone(&shared), Arc::new(Gate::default()))?;
        Ok(Self { shared, server })
    }

    /// Address of the store.
    #[must_use]
    pub fn address(&self) -> SocketAddr {
        self.server.address()
    }

    /// Replaces the faults.
    pub fn set_faults(&self, faults: StoreFaults) {
        self.shared.state().faults = faults;
    }

    /// Present faults.
    #[must_use]
    pub fn faults(&self) -> StoreFaults {
        self.shared.state().faults
    }

    /// Forgets the changes so far.
    pub fn drop_history(&self) {
        self.shared.state().rows.drop_history();
    }

    /// Writes a row as the operator, whatever the faults. Returns its version.
    #[must_use]
    pub fn put(&self, table: &str, key: &str, value: &[u8]) -> u64 {
        use base64::Engine;
        let id = RowKey {
            table: table.to_owned(),
            part: String::new(),
            key: key.to_owned(),
        };
        let value = base64::engine::general_purpose::STANDARD.encode(value);
        let change = Change {
            id,
            value: Some(value),
        };
        let written = self.shared.write(&[], vec![change]);
        written.unwrap_or_default()
    }
}

/// A row in requests and answers.
#[derive(Debug, Serialize, Deserialize)]
#[serde(rename_all = "PascalCase")]
struct Entry {
    table: String,
    #[serde(rename = "part", default)]
    part: String,
    key: String,
    #[serde(default, skip_serializing_if = "Option::is_none")]
    value: Option<String>,
    #[serde(default)]
    ver: u64,
    #[serde(default, skip_serializing_if = "std::ops::Not::not")]
    deleted: bool,
}

#[derive(Debug, Deserialize)]
#[serde(rename_all = "PascalCase", default)]
#[derive(Default)]
struct Transaction {
    expected_rev: Vec<Entry>,
    set_keys: Vec<Entry>,
    remove: Vec<Entry>,
    cross_shard: bool,
}

impl From<Row> for Entry {
    fn from(row: Row) -> Self {
        Self {
            table: row.id.table,
            part: row.id.part,
            key: row.id.key,
            deleted: row.value.is_none(),
            value: row.value,
            ver: row.version,
        }
    }
}

impl Entry {
    fn id(&self) -> RowKey {
        RowKey {
            table: self.table.clone(),
            part: self.part.clone(),
            key: self.key.clone(),
        }
    }
}

/// What becomes of a write.
enum Fate {
    Answered,
    Lost,
    Late,
}

impl Shared {
    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn write(&self, conditions: &[Condition], changes: Vec<Change>) -> Result<u64, Vec<Row>> {
        let written = self.state().rows.transact(conditions, changes);
        let version = written.map_err(|conflict| conflict.0)?;
        self.version.send_replace(version);
        Ok(version)
    }

    fn rows_answer(&self, status: StatusCode, rows: Vec<Row>, more: bool) -> Answer {
        let rows: Vec<Entry> = rows.into_iter().map(Entry::from).collect();
        let version = self.state().rows.version();
        let now_ms = u64::try_from(self.began.elapsed().as_millis()).unwrap_or(u64::MAX);
        let body = json!({"rows": rows, "Truncated": more, "Ver": version, "NowMs": now_ms});
        answer_json(status, &body)
    }

    fn draw_fate(&self) -> Fate {
        let mut state = self.state();
        let faults = state.faults;
        let draw: f64 = state.rng.random();
        if draw < faults.lost {
            Fate::Lost
        } else if draw < faults.lost + faults.late {
            Fate::Late
        } else {
            Fate::Answered
        }
    }

    async fn transact(self: &Arc<Self>, body: &[u8]) -> Answer {
        let Ok(call) = serde_json::from_slice::<Transaction>(body) else {
            return answer_json(StatusCode::BAD_REQUEST, &json!({}));
        };
        let set = call.set_keys.into_iter().map(|entry| Change {
            id: entry.id(),
            value: entry.value,
        });
        let removed = call.remove.iter().map(|entry| Change {
            id: entry.id(),
            value: None,
        });
        let changes: Vec<Change> = set.chain(removed).collect();
        let conditions = call.expected_rev.iter().map(|entry| Condition {
            id: entry.id(),
            version: entry.ver,
        });
        let conditions: Vec<Condition> = conditions.collect();
        let parts = changes.iter().map(|change| &change.id.part);
        let mut parts = parts.chain(conditions.iter().map(|condition| &condition.id.part));
        let first = parts.next();
        if !call.cross_shard && parts.any(|part| Some(part) != first) {
            return answer_json(StatusCode::BAD_REQUEST, &json!({}));
        }
        if changes.iter().any(|change| is_foreign(&change.id)) {
            return answer_json(StatusCode::FORBIDDEN, &json!({}));
        }
        match self.draw_fate() {
            Fate::Answered => match self.write(&conditions, changes) {
                Ok(version) => {
                    let now_ms = u64::try_from(self.began.elapsed().as_millis());
                    let now_ms = now_ms.unwrap_or(u64::MAX);
                    answer_json(StatusCode::OK, &json!({"Ver": version, "NowMs": now_ms}))
                }
                Err(rows) => self.rows_answer(StatusCode::PRECONDITION_FAILED, rows, false),
            },
            Fate::Lost => {
                // Whether its conditions held is lost with the answer.
                let _written = self.write(&conditions, changes);
                Answer::Reset
            }
            Fate::Late => {
                let shared = Arc::clone(self);
                tokio::spawn(async move {
                    sleep(LATE_WRITE).await;
                    let _written = shared.write(&conditions, changes);
                });
                Answer::Reset
            }
        }
    }

    fn read(&self, query: &HashMap<String, String>) -> Answer {
        let text = |name: &str| query.get(name).map(String::as_str).unwrap_or_default();
        let limit = text("Limit").parse().unwrap_or(ROWS_LIMIT).min(ROWS_LIMIT);
        let target = query.get("Target").map(String::as_str);
        let range = (text("From"), target);
        let state = self.state();
        let (rows, more) = state.rows.read(text("Table"), text("part"), range, limit);
        drop(state);
        self.rows_answer(StatusCode::OK, rows, more)
    }

    async fn feed(&self, query: &HashMap<String, String>) -> Answer {
        let text = |name: &str| query.get(name).map(String::as_str).unwrap_or_default();
        let after: u64 = text("After").parse().unwrap_or_default();
        let wait = Duration::from_millis(text("WaitMs").parse().unwrap_or_default());
        let table = text("Table").to_owned();
        let mut versions = self.version.subscribe();
        let changed = async {
            loop {
                let rows = self.state().rows.changes(&table, after);
                if rows.as_ref().map_or(true, |rows| !rows.is_empty()) {
                    return rows;
                }
                // The sender lives as long as the store.
                let _changed = versions.changed().await;
            }
        };
        match timeout(wait.min(LONGEST_WAIT), changed).await {
            Ok(Ok(rows)) => self.rows_answer(StatusCode::OK, rows, false),
            Ok(Err(_gone)) => self.rows_answer(StatusCode::GONE, Vec::new(), false),
            Err(_elapsed) => self.rows_answer(StatusCode::OK, Vec::new(), false),
        }
    }
}

impl Handler for Shared {
    async fn answer(self: Arc<Self>, request: Request<Incoming>) -> Answer {
        let (head, body) = request.into_parts();
        let body = match read_body(body, BODY_BYTES).await {
            Ok(body) => body,
            Err(error) => return answer_json(StatusCode::PAYLOAD_TOO_LARGE, &error),
        };
        let faults = self.state().faults;
        match faults.outage {
            Outage::None => {}
            Outage::Busy => return answer_json(StatusCode::SERVICE_UNAVAILABLE, &json!({})),
            Outage::Reset => return Answer::Reset,
            Outage::Silent => {
                sleep(LONGEST_WAIT).await;
                return Answer::Reset;
            }
        }
        let query = parse_query(head.uri.query().unwrap_or_default());
        let path = head.uri.path();
        let write = path == "/-/rows-tx";
        sleep(faults.slow + if write { WRITE_TIME } else { READ_TIME }).await;
        match path {
            "/-/rows-tx" => self.transact(&body).await,
            "/-/rows-get" => self.read(&query),
            "/-/rows-feed" => self.feed(&query).await,
            "/-/rows-parts" => {
                let text = |name: &str| query.get(name).cloned().unwrap_or_default();
                let parts = self.state().rows.parts(&text("Table"), &text("After"));
                answer_json(StatusCode::OK, &json!({ "parts": parts }))
            }
            _ => answer_json(StatusCode::NOT_FOUND, &Value::Null),
        }
    }
}

/// Tables that only others write.
fn is_foreign(id: &RowKey) -> bool {
    matches!(id.table.as_str(), "op" | "servers")
}

fn parse_query(query: &str) -> HashMap<String, String> {
    let pairs = query.split('&').filter_map(|pair| pair.split_once('='));
    pairs
        .map(|(name, value)| (name.to_owned(), value.to_owned()))
        .collect()
}
