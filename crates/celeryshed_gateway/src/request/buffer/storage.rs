//! Memory of a buffer that grows.

use memmap2::MmapMut;

use super::BufferExceeded;

/// Capacity from which a buffer must have pages of its own. They are given back to the system as soon as
/// it is dropped, whereas the allocator may keep large blocks between smaller ones for ever.
pub(super) const MAX_ALLOCATED_BYTES: usize = 64 * 1024;

/// Bytes in allocated memory, or in pages of their own.
#[derive(Debug)]
pub(super) enum ByteStorage {
    Allocated(Vec<u8>),
    Mapped { pages: MmapMut, length: usize },
}

impl ByteStorage {
    pub(super) fn as_slice(&self) -> &[u8] {
        match self {
            Self::Allocated(bytes) => bytes,
            Self::Mapped { pages, length } => &pages[..*length],
        }
    }

    pub(super) fn capacity(&self) -> usize {
        match self {
            Self::Allocated(bytes) => bytes.capacity(),
            Self::Mapped { pages, .. } => pages.len(),
        }
    }

    /// Grows to a capacity of at least `capacity`, with pages of its own from `min_mapped` bytes on; an
    /// error if the system has no more pages.
    pub(super) fn grow(
        &mut self,
        capacity: usize,
        min_mapped: usize,
    ) -> Result<(), BufferExceeded> {
        let pages = match self {
            Self::Allocated(bytes) if capacity < min_mapped => {
                bytes.reserve_exact(capacity.saturating_sub(bytes.len()));
                return Ok(());
            }
            Self::Allocated(_) | Self::Mapped { .. } => MmapMut::map_anon(capacity),
        };
        let length = self.as_slice().len();
        match (pages, self) {
            (Ok(mut pages), storage) => {
                pages[..length].copy_from_slice(storage.as_slice());
                *storage = Self::Mapped { pages, length };
            }
            // The system limits the number of mappings.
            (Err(_), Self::Allocated(bytes)) if capacity < MAX_ALLOCATED_BYTES => {
                bytes.reserve_exact(capacity.saturating_sub(length));
            }
            (Err(_), _) => return Err(BufferExceeded),
        }
        Ok(())
    }

    /// Appends bytes, for which there must be capacity.
    pub(super) fn append(&mut self, data: &[u8]) {
        match self {
            Self::Allocated(bytes) => bytes.extend_from_slice(data),
            Self::Mapped { pages, length } => {
                pages[*length..*length + data.len()].copy_from_slice(data);
                *length += data.len();
            }
        }
    }

    pub(super) fn truncate(&mut self, to: usize) {
        match self {
            Self::Allocated(bytes) => bytes.truncate(to),
            Self::Mapped { length, .. } => *length = to.min(*length),
        }
    }
}
