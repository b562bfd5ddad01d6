//! Logging of panics.

use std::panic::{PanicHookInfo, set_hook, take_hook};
use std::thread;

use crate::event::EventLine;

/// Logs an event `panicked` with the place of each panic, beside the usual output.
///
/// ```
/// celeryshed_observe::install_panic_events();
/// assert!(std::panic::catch_unwind(|| panic!("seen in the log")).is_err());
/// ```
pub fn install_panic_events() {
    let print_panic = take_hook();
    set_hook(Box::new(move |panic| {
        panic_line(panic).error();
        print_panic(panic);
    }));
}

fn panic_line(panic: &PanicHookInfo<'_>) -> EventLine {
    let place = panic.location().map_or_else(|| "-".to_owned(), ToString::to_string);
    let thread = thread::current();
    let payload = panic.payload();
    let detail = payload.downcast_ref::<&str>().copied();
    let detail = detail.or_else(|| payload.downcast_ref::<String>().map(String::as_str));
    EventLine::new("panicked")
        .field("place", place)
        .field("thread", thread.name().unwrap_or("-"))
        .field("detail", detail.unwrap_or("-"))
}
