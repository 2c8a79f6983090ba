//! Settings files, a store and running entry processes.

use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::path::PathBuf;
use std::process::{Child, ChildStderr, Command, Stdio};

use assert_cmd::cargo::cargo_bin;
use knapweedwall_lab::standin_store::{Settings, StandinStore};

/// Writes a settings file, with `name` and the id of the test process in its file name.
pub fn settings_file(name: &str, text: &str) -> PathBuf {
    let directory = PathBuf::from(env!("CARGO_TARGET_TMPDIR"));
    let path = directory.join(format!("{name}-{}.yaml", std::process::id()));
    std::fs::write(&path, text).unwrap();
    path
}

/// Settings with free ports and a store address that refuses connections.
pub fn settings_without_store() -> String {
    // Binds a free port and closes it again, so that nothing listens on it.
    let unused = std::net::TcpListener::bind("127.0.0.1:0").unwrap();
    settings_with_store(unused.local_addr().unwrap())
}

/// Settings with free ports and the address of a store.
pub fn settings_with_store(store: SocketAddr) -> String {
    format!(
        "name: entry-1\nzone: a\nhttp: {{listen: '127.0.0.1:0'}}\n\
         frames: {{listen: '127.0.0.1:0'}}\nadmin: {{listen: '127.0.0.1:0'}}\n\
         store: {{address: '{store}'}}\n"
    )
}

/// Starts a stand-in store that runs until the test process ends.
pub fn start_store() -> SocketAddr {
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

/// Sends a request on a new connection and returns the status and body of the response.
pub fn request(address: &str, method: &str, path: &str, body: &str) -> (u16, String) {
    let mut socket = TcpStream::connect(address).unwrap();
    let length = body.len();
    let head =
        format!("{method} {path} HTTP/1.1\r\nhost: e\r\noperator: ann\r\nconnection: close\r\n");
    let text = format!("{head}content-length: {length}\r\n\r\n{body}");
    socket.write_all(text.as_bytes()).unwrap();
    let mut response = String::new();
    socket.read_to_string(&mut response).unwrap();
    let status = response.split(' ').nth(1).unwrap().parse().unwrap();
    let (_, body) = response.split_once("\r\n\r\n").unwrap();
    (status, body.to_owned())
}

/// A running entry process; killed when dropped.
pub struct EntryProcess {
    pub child: Child,
    log: BufReader<ChildStderr>,
}

impl EntryProcess {
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

    /// Reads the log up to the record with this event number, and returns that record.
    pub fn wait_for_event(&mut self, event: u16) -> String {
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

impl Drop for EntryProcess {
    fn drop(&mut self) {
        // Fails when the process has already ended.
        let _killed = self.child.kill();
        let _ended = self.child.wait();
    }
}
