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
use super::error::{ApiError, Result};
use super::params::{LimitParam, NameParam, VersionParam, WaitParam};
use super::{jobs, operators};
use crate::input_queue::CallResponse;

/// Future of a handler's response.
pub(super) type ResponseFuture<'a> =
    Pin<Box<dyn Future<Output = Result<CallResponse>> + Send + 'a>>;

/// Handler of a path and method.
type HandlerFn = for<'a> fn(&'a Api, &'a mut State) -> ResponseFuture<'a>;

/// Router builder without middleware.
type Routes<'a> = RouterBuilder<'a, (), ()>;

/// Builds the router of the API.
pub(super) fn build(api: Api) -> Router {
    let api = Arc::new(api);
    build_simple_router(|route| {
        route.add_response_extender(StatusCode::NOT_FOUND, unknown_path);
        route.add_response_extender(StatusCode::METHOD_NOT_ALLOWED, unknown_method);
        add_caller_routes(route, &api);
        add_operator_routes(route, &api);
    })
}

fn add_caller_routes(route: &mut Routes<'_>, api: &Arc<Api>) {
    route
        .post("/v1/jobs")
        .with_query_string_extractor::<WaitParam>()
        .to_new_handler(handler(api, jobs::submit));
    route
        .get("/v1/jobs/:name")
        .with_path_extractor::<NameParam>()
        .with_query_string_extractor::<WaitParam>()
        .to_new_handler(handler(api, jobs::query));
    route
        .delete("/v1/jobs/:name")
        .with_path_extractor::<NameParam>()
        .with_query_string_extractor::<WaitParam>()
        .to_new_handler(handler(api, jobs::cancel));
}

fn add_operator_routes(route: &mut Routes<'_>, api: &Arc<Api>) {
    let to = |handle| handler(api, handle);
    route
        .get("/v1/config")
        .to_new_handler(to(operators::get_config));
    route
        .get("/v1/status")
        .to_new_handler(to(operators::status));
    route
        .get("/v1/history")
        .with_query_string_extractor::<LimitParam>()
        .to_new_handler(to(operators::history));
    route
        .put("/v1/classes/:name")
        .with_path_extractor::<NameParam>()
        .with_query_string_extractor::<VersionParam>()
        .to_new_handler(to(operators::set_class));
    route
        .delete("/v1/classes/:name")
        .with_path_extractor::<NameParam>()
        .with_query_string_extractor::<VersionParam>()
        .to_new_handler(to(operators::delete_class));
    route
        .put("/v1/teams/:name")
        .with_path_extractor::<NameParam>()
        .with_query_string_extractor::<VersionParam>()
        .to_new_handler(to(operators::set_team));
    route
        .delete("/v1/teams/:name")
        .with_path_extractor::<NameParam>()
        .with_query_string_extractor::<VersionParam>()
        .to_new_handler(to(operators::delete_team));
}

fn handler(api: &Arc<Api>, handle: HandlerFn) -> impl NewHandler + use<> {
    // A panic in a handler leaves no broken state: `Api` holds only a sender, counters and gauges.
    let api = AssertUnwindSafe(Arc::clone(api));
    move || {
        let api: &AssertUnwindSafe<Arc<Api>> = &api;
        let api = Arc::clone(api);
        anyhow::Ok(move |state: State| run(api, state, handle))
    }
}

fn run(api: Arc<Api>, mut state: State, handle: HandlerFn) -> Pin<Box<HandlerFuture>> {
    Box::pin(async move {
        let result = handle(&api, &mut state).await;
        let call_response = result.unwrap_or_else(CallResponse::from);
        api.count_response(call_response.status);
        Ok((state, http_response(call_response)))
    })
}

/// Converts a response of the decisions or an error to an HTTP response.
pub(super) fn http_response(call_response: CallResponse) -> Response<Body> {
    let mut response = Response::new(call_response.body.into_body());
    *response.status_mut() =
        StatusCode::from_u16(call_response.status).unwrap_or(StatusCode::INTERNAL_SERVER_ERROR);
    let json = HeaderValue::from_static("application/json");
    response.headers_mut().insert(CONTENT_TYPE, json);
    response
}

fn unknown_path(_state: &mut State, response: &mut Response<Body>) {
    set_error_body(response, ApiError::unknown_path());
}

fn unknown_method(_state: &mut State, response: &mut Response<Body>) {
    set_error_body(response, ApiError::unknown_method());
}

/// Adds a body to a 404 or 405 of the router. A response of the decisions with the same status
/// keeps its own.
fn set_error_body(response: &mut Response<Body>, error: ApiError) {
    if !response.body().is_end_stream() {
        return;
    }
    let error_response = http_response(error.into());
    *response.body_mut() = error_response.into_body();
    let json = HeaderValue::from_static("application/json");
    response.headers_mut().insert(CONTENT_TYPE, json);
}
