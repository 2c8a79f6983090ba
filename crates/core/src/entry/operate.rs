//! Requests of operators: configuration, audit history and system status.

use std::time::Duration;

use bytes::Bytes;
use knapweedwall_wire::ConfigUpdate;
use serde::Serialize;
use serde_json::json;
use smol_str::{SmolStr, format_smolstr};

use super::io::{Action, CallKey, Operation};
use super::machine::{Machine, StorePurpose};
use super::replies::{self, HttpReply, StartedTasks};
use super::shards::ShardRole;
use super::store_keys;
use crate::clock::Now;
use crate::config::{AuditRecord, Change, Document, Error};
use crate::deterministic::DeterministicMap;
use crate::dispatch::Status as DispatchStatus;
use crate::store::{Condition, Outcome, Reply, Request, Row, Transaction, Write};

/// Interval between reads of the configuration.
const CONFIG_READ_INTERVAL: Duration = Duration::from_secs(1);

/// Time after which a request without a known outcome is answered with an error.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(10);

/// Delay before a request without a known outcome is retried.
const RETRY_DELAY: Duration = Duration::from_millis(200);

/// Maximum number of audit rows read.
const HISTORY_ROWS: u32 = 1_000;

/// A request that waits for the store.
#[derive(Debug)]
struct PendingRequest {
    call: CallKey,
    started_at: Duration,
    retry_at: Option<Duration>,
    kind: RequestKind,
}

#[derive(Debug)]
enum RequestKind {
    History(u32),
    Change(Box<ConfigChange>),
}

/// A configuration change with its audit record.
#[derive(Debug)]
struct ConfigChange {
    audit: AuditRecord,
    next: Document,
    /// Version of the configuration row that the change replaces; 0 if there is none.
    row_version: u64,
}

/// Operator requests that wait for the store, and the state of configuration reads.
#[derive(Debug, Default)]
pub struct OperatorRequests {
    pending: DeterministicMap<u64, PendingRequest>,
    last_number: u64,
    row_version: u64,
    read_pending: bool,
    next_read: Duration,
}

/// Status of an entry process as reported to operators.
#[derive(Debug, Serialize)]
struct EntryStatus {
    name: SmolStr,
    zone: SmolStr,
    alive: bool,
    leaving: bool,
}

/// Status of the system as reported to operators.
#[derive(Debug, Serialize)]
struct Status {
    name: SmolStr,
    zone: SmolStr,
    config_version: u64,
    stopping: bool,
    store_slow: bool,
    shards: u32,
    shards_served: usize,
    open_jobs: usize,
    known_jobs: usize,
    journal_depth: usize,
    journal_writes: u64,
    entries: Vec<EntryStatus>,
    dispatch: DispatchStatus,
}

impl Machine {
    pub(super) fn operate(
        &mut self,
        now: Now,
        call: CallKey,
        operation: Operation,
        out: &mut Vec<Action>,
    ) {
        match operation {
            Operation::Show => send_reply(call, &replies::json(200, &self.config), out),
            Operation::Status => send_reply(call, &replies::json(200, &self.status(now)), out),
            Operation::History(limit) => {
                self.start_request(now, call, RequestKind::History(limit), out);
            }
            Operation::Change {
                change,
                expected,
                who,
                origin,
            } => {
                self.change(now, call, change, expected, (who, origin), out);
            }
        }
    }

    fn status(&self, now: Now) -> Status {
        let mut entries = Vec::new();
        for peer in self.peers.iter() {
            entries.push(EntryStatus {
                name: peer.info.name.clone(),
                zone: peer.info.zone.clone(),
                alive: peer.is_alive(now.mono),
                leaving: peer.leaving,
            });
        }
        let served = self
            .shards
            .iter()
            .filter(|(_, info)| info.role == ShardRole::Serving)
            .count();
        Status {
            name: self.name(),
            zone: self.settings.zone.clone(),
            config_version: self.config.version,
            stopping: self.stop_started.is_some(),
            store_slow: self.ownership.is_store_slow(now.mono),
            shards: self.shards.count(),
            shards_served: served,
            open_jobs: self.jobs.open_count(),
            known_jobs: self.jobs.known_count(),
            journal_depth: self.journal.depth(),
            journal_writes: self.journal.rows_written(),
            entries,
            dispatch: self.dispatcher.status(now),
        }
    }

