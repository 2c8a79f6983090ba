//! Requests of callers.

use std::time::Duration;

use bytes::Bytes;
use knapweedwall_core::JobId;
use knapweedwall_core::entry::{CallKey, Input};
use knapweedwall_wire::{Admit, AdmitTask};

use super::{Driver, Event, Place};

impl Driver {
    /// Submits a job of tasks with these payloads: run time in milliseconds, or `fail`.
    pub fn submit(&mut self, entry: usize, id: &str, payloads: &[&str]) -> u64 {
        let call = self.number();
        let mut admit = Admit {
            id: id.to_owned(),
            class: "short".to_owned(),
            digest: xxhash_rust::xxh3::xxh3_64(payloads.join(" ").as_bytes()),
            ..Admit::default()
        };
        for payload in payloads {
            let payload = Bytes::from((*payload).to_owned());
            admit.tasks.push(AdmitTask {
                payload,
                non_idempotent: true,
            });
        }
        let wait = Duration::from_secs(60);
        self.call(
            entry,
            Input::Submit {
                call: CallKey(call),
                admit,
                wait,
            },
        );
        call
    }

    pub fn query(&mut self, entry: usize, id: &str) -> u64 {
        let call = self.number();
        let id = JobId::parse(id).unwrap();
        let wait = Duration::from_secs(60);
        self.call(
            entry,
            Input::Query {
                call: CallKey(call),
                id,
                wait,
            },
        );
        call
    }

    pub fn cancel(&mut self, entry: usize, id: &str) -> u64 {
        let call = self.number();
        let id = JobId::parse(id).unwrap();
        let wait = Duration::from_secs(60);
        self.call(
            entry,
            Input::Cancel {
                call: CallKey(call),
                id,
                wait,
            },
        );
        call
    }

    pub(super) fn call(&mut self, entry: usize, input: Input) {
        let now = self.now_ms;
        let node = self.nodes.get_mut(&Place::Entry(entry)).unwrap();
        node.inbox.push_back((now, Event::Call(input)));
    }
}
