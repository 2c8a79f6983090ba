//! A connection to an endpoint that sees every byte.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use knapweedwall_lab::standin_endpoint::{Controls, Settings, StandinEndpoint};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

/// Longer than any delay of a busy machine; only failing tests wait for it.
const PATIENT: Duration = Duration::from_secs(60);

/// Starts an endpoint.
pub async fn endpoint(slots: u32, controls: Controls) -> StandinEndpoint {
    let settings = Settings {
        slots,
        controls,
        ..Settings::default()
    };
    StandinEndpoint::open(&settings).await.unwrap()
}

/// Status and body of a response.
pub type Response = (u16, Vec<u8>);

/// A connection with the bytes received and not yet read.
pub struct Client {
    stream: TcpStream,
    received: Vec<u8>,
}

impl Client {
    /// Connects.
    pub async fn open(address: SocketAddr) -> Self {
        Self {
            stream: TcpStream::connect(address).await.unwrap(),
            received: Vec::new(),
        }
    }

    /// Sends the request for a task without reading its answer.
    pub async fn send(&mut self, job: u32, index: u32, payload: &str) {
        let length = payload.len();
        let request = format!(
            "POST /run HTTP/1.1\r\nhost: x\r\njob: {job:032x}\r\nindex: {index}\r\n\
             class: short\r\ncontent-length: {length}\r\n\r\n{payload}"
        );
        self.write(&request).await;
    }

    /// Sends text as it is.
    pub async fn write(&mut self, text: &str) {
        self.stream.write_all(text.as_bytes()).await.unwrap();
    }

    /// Reads one response; fails after a minute.
    pub async fn response(&mut self) -> std::io::Result<Response> {
        loop {
            if let Some((response, end)) = parse(&self.received) {
                self.received.drain(..end);
                return Ok(response);
            }
            let read = self.stream.read_buf(&mut self.received);
            let read = tokio::time::timeout(PATIENT, read).await;
            if read.expect("the endpoint answers or closes the connection")? == 0 {
                return Err(std::io::ErrorKind::UnexpectedEof.into());
            }
        }
    }

    /// Reads to the end of the connection.
    pub async fn rest(mut self) -> std::io::Result<Vec<u8>> {
        self.stream.read_to_end(&mut self.received).await?;
        Ok(self.received)
    }

    /// Runs a task.
    pub async fn run(&mut self, job: u32, index: u32, payload: &str) -> Response {
        self.send(job, index, payload).await;
        self.response().await.unwrap()
    }
}

/// The first whole response of `bytes`, and where it ends.
fn parse(bytes: &[u8]) -> Option<(Response, usize)> {
    let head = bytes.windows(4).position(|w| w == b"\r\n\r\n")? + 4;
    let text = std::str::from_utf8(&bytes[..head]).unwrap();
    let status = text.split(' ').nth(1).unwrap().parse().unwrap();
    let length = text
        .lines()
        .find_map(|l| l.strip_prefix("content-length: "));
    let end = head + length.map_or(0, |l| l.parse::<usize>().unwrap());
    let body = bytes.get(head..end)?;
    Some(((status, body.to_vec()), end))
}

/// Sends a request without a task on an own connection.
pub async fn call(address: SocketAddr, line: &str, body: &str) -> (u16, String) {
    let mut client = Client::open(address).await;
    let length = body.len();
    let request = format!("{line} HTTP/1.1\r\nhost: x\r\ncontent-length: {length}\r\n\r\n{body}");
    client.write(&request).await;
    let (status, body) = client.response().await.unwrap();
    (status, String::from_utf8(body).unwrap())
}

/// Waits until the condition holds; fails after a minute.
pub async fn until(mut condition: impl FnMut() -> bool) {
    let begun = Instant::now();
    while !condition() {
        assert!(
            begun.elapsed() < PATIENT,
            "the condition does not come true"
        );
        tokio::task::yield_now().await;
    }
}

/// Waits until so many tasks run.
pub async fn until_running(endpoint: &StandinEndpoint, running: u32) {
    until(|| endpoint.summary().running == running).await;
}
