//! Matching of responses to requests under concurrency.

use std::net::SocketAddr;
use std::sync::Arc;
use std::thread;

use bytes::Bytes;
use gotham::hyper::Request;
use http_body_util::{BodyExt, Full};
use hyper::client::conn::http2::SendRequest;
use hyper_util::rt::{TokioExecutor, TokioIo};
use rstest::rstest;
use serde_json::{Value, json};

use crate::fakes::FakePlatform;
use crate::fixture::{HttpClient, TestProcess};

fn job(id: &str) -> String {
    json!({"id": id, "class": "a", "tasks": [{"payload": format!("for {id}")}]}).to_string()
}

fn assert_response(id: &str, response: &Value) {
    assert_eq!(response["id"], id);
    assert_eq!(response["results"], json!([format!("for {id}")]));
}

// Guards against responses sent to another client.
#[rstest]
fn answers_match_over_many_connections() {
    let entry = Arc::new(TestProcess::start());
    let clients: Vec<_> = (0..32)
        .map(|client| {
            let entry = Arc::clone(&entry);
            thread::spawn(move || {
                let mut connection = HttpClient::connect(entry.http_address());
                for number in 0..100 {
                    let id = format!("e{client}-{number}");
                    connection.request("POST", "/v1/jobs", "", &job(&id));
                    let (status, response) = connection.read_json();
                    assert_eq!(status, 200);
                    assert_response(&id, &response);
                }
            })
        })
        .collect();
    for client in clients {
        client.join().unwrap();
    }
}

fn block_on<T>(future: impl Future<Output = T>) -> T {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .unwrap();
    runtime.block_on(future)
}

async fn connect_http2(address: SocketAddr) -> SendRequest<Full<Bytes>> {
    let socket = tokio::net::TcpStream::connect(address).await.unwrap();
    let io = TokioIo::new(socket);
    let handshake = hyper::client::conn::http2::handshake(TokioExecutor::new(), io);
    let (sender, connection) = handshake.await.unwrap();
    tokio::spawn(connection);
    sender
}

async fn post(sender: SendRequest<Full<Bytes>>, address: SocketAddr, id: String) -> (u16, Value) {
    let mut sender = sender;
    let request = Request::post(format!("http://{address}/v1/jobs"));
    let request = request.body(Full::from(job(&id))).unwrap();
    let response = sender.send_request(request).await.unwrap();
    let status = response.status().as_u16();
    let body = response.into_body().collect().await.unwrap().to_bytes();
    (status, serde_json::from_slice(&body).unwrap())
}

// Guards against responses swapped between the streams of one HTTP/2 connection.
#[rstest]
fn answers_match_over_http2_streams() {
    let entry = TestProcess::start();
    let address = entry.http_address();
    block_on(async move {
        let sender = connect_http2(address).await;
        let calls: Vec<_> = (0..500)
            .map(|number| {
                let sender = sender.clone();
                tokio::spawn(async move {
                    let id = format!("e{number}");
                    let (status, response) = post(sender, address, id.clone()).await;
                    assert_eq!(status, 200);
                    assert_response(&id, &response);
                })
            })
            .collect();
        for call in calls {
            call.await.unwrap();
        }
    });
}

// Guards against an unbounded input queue and against dropped calls: with 4,096 requests queued,
// further calls are refused as overloaded, and the queued ones are answered later.
#[rstest]
fn calls_beyond_the_ring_are_refused_as_overloaded() {
    let entry = Arc::new(TestProcess::start_with(
        "  streams: 4096\n",
        FakePlatform::default(),
    ));
    let address = entry.http_address();
    let release = entry.release.clone();
    let (accepted, refused) = block_on(async {
        let first = connect_http2(address).await;
        let blocked = tokio::spawn(post(first.clone(), address, "b1".into()));
        let waiting = Arc::clone(&entry);
        tokio::task::spawn_blocking(move || waiting.wait_for_input("Submit"))
            .await
            .unwrap();
        let second = connect_http2(address).await;
        let mut calls = tokio::task::JoinSet::new();
        for number in 0..6_000 {
            let sender = if number < 3_000 { &first } else { &second };
            calls.spawn(post(sender.clone(), address, format!("e{number}")));
        }
        let (mut accepted, mut refused) = (0, 0);
        while let Some(call) = calls.join_next().await {
            let (status, response) = call.unwrap();
            match status {
                200 => accepted += 1,
                _ => {
                    assert_eq!(response["error"]["code"], "overloaded");
                    // An earlier submission of the same id may have run.
                    assert_eq!(response["error"]["ran"], "unknown");
                    refused += 1;
                }
            }
            if refused == 6_000 - 4_096 {
                release.send(()).unwrap();
            }
        }
        assert_eq!(blocked.await.unwrap().0, 200);
        (accepted, refused)
    });
    assert_eq!((accepted, refused), (4_096, 6_000 - 4_096));
}