    fn change(
        &mut self,
        now: Now,
        call: CallKey,
        change: Change,
        expected: Option<u64>,
        (who, origin): (SmolStr, SmolStr),
        out: &mut Vec<Action>,
    ) {
        let version = self.config.version;
        if expected.is_some_and(|expected| expected != version) {
            return send_reply(call, &self.version_conflict(), out);
        }
        let next = match self.config.apply(&change) {
            Ok(next) => next,
            Err(error) => return send_reply(call, &change_error(&error), out),
        };
        let token = format_smolstr!(
            "{}-{}",
            self.settings.instance,
            self.operator_requests.last_number
        );
        let before = self.config.current_value(&change);
        let at_ms = now.wall_ms;
        let audit = AuditRecord {
            version: next.version,
            at_ms,
            who,
            origin,
            token,
            change,
            before,
        };
        let change = ConfigChange {
            audit,
            next,
            row_version: self.operator_requests.row_version,
        };
        self.start_request(now, call, RequestKind::Change(Box::new(change)), out);
    }

    fn start_request(&mut self, now: Now, call: CallKey, kind: RequestKind, out: &mut Vec<Action>) {
        self.operator_requests.last_number += 1;
        let number = self.operator_requests.last_number;
        let pending = PendingRequest {
            call,
            started_at: now.mono,
            retry_at: None,
            kind,
        };
        self.start_store_op(StorePurpose::Operate(number), pending.request(), out);
        self.operator_requests.pending.insert(number, pending);
    }

    pub(super) fn handle_operator_outcome(
        &mut self,
        now: Now,
        number: u64,
        outcome: Outcome,
        out: &mut Vec<Action>,
    ) {
        let Some(pending) = self.operator_requests.pending.get_mut(&number) else {
            return;
        };
        let reply = match (&pending.kind, outcome) {
            (RequestKind::History(limit), Ok(Reply::Rows(rows, _))) => Some(history(&rows, *limit)),
            (RequestKind::Change(change), Ok(Reply::Committed(version))) => {
                let next = change.next.clone();
                let reply = replies::json(200, &json!({ "version": next.version }));
                self.apply_config(next, Some(version), out);
                Some(reply)
            }
            (RequestKind::Change(change), Ok(Reply::Conflict(rows))) => {
                let audit = &change.audit;
                let key = store_keys::audit(audit.version);
                let is_own = is_own_audit(audit, &rows, &key);
                let version = audit.version;
                self.apply_config_rows(&rows, out);
                let accepted = replies::json(200, &json!({ "version": version }));
                Some(if is_own {
                    accepted
                } else {
                    self.version_conflict()
                })
            }
            // The transaction is conditional, so it is retried until its outcome is known.
            _ => {
                pending.retry_at = Some(now.mono + RETRY_DELAY);
                None
            }
        };
        if let Some(reply) = reply
            && let Some(pending) = self.operator_requests.pending.remove(&number)
        {
            send_reply(pending.call, &reply, out);
        }
    }

    /// Reads the configuration and retries requests whose outcome is unknown.
    pub(super) fn run_operator_requests(&mut self, now: Now, out: &mut Vec<Action>) {
        if !self.operator_requests.read_pending && now.mono >= self.operator_requests.next_read {
            self.operator_requests.read_pending = true;
            self.operator_requests.next_read = now.mono + CONFIG_READ_INTERVAL;
            self.start_store_op(
                StorePurpose::Config,
                Request::Get(store_keys::CONFIG.into()),
                out,
            );
        }
        let mut retries = Vec::new();
        let mut expired = Vec::new();
        for (number, pending) in &mut self.operator_requests.pending {
            if pending.retry_at.is_none_or(|at| at > now.mono) {
                continue;
            }
            if now.since(pending.started_at) >= REQUEST_TIMEOUT {
                expired.push(*number);
                continue;
            }
            pending.retry_at = None;
            retries.push((*number, pending.request()));
        }
        for (number, request) in retries {
            self.start_store_op(StorePurpose::Operate(number), request, out);
        }
        for number in expired {
            if let Some(pending) = self.operator_requests.pending.remove(&number) {
                let text = "the store does not answer; read the history to learn the outcome";
                send_reply(
                    pending.call,
                    &replies::error_reply(503, "unknown", text, StartedTasks::Unknown),
                    out,
                );
            }
        }
    }

    pub(super) fn handle_config_row(&mut self, outcome: Outcome, out: &mut Vec<Action>) {
        self.operator_requests.read_pending = false;
        match outcome {
            Ok(Reply::Row(Some(row))) => self.apply_config_row(&row, out),
            Ok(Reply::Row(None)) => self.ownership.set_config_known(),
            _ => {}
        }
    }

