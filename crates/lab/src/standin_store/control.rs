//! Control API of the store.

use std::sync::Arc;

use hyper::body::Incoming;
use hyper::{Method, Request, StatusCode};

use super::Outage;
use super::service;
use super::state::State;
use crate::http::{Answer, Handler, json, merge, read_body, text};

/// Largest change of the behaviour, in bytes.
const MAX_CHANGE_BYTES: usize = 64 * 1024;

/// Path of the control API.
const CONTROL_PATH: &str = "/control";

/// Answers on the main address: the platform's protocol and the control API.
#[derive(Debug)]
pub(super) struct Main(pub(super) Arc<State>);

impl Handler for Main {
    async fn answer(self: Arc<Self>, request: Request<Incoming>) -> Answer {
        if request.uri().path().starts_with(CONTROL_PATH) {
            return control(&self.0, request, true).await;
        }
        service::serve(Arc::clone(&self.0), request).await
    }
}

/// Answers on the control address.
#[derive(Debug)]
pub(super) struct Control(pub(super) Arc<State>);

impl Handler for Control {
    async fn answer(self: Arc<Self>, request: Request<Incoming>) -> Answer {
        control(&self.0, request, false).await
    }
}

/// Answers one request of the control API; `main` when it came to the main address.
async fn control(state: &State, request: Request<Incoming>, main: bool) -> Answer {
    let path = request.uri().path().to_owned();
    match (request.method(), path.as_str()) {
        (&Method::GET, CONTROL_PATH) => json(StatusCode::OK, &state.lock().controls),
        (&Method::POST, CONTROL_PATH) => change(state, request, main).await,
        (&Method::GET, "/control/stats") => json(StatusCode::OK, &state.stats()),
        (&Method::POST, "/control/stats/reset") => {
            state.lock().recorder.reset();
            json(StatusCode::OK, &state.stats())
        }
        _ => text(StatusCode::NOT_FOUND, "unknown path or method"),
    }
}

/// Changes the behaviour and answers with the whole of it.
async fn change(state: &State, request: Request<Incoming>, main: bool) -> Answer {
    let body = match read_body(request.into_body(), MAX_CHANGE_BYTES).await {
        Ok(body) => body,
        Err(e) => return text(StatusCode::PAYLOAD_TOO_LARGE, e),
    };
    let changed = state.change(|present| {
        let controls = merge(present, &body).map_err(|e| e.to_string())?;
        // The answer could not be sent: this address closes its connections.
        if main && controls.outage == Outage::Refuse {
            return Err("use the control address to refuse connections".to_owned());
        }
        Ok(controls)
    });
    match changed.await {
        Ok(controls) => json(StatusCode::OK, &controls),
        Err(e) => text(StatusCode::BAD_REQUEST, e),
    }
}
