//! Which failures to open sockets are retried, and when.

use std::cell::{Cell, RefCell};
use std::io;
use std::time::Duration;

use celeryshed_process::{ListenError, open_sockets};
use tokio::time::Instant;

fn listen_error(source: io::Error) -> ListenError {
    let address = "127.0.0.1:80".parse().unwrap();
    ListenError { purpose: "the callers' service", address, source }
}

/// Guards against retries without a pause, and against pauses that grow without end.
#[tokio::test(start_paused = true)]
async fn delay_between_attempts_doubles_up_to_a_second() {
    let started = Instant::now();
    let attempts = RefCell::new(Vec::new());
    let open = || {
        attempts.borrow_mut().push(started.elapsed().as_millis());
        match attempts.borrow().len() {
            8 => Ok(()),
            _ => Err(listen_error(io::ErrorKind::AddrInUse.into())),
        }
    };
    open_sockets(open).await.unwrap();
    assert_eq!(*attempts.borrow(), [0, 50, 150, 350, 750, 1550, 2550, 3550]);
}

/// Guards against an end of the process at a shortage that passes by itself.
#[tokio::test(start_paused = true)]
async fn temporary_errors_are_retried() {
    let codes = [
        libc::EADDRINUSE,
        libc::EADDRNOTAVAIL,
        libc::EMFILE,
        libc::ENFILE,
        libc::ENOBUFS,
        libc::ENOMEM,
    ];
    for code in codes {
        let attempts = Cell::new(0);
        let open = || {
            attempts.set(attempts.get() + 1);
            match attempts.get() {
                1 => Err(listen_error(io::Error::from_raw_os_error(code))),
                _ => Ok(()),
            }
        };
        open_sockets(open).await.unwrap();
        assert_eq!(attempts.get(), 2, "{code}");
    }
}

/// Guards against a process that waits for ever for what it may not open.
#[tokio::test(start_paused = true)]
async fn lasting_errors_are_returned_at_once() {
    let started = Instant::now();
    for code in [libc::EACCES, libc::EPERM, libc::EAFNOSUPPORT] {
        let open = || Err::<(), _>(listen_error(io::Error::from_raw_os_error(code)));
        let error = open_sockets(open).await.unwrap_err();
        assert_eq!(error.source.raw_os_error(), Some(code));
    }
    assert_eq!(started.elapsed(), Duration::ZERO);
}
