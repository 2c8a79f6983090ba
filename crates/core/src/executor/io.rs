//! Inputs and actions of an agent's state machine.

use std::time::Duration;

use derive_more::{Display, From, Into};
use knapweedwall_wire::frame::Body;
use smol_str::SmolStr;

use crate::event::Event;
use crate::job::{Resources, RunId};
use crate::peer::{LinkKey, PeerInfo};

/// Key of a call to the worker, assigned by the state machine.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, From, Into)]
pub struct CallKey(pub u64);

/// Settings of the state machine.
#[derive(Debug, Clone)]
pub struct Settings {
    /// Address of the worker on the agent's host.
    pub worker: SmolStr,
    /// Zone of the host.
    pub zone: SmolStr,
    /// Duration of the lease; the maximum that the worker grants.
    pub lease: Duration,
    /// Maximum time that a graceful shutdown of the agent takes.
    pub stop_limit: Duration,
}

/// Heartbeat of a worker.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Heartbeat {
    /// Instance id of the worker.
    pub instance: SmolStr,
    /// Start time of the worker in milliseconds since the Unix epoch. Distinguishes incarnations with
    /// the same instance id.
    pub incarnation: u64,
    /// Service that the worker belongs to.
    pub service: SmolStr,
    /// Labels, such as the worker's kind and rack.
    pub labels: Vec<SmolStr>,
    /// Total resources of the worker.
    pub capacity: Resources,
    /// Whether the worker is about to leave.
    pub draining: bool,
    /// Sequence number of the heartbeat in this incarnation.
    pub number: u64,
}

/// Request to start a task on the worker.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct StartRequest {
    /// Id of the run.
    pub run: RunId,
    /// Task specification.
    pub spec: SmolStr,
}

/// Why a worker rejected a start request. The displayed text is logged.
#[derive(Debug, Clone, PartialEq, Eq, Display)]
pub enum Refusal {
    /// The worker has accepted a higher fence.
    Fence,
    /// This attempt of the task, or a later one, has already ended on the worker.
    OldAttempt,
    /// The lease deadline had passed on the worker's clock.
    Late,
    /// The worker has too few free resources.
    NoRoom,
    /// The worker is unhealthy or is shedding load.
    Unhealthy,
    /// The call was addressed to another instance of the worker. Its value in the log is
    /// `OtherLife`.
    #[display("OtherLife")]
    WrongInstance,
    /// The worker considers the request invalid.
    #[display("Invalid({_0:?})")]
    Invalid(SmolStr),
}

/// Outcome of a start request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum StartOutcome {
    /// The run is on the worker.
    Started,
    /// The worker rejected the request.
    Refused(Refusal),
    /// No connection to the worker could be made, so the request was not sent.
    NotSent {
        /// Whether no process listens at the worker's address.
        refused: bool,
        /// Cause, for the log.
        cause: SmolStr,
    },
    /// No valid response, for this reason. The worker may have executed the request, or may still do
    /// so.
    NoAnswer(SmolStr),
}

/// Outcome of a stop request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum StopOutcome {
    /// The run is being stopped, or can no longer be started.
    Accepted,
    /// The worker has accepted a higher fence.
    Fence,
    /// The call was addressed to another instance of the worker.
    WrongInstance,
    /// No valid response, for this reason.
    NoAnswer(SmolStr),
}

/// A run that the worker lists as running.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RunningRun {
    /// Id of the run.
    pub run: RunId,
    /// Progress in percent.
    pub percent: u32,
}

/// How a run ended, as reported by the worker. The names of the variants are logged.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum EndCause {
    /// The run completed with a result.
    Done,
    /// The run failed.
    Failed,
    /// The run was stopped on request.
    Stopped,
    /// The worker ended the run without a request to stop it: because the lease expired, or because
    /// the worker ended several of its runs at once.
    Lapsed,
}

/// A run that the worker lists as ended.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct EndedRun {
    /// Sequence number of the end in this incarnation of the worker, from 1.
    pub number: u64,
    /// Id of the run.
    pub run: RunId,
    /// How the run ended.
    pub cause: EndCause,
}

/// The worker's lists of running and ended runs.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct RunLists {
    /// Start time of the worker in milliseconds since the Unix epoch, if the response contained it.
    pub incarnation: Option<u64>,
    /// Running runs.
    pub running: Vec<RunningRun>,
    /// Ended runs that have not been acknowledged.
    pub ended: Vec<EndedRun>,
}

