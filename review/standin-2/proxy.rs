//! A proxy between the entries and the store, which makes open channels fall silent.

#![allow(dead_code, reason = "each case uses a part of it")]

use std::io::{Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

/// An open channel.
#[derive(Clone)]
struct Channel(Arc<Mutex<ChannelState>>);

struct ChannelState {
    carried_at: Instant,
    is_silent: bool,
}

/// A running proxy.
pub struct Proxy {
    pub address: SocketAddr,
    channels: Arc<Mutex<Vec<Channel>>>,
}

impl Proxy {
    pub fn start(target: SocketAddr) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let address = listener.local_addr().expect("a bound port");
        let channels: Arc<Mutex<Vec<Channel>>> = Arc::default();
        let opened = channels.clone();
        thread::spawn(move || {
            for near in listener.incoming().flatten() {
                let Ok(far) = TcpStream::connect(target) else { continue };
                let state = ChannelState { carried_at: Instant::now(), is_silent: false };
                let channel = Channel(Arc::new(Mutex::new(state)));
                opened.lock().expect("no panic").push(channel.clone());
                let (Ok(near_reader), Ok(far_reader)) = (near.try_clone(), far.try_clone()) else {
                    continue;
                };
                channel.clone().copy(near_reader, far);
                channel.copy(far_reader, near);
            }
        });
        Self { address, channels }
    }

    /// Makes all open channels that have carried nothing for `idle` silent for good; returns how many.
    pub fn silence(&self, idle: Duration) -> usize {
        let channels = self.channels.lock().expect("no panic");
        let mut count = 0;
        for channel in channels.iter() {
            let mut state = channel.0.lock().expect("no panic");
            let is_open = Arc::strong_count(&channel.0) > 1;
            if is_open && !state.is_silent && state.carried_at.elapsed() >= idle {
                state.is_silent = true;
                count += 1;
            }
        }
        count
    }
}

impl Channel {
    /// Carries bytes one way until the channel ends; drops them once it is silent.
    fn copy(self, mut from: TcpStream, mut to: TcpStream) {
        thread::spawn(move || {
            let _ = to.set_nodelay(true);
            let mut buffer = [0; 65536];
            while let Ok(count @ 1..) = from.read(&mut buffer) {
                let is_silent = {
                    let mut state = self.0.lock().expect("no panic");
                    state.carried_at = Instant::now();
                    state.is_silent
                };
                if !is_silent && to.write_all(&buffer[..count]).is_err() {
                    break;
                }
            }
            if !self.0.lock().expect("no panic").is_silent {
                let _ = to.shutdown(Shutdown::Both);
                let _ = from.shutdown(Shutdown::Both);
            }
        });
    }
}
