//! Settings files and running processes.

use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::path::PathBuf;
use std::process::{Child, ChildStderr, Command, Stdio};

use assert_cmd::cargo::cargo_bin;
use knapweedwall_lab::standin_store::{Settings, StandinStore};

/// Writes a settings file for this test process; `name` keeps files of tests apart.
pub fn settings_file(name: &str, text: &str) -> PathBuf {
    let directory = PathBuf::from(env!("CARGO_TARGET_TMPDIR"));
    let path = directory.join(format!("{name}-{}.yaml", std::process::id()));
    std::fs::write(&path, text).unwrap();
    path
}

/// Settings with free ports and a store that refuses connections.
pub fn without_store() -> String {
    // The port is bound and closed, so that nothing listens on it.
    let unused = std::net::TcpListener::bind("127.0.0.1:0").unwrap();
    with_store(unused.local_addr().unwrap())
}

/// Settings with free ports.
pub fn with_store(store: SocketAddr) -> String {
    format!(
        "name: entry-1\nzone: a\nhttp: {{listen: '127.0.0.1:0'}}\n\
         frames: {{listen: '127.0.0.1:0'}}\nadmin: {{listen: '127.0.0.1:0'}}\n\
         store: {{address: '{store}'}}\n"
    )
}

/// Runs a stand-in store until the test process ends.
pub fn store() -> SocketAddr {
    let (sender, address) = std::sync::mpsc::channel();
    std::thread::spawn(move || {
        let runtime = tokio::runtime::Builder::new_current_thread()
            .enable_all()
            .build()
            .unwrap();
        runtime.block_on(async move {
            let store = StandinStore::open(&Settings::default()).await.unwrap();
            sender.send(store.address()).unwrap();
            store.join().await;
        });
    });
    address.recv().unwrap()
}

/// Status and body of a request on a connection of its own.
pub fn request(address: &str, method: &str, path: &str, body: &str) -> (u16, String) {
    let mut socket = TcpStream::connect(address).unwrap();
    let length = body.len();
    let head =
        format!("{method} {path} HTTP/1.1\r\nhost: e\r\noperator: ann\r\nconnection: close\r\n");
    let text = format!("{head}content-length: {length}\r\n\r\n{body}");
    socket.write_all(text.as_bytes()).unwrap();
    let mut answer = String::new();
    socket.read_to_string(&mut answer).unwrap();
    let status = answer.split(' ').nth(1).unwrap().parse().unwrap();
    let (_, body) = answer.split_once("\r\n\r\n").unwrap();
    (status, body.to_owned())
}

/// A running process; killed when dropped.
pub struct Running {
    pub child: Child,
    log: BufReader<ChildStderr>,
}

impl Running {
    pub fn start(settings: &PathBuf) -> Self {
        let mut child = Command::new(cargo_bin("knapweedwall-entry"))
            .args(["run", "--settings"])
            .arg(settings)
            .stderr(Stdio::piped())
            .spawn()
            .unwrap();
        let log = BufReader::new(child.stderr.take().unwrap());
        Self { child, log }
    }

    /// Reads the log up to the record with this event number.
    pub fn logs(&mut self, event: u16) -> String {
        let wanted = format!("\"event\":{event}");
        let mut line = String::new();
        while !line.contains(&wanted) {
            line.clear();
            let bytes = self.log.read_line(&mut line).unwrap();
            assert!(bytes > 0, "the log ended before event {event}");
        }
        line
    }

    pub fn signal(&self, name: &str) {
        let id = self.child.id().to_string();
        let sent = Command::new("kill").args(["-s", name, &id]).status();
        assert!(sent.unwrap().success());
    }
}

impl Drop for Running {
    fn drop(&mut self) {
        // The process may have ended by itself.
        let _killed = self.child.kill();
        let _ended = self.child.wait();
    }
}
