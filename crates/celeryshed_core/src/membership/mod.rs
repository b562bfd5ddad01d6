//! Who is there: entries and sidecars, from the platform's list, reports and notices.

mod view;

pub use view::{EntryMember, MemberState, MemberView, SideMember};
