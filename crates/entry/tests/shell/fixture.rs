//! An entry process with scripted decisions, and a plain HTTP client.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::Arc;
use std::time::{Duration, Instant};

use crossbeam_channel::{Receiver, Sender, unbounded};
use knapweedwall_entry::{Components, Process, Settings};
use serde_json::Value;

use crate::fakes::{FakePlatform, ScriptedDecisions};

/// Timeout of waits in these tests, long enough for a busy machine.
pub const TIMEOUT: Duration = Duration::from_secs(30);

/// A running entry process.
pub struct TestProcess {
    pub process: Process,
    /// Debug text of the inputs that the decisions received.
    pub inputs: Receiver<String>,
    /// Releases decisions that are blocked by a job whose id starts with `b`.
    pub release: Sender<()>,
}

impl TestProcess {
    pub fn start() -> Self {
        Self::start_with("", FakePlatform::default())
    }

    /// Starts a process with additional lines in the `http` section of its settings.
    pub fn start_with(http: &str, platform: FakePlatform) -> Self {
        let text = format!(
            "name: entry-1\nzone: a\n\
             http:\n  listen: 127.0.0.1:0\n{http}\
             frames:\n  listen: 127.0.0.1:0\n\
             admin:\n  listen: 127.0.0.1:0\n\
             store:\n  address: 127.0.0.1:1\n"
        );
        let settings: Settings = knapweedwall_runtime::settings::parse(&text).unwrap();
        let (sender, inputs) = unbounded();
        let (release, released) = unbounded();
        let components = Components {
            decisions: Box::new(move |_identity, _registry| {
                Box::new(ScriptedDecisions::new(sender, released))
            }),
            platform: Arc::new(platform),
            log: slog::Logger::root(slog::Discard, slog::o!()),
        };
        let process = Process::start(&settings, components).unwrap();
        Self {
            process,
            inputs,
            release,
        }
    }

    pub fn http_address(&self) -> SocketAddr {
        self.process.addresses().http
    }

    pub fn call(&self, method: &str, path: &str, body: &str) -> (u16, Value) {
        self.call_with(method, path, "", body)
    }

    pub fn call_with(&self, method: &str, path: &str, headers: &str, body: &str) -> (u16, Value) {
        let mut client = HttpClient::connect(self.http_address());
        client.request(method, path, headers, body);
        client.read_json()
    }

    pub fn get_admin(&self, path: &str) -> (u16, String) {
        let mut client = HttpClient::connect(self.process.addresses().admin);
        client.request("GET", path, "", "");
        client.read_response()
    }

    /// Waits for an input whose debug text starts with `start`, and returns the text.
    pub fn wait_for_input(&self, start: &str) -> String {
        let deadline = Instant::now() + TIMEOUT;
        loop {
            let remaining = deadline.saturating_duration_since(Instant::now());
            let input = self.inputs.recv_timeout(remaining).unwrap();
            if input.starts_with(start) {
                return input;
            }
        }
    }
}

/// An HTTP client with one HTTP/1.1 connection.
pub struct HttpClient {
    pub socket: TcpStream,
    buffer: Vec<u8>,
}

impl HttpClient {
    pub fn connect(address: SocketAddr) -> Self {
        let socket = TcpStream::connect(address).unwrap();
        socket.set_read_timeout(Some(TIMEOUT)).unwrap();
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

    pub fn read_json(&mut self) -> (u16, Value) {
        let (status, text) = self.read_response();
        (status, serde_json::from_str(&text).unwrap())
    }

    /// Reads the status and body of the next response.
    pub fn read_response(&mut self) -> (u16, String) {
        loop {
            if let Some(response) = self.take_response() {
                return response;
            }
            let mut chunk = [0; 16 * 1024];
            let bytes = self.socket.read(&mut chunk).unwrap();
            assert!(bytes > 0, "closed before a response: {:?}", self.buffer);
            self.buffer.extend_from_slice(&chunk[..bytes]);
        }
    }

    /// Removes the first response from the buffer if it is complete.
    fn take_response(&mut self) -> Option<(u16, String)> {
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

    /// Waits until the server closes the connection.
    pub fn wait_closed(&mut self) {
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
