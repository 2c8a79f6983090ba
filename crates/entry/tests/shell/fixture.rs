//! An entry process with fake decisions, and a plain HTTP caller.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::Arc;
use std::time::{Duration, Instant};

use crossbeam_channel::{Receiver, Sender, unbounded};
use knapweedwall_entry::{Parts, Process, Settings};
use serde_json::Value;

use crate::fake::{Rows, Rules};

/// Longest wait for anything in these tests; far above what a busy machine needs.
pub const WAIT: Duration = Duration::from_secs(30);

/// A running process.
pub struct Node {
    pub process: Process,
    pub seen: Receiver<String>,
    pub release: Sender<()>,
}

impl Node {
    pub fn open() -> Self {
        Self::with("", Rows::default())
    }

    /// A process with further lines in the `http` section and a platform.
    pub fn with(http: &str, platform: Rows) -> Self {
        let text = format!(
            "name: entry-1\nzone: a\n\
             http:\n  listen: 127.0.0.1:0\n{http}\
             frames:\n  listen: 127.0.0.1:0\n\
             admin:\n  listen: 127.0.0.1:0\n\
             store:\n  address: 127.0.0.1:1\n"
        );
        let settings: Settings = knapweedwall_runtime::settings::parse(&text).unwrap();
        let (sender, seen) = unbounded();
        let (release, released) = unbounded();
        let parts = Parts {
            decisions: Box::new(move |_own, _registry| Box::new(Rules::new(sender, released))),
            platform: Arc::new(platform),
            log: slog::Logger::root(slog::Discard, slog::o!()),
        };
        let process = Process::open(&settings, parts).unwrap();
        Self {
            process,
            seen,
            release,
        }
    }

    pub fn http(&self) -> SocketAddr {
        self.process.addresses().http
    }

    pub fn call(&self, method: &str, path: &str, body: &str) -> (u16, Value) {
        self.call_with(method, path, "", body)
    }

    pub fn call_with(&self, method: &str, path: &str, headers: &str, body: &str) -> (u16, Value) {
        let mut caller = Caller::connect(self.http());
        caller.request(method, path, headers, body);
        caller.answer()
    }

    pub fn admin(&self, path: &str) -> (u16, String) {
        let mut caller = Caller::connect(self.process.addresses().admin);
        caller.request("GET", path, "", "");
        caller.text()
    }

    /// Waits for an input whose debug text starts with `start`.
    pub fn sees(&self, start: &str) -> String {
        let end = Instant::now() + WAIT;
        loop {
            let left = end.saturating_duration_since(Instant::now());
            let seen = self.seen.recv_timeout(left).unwrap();
            if seen.starts_with(start) {
                return seen;
            }
        }
    }
}

/// A caller with one HTTP/1.1 connection.
pub struct Caller {
    pub socket: TcpStream,
    buffer: Vec<u8>,
}

impl Caller {
    pub fn connect(address: SocketAddr) -> Self {
        let socket = TcpStream::connect(address).unwrap();
        socket.set_read_timeout(Some(WAIT)).unwrap();
        socket.set_nodelay(true).unwrap();
        Self {
            socket,
            buffer: Vec::new(),
        }
    }

    pub fn request(&mut self, method: &str, path: &str, headers: &str, body: &str) {
        let length = body.len();
        let text = format!(
            "{method} {path} HTTP/1.1\r\nhost: entry\r\n{headers}content-length: {length}\r\n\r\n{body}"
        );
        self.socket.write_all(text.as_bytes()).unwrap();
    }

    pub fn answer(&mut self) -> (u16, Value) {
        let (status, text) = self.text();
        (status, serde_json::from_str(&text).unwrap())
    }

    /// Status and body of the next answer.
    pub fn text(&mut self) -> (u16, String) {
        loop {
            if let Some(answer) = self.complete() {
                return answer;
            }
            let mut chunk = [0; 16 * 1024];
            let bytes = self.socket.read(&mut chunk).unwrap();
            assert!(bytes > 0, "closed before an answer: {:?}", self.buffer);
            self.buffer.extend_from_slice(&chunk[..bytes]);
        }
    }

    fn complete(&mut self) -> Option<(u16, String)> {
        let text = String::from_utf8(self.buffer.clone()).ok()?;
        let (head, rest) = text.split_once("\r\n\r\n")?;
        let status = head.split(' ').nth(1).unwrap().parse().unwrap();
        let length = head.lines().find_map(|line| {
            let (name, value) = line.split_once(": ")?;
            name.eq_ignore_ascii_case("content-length").then_some(value)
        });
        let length: usize = length.map_or(0, |length| length.parse().unwrap());
        let body = rest.get(..length)?.to_owned();
        self.buffer.drain(..head.len() + 4 + length);
        Some((status, body))
    }

    /// Waits until the other side closes the connection.
    pub fn closed(&mut self) {
        let mut chunk = [0; 16 * 1024];
        loop {
            match self.socket.read(&mut chunk) {
                Ok(0) => return,
                Ok(_) => {}
                Err(error) if error.kind() == std::io::ErrorKind::ConnectionReset => return,
                Err(error) => panic!("not closed: {error}"),
            }
        }
    }
}
