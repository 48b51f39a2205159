//! Reports items of the platform's store that cannot be used: once for each change, however often they are read.

use std::hash::{DefaultHasher, Hash, Hasher};
use std::num::NonZeroUsize;

use lru::LruCache;
use parking_lot::Mutex;

/// Number of reports that a VM remembers.
const MAX_REPORTS: NonZeroUsize = NonZeroUsize::new(16 * 1024).unwrap();

/// Digests of what has been reported.
#[derive(Debug)]
pub(super) struct Reports(Mutex<LruCache<u64, ()>>);

impl Default for Reports {
    fn default() -> Self {
        Self(Mutex::new(LruCache::new(MAX_REPORTS)))
    }
}

impl Reports {
    /// Returns whether a change, given by what identifies it, is reported for the first time.
    pub(super) fn is_new(&self, change: impl Hash) -> bool {
        let mut hasher = DefaultHasher::new();
        change.hash(&mut hasher);
        self.0.lock().put(hasher.finish(), ()).is_none()
    }
}
