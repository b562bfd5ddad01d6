//! Addresses and settings files of daemons.

use std::fmt::Write;
use std::net::{Ipv4Addr, SocketAddr};
use std::sync::atomic::{AtomicU32, Ordering};

/// Number of the next address of this test process.
static NEXT_ADDRESS: AtomicU32 = AtomicU32::new(1);

/// Port of all addresses; below the ephemeral range, so that no outgoing connection uses it.
const PORT: u16 = 18_080;

/// Returns a loopback address that no other process of a test run uses. The IP address is derived
/// from the id of the test process, so it stays free while a daemon is replaced.
///
/// Binding a port to find out whether it is free failed sometimes: a daemon started at that step
/// inherits the socket until its `exec`.
pub fn free_address() -> SocketAddr {
    let number = NEXT_ADDRESS.fetch_add(1, Ordering::Relaxed);
    let process = std::process::id() % 4_096;
    let ip = Ipv4Addr::new(
        127,
        64 + (process / 64) as u8,
        ((process % 64) * 4 + number / 250) as u8,
        (1 + number % 250) as u8,
    );
    SocketAddr::from((ip, PORT))
}

/// Renders `(section, key, value)` lines as an INI file. A later line replaces an earlier one with
/// the same section and key; an empty value removes the key.
pub fn role_settings(lines: &[(&str, &str, String)]) -> String {
    let mut sections: Vec<(&str, Vec<(&str, &str)>)> = Vec::new();
    for (section, key, value) in lines {
        if !sections.iter().any(|(name, _)| name == section) {
            sections.push((section, Vec::new()));
        }
        let Some((_, keys)) = sections.iter_mut().find(|(name, _)| name == section) else {
            continue;
        };
        keys.retain(|(name, _)| name != key);
        if !value.is_empty() {
            keys.push((key, value));
        }
    }
    let mut text = String::new();
    for (section, keys) in sections {
        writeln!(text, "[{section}]").expect("writing to a string");
        for (key, value) in keys {
            writeln!(text, "{key} = {value}").expect("writing to a string");
        }
    }
    text
}
