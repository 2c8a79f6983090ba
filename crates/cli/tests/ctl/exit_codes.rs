//! Guards the exit codes that scripts rely on, above all that "nothing was sent" is only said
//! when it is true.

use std::io::Read;
use std::net::TcpListener;

use rstest::rstest;
use serde_json::json;

use crate::server::{Server, ctl, failure, output};

fn refusal(code: &str, ran: &str) -> serde_json::Value {
    json!({"error": {"code": code, "text": "explained", "ran": ran}})
}

#[rstest]
#[case(400, "never_runnable", "none", 1)]
#[case(503, "store_unavailable", "none", 1)]
#[case(409, "conflict", "none", 3)]
#[case(503, "unknown", "unknown", 5)]
fn refused_change(#[case] status: u16, #[case] code: &str, #[case] ran: &str, #[case] exit: i32) {
    let server = Server::open(vec![(
        "PUT /v1/classes/console",
        status,
        refusal(code, ran),
    )]);
    let text = failure(
        &mut server.ctl(&["class", "set", "console", "--target", "250ms"]),
        exit,
    );
    assert!(text.contains("explained"), "{text}");
}

#[rstest]
#[case(&["class", "set", "Console", "--target", "250ms"])]
#[case(&["class", "set", "console", "--target", "1ms"])]
#[case(&["team", "set", "east", "--slots", "0"])]
#[case(&["job", "show", "a/b"])]
#[case(&["status", "--entry", "https://127.0.0.1:1"])]
#[case(&["job", "submit", "/nonexistent/job.json"])]
fn wrong_usage(#[case] args: &[&str]) {
    let server = Server::open(vec![]);
    let mut command = if args.contains(&"--entry") {
        ctl(args)
    } else {
        server.ctl(args)
    };
    failure(&mut command, 2);
    assert_eq!(server.seen(), vec![], "a wrong argument was sent");
}

/// A privileged port that no test can open, so connections to it are refused.
const CLOSED: &str = "http://127.0.0.1:1";

#[test]
fn next_entry_is_tried_when_refused() {
    let server = Server::open(vec![(
        "GET /v1/config",
        200,
        json!({"version": 1, "classes": {}, "teams": {}}),
    )]);
    let list = format!("{},{}", CLOSED, server.url);
    output(ctl(&["class", "list"]).env("KNAPWEEDWALL_ENTRY", list), 0);
}

#[test]
fn unreachable_when_all_refuse() {
    let text = failure(&mut ctl(&["status", "--entry", CLOSED]), 4);
    assert!(text.contains("nothing was sent"), "{text}");
}

/// A change whose connection breaks after it was sent may have taken effect. It must be neither
/// reported as not sent nor repeated to the next entry process.
#[test]
fn lost_reply_is_unknown() {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let broken = format!("http://{}", listener.local_addr().unwrap());
    std::thread::spawn(move || {
        let (mut stream, _) = listener.accept().unwrap();
        let _ = stream.read(&mut [0; 16]);
    });
    let next = Server::open(vec![("PUT", 200, json!({"version": 2}))]);
    let entries = format!("{broken},{}", next.url);
    let mut command = ctl(&[
        "class", "set", "console", "--target", "1s", "--entry", &entries,
    ]);
    let text = failure(&mut command, 5);
    assert!(text.contains("outcome unknown"), "{text}");
    assert_eq!(next.seen(), vec![], "the change was repeated");
}
