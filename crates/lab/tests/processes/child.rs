//! A process started by a test.

use std::io::{BufRead, BufReader};
use std::net::SocketAddr;
use std::process::{Child, Command, Stdio};

pub const STORE: &str = env!("CARGO_BIN_EXE_standin-store");
pub const ENDPOINT: &str = env!("CARGO_BIN_EXE_standin-endpoint");

/// A running stand-in; dropping it kills the process.
pub struct Standin {
    child: Child,
    pub listening: SocketAddr,
    pub control: SocketAddr,
}

impl Standin {
    /// Starts `binary` and waits until it is ready.
    pub fn start(binary: &str, arguments: &[&str]) -> Self {
        let mut child = Command::new(binary)
            .args(arguments)
            .stdout(Stdio::piped())
            .spawn()
            .unwrap();
        let mut lines = BufReader::new(child.stdout.take().unwrap()).lines();
        let mut address = |word: &str| {
            let line = lines.next().unwrap().unwrap();
            let (first, address) = line.split_once(' ').unwrap();
            assert_eq!(first, word);
            address.parse().unwrap()
        };
        Self {
            listening: address("listening"),
            control: address("control"),
            child,
        }
    }
}

impl Drop for Standin {
    fn drop(&mut self) {
        self.child.kill().unwrap();
        self.child.wait().unwrap();
    }
}
