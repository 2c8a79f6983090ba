//! Ledger and control API of the endpoint.

use std::sync::Arc;

use hyper::body::Incoming;
use hyper::{Method, Request, StatusCode};

use super::run;
use super::state::State;
use crate::http::{Answer, Handler, json, merge, read_body, text};

/// Largest change of the behaviour, in bytes.
const MAX_CHANGE_BYTES: usize = 64 * 1024;

/// Answers on the main address: tasks, ledger and control API.
#[derive(Debug)]
pub(super) struct Main(pub(super) Arc<State>);

impl Handler for Main {
    async fn answer(self: Arc<Self>, request: Request<Incoming>) -> Answer {
        if request.method() == Method::POST && request.uri().path() == "/run" {
            return run::run(Arc::clone(&self.0), request).await;
        }
        control(&self.0, request, true).await
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

/// Answers one request of the ledger or the control API; `main` when it came to the main address.
async fn control(state: &State, request: Request<Incoming>, main: bool) -> Answer {
    let path = request.uri().path().to_owned();
    match (request.method(), path.as_str()) {
        (&Method::GET, "/ledger") => {
            let starts = state.lock().ledger.list();
            json(StatusCode::OK, &starts)
        }
        (&Method::GET, "/ledger/summary") => summary(state),
        (&Method::POST, "/ledger/clear") => {
            state.lock().ledger.clear();
            summary(state)
        }
        (&Method::GET, "/control") => json(StatusCode::OK, &state.lock().controls),
        (&Method::POST, "/control") => change(state, request, main).await,
        _ => text(StatusCode::NOT_FOUND, "unknown path or method"),
    }
}

/// Answers with the counts of the ledger.
fn summary(state: &State) -> Answer {
    let summary = state.lock().ledger.summary();
    json(StatusCode::OK, &summary)
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
        if main && controls.refuse {
            return Err("use the control address to refuse connections".to_owned());
        }
        Ok(controls)
    });
    match changed.await {
        Ok(controls) => json(StatusCode::OK, &controls),
        Err(e) => text(StatusCode::BAD_REQUEST, e),
    }
}
