//! A peer socket that the system has broken.

use std::net::UdpSocket as BlockingSocket;
use std::os::fd::AsFd;
use std::sync::mpsc;
use std::thread;
use std::time::Duration;

use celeryshed_base::ClockSource;
use celeryshed_peering::PeerSocket;
use tokio::net::{TcpSocket, UdpSocket};
use tokio::runtime::Builder;
use tokio::time::sleep;

/// Time after which a loop that doesn't pause is given up.
const WAIT_LIMIT: Duration = Duration::from_secs(10);

/// How a task receives.
#[derive(Clone, Copy)]
enum Receipt {
    Plain,
    Dated,
}

/// Guards against a receiver that takes a whole core while the system refuses each receipt: paused time
/// never went on.
#[test]
fn lasting_error_of_the_socket_is_retried_after_a_pause() {
    for receipt in [Receipt::Plain, Receipt::Dated] {
        let (done, finished) = mpsc::channel();
        thread::spawn(move || {
            let runtime = Builder::new_current_thread().enable_all().start_paused(true).build();
            runtime.unwrap().block_on(async {
                // Each receipt at a socket without a connection fails.
                let unconnected = TcpSocket::new_v4().unwrap();
                let socket =
                    BlockingSocket::from(unconnected.as_fd().try_clone_to_owned().unwrap());
                socket.set_nonblocking(true).unwrap();
                let socket = PeerSocket::from(UdpSocket::from_std(socket).unwrap());
                let clock = ClockSource::start();
                tokio::spawn(async move {
                    match receipt {
                        Receipt::Plain => drop(socket.receive().await),
                        Receipt::Dated => drop(socket.reader(clock).receive().await),
                    }
                });
                sleep(Duration::from_secs(10)).await;
            });
            done.send(()).unwrap();
        });
        assert!(finished.recv_timeout(WAIT_LIMIT).is_ok(), "the receiver never pauses");
    }
}
