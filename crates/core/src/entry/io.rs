//! Inputs and outputs of the state machine of an entry process.

use std::time::Duration;

use bytes::Bytes;
use derive_more::{From, Into};
use knapweedwall_wire::{Admit, frame::Body};
use smol_str::SmolStr;

use crate::clock::Now;
use crate::config::Change;
use crate::event::Event;
use crate::ids::JobId;
use crate::peer::{LinkKey, PeerInfo};
use crate::store::{Outcome, Request};

/// Identifies an open HTTP request; assigned by the `http` thread.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, From, Into)]
pub struct CallKey(pub u64);

/// Identifies a store operation; assigned by the state machine.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, From, Into)]
pub struct StoreOpId(pub u64);

/// A request from an operator.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Operation {
    /// Returns the configuration.
    Show,
    /// Returns up to this many audit records, newest first.
    History(u32),
    /// Returns the status of processes, shards, workers and queues.
    Status,
    /// Changes the configuration.
    Change {
        /// The change to apply.
        change: Change,
        /// Configuration version the operator saw; the change is refused if the current version
        /// differs.
        expected: Option<u64>,
        /// Operator named in the request.
        who: SmolStr,
        /// Remote address of the operator's connection.
        origin: SmolStr,
    },
}

/// An input of the state machine.
#[derive(Debug)]
pub enum Input {
    /// A caller submits a job. The HTTP layer has validated the request; the state machine checks
    /// the id and the encoded size again.
    Submit {
        /// The open request.
        call: CallKey,
        /// The job; `admitted_ms` is not set yet.
        admit: Admit,
        /// Maximum time to wait for the result.
        wait: Duration,
    },
    /// A caller requests the result of a job.
    Query {
        /// The open request.
        call: CallKey,
        /// Id of the job.
        id: JobId,
        /// Maximum time to wait for the result.
        wait: Duration,
    },
    /// A caller cancels a job and waits until it has ended.
    Cancel {
        /// The open request.
        call: CallKey,
        /// Id of the job.
        id: JobId,
        /// Maximum time to wait for the end of the job.
        wait: Duration,
    },
    /// A request from an operator.
    Operate {
        /// The open request.
        call: CallKey,
        /// The requested operation.
        operation: Operation,
    },
    /// The caller disconnected; its reply is no longer needed.
    CallGone(CallKey),
    /// A connection has completed the `Hello` and `Welcome` handshake.
    LinkUp {
        /// The connection.
        link: LinkKey,
        /// The remote process.
        peer: PeerInfo,
        /// Names and addresses of entry processes announced by the remote process.
        entries: Vec<(SmolStr, SmolStr)>,
    },
    /// A connection was closed.
    LinkDown(LinkKey),
    /// A frame was received.
    Frame(LinkKey, Body),
    /// A store operation completed.
    Store(StoreOpId, Outcome),
    /// The process was asked to stop.
    Stop,
    /// Time has passed; sent at least every 10 ms in the absence of other inputs.
    Tick,
}

/// JSON body of a reply to a caller or operator.
pub type ReplyBody = Bytes;

/// An action to be carried out by the process.
#[derive(Debug)]
pub enum Action {
    /// Replies to an HTTP request with a status code and a JSON body.
    Reply(CallKey, u16, ReplyBody),
    /// Sends a frame.
    Send(LinkKey, Body),
    /// Sends `Reject` with this code and closes the connection.
    Close(LinkKey, &'static str),
    /// Connects to the entry process at this address unless already connected.
    Connect(SmolStr),
    /// Starts a store operation.
    Store(StoreOpId, Request),
    /// Logs an event.
    Log(Event),
    /// Sets whether the process is ready to accept submissions.
    Ready(bool),
    /// The process should exit: a planned stop has ended, or another process has written to this
    /// process's journal.
    Exit,
}

/// A state machine without I/O, driven by the thread that owns the inputs and outputs.
pub trait StateMachine: Send {
    /// Processes one input and appends the resulting actions in order.
    fn step(&mut self, now: Now, input: Input, out: &mut Vec<Action>);

    /// Ends a turn. Called once after all inputs that were ready together, so that frames for one
    /// link and journal records are batched. Also performs work that is due at `now`.
    fn flush(&mut self, now: Now, out: &mut Vec<Action>);
}
