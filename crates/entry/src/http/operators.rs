//! Handlers for operators.

use std::time::Duration;

use gotham::state::{FromState, State, client_addr};
use knapweedwall_core::config::{Change, Class, Team};
use knapweedwall_core::entry::{Input, Operation};
use smol_str::{SmolStr, ToSmolStr};

use super::api::Api;
use super::content;
use super::params::{Limit, Named, Version, operator};
use super::refusal::Result;
use super::router::Handling;
use super::submission::check_name;
use crate::input_queue::CallResponse;

/// Time that an operation may take in the decisions, which wait for the store.
const OPERATION_WAIT: Duration = Duration::from_secs(10);

/// `GET /v1/config`
pub(super) fn show<'a>(api: &'a Api, _state: &'a mut State) -> Handling<'a> {
    Box::pin(operate(api, Operation::Show))
}

/// `GET /v1/status`
pub(super) fn status<'a>(api: &'a Api, _state: &'a mut State) -> Handling<'a> {
    Box::pin(operate(api, Operation::Status))
}

/// `GET /v1/history`
pub(super) fn history<'a>(api: &'a Api, state: &'a mut State) -> Handling<'a> {
    Box::pin(async move {
        let records = Limit::borrow_from(state).records()?;
        operate(api, Operation::History(records)).await
    })
}

/// `PUT /v1/classes/{name}`
pub(super) fn set_class<'a>(api: &'a Api, state: &'a mut State) -> Handling<'a> {
    Box::pin(async move {
        let who = operator(state)?;
        let name = name(state, "class")?;
        let class: Class = content::parse(&content::read(api, state).await?)?;
        change(api, state, who, Change::SetClass(name, class)).await
    })
}

/// `DELETE /v1/classes/{name}`
pub(super) fn delete_class<'a>(api: &'a Api, state: &'a mut State) -> Handling<'a> {
    Box::pin(async move {
        let who = operator(state)?;
        let name = name(state, "class")?;
        change(api, state, who, Change::DeleteClass(name)).await
    })
}

/// `PUT /v1/teams/{name}`
pub(super) fn set_team<'a>(api: &'a Api, state: &'a mut State) -> Handling<'a> {
    Box::pin(async move {
        let who = operator(state)?;
        let name = name(state, "team")?;
        let team: Team = content::parse(&content::read(api, state).await?)?;
        change(api, state, who, Change::SetTeam(name, team)).await
    })
}

/// `DELETE /v1/teams/{name}`
pub(super) fn delete_team<'a>(api: &'a Api, state: &'a mut State) -> Handling<'a> {
    Box::pin(async move {
        let who = operator(state)?;
        let name = name(state, "team")?;
        change(api, state, who, Change::DeleteTeam(name)).await
    })
}

fn name(state: &State, kind: &str) -> Result<SmolStr> {
    let name = &Named::borrow_from(state).name;
    check_name(kind, name)?;
    Ok(name.into())
}

fn change<'a>(api: &'a Api, state: &State, who: SmolStr, change: Change) -> Handling<'a> {
    let origin = client_addr(state).map(|address| address.to_smolstr());
    let operation = Operation::Change {
        change,
        expected: Version::borrow_from(state).version,
        who,
        origin: origin.unwrap_or_default(),
    };
    Box::pin(operate(api, operation))
}

async fn operate(api: &Api, operation: Operation) -> Result<CallResponse> {
    api.call(OPERATION_WAIT, |call| Input::Operate { call, operation })
        .await
}
