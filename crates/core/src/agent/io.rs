//! What goes into the decisions of an agent and what comes out.

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
    /// One run of a task on the endpoint; made by the decisions.
    pub struct RunKey;
}

/// Settings of the decisions.
#[derive(Debug, Clone)]
pub struct Settings {
    /// Slots of the endpoint.
    pub slots: u32,
    /// Longest time between a stop and the exit.
    pub stop_limit: Duration,
    /// Bounds of the ledger.
    pub ledger: LedgerLimits,
}

/// A task as it goes to the endpoint.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RunTask {
    /// The task.
    pub task: TaskRef,
    /// Class of its job.
    pub class: String,
    /// Payload for the endpoint.
    pub payload: Bytes,
    /// Whether the task is marked as non-idempotent.
    pub non_idempotent: bool,
}

/// How a run ended at the endpoint.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum RunEnd {
    /// The endpoint answered with a result.
    Done(Bytes),
    /// The endpoint answered with a failure: a short text.
    Failed(SmolStr),
    /// The result was longer than [`MAX_RESULT_BYTES`](super::MAX_RESULT_BYTES).
    TooLarge,
    /// The answer does not follow the protocol of the endpoint.
    BadAnswer(SmolStr),
    /// The connection ended after the request was sent; the task may have run.
    Lost(SmolStr),
    /// No byte of the request was sent.
    NotStarted(SmolStr),
    /// The run was aborted as asked for by [`Action::Abort`].
    Aborted,
}

/// An input of the decisions.
#[derive(Debug)]
pub enum Input {
    /// A connection has exchanged `Hello` and `Welcome`.
    LinkUp {
        /// The connection.
        link: LinkKey,
        /// The other side.
        peer: PeerInfo,
        /// Entry processes that the other side named: name and address.
        entries: Vec<(SmolStr, SmolStr)>,
    },
    /// A connection has ended.
    LinkDown(LinkKey),
    /// A frame came in.
    Frame(LinkKey, Body),
    /// A run ended. Each [`Action::Run`] is followed by exactly one of these; any further one for
    /// the same key is a late result and is dropped.
    RunEnded(RunKey, RunEnd),
    /// The endpoint accepts connections (or no longer does).
    EndpointReachable(bool),
    /// The process was asked to stop.
    Stop,
    /// Time has passed; sent at least every 20 ms.
    Tick,
}

/// An action that the process carries out.
#[derive(Debug)]
pub enum Action {
    /// Sends a frame.
    Send(LinkKey, Body),
    /// Closes a connection after a `Reject` with this code.
    Close(LinkKey, &'static str),
    /// Connects to an entry process (`address`), unless there is a link to it already. It is
    /// repeated now and then for as long as other entry processes name the address.
    Connect(SmolStr),
    /// Starts a task on the endpoint.
    Run(RunKey, RunTask),
    /// Aborts a run. Its end is still awaited.
    Abort(RunKey),
    /// Logs an event.
    Log(Event),
    /// The process is ready (or not) to take starts.
    Ready(bool),
    /// All work is done after `Stop`, or its time is over; the process may exit.
    Exit,
}
