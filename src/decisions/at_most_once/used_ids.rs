//! Which issued ids were used, that is begun or refused, at one bit each.

use std::collections::VecDeque;

const BITS_PER_WORD: u64 = u64::BITS as u64;

/// A bitmap of the most recently issued counters. Older counters count as used.
#[derive(Debug)]
pub(super) struct UsedIds {
    /// Newest issued counter; 0 before the first.
    last_issued: u64,
    /// Number of words that were dropped before the first stored word.
    first_word: u64,
    words: VecDeque<u64>,
    word_limit: usize,
}

impl UsedIds {
    pub(super) fn new(id_limit: usize) -> Self {
        Self {
            last_issued: 0,
            first_word: 0,
            words: VecDeque::new(),
            word_limit: id_limit.div_ceil(u64::BITS as usize).max(2),
        }
    }

    /// Returns the next counter; the first is 1.
    pub(super) fn issue(&mut self) -> u64 {
        self.last_issued += 1;
        let word = self.last_issued / BITS_PER_WORD;
        while self.first_word + self.words.len() as u64 <= word {
            self.words.push_back(0);
        }
        while self.words.len() > self.word_limit {
            self.words.pop_front();
            self.first_word += 1;
        }
        self.last_issued
    }

    /// Returns whether a counter is used. Counters outside the bitmap count as used.
    pub(super) fn contains(&self, counter: u64) -> bool {
        let word = self.word_index(counter).and_then(|at| self.words.get(at));
        word.is_none_or(|word| word & bit_mask(counter) != 0)
    }

    /// Marks a counter as used. Returns whether it was unused before.
    pub(super) fn mark_used(&mut self, counter: u64) -> bool {
        let Some(at) = self.word_index(counter) else {
            return false;
        };
        let Some(word) = self.words.get_mut(at) else {
            return false;
        };
        let was_unused = *word & bit_mask(counter) == 0;
        *word |= bit_mask(counter);
        was_unused
    }

    /// Returns the index of the counter's word in `words`, unless that word was dropped. The index
    /// may be beyond the end.
    fn word_index(&self, counter: u64) -> Option<usize> {
        let offset = (counter / BITS_PER_WORD).checked_sub(self.first_word)?;
        usize::try_from(offset).ok()
    }
}

/// Returns the bit of a counter within its word.
fn bit_mask(counter: u64) -> u64 {
    1 << (counter % BITS_PER_WORD)
}
