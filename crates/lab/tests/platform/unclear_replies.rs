//! Replies that prove nothing.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU32, Ordering};

use knapweedwall_core::store::{Failure, Outcome, Reply, Request};
use knapweedwall_platform::{HttpPlatform, Platform};
use rstest::rstest;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};

use crate::fixture::{BRIEF, PATIENT, put_absent};

/// Reads one request with a body of known length; `false` at the end of the connection.
async fn read_request(stream: &mut TcpStream) -> bool {
    let mut bytes = Vec::new();
    loop {
        if stream.read_buf(&mut bytes).await.unwrap_or(0) == 0 {
            return false;
        }
        let text = String::from_utf8_lossy(&bytes);
        let Some((head, body)) = text.split_once("\r\n\r\n") else {
            continue;
        };
        let length = head
            .lines()
            .find_map(|l| l.strip_prefix("content-length: "));
        if body.len() >= length.map_or(0, |l| l.parse().unwrap()) {
            return true;
        }
    }
}

/// Serves each connection with `replies` in order, then closes it; counts requests.
async fn serve(replies: Vec<String>) -> (SocketAddr, Arc<AtomicU32>) {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let requests = Arc::new(AtomicU32::new(0));
    let counter = Arc::clone(&requests);
    tokio::spawn(async move {
        while let Ok((mut stream, _)) = listener.accept().await {
            for reply in &replies {
                if !read_request(&mut stream).await {
                    break;
                }
                counter.fetch_add(1, Ordering::SeqCst);
                stream.write_all(reply.as_bytes()).await.unwrap();
            }
        }
    });
    (address, requests)
}

/// A response in wire form.
fn response(status: &str, body: &str) -> String {
    let length = body.len();
    format!("HTTP/1.1 {status}\r\ncontent-length: {length}\r\n\r\n{body}")
}

/// Outcome of one write that is answered with `reply`.
async fn outcome(reply: String) -> (Outcome, u32) {
    let (address, requests) = serve(vec![reply]).await;
    let platform = HttpPlatform::new(address, PATIENT);
    let outcome = platform.call(put_absent("a", b"one")).await;
    (outcome, requests.load(Ordering::SeqCst))
}

const UNAVAILABLE: &str = r#"{"code":"unavailable","applied":false,"text":"t"}"#;
const APPLIED: &str = r#"{"code":"unavailable","applied":true,"text":"t"}"#;
const NO_OBJECT: &str = r#"{"code":"no_object","applied":false,"text":"t"}"#;

/// Guards against treating a status, or a reply that breaks off, as proof that nothing was
/// applied.
#[rstest]
#[case::bare_503(response("503 Service Unavailable", ""))]
#[case::foreign_503(response("503 Service Unavailable", "<html>busy</html>"))]
#[case::bare_429(response("429 Too Many Requests", ""))]
#[case::applied(response("503 Service Unavailable", APPLIED))]
#[case::wrong_status(response("500 Internal Server Error", UNAVAILABLE))]
#[case::wrong_kind(response("404 Not Found", NO_OBJECT))]
#[case::no_json(response("200 OK", "fine"))]
#[case::wrong_json(response("200 OK", "{}"))]
#[case::no_content(response("204 No Content", ""))]
#[case::redirect(response("307 Temporary Redirect", ""))]
#[case::broken_off("HTTP/1.1 200 OK\r\ncontent-length: 13\r\n\r\n{\"vers".into())]
#[case::no_http("garbage\r\n\r\n".into())]
#[case::nothing(String::new())]
#[tokio::test]
async fn reply_proves_nothing(#[case] reply: String) {
    let (outcome, requests) = outcome(reply).await;
    assert!(matches!(outcome, Err(Failure::Unknown(_))), "{outcome:?}");
    assert_eq!(requests, 1);
}

/// Guards against ignoring the platform's own statement.
#[rstest]
#[case("400 Bad Request", "invalid")]
#[case("413 Payload Too Large", "too_large")]
#[case("429 Too Many Requests", "rate_limited")]
#[case("503 Service Unavailable", "unavailable")]
#[tokio::test]
async fn statement_proves_no_effect(#[case] status: &str, #[case] code: &str) {
    let body = UNAVAILABLE.replace("unavailable", code);
    let (outcome, _) = outcome(response(status, &body)).await;
    assert!(
        matches!(outcome, Err(Failure::NotApplied(_))),
        "{outcome:?}"
    );
}

/// Guards against a missing row that is read from a reply without one.
#[rstest]
#[tokio::test]
async fn missing_field_is_no_missing_row() {
    let (address, _) = serve(vec![response("200 OK", "{}")]).await;
    let platform = HttpPlatform::new(address, PATIENT);
    let outcome = platform.call(Request::Get("a".into())).await;
    assert!(matches!(outcome, Err(Failure::Unknown(_))), "{outcome:?}");
}

/// Guards against a client that repeats a request when a pooled connection closes under it.
#[rstest]
#[tokio::test]
async fn closed_pooled_connection_is_not_retried() {
    let replies = vec![response("200 OK", r#"{"version":1}"#), String::new()];
    let (address, requests) = serve(replies).await;
    let platform = HttpPlatform::new(address, PATIENT);
    let first = platform.call(put_absent("a", b"one")).await;
    assert_eq!(first, Ok(Reply::Committed(1)));
    let second = platform.call(put_absent("a", b"one")).await;
    assert!(matches!(second, Err(Failure::Unknown(_))), "{second:?}");
    assert_eq!(requests.load(Ordering::SeqCst), 2);
}

/// Guards against a client that opens a connection for each request.
#[rstest]
#[tokio::test]
async fn connection_is_kept() {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let platform = HttpPlatform::new(listener.local_addr().unwrap(), PATIENT);
    let server = tokio::spawn(async move {
        // A second connection would never be accepted, and its call would time out.
        let (mut stream, _) = listener.accept().await.unwrap();
        let reply = response("200 OK", r#"{"version":1}"#);
        while read_request(&mut stream).await {
            stream.write_all(reply.as_bytes()).await.unwrap();
        }
    });
    for _ in 0..20 {
        let outcome = platform.call(put_absent("a", b"one")).await;
        assert_eq!(outcome, Ok(Reply::Committed(1)));
    }
    server.abort();
}

/// Guards against a server that accepts and never answers being taken for an unreachable one.
#[rstest]
#[tokio::test]
async fn accepted_and_unanswered_is_unknown() {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let platform = HttpPlatform::new(listener.local_addr().unwrap(), BRIEF);
    let outcome = platform.call(put_absent("a", b"one")).await;
    assert!(matches!(outcome, Err(Failure::Unknown(_))), "{outcome:?}");
}
