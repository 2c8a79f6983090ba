//! Guards that each fault of the proxy does what scenarios expect of it.

use std::io::{ErrorKind, Read, Write};
use std::net::{TcpListener, TcpStream};
use std::time::{Duration, Instant};

use knapweedwall_lab::proxy::{Direction, Proxy};

/// Time within which nothing must arrive on a cut connection.
const QUIET: Duration = Duration::from_millis(100);

/// A connection through a new proxy: proxy, connecting side, target side.
fn connect() -> (Proxy, TcpStream, TcpStream) {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let proxy = Proxy::open(listener.local_addr().unwrap()).unwrap();
    let client = TcpStream::connect(proxy.address()).unwrap();
    let (server, _) = listener.accept().unwrap();
    (proxy, client, server)
}

fn read(stream: &mut TcpStream) -> [u8; 4] {
    let mut bytes = [0; 4];
    stream
        .set_read_timeout(Some(Duration::from_secs(10)))
        .unwrap();
    stream.read_exact(&mut bytes).unwrap();
    bytes
}

fn quiet(stream: &mut TcpStream) -> bool {
    stream.set_read_timeout(Some(QUIET)).unwrap();
    let result = stream.read(&mut [0; 1]);
    result.is_err_and(|e| matches!(e.kind(), ErrorKind::WouldBlock | ErrorKind::TimedOut))
}

#[test]
fn cut_holds_one_direction_until_repair() {
    let (proxy, mut client, mut server) = connect();
    proxy.cut(Direction::Forward);
    client.write_all(b"held").unwrap();
    server.write_all(b"back").unwrap();
    assert_eq!(&read(&mut client), b"back");
    assert!(quiet(&mut server), "bytes passed a cut");
    proxy.repair();
    assert_eq!(&read(&mut server), b"held");
}

#[test]
fn reset_reaches_both_sides() {
    let (proxy, mut client, mut server) = connect();
    proxy.reset();
    for stream in [&mut client, &mut server] {
        stream
            .set_read_timeout(Some(Duration::from_secs(10)))
            .unwrap();
        let error = stream.read(&mut [0; 1]).unwrap_err();
        assert_eq!(error.kind(), ErrorKind::ConnectionReset);
    }
}

/// Guards against a break of the connecting side that the target notices, which a process would take for
/// a caller that has left.
#[test]
fn a_near_break_is_not_seen_by_the_target() {
    let (proxy, mut client, mut server) = connect();
    proxy.break_near();
    client
        .set_read_timeout(Some(Duration::from_secs(10)))
        .unwrap();
    let error = client.read(&mut [0; 1]).unwrap_err();
    assert_eq!(error.kind(), ErrorKind::ConnectionReset);
    assert!(quiet(&mut server), "the target noticed");
    server.write_all(b"back").unwrap();
    assert!(quiet(&mut server), "the target noticed after an answer");
    proxy.reset();
    server
        .set_read_timeout(Some(Duration::from_secs(10)))
        .unwrap();
    let error = server.read(&mut [0; 1]).unwrap_err();
    assert_eq!(error.kind(), ErrorKind::ConnectionReset);
}

#[test]
fn silence_concerns_present_connections_only() {
    let (proxy, mut client, mut server) = connect();
    proxy.silence();
    client.write_all(b"lost").unwrap();
    assert!(quiet(&mut server), "bytes passed a silent connection");
    proxy.repair();
    assert!(quiet(&mut server), "a silent connection came back");
}

#[test]
fn delay_is_added_once_for_chunks_in_a_row() {
    let (proxy, mut client, mut server) = connect();
    let delay = Duration::from_millis(50);
    proxy.delay(delay);
    let start = Instant::now();
    client.write_all(b"slow").unwrap();
    assert_eq!(&read(&mut server), b"slow");
    assert!(start.elapsed() >= delay, "{:?}", start.elapsed());
}

#[test]
fn end_of_stream_passes() {
    let (_proxy, client, mut server) = connect();
    drop(client);
    server
        .set_read_timeout(Some(Duration::from_secs(10)))
        .unwrap();
    assert_eq!(server.read(&mut [0; 1]).unwrap(), 0);
}
