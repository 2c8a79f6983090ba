//! TCP proxies that cut the way between two processes. A cut is silent: it holds the bytes of both
//! directions back, and delivers them after its end.

use std::io::{Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::thread;
use std::time::Duration;

/// Pause between two looks at the cut.
const POLL: Duration = Duration::from_millis(10);

/// Which connections are cut.
#[derive(Debug, Clone, Default, PartialEq)]
pub enum Cut {
    #[default]
    None,
    All,
    /// Those of the process with this name. It names itself in the first bytes that it sends.
    Of(String),
}

/// Text in a write of a process's heartbeat to the store.
const HEARTBEAT: &[u8] = br#""Table":"alive""#;

#[derive(Debug, Clone)]
pub struct Proxy {
    pub address: SocketAddr,
    cut: Arc<Mutex<Cut>>,
    heartbeats: Arc<AtomicU64>,
}

impl Proxy {
    pub fn open(address: SocketAddr, target: SocketAddr) -> Self {
        let listener = TcpListener::bind(address).expect("listener of a proxy");
        let address = listener.local_addr().expect("address of a proxy");
        let cut = Arc::new(Mutex::new(Cut::None));
        let heartbeats = Arc::new(AtomicU64::new(0));
        let (shared, counted) = (Arc::clone(&cut), Arc::clone(&heartbeats));
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let (cut, counted) = (Arc::clone(&shared), Arc::clone(&counted));
                thread::spawn(move || forward(stream, target, &cut, &counted));
            }
        });
        Self {
            address,
            cut,
            heartbeats,
        }
    }

    /// Returns the number of heartbeats that were sent to the store.
    pub fn heartbeats(&self) -> u64 {
        self.heartbeats.load(Ordering::Relaxed)
    }

    pub fn set(&self, cut: Cut) {
        *self.cut.lock().unwrap_or_else(PoisonError::into_inner) = cut;
    }
}

fn wait_until_open(cut: &Mutex<Cut>, hello: &[u8]) {
    loop {
        let held = match &*cut.lock().unwrap_or_else(PoisonError::into_inner) {
            Cut::None => false,
            Cut::All => true,
            Cut::Of(name) => {
                let name = name.as_bytes();
                hello.windows(name.len()).any(|part| part == name)
            }
        };
        if !held {
            return;
        }
        thread::sleep(POLL);
    }
}

fn forward(
    mut from: TcpStream,
    target: SocketAddr,
    cut: &Arc<Mutex<Cut>>,
    heartbeats: &AtomicU64,
) -> Option<()> {
    from.set_nodelay(true).ok()?;
    let mut hello = vec![0; 16 << 10];
    let read = from.read(&mut hello).ok()?;
    hello.truncate(read);
    wait_until_open(cut, &hello);
    let mut to = TcpStream::connect(target).ok()?;
    to.set_nodelay(true).ok()?;
    to.write_all(&hello).ok()?;
    count_heartbeat(&hello, heartbeats);
    let (back_from, back_to) = (to.try_clone().ok()?, from.try_clone().ok()?);
    let (back_cut, back_hello) = (Arc::clone(cut), hello.clone());
    thread::spawn(move || {
        pump(
            back_from,
            back_to,
            &back_cut,
            &back_hello,
            &AtomicU64::new(0),
        )
    });
    pump(from, to, cut, &hello, heartbeats);
    Some(())
}

fn count_heartbeat(bytes: &[u8], heartbeats: &AtomicU64) {
    if bytes.windows(HEARTBEAT.len()).any(|part| part == HEARTBEAT) {
        heartbeats.fetch_add(1, Ordering::Relaxed);
    }
}

fn pump(
    mut from: TcpStream,
    mut to: TcpStream,
    cut: &Mutex<Cut>,
    hello: &[u8],
    heartbeats: &AtomicU64,
) {
    let mut buffer = vec![0; 64 << 10];
    loop {
        let read = from.read(&mut buffer);
        wait_until_open(cut, hello);
        let written = match read {
            Ok(read) if read > 0 => {
                count_heartbeat(&buffer[..read], heartbeats);
                to.write_all(&buffer[..read])
            }
            _ => break,
        };
        if written.is_err() {
            break;
        }
    }
    let _closed = to.shutdown(Shutdown::Both);
    let _closed = from.shutdown(Shutdown::Both);
}
