//! Addresses and INI files.

use std::fmt::Write;
use std::net::{Ipv4Addr, SocketAddr};
use std::sync::atomic::{AtomicU32, Ordering};

/// Number of the next loopback address of this process.
static NEXT: AtomicU32 = AtomicU32::new(1);

/// Below the range of ephemeral ports, so that no connection takes it.
const PORT: u16 = 18_080;

/// An address that no other process of a test run uses: each has a loopback IP address of its
/// own, derived from the test's process id, so that it stays free while a daemon is replaced.
///
/// Probing for a free port by binding it failed now and then: a daemon that is started at that
/// moment inherits the socket until its `exec`.
pub fn free_address() -> SocketAddr {
    let number = NEXT.fetch_add(1, Ordering::Relaxed);
    let process = std::process::id() % 4_096;
    let ip = Ipv4Addr::new(
        127,
        64 + (process / 64) as u8,
        ((process % 64) * 4 + number / 250) as u8,
        (1 + number % 250) as u8,
    );
    SocketAddr::from((ip, PORT))
}

/// Renders `[section]` blocks of `(section, key, value)` lines; a later line with the same section
/// and key replaces an earlier one, an empty value removes it.
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
