//! Waiting for conditions.

use std::future::Future;
use std::time::Duration;

use tokio::time::{Instant, sleep};

use super::error::{Result, TooLateSnafu};

/// Pause between two looks at a condition.
const POLL: Duration = Duration::from_millis(20);

/// Looks again and again until `condition` gives a value; its error says what was seen instead.
///
/// # Errors
/// [`super::Error::TooLate`] with what was seen last when `limit` has passed.
pub async fn eventually<T, F>(
    what: &str,
    limit: Duration,
    mut condition: impl FnMut() -> F,
) -> Result<T>
where
    F: Future<Output = Result<T, String>>,
{
    let end = Instant::now() + limit;
    loop {
        match condition().await {
            Ok(value) => return Ok(value),
            Err(last) if Instant::now() >= end => {
                return TooLateSnafu { what, limit, last }.fail();
            }
            Err(_) => sleep(POLL).await,
        }
    }
}
