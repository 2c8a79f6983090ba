//! Minimal HTTP/1.1 server and client, one thread a connection.

use std::io::{self, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread;
use std::time::Duration;

use crate::json::Json;

pub struct Request {
    pub path: String,
    pub query: Vec<(String, String)>,
    pub headers: Vec<(String, String)>,
    pub body: String,
}

impl Request {
    pub fn header(&self, name: &str) -> Option<&str> {
        let mut headers = self.headers.iter();
        let found = headers.find(|(key, _)| key.eq_ignore_ascii_case(name));
        found.map(|(_, value)| value.as_str())
    }

    pub fn parameter(&self, name: &str) -> &str {
        let mut query = self.query.iter();
        let found = query.find(|(key, _)| key == name);
        found.map_or("", |(_, value)| value.as_str())
    }
}

/// Answer of a handler; `None` closes the connection without an answer.
pub type Reply = Option<(u16, Json)>;

/// Running server. New and present connections end when it is closed.
pub struct Server {
    pub address: SocketAddr,
    closed: Arc<AtomicBool>,
}

impl Server {
    pub fn spawn(
        address: SocketAddr,
        handle: impl Fn(Request) -> Reply + Send + Sync + 'static,
    ) -> io::Result<Self> {
        let listener = TcpListener::bind(address)?;
        let address = listener.local_addr()?;
        listener.set_nonblocking(true)?;
        let closed = Arc::new(AtomicBool::new(false));
        let handle = Arc::new(handle);
        let ended = Arc::clone(&closed);
        thread::spawn(move || {
            while !ended.load(Ordering::SeqCst) {
                let Ok((stream, _)) = listener.accept() else {
                    thread::sleep(Duration::from_millis(1));
                    continue;
                };
                let (handle, ended) = (Arc::clone(&handle), Arc::clone(&ended));
                thread::spawn(move || serve_connection(stream, &*handle, &ended));
            }
        });
        Ok(Self { address, closed })
    }

    /// Stops listening and resets all connections, like a process that is killed.
    pub fn close(&self) {
        self.closed.store(true, Ordering::SeqCst);
    }
}

fn serve_connection(
    mut stream: TcpStream,
    handle: &dyn Fn(Request) -> Reply,
    closed: &Arc<AtomicBool>,
) {
    let _ = stream.set_nonblocking(false);
    let _ = stream.set_nodelay(true);
    let _ = stream.set_read_timeout(Some(Duration::from_millis(20)));
    // A handler may wait for a long time, so the end of the server is noticed by another thread.
    let done = Arc::new(AtomicBool::new(false));
    if let Ok(other) = stream.try_clone() {
        let (closed, done) = (Arc::clone(closed), Arc::clone(&done));
        thread::spawn(move || {
            while !done.load(Ordering::SeqCst) {
                if closed.load(Ordering::SeqCst) {
                    let _ = other.shutdown(Shutdown::Both);
                    return;
                }
                thread::sleep(Duration::from_millis(2));
            }
        });
    }
    let mut buffer = Vec::new();
    while let Some(request) = read_request(&mut stream, &mut buffer, closed) {
        let Some((status, body)) = handle(request) else {
            break;
        };
        if closed.load(Ordering::SeqCst) {
            break;
        }
        let body = body.to_string();
        let head = format!(
            "HTTP/1.1 {status} x\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n",
            body.len()
        );
        if stream.write_all((head + &body).as_bytes()).is_err() {
            break;
        }
    }
    done.store(true, Ordering::SeqCst);
    let _ = stream.shutdown(Shutdown::Both);
}

fn read_request(
    stream: &mut TcpStream,
    buffer: &mut Vec<u8>,
    closed: &AtomicBool,
) -> Option<Request> {
    loop {
        if let Some(request) = take_request(buffer) {
            return Some(request);
        }
        let mut chunk = [0; 16_384];
        match stream.read(&mut chunk) {
            Ok(0) => return None,
            Ok(length) => buffer.extend(&chunk[..length]),
            Err(error) if is_timeout(&error) => {
                if closed.load(Ordering::SeqCst) {
                    return None;
                }
            }
            Err(_) => return None,
        }
    }
}

fn is_timeout(error: &io::Error) -> bool {
    matches!(
        error.kind(),
        io::ErrorKind::WouldBlock | io::ErrorKind::TimedOut
    )
}

fn take_request(buffer: &mut Vec<u8>) -> Option<Request> {
    let (first, headers, start, end) = parse_head(buffer)?;
    if buffer.len() < end {
        return None;
    }
    let body = String::from_utf8_lossy(&buffer[start..end]).into_owned();
    buffer.drain(..end);
    let mut words = first.split(' ');
    let _method = words.next()?;
    let target = words.next()?;
    let (path, query) = target.split_once('?').unwrap_or((target, ""));
    let query = query.split('&').filter_map(|pair| pair.split_once('='));
    Some(Request {
        path: path.to_owned(),
        query: query
            .map(|(key, value)| (key.to_owned(), value.to_owned()))
            .collect(),
        headers,
        body,
    })
}

type Head = (String, Vec<(String, String)>, usize, usize);

/// Returns the first line, the headers, and the bounds of the body.
fn parse_head(buffer: &[u8]) -> Option<Head> {
    let start = buffer.windows(4).position(|window| window == b"\r\n\r\n")? + 4;
    let head = String::from_utf8_lossy(&buffer[..start]).into_owned();
    let mut lines = head.split("\r\n");
    let first = lines.next()?.to_owned();
    let headers = lines.filter_map(|line| line.split_once(':'));
    let headers: Vec<(String, String)> = headers
        .map(|(key, value)| (key.to_owned(), value.trim().to_owned()))
        .collect();
    let length = headers
        .iter()
        .find(|(key, _)| key.eq_ignore_ascii_case("content-length"));
    let length: usize = length
        .and_then(|(_, value)| value.parse().ok())
        .unwrap_or(0);
    Some((first, headers, start, start + length))
}

/// Sends a request on a new connection. Returns the status and the body, or why there is no answer.
pub fn call(
    address: SocketAddr,
    method: &str,
    path: &str,
    headers: &[(&str, String)],
    body: &str,
    limit: Duration,
) -> Result<(u16, String), String> {
    let error = |error: io::Error| {
        if is_timeout(&error) {
            "no answer in time".to_owned()
        } else {
            format!("connection failed ({:?})", error.kind())
        }
    };
    let mut stream = TcpStream::connect_timeout(&address, limit).map_err(error)?;
    let _ = stream.set_nodelay(true);
    let mut head = format!("{method} {path} HTTP/1.1\r\n");
    for (key, value) in headers {
        head += &format!("{key}: {value}\r\n");
    }
    head += &format!(
        "Content-Type: application/json\r\nContent-Length: {}\r\n\r\n",
        body.len()
    );
    stream.write_all((head + body).as_bytes()).map_err(error)?;
    let deadline = std::time::Instant::now() + limit;
    let mut buffer = Vec::new();
    loop {
        if let Some((first, _, start, end)) = parse_head(&buffer)
            && buffer.len() >= end
        {
            let status = first.split(' ').nth(1).and_then(|code| code.parse().ok());
            let body = String::from_utf8_lossy(&buffer[start..end]).into_owned();
            return Ok((status.unwrap_or(0), body));
        }
        let left = deadline.saturating_duration_since(std::time::Instant::now());
        if left.is_zero() {
            return Err("no answer in time".to_owned());
        }
        let _ = stream.set_read_timeout(Some(left));
        let mut chunk = [0; 16_384];
        match stream.read(&mut chunk).map_err(error)? {
            0 => return Err("connection closed without an answer".to_owned()),
            length => buffer.extend(&chunk[..length]),
        }
    }
}
