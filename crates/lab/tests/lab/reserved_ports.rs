//! Guards against processes of a cluster that cannot bind their ports on a busy machine.

use std::collections::HashSet;
use std::net::TcpListener;

use knapweedwall_lab::cluster::Port;

#[test]
fn reserved_port_is_bound_by_number_only() {
    let port = Port::reserve().unwrap();
    // Others that ask for any free port, as many tests do at the same time, must not get it.
    let others: Vec<TcpListener> = (0..2_000)
        .map(|_| TcpListener::bind("127.0.0.1:0").unwrap())
        .collect();
    let taken: HashSet<_> = others.iter().map(|l| l.local_addr().unwrap()).collect();
    assert!(!taken.contains(&port.address()));
    // A process binds it by number, and again after a restart.
    for _ in 0..2 {
        drop(TcpListener::bind(port.address()).unwrap());
    }
}