/// Outcome of a lease renewal.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum RenewalOutcome {
    /// The worker extended the lease, if the call had a deadline, and sent its run lists.
    Renewed(RunLists),
    /// The worker has accepted a higher fence.
    Fence,
    /// The call was addressed to another instance of the worker.
    WrongInstance,
    /// No process listens at the worker's address.
    ConnectionRefused,
    /// No valid response, for this reason.
    NoAnswer(SmolStr),
}

/// Input of the state machine.
#[derive(Debug)]
pub enum Input {
    /// The worker sent a heartbeat.
    Heartbeat(Heartbeat),
    /// The worker has deregistered.
    WorkerLeft {
        /// Instance id.
        instance: SmolStr,
        /// Start time of the worker, if the request named it. See [`Heartbeat::incarnation`].
        incarnation: Option<u64>,
    },
    /// The last description of the worker that an earlier run of this agent stored, see
    /// [`Action::StoreRegistration`].
    RegistrationFound(Heartbeat),
    /// A link has completed its handshake of `Hello` and `Welcome`.
    LinkUp {
        /// Id of the link.
        link: LinkKey,
        /// The connected peer.
        peer: PeerInfo,
        /// Names and addresses of the entry processes that the peer knows.
        entries: Vec<(SmolStr, SmolStr)>,
    },
    /// A link was closed.
    LinkDown(LinkKey),
    /// A frame was received.
    Frame(LinkKey, Body),
    /// A start request completed.
    StartCompleted {
        /// Key of the call.
        call: CallKey,
        /// Outcome of the call.
        outcome: StartOutcome,
        /// Reading of the worker's clock in milliseconds, if the response contained one.
        clock_ms: Option<u64>,
    },
    /// A stop request completed.
    StopCompleted {
        /// Key of the call.
        call: CallKey,
        /// Outcome of the call.
        outcome: StopOutcome,
        /// Reading of the worker's clock in milliseconds, if the response contained one.
        clock_ms: Option<u64>,
    },
    /// A lease renewal completed.
    RenewalCompleted {
        /// Key of the call.
        call: CallKey,
        /// Outcome of the call.
        outcome: RenewalOutcome,
        /// Reading of the worker's clock in milliseconds, if the response contained one.
        clock_ms: Option<u64>,
    },
    /// Addresses of entry processes, from the settings or the store.
    EntriesFound(Vec<SmolStr>),
    /// The process was asked to shut down gracefully.
    Stop,
    /// Time has passed. Sent at least every 20 ms while [`Machine::is_busy`](super::Machine::is_busy),
    /// otherwise at least every 125 ms.
    Tick,
}

/// Action that the process must execute.
#[derive(Debug, Clone, PartialEq)]
pub enum Action {
    /// Sends a frame.
    Send(LinkKey, Body),
    /// Closes a link after sending a `Reject` frame with this code.
    Close(LinkKey, &'static str),
    /// Connects to the entry process at this address, unless a link to it exists.
    Connect(SmolStr),
    /// Sends all further calls to the worker at this address.
    UseWorker {
        /// Address of the worker.
        address: SmolStr,
        /// Instance id that calls are addressed to; empty for any.
        instance: SmolStr,
    },
    /// Starts a task.
    StartRun {
        /// Key of the call.
        call: CallKey,
        /// Task to start.
        request: StartRequest,
        /// Deadline of the lease on the worker's clock, in milliseconds.
        lease_deadline_ms: u64,
        /// Fencing token of the call.
        fence: u64,
    },
    /// Stops a run, or prevents its start.
    StopRun {
        /// Key of the call.
        call: CallKey,
        /// Id of the run.
        run: RunId,
        /// Fencing token of the call.
        fence: u64,
    },
    /// Renews the lease and requests the run lists.
    RenewLease {
        /// Key of the call.
        call: CallKey,
        /// Deadline of the lease on the worker's clock, in milliseconds. `None` if the lease is not to
        /// be extended, or the clock is unknown.
        lease_deadline_ms: Option<u64>,
        /// Fencing token of the call.
        fence: u64,
        /// Number up to which ended runs are acknowledged.
        acknowledged: u64,
        /// Maximum time that the worker waits for a run to end before it responds, in milliseconds.
        wait_ms: u64,
    },
    /// Stores the description of the worker for the next run of this agent, or withdraws it. A later
    /// action replaces an earlier one that has not been carried out.
    StoreRegistration(Option<Heartbeat>),
    /// Logs an event.
    Log(Event),
    /// Exits the process. Follows [`Input::Stop`], when all runs have ended or the time limit has
    /// passed.
    Exit,
}
