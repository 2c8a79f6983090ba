//! Inputs, actions and settings of the agent's state machine.

use std::time::Duration;

use bytes::Bytes;
use knapweedwall_wire::frame::Body;
use slotmap::new_key_type;
use smol_str::SmolStr;

use super::ledger::LedgerLimits;
use crate::event::Event;
use crate::ids::TaskRef;
use crate::peer::{LinkKey, PeerInfo};

new_key_type! {
    /// Key of a run of a task on the endpoint. Created by the state machine.
    pub struct RunKey;
}

/// Settings of the state machine.
#[derive(Debug, Clone)]
pub struct Settings {
    /// Slots of the endpoint.
    pub slots: u32,
    /// Maximum time between the request to stop and the exit.
    pub stop_limit: Duration,
    /// Limits of the ledger.
    pub ledger: LedgerLimits,
}

/// A task to be run on the endpoint.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RunTask {
    /// The task.
    pub task: TaskRef,
    /// Class of its job.
    pub class: String,
    /// Payload for the endpoint.
    pub payload: Bytes,
    /// Whether the caller marked the task as non-idempotent, so that it runs at most once.
    pub non_idempotent: bool,
}

/// How a run ended at the endpoint.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum RunEnd {
    /// The endpoint answered with a result.
    Done(Bytes),
    /// The endpoint answered with a failure, described by a short text.
    Failed(SmolStr),
    /// The result was longer than [`MAX_RESULT_BYTES`](super::MAX_RESULT_BYTES).
    TooLarge,
    /// The answer does not follow the protocol of the endpoint.
    BadAnswer(SmolStr),
    /// The connection ended after the request may have been sent. The task may have run.
    Lost(SmolStr),
    /// No part of the request was sent.
    NotStarted(SmolStr),
    /// The run was aborted as requested by [`Action::Abort`].
    Aborted,
}

/// An input of the state machine.
#[derive(Debug)]
pub enum Input {
    /// A connection is established: `Hello` and `Welcome` were exchanged.
    LinkUp {
        /// The connection.
        link: LinkKey,
        /// The peer.
        peer: PeerInfo,
        /// Entry processes announced by the peer: name and address.
        entry_processes: Vec<(SmolStr, SmolStr)>,
    },
    /// A connection was closed.
    LinkDown(LinkKey),
    /// A frame was received.
    Frame(LinkKey, Body),
    /// A run ended. Must be sent once for each [`Action::Run`]. Repeated inputs for the same key
    /// are counted as late results and dropped.
    RunEnded(RunKey, RunEnd),
    /// The endpoint has started or stopped accepting connections.
    EndpointReachable(bool),
    /// The process was asked to stop.
    Stop,
    /// Time has passed. Sent at least every 20 ms.
    Tick,
}

/// An action for the process to carry out.
#[derive(Debug)]
pub enum Action {
    /// Sends a frame.
    Send(LinkKey, Body),
    /// Sends a `Reject` with this code and closes the connection.
    Close(LinkKey, &'static str),
    /// Connects to the entry process at this address, unless there already is a link to it. The
    /// action is repeated periodically while other entry processes announce the address.
    Connect(SmolStr),
    /// Runs a task on the endpoint.
    Run(RunKey, RunTask),
    /// Aborts a run. Its end must still be reported by [`Input::RunEnded`].
    Abort(RunKey),
    /// Logs an event.
    Log(Event),
    /// Whether the process is ready to accept starts.
    Ready(bool),
    /// Exits the process. Requested after [`Input::Stop`], once all runs have ended and all tasks
    /// are settled, or when the stop limit has passed.
    Exit,
}
