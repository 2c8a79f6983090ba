//! What goes into the decisions of an entry process and what comes out.

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

/// One open HTTP request; made by the `http` thread.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, From, Into)]
pub struct CallKey(pub u64);

/// One operation on the store; made by the decisions.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, From, Into)]
pub struct StoreOpId(pub u64);

/// What an operator asks for.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Operation {
    /// Shows the configuration.
    Show,
    /// Shows the newest audit records, newest first, at most this many.
    History(u32),
    /// Shows processes, shards, workers and queues.
    Status,
    /// Changes the configuration.
    Change {
        /// The change.
        change: Change,
        /// Version that the operator saw; the change is refused when there is a newer one.
        expected: Option<u64>,
        /// Operator as given by the request.
        who: SmolStr,
        /// Address of the operator's connection.
        origin: SmolStr,
    },
}

/// An input of the decisions.
#[derive(Debug)]
pub enum Input {
    /// A caller submits a job. Identifiers, sizes and names have been checked.
    Submit {
        /// The open request.
        call: CallKey,
        /// The job; `admitted_ms` is not set yet.
        admit: Admit,
        /// How long the caller waits for the answer.
        wait: Duration,
    },
    /// A caller asks for the answer of a job.
    Query {
        /// The open request.
        call: CallKey,
        /// The job.
        id: JobId,
        /// How long the caller waits for the answer.
        wait: Duration,
    },
    /// A caller cancels a job and waits for its end.
    Cancel {
        /// The open request.
        call: CallKey,
        /// The job.
        id: JobId,
        /// How long the caller waits for the end.
        wait: Duration,
    },
    /// An operator asks for something.
    Operate {
        /// The open request.
        call: CallKey,
        /// What is asked for.
        operation: Operation,
    },
    /// The caller's connection is gone; nobody waits for the reply.
    CallGone(CallKey),
    /// A connection has exchanged `Hello` and `Welcome`.
    LinkUp {
        /// The connection.
        link: LinkKey,
        /// The other side.
        peer: PeerInfo,
        /// Entry processes that the other side named.
        entries: Vec<(SmolStr, SmolStr)>,
    },
    /// A connection has ended.
    LinkDown(LinkKey),
    /// A frame came in.
    Frame(LinkKey, Body),
    /// A store operation ended.
    Store(StoreOpId, Outcome),
    /// The process was asked to stop.
    Stop,
    /// Time has passed; sent at least every 10 ms while there is no other input.
    Tick,
}

/// JSON body of a reply to a caller or operator.
pub type ReplyBody = Bytes;

/// An action that the process carries out.
#[derive(Debug)]
pub enum Action {
    /// Answers an HTTP request with a status and a JSON body.
    Reply(CallKey, u16, ReplyBody),
    /// Sends a frame.
    Send(LinkKey, Body),
    /// Closes a connection after a `Reject` with this code.
    Close(LinkKey, &'static str),
    /// Connects to an entry process (`address`), unless there is a connection already.
    Connect(SmolStr),
    /// Starts a store operation.
    Store(StoreOpId, Request),
    /// Logs an event.
    Log(Event),
    /// The process is ready (or not) to take submissions.
    Ready(bool),
    /// All work is done after `Stop`; the process may exit.
    Exit,
}

/// The decisions of an entry process, as the thread that runs them sees them.
pub trait StateMachine: Send {
    /// Takes one input and appends the actions that follow from it, in order.
    fn step(&mut self, now: Now, input: Input, out: &mut Vec<Action>);

    /// Ends a turn: called once after the inputs that were ready together, so that frames for one
    /// link and records for the journal are batched. Also does what is due at `now`.
    fn flush(&mut self, now: Now, out: &mut Vec<Action>);
}
