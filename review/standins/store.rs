//! Stand-in of the platform's metadata store: rows, transactions and the feed of changes.

use std::collections::BTreeMap;
use std::io;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::http::{Reply, Request, Server};
use crate::json::Json;

/// Time of a read and of a transaction, as on the small sites.
const READ_TIME: Duration = Duration::from_millis(4);
const TRANSACTION_TIME: Duration = Duration::from_millis(8);

/// Largest number of rows in a response.
const MAX_ROWS: usize = 500;

type RowKey = (String, String, String);

#[derive(Default)]
struct Rows {
    /// Base64 value and version of each row.
    rows: BTreeMap<RowKey, (String, u64)>,
    /// Version, key and value of each change; no value for a removed row.
    changes: Vec<(u64, RowKey, Option<String>)>,
    version: u64,
}

struct Inner {
    rows: Mutex<Rows>,
    changed: Condvar,
    /// Factor by which answers take longer.
    slowness: AtomicU64,
    started: Instant,
}

pub struct Store {
    inner: Arc<Inner>,
    pub server: Server,
}

impl Store {
    pub fn spawn(address: SocketAddr) -> io::Result<Self> {
        let inner = Arc::new(Inner {
            rows: Mutex::default(),
            changed: Condvar::new(),
            slowness: AtomicU64::new(1),
            started: Instant::now(),
        });
        let handler = Arc::clone(&inner);
        let server = Server::spawn(address, move |request| handler.handle(&request))?;
        Ok(Self { inner, server })
    }

    /// Writes a row of the operator.
    pub fn put(&self, table: &str, key: &str, value: &[u8]) {
        let key = (table.to_owned(), String::new(), key.to_owned());
        self.inner.apply(
            vec![(key, Some(encode_base64(value)))],
            &mut self.inner.lock(),
        );
    }

    pub fn set_slowness(&self, factor: u64) {
        self.inner.slowness.store(factor, Ordering::SeqCst);
    }
}

impl Inner {
    fn lock(&self) -> std::sync::MutexGuard<'_, Rows> {
        self.rows.lock().unwrap_or_else(|error| error.into_inner())
    }

    fn wait(&self, time: Duration) {
        let factor = u32::try_from(self.slowness.load(Ordering::SeqCst)).unwrap_or(1);
        thread::sleep(time * factor);
    }

    fn handle(&self, request: &Request) -> Reply {
        match request.path.as_str() {
            "/-/rows-get" => {
                self.wait(READ_TIME);
                Some((200, self.read(request)))
            }
            "/-/rows-feed" => {
                self.wait(READ_TIME);
                Some((200, self.feed(request)))
            }
            "/-/rows-tx" => {
                self.wait(TRANSACTION_TIME);
                Some(self.transact(&Json::parse(&request.body)?))
            }
            _ => Some((404, Json::object([]))),
        }
    }

    fn answer(&self, rows: Vec<Json>, version: u64, truncated: bool) -> Json {
        let now_ms = self.started.elapsed().as_millis() as u64;
        Json::object([
            ("rows", Json::List(rows)),
            ("Ver", Json::number(version)),
            ("NowMs", Json::number(now_ms)),
            ("Truncated", Json::Bool(truncated)),
        ])
    }

    fn read(&self, request: &Request) -> Json {
        let state = self.lock();
        let (table, part) = (request.parameter("Table"), request.parameter("part"));
        let (from, target) = (request.parameter("From"), request.parameter("Target"));
        let limit = request.parameter("Limit").parse().unwrap_or(MAX_ROWS);
        let limit = limit.min(MAX_ROWS);
        let mut found = Vec::new();
        let mut truncated = false;
        for (key, (value, version)) in &state.rows {
            let in_range = key.0 == table
                && key.1 == part
                && key.2.as_str() >= from
                && (target.is_empty() || key.2.as_str() < target);
            if in_range && found.len() == limit {
                truncated = true;
                break;
            }
            if in_range {
                found.push(row_json(key, Some(value), *version));
            }
        }
        self.answer(found, state.version, truncated)
    }

    fn feed(&self, request: &Request) -> Json {
        let after: u64 = request.parameter("After").parse().unwrap_or(0);
        let wait: u64 = request.parameter("WaitMs").parse().unwrap_or(0);
        let deadline = Instant::now() + Duration::from_millis(wait.min(30_000));
        let table = request.parameter("Table");
        let mut state = self.lock();
        loop {
            let changes = state.changes.iter();
            let changes = changes.filter(|(version, key, _)| *version > after && key.0 == table);
            let rows: Vec<Json> = changes
                .map(|(version, key, value)| row_json(key, value.as_ref(), *version))
                .collect();
            let left = deadline.saturating_duration_since(Instant::now());
            if !rows.is_empty() || left.is_zero() {
                return self.answer(rows, state.version, false);
            }
            let waited = self.changed.wait_timeout(state, left);
            state = waited.unwrap_or_else(|error| error.into_inner()).0;
        }
    }

    fn transact(&self, body: &Json) -> (u16, Json) {
        let mut state = self.lock();
        let mut present = Vec::new();
        let mut holds = true;
        for expected in body.get("ExpectedRev").items() {
            let key = row_key(expected);
            let row = state.rows.get(&key);
            let version = row.map_or(0, |row| row.1);
            holds &= expected.get("Ver").as_u64() == Some(version);
            present.extend(row.map(|row| row_json(&key, Some(&row.0), row.1)));
        }
        if !holds {
            return (412, self.answer(present, state.version, false));
        }
        let written = body.get("SetKeys").items().iter();
        let written =
            written.map(|row| (row_key(row), Some(row.get("Value").as_text().to_owned())));
        let removed = body.get("Remove").items().iter();
        let removed = removed.map(|row| (row_key(row), None));
        let changes: Vec<_> = written.chain(removed).collect();
        if changes
            .iter()
            .any(|((table, ..), _)| table == "op" || table == "servers")
        {
            return (403, Json::object([]));
        }
        self.apply(changes, &mut state);
        (200, self.answer(Vec::new(), state.version, false))
    }

    fn apply(&self, changes: Vec<(RowKey, Option<String>)>, state: &mut Rows) {
        state.version += 1;
        let version = state.version;
        for (key, value) in changes {
            match &value {
                Some(value) => state.rows.insert(key.clone(), (value.clone(), version)),
                None => state.rows.remove(&key),
            };
            state.changes.push((version, key, value));
        }
        self.changed.notify_all();
    }
}

fn row_key(row: &Json) -> RowKey {
    let text = |field| row.get(field).as_text().to_owned();
    (text("Table"), text("part"), text("Key"))
}

fn row_json((table, part, key): &RowKey, value: Option<&String>, version: u64) -> Json {
    let last = match value {
        Some(value) => ("Value", Json::text(value)),
        None => ("Deleted", Json::Bool(true)),
    };
    Json::object([
        ("Table", Json::text(table)),
        ("part", Json::text(part)),
        ("Key", Json::text(key)),
        ("Ver", Json::number(version)),
        last,
    ])
}

fn encode_base64(bytes: &[u8]) -> String {
    const DIGITS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut text = String::new();
    for chunk in bytes.chunks(3) {
        let mut group = [0_u8; 3];
        group[..chunk.len()].copy_from_slice(chunk);
        let bits = u32::from_be_bytes([0, group[0], group[1], group[2]]);
        for at in 0..4 {
            let digit = DIGITS[(bits >> (18 - 6 * at) & 63) as usize];
            text.push(if at > chunk.len() {
                '='
            } else {
                char::from(digit)
            });
        }
    }
    text
}
