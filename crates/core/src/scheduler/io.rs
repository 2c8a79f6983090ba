//! Inputs and actions of the state machine of an entry process.

use std::time::Duration;

use bytes::Bytes;
use derive_more::{From, Into};
use knapweedwall_wire::frame::Body;
use smol_str::SmolStr;

use super::store::{StoreCall, StoreKey, StoreOutcome};
use crate::event::Event;
use crate::ids::Instance;
use crate::job::{JobRequest, QueueCatalog};
use crate::peer::{LinkKey, PeerInfo};

/// Identifies an open request of a caller; allocated by the code that receives requests.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, From, Into)]
pub struct CallKey(pub u64);

/// Settings of the state machine.
#[derive(Debug, Clone)]
pub struct Settings {
    /// Name of the process.
    pub name: SmolStr,
    /// Zone of the host.
    pub zone: SmolStr,
    /// Identifies this run of the process.
    pub instance: Instance,
    /// Time after a stop request in which submissions are still accepted, since callers may still
    /// be routed to this process.
    pub shutdown_accept_time: Duration,
    /// Longest time between a stop request and the exit.
    pub stop_limit: Duration,
    /// Time within which a change of the configuration must be in force.
    pub config_limit: Duration,
}

/// State of a job.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum JobState {
    /// No task has been placed on a worker.
    Queued,
    /// At least one task has been placed on a worker.
    Running,
}

/// Answer to a request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Answer {
    /// The durable job is stored and will run.
    Accepted,
    /// All tasks of the job succeeded.
    Completed,
    /// A task failed as often as its queue allows, or its worker rejected it as invalid.
    Failed,
    /// The job was cancelled.
    Cancelled,
    /// No task of the job has run, and none will as a result of this submission.
    NotRun {
        /// Reason for the refusal.
        reason: SmolStr,
        /// Time after which the submission may be retried.
        retry: Duration,
    },
    /// It is not known how the job ended or will end: it was abandoned after some of its tasks may
    /// have run, or the process that handled it lost the shard or did not reply.
    OutcomeUnknown,
    /// State of an open job.
    State(JobState),
    /// No job has this id, or the job to be cancelled ended with another outcome.
    NoJob,
    /// No queue has this name.
    NoQueue,
    /// Number of jobs of the queue that wait for their first start.
    Pending(u32),
}

/// Origin of a configuration.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ConfigSource {
    /// The store, in response to a request sent at this time.
    Store(Duration),
    /// Another entry process.
    Peer,
}

/// An input of the state machine.
#[derive(Debug)]
pub enum Input {
    /// A caller submits a job; a non-durable one is answered when it ends.
    Submit {
        /// The open request.
        call: CallKey,
        /// The job.
        job: Box<JobRequest>,
    },
    /// A caller asks for the state of a job.
    Query {
        /// The open request.
        call: CallKey,
        /// Id of the job.
        id: SmolStr,
    },
    /// A caller cancels a job.
    Cancel {
        /// The open request.
        call: CallKey,
        /// Id of the job.
        id: SmolStr,
    },
    /// A caller asks how many jobs of a queue wait for their first start.
    CountPending {
        /// The open request.
        call: CallKey,
        /// Name of the queue.
        queue: SmolStr,
    },
    /// The host of an entry process refused a connection to this address: no process listens there.
    EntryRefused(SmolStr),
    /// The caller disconnected before its request was answered.
    CallGone(CallKey),
    /// A connection completed the exchange of `Hello` and `Welcome`.
    LinkUp {
        /// The connection.
        link: LinkKey,
        /// The process at the other end.
        peer: PeerInfo,
    },
    /// A connection was closed or lost.
    LinkDown(LinkKey),
    /// A frame was received.
    Frame(LinkKey, Body),
    /// A caller's request is for a queue that the configuration in use does not have.
    UnknownQueue(CallKey),
    /// A version of the configuration. Ignored unless newer than the one in use.
    Configure {
        /// The queues.
        catalog: QueueCatalog,
        /// The document as the operator wrote it, forwarded to other entry processes.
        document: Bytes,
        /// Where the document comes from.
        source: ConfigSource,
    },
    /// The store has shown a version as the newest one. It confirms the configuration in use, unless
    /// that is newer: then the response was older than an earlier one.
    ConfigConfirmed {
        /// The version.
        version: u64,
        /// When the request to the store was sent.
        requested_at: Duration,
    },
    /// Names and addresses of discovered entry processes.
    EntriesFound(Vec<(SmolStr, SmolStr)>),
    /// Limits that entry processes have stored earlier, see [`Action::StoreCallerLimits`].
    CallerLimitsFound(Vec<(SmolStr, Duration)>),
    /// A call to the store was completed.
    StoreResult {
        /// The call.
        call: StoreKey,
        /// Its outcome.
        outcome: StoreOutcome,
        /// The store's steady clock in milliseconds, if there was a response.
        clock_ms: Option<u64>,
    },
    /// A graceful shutdown was requested.
    Stop,
    /// Periodic timer, sent at least every 20 ms while a job is open and every 100 ms otherwise.
    Tick,
}

/// An action for the process to execute.
#[derive(Debug, Clone, PartialEq)]
pub enum Action {
    /// Answers a request.
    Reply(CallKey, Answer),
    /// Sends a frame.
    Send(LinkKey, Body),
    /// Sends a `Reject` with this code and closes the connection.
    Close(LinkKey, &'static str),
    /// Calls the store; exactly one [`Input::StoreResult`] must follow.
    Store(StoreKey, StoreCall),
    /// Stores how long the callers of each queue wait at least, in place of the limits that this
    /// process has stored earlier. Entry processes read all stored limits when they start.
    StoreCallerLimits(Vec<(SmolStr, Duration)>),
    /// Connects to the entry process at this address, unless already connected.
    Connect(SmolStr),
    /// Passes on a configuration document received from another entry process.
    ConfigDocument(Bytes),
    /// Changes whether the process reports itself ready to take submissions.
    Ready(bool),
    /// Logs an event.
    Log(Event),
    /// Ends the process after [`Input::Stop`], when the work is done or `stop_limit` has passed.
    Exit,
}