    /// Applies a newer configuration received from another process.
    pub(super) fn handle_config_update(&mut self, update: &ConfigUpdate, out: &mut Vec<Action>) {
        if update.version <= self.config.version {
            return;
        }
        if let Ok(document) = serde_json::from_slice::<Document>(&update.document) {
            self.apply_config(document, None, out);
        }
    }

    fn apply_config_row(&mut self, row: &Row, out: &mut Vec<Action>) {
        match serde_json::from_slice::<Document>(&row.value) {
            Ok(document) => self.apply_config(document, Some(row.version), out),
            Err(error) => {
                let fields = vec![("error", error.to_string())];
                self.log(out, 150, "invalid configuration row", true, fields);
            }
        }
    }

    /// Applies a configuration unless a newer one is known. `row_version` is the version of its
    /// row, if the configuration was read from or written to the store.
    fn apply_config(
        &mut self,
        document: Document,
        row_version: Option<u64>,
        out: &mut Vec<Action>,
    ) {
        if document.version < self.config.version {
            return;
        }
        if let Some(row_version) = row_version {
            self.operator_requests.row_version =
                self.operator_requests.row_version.max(row_version);
        }
        self.ownership.set_config_known();
        if document.version == self.config.version {
            return;
        }
        let fields = vec![("version", document.version.to_string())];
        self.log(out, 151, "configuration applied", false, fields);
        self.dispatcher.configure(&document);
        self.config = document;
    }

    fn apply_config_rows(&mut self, rows: &[(SmolStr, Option<Row>)], out: &mut Vec<Action>) {
        for (key, row) in rows {
            if let Some(row) = row
                && key == store_keys::CONFIG
            {
                self.apply_config_row(row, out);
            }
        }
    }

    fn version_conflict(&self) -> HttpReply {
        let error = json!({
            "code": "conflict",
            "text": "the configuration has a newer version",
            "ran": StartedTasks::None,
        });
        replies::json(409, &json!({ "error": error, "current": self.config }))
    }
}

impl PendingRequest {
    fn request(&self) -> Request {
        match &self.kind {
            RequestKind::History(_) => Request::Scan {
                prefix: store_keys::AUDIT_PREFIX.into(),
                after: "".into(),
                limit: HISTORY_ROWS,
            },
            RequestKind::Change(change) => change.transaction(),
        }
    }
}

impl ConfigChange {
    fn transaction(&self) -> Request {
        let config = SmolStr::from(store_keys::CONFIG);
        let key = store_keys::audit(self.audit.version);
        let condition = match self.row_version {
            0 => Condition::Absent(config.clone()),
            version => Condition::Version(config.clone(), version),
        };
        let next = Write::Put(config, encode(&self.next));
        let audit = Write::Put(key.clone(), encode(&self.audit));
        Request::Transact(Transaction {
            conditions: vec![condition, Condition::Absent(key)],
            writes: vec![next, audit],
        })
    }
}

fn encode<T: Serialize>(value: &T) -> Bytes {
    serde_json::to_vec(value).unwrap_or_default().into()
}

/// Returns whether the audit row in the store was written by this request, whose reply was lost.
fn is_own_audit(audit: &AuditRecord, rows: &[(SmolStr, Option<Row>)], key: &SmolStr) -> bool {
    for (name, row) in rows {
        let Some(row) = row else { continue };
        if name == key
            && let Ok(found) = serde_json::from_slice::<AuditRecord>(&row.value)
        {
            return found.token == audit.token;
        }
    }
    false
}

fn history(rows: &[Row], limit: u32) -> HttpReply {
    let mut records = Vec::new();
    for row in rows.iter().rev().take(limit as usize) {
        if let Ok(audit) = serde_json::from_slice::<AuditRecord>(&row.value) {
            records.push(audit);
        }
    }
    replies::json(200, &records)
}

fn change_error(error: &Error) -> HttpReply {
    match error {
        Error::Value { .. } => {
            replies::error_reply(400, "bad_value", &error.to_string(), StartedTasks::None)
        }
        Error::Missing { .. } => {
            replies::error_reply(404, "not_found", &error.to_string(), StartedTasks::None)
        }
    }
}

fn send_reply(call: CallKey, reply: &HttpReply, out: &mut Vec<Action>) {
    out.push(Action::Reply(call, reply.status, reply.body.clone()));
}
