//! Paths and methods of the API.

use std::future::Future;
use std::panic::AssertUnwindSafe;
use std::pin::Pin;
use std::sync::Arc;

use gotham::anyhow;
use gotham::handler::{HandlerFuture, IntoBody, NewHandler};
use gotham::helpers::http::Body;
use gotham::hyper::body::Body as _;
use gotham::hyper::header::{CONTENT_TYPE, HeaderValue};
use gotham::hyper::{Response, StatusCode};
use gotham::prelude::*;
use gotham::router::builder::RouterBuilder;
use gotham::router::{Router, build_simple_router};
use gotham::state::State;

use super::api::Api;
use super::params::{Limit, Named, Version, Wait};
use super::refusal::{Refusal, Result};
use super::{jobs, operators};
use crate::input_queue::CallResponse;

/// What a handler returns.
pub(super) type Handling<'a> = Pin<Box<dyn Future<Output = Result<CallResponse>> + Send + 'a>>;

/// A handler of a path and method.
type Handle = for<'a> fn(&'a Api, &'a mut State) -> Handling<'a>;

/// Builder of routes without middleware.
type Routes<'a> = RouterBuilder<'a, (), ()>;

/// The router of the API.
pub(super) fn build(api: Api) -> Router {
    let api = Arc::new(api);
    build_simple_router(|route| {
        route.add_response_extender(StatusCode::NOT_FOUND, refuse_path);
        route.add_response_extender(StatusCode::METHOD_NOT_ALLOWED, refuse_method);
        callers(route, &api);
        operators(route, &api);
    })
}

fn callers(route: &mut Routes<'_>, api: &Arc<Api>) {
    route
        .post("/v1/jobs")
        .with_query_string_extractor::<Wait>()
        .to_new_handler(handler(api, jobs::submit));
    route
        .get("/v1/jobs/:name")
        .with_path_extractor::<Named>()
        .with_query_string_extractor::<Wait>()
        .to_new_handler(handler(api, jobs::query));
    route
        .delete("/v1/jobs/:name")
        .with_path_extractor::<Named>()
        .with_query_string_extractor::<Wait>()
        .to_new_handler(handler(api, jobs::cancel));
}

fn operators(route: &mut Routes<'_>, api: &Arc<Api>) {
    let to = |handle| handler(api, handle);
    route.get("/v1/config").to_new_handler(to(operators::show));
    route
        .get("/v1/status")
        .to_new_handler(to(operators::status));
    route
        .get("/v1/history")
        .with_query_string_extractor::<Limit>()
        .to_new_handler(to(operators::history));
    route
        .put("/v1/classes/:name")
        .with_path_extractor::<Named>()
        .with_query_string_extractor::<Version>()
        .to_new_handler(to(operators::set_class));
    route
        .delete("/v1/classes/:name")
        .with_path_extractor::<Named>()
        .with_query_string_extractor::<Version>()
        .to_new_handler(to(operators::delete_class));
    route
        .put("/v1/teams/:name")
        .with_path_extractor::<Named>()
        .with_query_string_extractor::<Version>()
        .to_new_handler(to(operators::set_team));
    route
        .delete("/v1/teams/:name")
        .with_path_extractor::<Named>()
        .with_query_string_extractor::<Version>()
        .to_new_handler(to(operators::delete_team));
}

fn handler(api: &Arc<Api>, handle: Handle) -> impl NewHandler + use<> {
    // A handler that panics leaves only counters behind.
    let api = AssertUnwindSafe(Arc::clone(api));
    move || {
        let api: &AssertUnwindSafe<Arc<Api>> = &api;
        let api = Arc::clone(api);
        anyhow::Ok(move |state: State| run(api, state, handle))
    }
}

fn run(api: Arc<Api>, mut state: State, handle: Handle) -> Pin<Box<HandlerFuture>> {
    Box::pin(async move {
        let handled = handle(&api, &mut state).await;
        let answer = handled.unwrap_or_else(CallResponse::from);
        api.count(answer.status);
        Ok((state, response(answer)))
    })
}

/// The HTTP response for an answer.
pub(super) fn response(answer: CallResponse) -> Response<Body> {
    let mut response = Response::new(answer.body.into_body());
    *response.status_mut() =
        StatusCode::from_u16(answer.status).unwrap_or(StatusCode::INTERNAL_SERVER_ERROR);
    let json = HeaderValue::from_static("application/json");
    response.headers_mut().insert(CONTENT_TYPE, json);
    response
}

fn refuse_path(_state: &mut State, response: &mut Response<Body>) {
    fill(response, Refusal::unknown_path());
}

fn refuse_method(_state: &mut State, response: &mut Response<Body>) {
    fill(response, Refusal::unknown_method());
}

/// Gives a response of the router a body; those of the decisions have one.
fn fill(response: &mut Response<Body>, refusal: Refusal) {
    if !response.body().is_end_stream() {
        return;
    }
    let filled = self::response(refusal.into());
    *response.body_mut() = filled.into_body();
    let json = HeaderValue::from_static("application/json");
    response.headers_mut().insert(CONTENT_TYPE, json);
}
