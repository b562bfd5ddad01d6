//! A set of piece numbers.

use serde::{Deserialize, Serialize};

const WORD_BITS: u32 = u64::BITS;

/// A bit set of piece numbers, counted from zero.
///
/// ```
/// use celeryshed_dispatch::PieceSet;
/// let set: PieceSet = [1, 70].into_iter().collect();
/// assert!(set.contains(70) && !set.contains(2));
/// assert_eq!(set.iter().collect::<Vec<_>>(), [1, 70]);
/// ```
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(transparent)]
pub struct PieceSet(Vec<u64>);

impl PieceSet {
    /// Adds a piece.
    pub fn insert(&mut self, piece: u32) {
        let word = (piece / WORD_BITS) as usize;
        if self.0.len() <= word {
            self.0.resize(word + 1, 0);
        }
        self.0[word] |= 1 << (piece % WORD_BITS);
    }

    /// Removes a piece.
    pub fn remove(&mut self, piece: u32) {
        if let Some(word) = self.0.get_mut((piece / WORD_BITS) as usize) {
            *word &= !(1 << (piece % WORD_BITS));
        }
    }

    /// Removes the pieces from `count` on, and the memory for them.
    ///
    /// ```
    /// use celeryshed_dispatch::PieceSet;
    /// let mut set: PieceSet = [1, 70, 71, 900].into_iter().collect();
    /// set.truncate(71);
    /// assert_eq!(set.iter().collect::<Vec<_>>(), [1, 70]);
    /// ```
    pub fn truncate(&mut self, count: u32) {
        self.0.truncate(count.div_ceil(WORD_BITS) as usize);
        self.0.shrink_to_fit();
        let whole_words = (count / WORD_BITS) as usize;
        if let Some(last) = self.0.get_mut(whole_words) {
            *last &= (1 << (count % WORD_BITS)) - 1;
        }
    }

    /// Whether a piece is in the set.
    pub fn contains(&self, piece: u32) -> bool {
        let word = self.0.get((piece / WORD_BITS) as usize);
        word.is_some_and(|word| word & (1 << (piece % WORD_BITS)) != 0)
    }

    /// Adds all pieces of another set.
    pub fn union_with(&mut self, other: &Self) {
        if self.0.len() < other.0.len() {
            self.0.resize(other.0.len(), 0);
        }
        for (word, other) in self.0.iter_mut().zip(&other.0) {
            *word |= other;
        }
    }

    /// Whether no piece is in the set.
    pub fn is_empty(&self) -> bool {
        self.0.iter().all(|word| *word == 0)
    }

    /// Number of pieces in the set.
    pub fn len(&self) -> usize {
        self.0.iter().map(|word| word.count_ones() as usize).sum()
    }

    /// The piece numbers in ascending order.
    pub fn iter(&self) -> impl Iterator<Item = u32> + '_ {
        self.0.iter().enumerate().flat_map(|(index, word)| {
            let word = *word;
            (0..WORD_BITS)
                .filter(move |bit| word & (1 << bit) != 0)
                .map(move |bit| index as u32 * WORD_BITS + bit)
        })
    }
}

impl FromIterator<u32> for PieceSet {
    fn from_iter<I: IntoIterator<Item = u32>>(pieces: I) -> Self {
        let mut set = Self::default();
        pieces.into_iter().for_each(|piece| set.insert(piece));
        set
    }
}
