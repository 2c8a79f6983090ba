//! Handlers for callers.

use std::time::Duration;

use gotham::state::{FromState, State};
use knapweedwall_core::entry::Input;

use super::api::Api;
use super::params::{NameParam, WaitParam};
use super::router::ResponseFuture;
use super::{body, submission};

/// Default wait of a submission.
const DEFAULT_SUBMIT_WAIT: Duration = Duration::from_secs(30);

/// Default wait of a query.
const DEFAULT_QUERY_WAIT: Duration = Duration::ZERO;

/// Default wait of a cancellation.
const DEFAULT_CANCEL_WAIT: Duration = Duration::from_secs(5);

/// `POST /v1/jobs`
pub(super) fn submit<'a>(api: &'a Api, state: &'a mut State) -> ResponseFuture<'a> {
    Box::pin(async move {
        let wait = WaitParam::borrow_from(state).duration(DEFAULT_SUBMIT_WAIT)?;
        let body = body::read(api, state).await?;
        let admit = submission::parse(&body)?;
        // Frees the body before the wait.
        drop(body);
        api.call(wait, |call| Input::Submit { call, admit, wait })
            .await
    })
}

/// `GET /v1/jobs/{id}`
pub(super) fn query<'a>(api: &'a Api, state: &'a mut State) -> ResponseFuture<'a> {
    Box::pin(async move {
        let wait = WaitParam::borrow_from(state).duration(DEFAULT_QUERY_WAIT)?;
        let id = submission::job_id(&NameParam::borrow_from(state).name)?;
        api.call(wait, |call| Input::Query { call, id, wait }).await
    })
}

/// `DELETE /v1/jobs/{id}`
pub(super) fn cancel<'a>(api: &'a Api, state: &'a mut State) -> ResponseFuture<'a> {
    Box::pin(async move {
        let wait = WaitParam::borrow_from(state).duration(DEFAULT_CANCEL_WAIT)?;
        let id = submission::job_id(&NameParam::borrow_from(state).name)?;
        api.call(wait, |call| Input::Cancel { call, id, wait })
            .await
    })
}
