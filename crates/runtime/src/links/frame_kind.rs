//! Frame kinds, as label values and array indices of the frame metrics.

use knapweedwall_wire::frame::Body;

/// Number of frame kinds.
pub(super) const KIND_COUNT: usize = 30;

/// Values of the metric label `kind`, by index.
pub(super) const NAMES: [&str; KIND_COUNT] = [
    "hello",
    "welcome",
    "reject",
    "heartbeat",
    "start",
    "report",
    "grant",
    "demand",
    "recall",
    "return",
    "fence",
    "fence_report",
    "settled",
    "cancel",
    "leaving",
    "config_update",
    "submit",
    "query",
    "cancel_job",
    "reply",
    "run_orders",
    "run_reports",
    "owner_beat",
    "cancel_runs",
    "shard_claim",
    "shard_runs",
    "peer_beat",
    "job_call",
    "job_reply",
    "config_request",
];

/// Index of the kind of `body` in [`NAMES`].
pub(super) fn index(body: &Body) -> usize {
    match body {
        Body::Hello(_) => 0,
        Body::Welcome(_) => 1,
        Body::Reject(_) => 2,
        Body::Heartbeat(_) => 3,
        Body::Start(_) => 4,
        Body::Report(_) => 5,
        Body::Grant(_) => 6,
        Body::Demand(_) => 7,
        Body::Recall(_) => 8,
        Body::Return(_) => 9,
        Body::Fence(_) => 10,
        Body::FenceReport(_) => 11,
        Body::Settled(_) => 12,
        Body::Cancel(_) => 13,
        Body::Leaving(_) => 14,
        Body::ConfigUpdate(_) => 15,
        Body::Submit(_) => 16,
        Body::Query(_) => 17,
        Body::CancelJob(_) => 18,
        Body::Reply(_) => 19,
        Body::RunOrders(_) => 20,
        Body::RunReports(_) => 21,
        Body::OwnerBeat(_) => 22,
        Body::CancelRuns(_) => 23,
        Body::ShardClaim(_) => 24,
        Body::ShardRuns(_) => 25,
        Body::PeerBeat(_) => 26,
        Body::JobCall(_) => 27,
        Body::JobReply(_) => 28,
        Body::ConfigRequest(_) => 29,
    }
}
