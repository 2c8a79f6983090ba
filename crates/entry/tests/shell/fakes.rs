//! Scripted decisions and a fake platform.

use std::collections::HashMap;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};

use crossbeam_channel::{Receiver, Sender};
use knapweedwall_core::Now;
use knapweedwall_core::entry::{Action, CallKey, Input, Operation, StateMachine, StoreOpId};
use knapweedwall_core::store::{Reply, Request};
use knapweedwall_platform::{CallFuture, Platform};
use serde_json::json;

/// Decisions that handle a job by the first character of its id: `e` echoes id and payloads, `h`
/// holds the call until the process stops, `s` reads from the store first, `b` blocks the thread
/// until released.
pub struct ScriptedDecisions {
    /// Receives the debug text of each input, for assertions.
    pub inputs: Sender<String>,
    /// Blocks a job whose id starts with `b` until a message arrives.
    pub release: Receiver<()>,
    pub held_calls: Vec<CallKey>,
    pub store_reads: HashMap<StoreOpId, CallKey>,
}

impl ScriptedDecisions {
    pub fn new(inputs: Sender<String>, release: Receiver<()>) -> Self {
        Self {
            inputs,
            release,
            held_calls: Vec::new(),
            store_reads: HashMap::new(),
        }
    }

    fn submit(&mut self, call: CallKey, admit: &knapweedwall_wire::Admit, out: &mut Vec<Action>) {
        match admit.id.as_bytes()[0] {
            b'h' => self.held_calls.push(call),
            b's' => {
                let key = StoreOpId(call.0);
                self.store_reads.insert(key, call);
                out.push(Action::Store(key, Request::Get(admit.id.as_str().into())));
            }
            b'b' => {
                self.release.recv().unwrap();
                out.push(reply(call, 200, &json!({"id": admit.id})));
            }
            _ => {
                let payloads = admit.tasks.iter();
                let payloads = payloads.map(|task| String::from_utf8_lossy(&task.payload));
                let results: Vec<_> = payloads.collect();
                let body = json!({"id": admit.id, "state": "complete", "results": results});
                out.push(reply(call, 200, &body));
            }
        }
    }
}

fn reply(call: CallKey, status: u16, body: &serde_json::Value) -> Action {
    Action::Reply(call, status, body.to_string().into())
}

impl StateMachine for ScriptedDecisions {
    fn step(&mut self, _now: Now, input: Input, out: &mut Vec<Action>) {
        if matches!(input, Input::Tick) {
            return;
        }
        let _sent = self.inputs.send(format!("{input:?}"));
        match input {
            Input::Submit { call, admit, .. } => self.submit(call, &admit, out),
            Input::Query { call, id, wait } => {
                let body = json!({"id": id.as_str(), "wait_ms": wait.as_millis() as u64});
                out.push(reply(call, 202, &body));
            }
            Input::Cancel { call, id, .. } => {
                out.push(reply(call, 404, &json!({"cancelled": id.as_str()})));
            }
            Input::Operate { call, operation } => {
                let body = match operation {
                    Operation::History(limit) => json!({"limit": limit}),
                    other => json!({"operation": format!("{other:?}")}),
                };
                out.push(reply(call, 200, &body));
            }
            Input::Store(key, outcome) => {
                if let Some(call) = self.store_reads.remove(&key) {
                    out.push(reply(
                        call,
                        200,
                        &json!({"outcome": format!("{outcome:?}")}),
                    ));
                }
            }
            Input::LinkUp { .. } => out.push(Action::Ready(true)),
            Input::Stop => {
                for call in self.held_calls.drain(..) {
                    out.push(reply(call, 200, &json!({"state": "stopped"})));
                }
                out.push(Action::Exit);
            }
            _ => {}
        }
    }

    fn flush(&mut self, _now: Now, _out: &mut Vec<Action>) {}
}

/// A platform that finds no row for any read, and completes none until `min_reads` have started.
#[derive(Debug, Default)]
pub struct FakePlatform {
    pub min_reads: usize,
    /// Number of reads that have started.
    pub started: Arc<AtomicUsize>,
}

impl Platform for FakePlatform {
    fn call(&self, request: Request) -> CallFuture<'_> {
        assert!(
            !matches!(&request, Request::Get(key) if key.as_str() == "s-panic"),
            "simulated panic of the adapter"
        );
        self.started.fetch_add(1, Ordering::SeqCst);
        Box::pin(async move {
            while self.started.load(Ordering::SeqCst) < self.min_reads {
                tokio::time::sleep(std::time::Duration::from_millis(1)).await;
            }
            Ok(Reply::Row(None))
        })
    }
}
