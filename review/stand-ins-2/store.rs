//! The platform's store of rows, as far as the processes use it.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::{Arc, Condvar, Mutex, MutexGuard, PoisonError};
use std::thread;
use std::time::{Duration, Instant};

use crate::http::{self, Request};
use crate::json::{self, Value, number, object, text};

/// `TxnMs` of the settings.
const WRITE_TIME: Duration = Duration::from_millis(8);

/// Time of an answer to a read.
const READ_TIME: Duration = Duration::from_millis(4);

/// Most rows in one response.
const MAX_ROWS: usize = 500;

/// Table, part and key.
type RowKey = (String, String, String);

#[derive(Default)]
struct State {
    rows: BTreeMap<RowKey, (String, u64)>,
    /// Writes in order; the value is `None` for a removal.
    history: Vec<(u64, RowKey, Option<String>)>,
    version: u64,
}

pub struct Store {
    state: Mutex<State>,
    changed: Condvar,
    began: Instant,
}

impl Store {
    /// Serves an empty store at a free port.
    pub fn open() -> (Arc<Self>, SocketAddr) {
        let store = Arc::new(Self {
            state: Mutex::default(),
            changed: Condvar::new(),
            began: Instant::now(),
        });
        let shared = Arc::clone(&store);
        let handler = Arc::new(move |request| shared.answer(&request));
        let address = SocketAddr::from(([127, 0, 0, 1], 0));
        let address = http::serve(address, handler).expect("listener of the store");
        (store, address)
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Writes a row as the operator does.
    pub fn put(&self, table: &str, key: &str, value: &str) {
        let key = (table.to_owned(), String::new(), key.to_owned());
        self.state()
            .write(vec![(key, Some(encode_base64(value.as_bytes())))]);
        self.changed.notify_all();
    }

    /// Returns the parts of a table that have this key.
    pub fn parts_with_key(&self, table: &str, key: &str) -> Vec<String> {
        let state = self.state();
        let rows = state.rows.keys();
        let found = rows.filter(|row| row.0 == table && row.2 == key);
        found.map(|row| row.1.clone()).collect()
    }

    /// Returns whether the value of a row contains these bytes.
    pub fn value_contains(&self, (table, part, key): (&str, &str, &str), bytes: &[u8]) -> bool {
        let key = (table.to_owned(), part.to_owned(), key.to_owned());
        let value = self.state().rows.get(&key).map(|row| decode_base64(&row.0));
        value.is_some_and(|value| value.windows(bytes.len()).any(|part| part == bytes))
    }

    fn now_ms(&self) -> Value {
        number(self.began.elapsed().as_millis() as u64)
    }

    fn answer(&self, request: &Request) -> (u16, String) {
        match (request.method.as_str(), request.path.as_str()) {
            ("POST", "/-/rows-tx") => {
                thread::sleep(WRITE_TIME);
                self.transact(&request.body)
            }
            ("GET", "/-/rows-get") => {
                thread::sleep(READ_TIME);
                self.read(request)
            }
            ("GET", "/-/rows-feed") => self.feed(request),
            _ => (404, "{}".to_owned()),
        }
    }

    fn transact(&self, body: &str) -> (u16, String) {
        let Some(body) = json::parse(body) else {
            return (400, "{}".to_owned());
        };
        let key = |row: &Value| -> RowKey {
            let field = |name: &str| row.get(name).text().to_owned();
            (field("Table"), field("part"), field("Key"))
        };
        let mut state = self.state();
        let expected = body.get("ExpectedRev").list();
        let holds = expected.iter().all(|row| {
            let known = state.rows.get(&key(row)).map_or(0, |row| row.1);
            row.get("Ver").number() == Some(known as i64)
        });
        if !holds {
            let rows = expected.iter().map(&key);
            let rows = rows.filter_map(|key| {
                let row = state.rows.get(&key)?;
                Some(encode_row(&key, Some(&row.0), row.1))
            });
            return (412, self.response(rows.collect(), state.version, false));
        }
        let written = body.get("SetKeys").list().iter();
        let written = written.map(|row| (key(row), Some(row.get("Value").text().to_owned())));
        let removed = body.get("Remove").list().iter().map(|row| (key(row), None));
        let changes = written.chain(removed).collect();
        state.write(changes);
        let response = self.response(Vec::new(), state.version, false);
        drop(state);
        self.changed.notify_all();
        (200, response)
    }

    fn read(&self, request: &Request) -> (u16, String) {
        let state = self.state();
        let (from, target) = (request.parameter("From"), request.parameter("Target"));
        let limit = request.parameter("Limit").parse().unwrap_or(MAX_ROWS);
        let limit = limit.min(MAX_ROWS);
        let mut rows = Vec::new();
        let mut more = false;
        for (key, (value, version)) in &state.rows {
            let table = key.0 == request.parameter("Table") && key.1 == request.parameter("part");
            let in_range = key.2.as_str() >= from && (target.is_empty() || key.2.as_str() < target);
            if !table || !in_range {
                continue;
            }
            if rows.len() >= limit {
                more = true;
                break;
            }
            rows.push(encode_row(key, Some(value), *version));
        }
        (200, self.response(rows, state.version, more))
    }

    fn feed(&self, request: &Request) -> (u16, String) {
        let after = request.parameter("After").parse().unwrap_or(0);
        let wait = request.parameter("WaitMs").parse().unwrap_or(0);
        let until = Instant::now() + Duration::from_millis(wait);
        let mut state = self.state();
        loop {
            let changes = state.history.iter().filter(|(version, key, _)| {
                *version > after && key.0 == request.parameter("Table")
            });
            let rows: Vec<Value> = changes
                .map(|(version, key, value)| encode_row(key, value.as_deref(), *version))
                .collect();
            let left = until.saturating_duration_since(Instant::now());
            if !rows.is_empty() || left.is_zero() {
                return (200, self.response(rows, state.version, false));
            }
            let waited = self.changed.wait_timeout(state, left);
            state = waited.unwrap_or_else(PoisonError::into_inner).0;
        }
    }

    fn response(&self, rows: Vec<Value>, version: u64, more: bool) -> String {
        let fields = vec![
            ("rows", Value::List(rows)),
            ("Ver", number(version)),
            ("NowMs", self.now_ms()),
            ("Truncated", Value::Bool(more)),
        ];
        object(fields).to_string()
    }
}

impl State {
    fn write(&mut self, changes: Vec<(RowKey, Option<String>)>) {
        self.version += 1;
        for (key, value) in changes {
            match &value {
                Some(value) => {
                    self.rows.insert(key.clone(), (value.clone(), self.version));
                }
                None => {
                    self.rows.remove(&key);
                }
            }
            // Only the operator's rows are watched.
            if key.0 == "op" {
                self.history.push((self.version, key, value));
            }
        }
    }
}

fn encode_row(key: &RowKey, value: Option<&str>, version: u64) -> Value {
    let mut fields = vec![
        ("Table", text(&key.0)),
        ("part", text(&key.1)),
        ("Key", text(&key.2)),
        ("Ver", number(version)),
    ];
    match value {
        Some(value) => fields.push(("Value", text(value))),
        None => fields.push(("Deleted", Value::Bool(true))),
    }
    object(fields)
}

const BASE64: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";

fn encode_base64(bytes: &[u8]) -> String {
    let mut text = String::new();
    for chunk in bytes.chunks(3) {
        let byte = |at: usize| u32::from(chunk.get(at).copied().unwrap_or(0));
        let bits = byte(0) << 16 | byte(1) << 8 | byte(2);
        for at in 0..4 {
            let digit = BASE64[(bits >> (18 - 6 * at) & 63) as usize] as char;
            text.push(if at <= chunk.len() { digit } else { '=' });
        }
    }
    text
}

fn decode_base64(text: &str) -> Vec<u8> {
    let (mut bytes, mut bits, mut count) = (Vec::new(), 0_u32, 0);
    for c in text.bytes() {
        let Some(digit) = BASE64.iter().position(|known| *known == c) else {
            break;
        };
        bits = bits << 6 | digit as u32;
        count += 6;
        if count >= 8 {
            count -= 8;
            bytes.push((bits >> count & 255) as u8);
        }
    }
    bytes
}
