//! Decisions on which submissions to take, and when refused callers may come back.
//!
//! These decisions have no input or output; the state machine passes in what they need. The header
//! of each module names the load pattern that it answers.

mod caller_limits;
mod retry_schedule;

pub(super) use caller_limits::CallerLimits;
pub(super) use retry_schedule::RetrySchedule;
