//! Which issued ids have begun or were refused, at a bit each.

use std::collections::VecDeque;

const BITS: u64 = u64::BITS as u64;

/// A window over the issued counters. Counters before the window count as used.
#[derive(Debug)]
pub(super) struct UsedIds {
    issued: u64,
    first_word: u64,
    words: VecDeque<u64>,
    word_limit: usize,
}

impl UsedIds {
    pub(super) fn new(id_limit: usize) -> Self {
        Self {
            issued: 0,
            first_word: 0,
            words: VecDeque::new(),
            word_limit: id_limit.div_ceil(u64::BITS as usize).max(2),
        }
    }

    /// Returns the next counter; the first is 1.
    pub(super) fn issue(&mut self) -> u64 {
        self.issued += 1;
        let word = self.issued / BITS;
        while self.first_word + self.words.len() as u64 <= word {
            self.words.push_back(0);
        }
        while self.words.len() > self.word_limit {
            self.words.pop_front();
            self.first_word += 1;
        }
        self.issued
    }

    pub(super) fn contains(&self, counter: u64) -> bool {
        let word = self.word_index(counter).and_then(|at| self.words.get(at));
        word.is_none_or(|word| word & mask(counter) != 0)
    }

    /// Marks a counter as used. Returns whether it was not used before.
    pub(super) fn mark(&mut self, counter: u64) -> bool {
        let Some(at) = self.word_index(counter) else {
            return false;
        };
        let Some(word) = self.words.get_mut(at) else {
            return false;
        };
        let was_free = *word & mask(counter) == 0;
        *word |= mask(counter);
        was_free
    }

    fn word_index(&self, counter: u64) -> Option<usize> {
        let offset = (counter / BITS).checked_sub(self.first_word)?;
        usize::try_from(offset).ok()
    }
}

fn mask(counter: u64) -> u64 {
    1 << (counter % BITS)
}
