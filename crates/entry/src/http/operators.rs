//! Handlers for operators.

use std::time::Duration;

use gotham::state::{FromState, State, client_addr};
use knapweedwall_core::config::{Change, Class, Team};
use knapweedwall_core::entry::{Input, Operation};
use smol_str::{SmolStr, ToSmolStr};

use super::api::Api;
use super::body;
use super::error::Result;
use super::params::{LimitParam, NameParam, VersionParam, operator};
use super::router::ResponseFuture;
use super::submission::check_name;
use crate::input_queue::CallResponse;

/// Time allowed to the decisions for an operation, which can include store operations.
const OPERATION_WAIT: Duration = Duration::from_secs(10);

/// `GET /v1/config`
pub(super) fn get_config<'a>(api: &'a Api, _state: &'a mut State) -> ResponseFuture<'a> {
    Box::pin(call_operation(api, Operation::Show))
}

/// `GET /v1/status`
pub(super) fn status<'a>(api: &'a Api, _state: &'a mut State) -> ResponseFuture<'a> {
    Box::pin(call_operation(api, Operation::Status))
}

/// `GET /v1/history`
pub(super) fn history<'a>(api: &'a Api, state: &'a mut State) -> ResponseFuture<'a> {
    Box::pin(async move {
        let records = LimitParam::borrow_from(state).records()?;
        call_operation(api, Operation::History(records)).await
    })
}

/// `PUT /v1/classes/{name}`
pub(super) fn set_class<'a>(api: &'a Api, state: &'a mut State) -> ResponseFuture<'a> {
    Box::pin(async move {
        let who = operator(state)?;
        let name = name_param(state, "class")?;
        let class: Class = body::parse(&body::read(api, state).await?)?;
        apply_change(api, state, who, Change::SetClass(name, class)).await
    })
}

/// `DELETE /v1/classes/{name}`
pub(super) fn delete_class<'a>(api: &'a Api, state: &'a mut State) -> ResponseFuture<'a> {
    Box::pin(async move {
        let who = operator(state)?;
        let name = name_param(state, "class")?;
        apply_change(api, state, who, Change::DeleteClass(name)).await
    })
}

/// `PUT /v1/teams/{name}`
pub(super) fn set_team<'a>(api: &'a Api, state: &'a mut State) -> ResponseFuture<'a> {
    Box::pin(async move {
        let who = operator(state)?;
        let name = name_param(state, "team")?;
        let team: Team = body::parse(&body::read(api, state).await?)?;
        apply_change(api, state, who, Change::SetTeam(name, team)).await
    })
}

/// `DELETE /v1/teams/{name}`
pub(super) fn delete_team<'a>(api: &'a Api, state: &'a mut State) -> ResponseFuture<'a> {
    Box::pin(async move {
        let who = operator(state)?;
        let name = name_param(state, "team")?;
        apply_change(api, state, who, Change::DeleteTeam(name)).await
    })
}

fn name_param(state: &State, kind: &str) -> Result<SmolStr> {
    let name = &NameParam::borrow_from(state).name;
    check_name(kind, name)?;
    Ok(name.into())
}

fn apply_change<'a>(
    api: &'a Api,
    state: &State,
    who: SmolStr,
    change: Change,
) -> ResponseFuture<'a> {
    let origin = client_addr(state).map(|address| address.to_smolstr());
    let operation = Operation::Change {
        change,
        expected: VersionParam::borrow_from(state).version,
        who,
        origin: origin.unwrap_or_default(),
    };
    Box::pin(call_operation(api, operation))
}

async fn call_operation(api: &Api, operation: Operation) -> Result<CallResponse> {
    api.call(OPERATION_WAIT, |call| Input::Operate { call, operation })
        .await
}
