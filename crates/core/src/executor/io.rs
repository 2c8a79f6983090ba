//! What goes into the decisions of an agent and what comes out.

use std::time::Duration;

use derive_more::{From, Into};
use knapweedwall_wire::frame::Body;
use smol_str::SmolStr;

use crate::event::Event;
use crate::job::{Resources, RunId};
use crate::peer::{LinkKey, PeerInfo};

/// One call to the worker; made by the decisions.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, From, Into)]
pub struct CallKey(pub u64);

/// Settings of the decisions.
#[derive(Debug, Clone)]
pub struct Settings {
    /// Address of the worker, where it is known before the first heartbeat.
    pub worker: Option<SmolStr>,
    /// Longest lease that the worker grants.
    pub lease: Duration,
    /// Longest time between a stop and the exit.
    pub stop_limit: Duration,
}

/// What a worker says of itself.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Heartbeat {
    /// Id of the worker.
    pub instance: SmolStr,
    /// Start of the worker in milliseconds since 1970; tells lifetimes with one id apart.
    pub born: u64,
    /// Service that it belongs to.
    pub service: SmolStr,
    /// Address at which it takes calls.
    pub address: SmolStr,
    /// Labels: its kind, its rack.
    pub labels: Vec<SmolStr>,
    /// Its room.
    pub capacity: Resources,
    /// Whether it is about to leave.
    pub draining: bool,
    /// Number of the heartbeat in this lifetime.
    pub number: u64,
}

/// A task to start on the worker.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Order {
    /// The run.
    pub run: RunId,
    /// What it runs.
    pub spec: SmolStr,
}

/// Why a worker did not start a task.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Refusal {
    /// The worker has seen a higher fence.
    Fence,
    /// The worker has seen this attempt of the task end, or a later one.
    OldAttempt,
    /// The lease had passed on the worker's clock.
    Late,
    /// No room.
    NoRoom,
    /// The worker is unhealthy or sheds load.
    Unhealthy,
    /// The call was meant for another lifetime of the worker.
    OtherLife,
    /// The worker does not accept the order.
    Invalid(SmolStr),
}

/// Outcome of a start.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum StartOutcome {
    /// The run is on the worker.
    Started,
    /// The run was not started.
    Refused(Refusal),
    /// No answer; the order may be carried out, also later.
    NoAnswer(SmolStr),
}

/// Outcome of a stop.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum StopOutcome {
    /// The run is ending, or will not be started any more.
    Accepted,
    /// The worker has seen a higher fence.
    Fence,
    /// The call was meant for another lifetime of the worker.
    OtherLife,
    /// No answer.
    NoAnswer(SmolStr),
}

/// A run that the worker lists as running.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RunningRow {
    /// The run.
    pub run: RunId,
    /// Progress in percent.
    pub percent: u32,
}

/// How a run ended, by the worker.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum EndCause {
    /// With its result.
    Done,
    /// It failed.
    Failed,
    /// By an order.
    Stopped,
    /// Its lease lapsed, or it ended with others.
    Lapsed,
}

/// A run that the worker lists as ended.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct EndedRow {
    /// Number of the end in this lifetime of the worker, from 1.
    pub number: u64,
    /// The run.
    pub run: RunId,
    /// How it ended.
    pub cause: EndCause,
}

/// The worker's lists.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct Holding {
    /// Start of the worker in milliseconds since 1970, if it told.
    pub born: Option<u64>,
    /// What runs.
    pub running: Vec<RunningRow>,
    /// What ended and has not been acknowledged.
    pub ended: Vec<EndedRow>,
}

/// Outcome of a hold.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum HoldOutcome {
    /// The lease is extended.
    Held(Holding),
    /// The worker has seen a higher fence.
    Fence,
    /// The call was meant for another lifetime of the worker.
    OtherLife,
    /// No answer.
    NoAnswer(SmolStr),
}

/// An input of the decisions.
#[derive(Debug)]
pub enum Input {
    /// The worker sent a heartbeat.
    Heartbeat(Heartbeat),
    /// The worker with this id has left.
    Left(SmolStr),
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
    /// A start ended; `clock_ms` is the worker's clock, if it told.
    Started {
        /// The call.
        call: CallKey,
        /// Its outcome.
        outcome: StartOutcome,
        /// The worker's clock.
        clock_ms: Option<u64>,
    },
    /// A stop ended.
    Stopped {
        /// The call.
        call: CallKey,
        /// Its outcome.
        outcome: StopOutcome,
        /// The worker's clock.
        clock_ms: Option<u64>,
    },
    /// A hold ended.
    Held {
        /// The call.
        call: CallKey,
        /// Its outcome.
        outcome: HoldOutcome,
        /// The worker's clock.
        clock_ms: Option<u64>,
    },
    /// Addresses of entry processes that were found elsewhere.
    Found(Vec<SmolStr>),
    /// The process was asked to stop.
    Stop,
    /// Time has passed; sent at least every 20 ms while a run is open, else every 250 ms.
    Tick,
}

/// An action that the process carries out.
#[derive(Debug, Clone, PartialEq)]
pub enum Action {
    /// Sends a frame.
    Send(LinkKey, Body),
    /// Closes a connection after a `Reject` with this code.
    Close(LinkKey, &'static str),
    /// Connects to an entry process, unless there is a link to it already.
    Connect(SmolStr),
    /// Calls go to the worker at this address from now on, with this id.
    UseWorker {
        /// Address.
        address: SmolStr,
        /// Id of the lifetime that calls are meant for.
        instance: SmolStr,
    },
    /// Starts a task. `lease_ms` is a time on the worker's clock.
    StartRun {
        /// The call.
        call: CallKey,
        /// What to start.
        order: Order,
        /// End of the lease.
        lease_ms: u64,
        /// Fence of the call.
        fence: u64,
    },
    /// Stops a run, or bars its start.
    StopRun {
        /// The call.
        call: CallKey,
        /// The run.
        run: RunId,
        /// Fence of the call.
        fence: u64,
    },
    /// Extends the lease and asks for the lists.
    Hold {
        /// The call.
        call: CallKey,
        /// End of the lease on the worker's clock; none before the clock is known.
        lease_ms: Option<u64>,
        /// Fence of the call.
        fence: u64,
        /// Ends up to this number are acknowledged.
        acknowledged: u64,
        /// Longest time until the answer, in milliseconds.
        wait_ms: u64,
    },
    /// Logs an event.
    Log(Event),
    /// All work is done after `Stop`, or its time is over; the process may exit.
    Exit,
}
