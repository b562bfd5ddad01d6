//! Parts of a prompt that requests share.

use celeryshed_base::common_derives;

use crate::rendezvous::rendezvous;

/// Maximum number of parts of one prompt that are considered.
const MAX_PARTS: usize = 16;

common_derives! { index:
    /// Id of a part; an id that is not a hexadecimal number of 64 bits is hashed.
    pub struct PartId(pub u64);

    /// A part and its place in the prompt.
    pub struct PromptPart {
        /// Id of the part.
        pub id: PartId,
        /// Number of parts before it.
        pub position: u8,
    }
}

impl PartId {
    /// The id that a caller wrote as `text`.
    ///
    /// ```
    /// use celeryshed_dispatch::PartId;
    /// assert_eq!(PartId::of("1f"), PartId(0x1f));
    /// ```
    pub fn of(text: &str) -> Self {
        let number = u64::from_str_radix(text, 16);
        Self(number.unwrap_or_else(|_| rendezvous(text, 0)))
    }
}

/// The parts in a list of `ID:TOKENS` items, without the last one, which no other request shares.
/// A malformed list has no parts.
///
/// ```
/// use celeryshed_dispatch::{PartId, shared_parts};
/// let parts = shared_parts("a1:800, b2:40, c3:9");
/// assert_eq!(parts.iter().map(|part| part.id).collect::<Vec<_>>(), [PartId(0xa1), PartId(0xb2)]);
/// assert!(shared_parts("a1,b2").is_empty());
/// ```
pub fn shared_parts(list: &str) -> Vec<PromptPart> {
    let items: Option<Vec<&str>> = list.split(',').map(part_id).collect();
    let Some([shared @ .., _last]) = items.as_deref() else { return Vec::new() };
    let numbered = shared.iter().take(MAX_PARTS).zip(0_u8..);
    numbered.map(|(id, position)| PromptPart { id: PartId::of(id), position }).collect()
}

fn part_id(item: &str) -> Option<&str> {
    let (id, tokens) = item.trim().split_once(':')?;
    tokens.parse::<u64>().ok()?;
    Some(id).filter(|id| !id.is_empty())
}
