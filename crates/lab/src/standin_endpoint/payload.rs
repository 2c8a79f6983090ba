//! Payload of the stand-in's tasks.

use std::time::Duration;

use serde::Deserialize;

/// What a task does; payloads of any other form take the defaults.
#[derive(Debug, Clone, Default, Deserialize)]
#[serde(default)]
pub(super) struct Payload {
    /// Run time at speed 1, in milliseconds.
    ms: Option<u64>,
    /// Result, or the reason of the failure.
    result: Option<String>,
    /// Whether the task fails at its end.
    pub(super) fail: bool,
}

impl Payload {
    /// Reads a payload.
    pub(super) fn parse(bytes: &[u8]) -> Self {
        serde_json::from_slice(bytes).unwrap_or_default()
    }

    /// Run time at speed 1, `default` when the payload names none.
    pub(super) fn run_time(&self, default: Duration) -> Duration {
        self.ms.map_or(default, Duration::from_millis)
    }

    /// Text of the answer.
    pub(super) fn text(self) -> String {
        let default = if self.fail { "task failed" } else { "ok" };
        self.result.unwrap_or_else(|| default.to_owned())
    }
}
