//! What goes into the decisions of an entry process and what comes out.

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

/// One open request of a caller; made by the port that takes requests.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, From, Into)]
pub struct CallKey(pub u64);

/// Settings of the decisions.
#[derive(Debug, Clone)]
pub struct Settings {
    /// Name of the process.
    pub name: SmolStr,
    /// Zone of the host.
    pub zone: SmolStr,
    /// Run of the process.
    pub instance: Instance,
    /// Time after a stop in which callers still find this process and are served as before.
    pub stop_accept: Duration,
    /// Longest time between a stop and the exit.
    pub stop_limit: Duration,
}

/// State of a job.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum JobState {
    /// No task has started.
    Queued,
    /// Tasks have started.
    Running,
}

/// Answer to a request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Answer {
    /// The job is stored and will run.
    Accepted,
    /// The job has ended and all its tasks are done.
    Completed,
    /// A task failed as often as its queue allows.
    Failed,
    /// The job was cancelled.
    Cancelled,
    /// The job has not run and never will under this submission.
    NotRun {
        /// Why.
        reason: SmolStr,
        /// When another submission may be served.
        retry: Duration,
    },
    /// The job was given up after some of its tasks had run.
    GaveUp,
    /// State of a job that is open.
    State(JobState),
    /// There is no such job.
    NoJob,
    /// There is no such queue.
    NoQueue,
    /// Number of the queue's jobs that wait for their first start.
    Pending(u32),
}

/// An input of the decisions.
#[derive(Debug)]
pub enum Input {
    /// A caller submits a job and waits for its end.
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
    /// A caller asks how many jobs of a queue wait.
    Count {
        /// The open request.
        call: CallKey,
        /// Name of the queue.
        queue: SmolStr,
    },
    /// The caller's connection is gone.
    CallGone(CallKey),
    /// A connection has exchanged `Hello` and `Welcome`.
    LinkUp {
        /// The connection.
        link: LinkKey,
        /// The other side.
        peer: PeerInfo,
    },
    /// A connection has ended.
    LinkDown(LinkKey),
    /// A frame came in.
    Frame(LinkKey, Body),
    /// A version of the configuration; older ones than the present are ignored.
    Configure {
        /// The queues.
        catalog: QueueCatalog,
        /// The document as the operator wrote it, for other entry processes.
        document: Bytes,
    },
    /// Entry processes that were found: name and address.
    Found(Vec<(SmolStr, SmolStr)>),
    /// A call to the store has an outcome.
    Stored(StoreKey, StoreOutcome),
    /// The process was asked to stop.
    Stop,
    /// Time has passed; sent at least every 20 ms while a job is open, else every 100 ms.
    Tick,
}

/// An action that the process carries out.
#[derive(Debug, Clone, PartialEq)]
pub enum Action {
    /// Answers a request.
    Reply(CallKey, Answer),
    /// Sends a frame.
    Send(LinkKey, Body),
    /// Closes a connection after a `Reject` with this code.
    Close(LinkKey, &'static str),
    /// Calls the store; one [`Input::Stored`] follows.
    Store(StoreKey, StoreCall),
    /// Connects to an entry process, unless there is a connection already.
    Connect(SmolStr),
    /// A configuration document arrived from another entry process.
    Document(Bytes),
    /// The process is ready (or not) to take submissions.
    Ready(bool),
    /// Logs an event.
    Log(Event),
    /// All work is done after `Stop`, or its time is over; the process may exit.
    Exit,
}
