use std::net::TcpListener;

use tokio::net::TcpSocket;

use super::PortReservation;

/// Sockets of either kind; enough that one meets a port of the other kind if nothing keeps it.
const COUNT: usize = 400;

/// A stand-in that was started on any free port took the port that a role was about to listen at.
#[tokio::test]
async fn port_of_a_role_is_taken_before_the_role_starts() {
    let ports = PortReservation::reserve(COUNT).unwrap();
    let addresses = ports.addresses().unwrap();

    let others: Vec<_> = (0..COUNT).map(|_| TcpListener::bind("127.0.0.1:0").unwrap()).collect();
    let taken = others.iter().filter(|other| addresses.contains(&other.local_addr().unwrap()));
    assert_eq!(taken.count(), 0, "reserved ports were given to other listeners");

    for address in &addresses {
        // Outgoing connections bind without `SO_REUSEADDR`.
        let outgoing = TcpSocket::new_v4().unwrap();
        assert!(outgoing.bind(*address).is_err(), "{address} was given to an outgoing connection");
        assert!(TcpListener::bind(address).is_ok(), "{address} can't be listened at");
    }
}
