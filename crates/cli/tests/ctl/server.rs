//! HTTP server with scripted replies that records what it was asked.

use std::convert::Infallible;
use std::net::TcpListener;
use std::sync::{Arc, Mutex};

use assert_cmd::Command;
use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use hyper::service::service_fn;
use hyper::{Request, Response};
use hyper_util::rt::TokioIo;
use serde_json::Value;

/// What a request to the server contained.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Seen {
    /// Method and path with query.
    pub line: String,
    /// Header `operator`.
    pub operator: String,
    /// Body as text.
    pub body: String,
}

/// A running server; its thread ends with the test process.
pub struct Server {
    pub url: String,
    seen: Arc<Mutex<Vec<Seen>>>,
}

impl Server {
    /// Answers each request with the first reply whose method and path start fits:
    /// (`"GET /v1/config"`, status, body).
    pub fn open(replies: Vec<(&'static str, u16, Value)>) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let url = format!("http://{}", listener.local_addr().unwrap());
        let seen = Arc::new(Mutex::new(Vec::new()));
        let record = Arc::clone(&seen);
        std::thread::spawn(move || {
            let runtime = tokio::runtime::Builder::new_current_thread()
                .enable_all()
                .build()
                .unwrap();
            runtime.block_on(serve(listener, Arc::new(replies), record));
        });
        Self { url, seen }
    }

    /// Requests so far.
    pub fn seen(&self) -> Vec<Seen> {
        self.seen.lock().unwrap().clone()
    }

    /// `knapweedctl` with these arguments, directed to this server.
    pub fn ctl(&self, args: &[&str]) -> Command {
        let mut command = ctl(args);
        command.args(["--entry", &self.url]);
        command
    }
}

/// `knapweedctl` with these arguments and nothing from the environment.
pub fn ctl(args: &[&str]) -> Command {
    let mut command = Command::new(assert_cmd::cargo::cargo_bin!("knapweedctl"));
    command
        .env_remove("KNAPWEEDWALL_ENTRY")
        .env_remove("USER")
        .args(args);
    command
}

/// Text of the standard output after a run that must end with `code`.
pub fn output(command: &mut Command, code: i32) -> String {
    let assert = command.assert().code(code);
    String::from_utf8(assert.get_output().stdout.clone()).unwrap()
}

/// Text of the standard error after a run that must end with `code`.
pub fn failure(command: &mut Command, code: i32) -> String {
    let assert = command.assert().code(code);
    String::from_utf8(assert.get_output().stderr.clone()).unwrap()
}

async fn serve(
    listener: TcpListener,
    replies: Arc<Vec<(&'static str, u16, Value)>>,
    seen: Arc<Mutex<Vec<Seen>>>,
) {
    listener.set_nonblocking(true).unwrap();
    let listener = tokio::net::TcpListener::from_std(listener).unwrap();
    loop {
        let (stream, _) = listener.accept().await.unwrap();
        let (replies, seen) = (Arc::clone(&replies), Arc::clone(&seen));
        let service =
            service_fn(move |request| answer(request, Arc::clone(&replies), Arc::clone(&seen)));
        let server = hyper::server::conn::http1::Builder::new();
        tokio::spawn(server.serve_connection(TokioIo::new(stream), service));
    }
}

async fn answer(
    request: Request<Incoming>,
    replies: Arc<Vec<(&'static str, u16, Value)>>,
    seen: Arc<Mutex<Vec<Seen>>>,
) -> Result<Response<Full<Bytes>>, Infallible> {
    let line = format!("{} {}", request.method(), request.uri());
    let operator = request
        .headers()
        .get("operator")
        .map(|v| v.to_str().unwrap().to_owned());
    let body = request.into_body().collect().await.unwrap().to_bytes();
    seen.lock().unwrap().push(Seen {
        line: line.clone(),
        operator: operator.unwrap_or_default(),
        body: String::from_utf8(body.to_vec()).unwrap(),
    });
    let found = replies.iter().find(|(start, _, _)| line.starts_with(start));
    let (status, body) = found.map_or((404, Value::Null), |(_, s, b)| (*s, b.clone()));
    let response = Response::builder().status(status);
    Ok(response
        .body(Full::new(Bytes::from(body.to_string())))
        .unwrap())
}
