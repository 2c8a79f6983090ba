//! Proxy of TCP connections that can be partitioned by the name of the connecting process. During a partition bytes are held and no end of a connection is passed on.

use std::collections::HashSet;
use std::io::{self, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

#[derive(Clone)]
pub struct Proxy {
    cut: Arc<Mutex<HashSet<String>>>,
}

impl Proxy {
    /// Forwards connections to `target`. A connection is assigned to the first of `names` that its first
    /// bytes contain; the handshake of a link names the process that opens it.
    pub fn spawn(listen: SocketAddr, target: SocketAddr, names: Vec<String>) -> io::Result<Self> {
        let listener = TcpListener::bind(listen)?;
        let proxy = Self {
            cut: Arc::default(),
        };
        let accepting = proxy.clone();
        thread::spawn(move || {
            for client in listener.incoming().flatten() {
                let (proxy, names) = (accepting.clone(), names.clone());
                thread::spawn(move || proxy.forward(client, target, &names));
            }
        });
        Ok(proxy)
    }

    pub fn partition(&self, name: &str) {
        if let Ok(mut cut) = self.cut.lock() {
            cut.insert(name.to_owned());
        }
    }

    pub fn heal(&self) {
        if let Ok(mut cut) = self.cut.lock() {
            cut.clear();
        }
    }

    fn is_cut(&self, name: &str) -> bool {
        let cut = self.cut.lock();
        cut.is_ok_and(|cut| cut.contains(name))
    }

    fn wait_until_healed(&self, name: &str) {
        while self.is_cut(name) {
            thread::sleep(Duration::from_millis(2));
        }
    }

    fn forward(&self, mut client: TcpStream, target: SocketAddr, names: &[String]) {
        let mut first = [0; 16_384];
        let Ok(length) = client.read(&mut first) else {
            return;
        };
        let first = &first[..length];
        let named = names.iter().find(|name| {
            let name = name.as_bytes();
            first.windows(name.len()).any(|window| window == name)
        });
        let name = named.cloned().unwrap_or_default();
        self.wait_until_healed(&name);
        let Ok(mut server) = TcpStream::connect(target) else {
            return;
        };
        let _ = client.set_nodelay(true);
        let _ = server.set_nodelay(true);
        if server.write_all(first).is_err() {
            return;
        }
        let (Ok(from_client), Ok(to_client)) = (client.try_clone(), client.try_clone()) else {
            return;
        };
        let (Ok(from_server), Ok(to_server)) = (server.try_clone(), server.try_clone()) else {
            return;
        };
        let (upstream, upstream_name) = (self.clone(), name.clone());
        thread::spawn(move || upstream.pump(from_client, to_server, &upstream_name));
        self.pump(from_server, to_client, &name);
    }

    fn pump(&self, mut from: TcpStream, mut to: TcpStream, name: &str) {
        let mut chunk = [0; 16_384];
        loop {
            let read = from.read(&mut chunk);
            self.wait_until_healed(name);
            match read {
                Ok(length) if length > 0 && to.write_all(&chunk[..length]).is_ok() => {}
                _ => {
                    let _ = to.shutdown(Shutdown::Both);
                    let _ = from.shutdown(Shutdown::Both);
                    return;
                }
            }
        }
    }
}
