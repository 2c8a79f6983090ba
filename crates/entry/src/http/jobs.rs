//! Handlers for callers.

use std::time::Duration;

use gotham::state::{FromState, State};
use knapweedwall_core::entry::Input;

use super::api::Api;
use super::params::{Named, Wait};
use super::router::Handling;
use super::{content, submission};

/// Wait of a submission that asks for none.
const SUBMIT_WAIT: Duration = Duration::from_secs(30);

/// Wait of a query that asks for none.
const QUERY_WAIT: Duration = Duration::ZERO;

/// Wait of a cancel that asks for none.
const CANCEL_WAIT: Duration = Duration::from_secs(5);

/// `POST /v1/jobs`
pub(super) fn submit<'a>(api: &'a Api, state: &'a mut State) -> Handling<'a> {
    Box::pin(async move {
        let wait = Wait::borrow_from(state).duration(SUBMIT_WAIT)?;
        let body = content::read(api, state).await?;
        let admit = submission::parse(&body)?;
        // The body is not kept while the caller waits.
        drop(body);
        api.call(wait, |call| Input::Submit { call, admit, wait })
            .await
    })
}

/// `GET /v1/jobs/{id}`
pub(super) fn query<'a>(api: &'a Api, state: &'a mut State) -> Handling<'a> {
    Box::pin(async move {
        let wait = Wait::borrow_from(state).duration(QUERY_WAIT)?;
        let id = submission::job_id(&Named::borrow_from(state).name)?;
        api.call(wait, |call| Input::Query { call, id, wait }).await
    })
}

/// `DELETE /v1/jobs/{id}`
pub(super) fn cancel<'a>(api: &'a Api, state: &'a mut State) -> Handling<'a> {
    Box::pin(async move {
        let wait = Wait::borrow_from(state).duration(CANCEL_WAIT)?;
        let id = submission::job_id(&Named::borrow_from(state).name)?;
        api.call(wait, |call| Input::Cancel { call, id, wait })
            .await
    })
}
