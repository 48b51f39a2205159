//! Assembles a listing of the platform's store from its pages, which may be lost, refused or slow.
//!
//! A listing goes on from the pages that it has, however often a page fails. Each page has to bring a key from which no
//! page has been asked for, so that a store that reads a key in another way than this system does not keep a VM
//! reading the same page for ever. Nor may such a store hide items: a listing goes on after a key that each server reads
//! alike, or checks that the next page begins where it has to (`docs/platform.md`, "Listings").

use std::collections::HashSet;
use std::iter;

use thiserror::Error;

use crate::query;
use crate::units::{StorePosition, Time};

/// One page of a listing.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ListingPage<T> {
    /// Items of the page.
    pub items: Vec<T>,
    /// Keys of the items that have one, in the order of the store.
    pub keys: Vec<String>,
    /// Whether another page follows.
    pub has_more: bool,
    /// Position of the store when it answered.
    pub position: StorePosition,
}

/// Says why a listing cannot go on.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub enum ListingFault {
    /// The page after a key does not bring a later one.
    #[error("the page after {after:?} brings no key that was not there before")]
    NoProgress {
        /// Key after which the page was asked for.
        after: String,
    },
    /// The store reads each key of a page as a later one. The listing begins again.
    #[error("the page after {after:?} leaves out {left_out:?}")]
    ItemLeftOut {
        /// Key after which the page was asked for.
        after: String,
        /// Key of the item that follows it.
        left_out: String,
    },
    /// The store has come back from an older copy between two pages.
    #[error("the store came back from an older copy between two pages")]
    EraChanged,
}

/// Where a page begins.
#[derive(Debug, Clone, PartialEq, Eq)]
struct Cursor {
    /// Key after which it begins.
    after: String,
    /// Key that it has to bring; `None` if each server reads `after` alike, or nothing is known to follow it.
    followed_by: Option<String>,
}

/// A listing that is in progress.
#[derive(Debug)]
pub struct Listing<T> {
    items: Vec<T>,
    /// Position of the first page, and when the call for it began.
    first: Option<(StorePosition, Time)>,
    /// Where the next page begins; `None` for the first one.
    cursor: Option<Cursor>,
    /// Other places from which to go on if the store rejects or misreads the cursor, the next one last.
    fallbacks: Vec<Cursor>,
    asked_after: HashSet<String>,
    pages: usize,
    is_complete: bool,
}

impl<T> Default for Listing<T> {
    fn default() -> Self {
        Self {
            items: Vec::new(),
            first: None,
            cursor: None,
            fallbacks: Vec::new(),
            asked_after: HashSet::new(),
            pages: 0,
            is_complete: false,
        }
    }
}

impl<T> Listing<T> {
    /// Returns the key after which the next page begins, `None` for the first page.
    pub fn after(&self) -> Option<&str> {
        self.cursor.as_ref().map(|cursor| cursor.after.as_str())
    }

    /// Returns the number of pages so far.
    pub fn pages(&self) -> usize {
        self.pages
    }

    /// Returns whether all pages are there.
    pub fn is_complete(&self) -> bool {
        self.is_complete
    }

    /// Returns the position of the first page, and when the call for it began. A watch from there reports what was
    /// changed between the pages.
    pub fn first(&self) -> Option<(StorePosition, Time)> {
        self.first
    }

    /// Returns all items. Those between a cursor and the end of its page are there twice.
    pub fn into_items(self) -> Vec<T> {
        self.items
    }

    /// Adds the page that was asked for at `asked_at`, after the key `after`. One that the listing does not wait for is
    /// ignored: taken as the next page, it would hide those between.
    ///
    /// # Errors
    ///
    /// Fails if the page brings nothing new, if items are missing before it, or if it is of another era than the pages
    /// before, which are then dropped.
    pub fn add(
        &mut self,
        asked_at: Time,
        after: Option<&str>,
        page: ListingPage<T>,
    ) -> Result<(), ListingFault> {
        if self.is_complete || after != self.after() {
            return Ok(());
        }
        let (position, _) = *self.first.get_or_insert((page.position, asked_at));
        if position.era != page.position.era {
            *self = Self::default();
            return Err(ListingFault::EraChanged);
        }
        if let Some(left_out) = self.left_out(&page) {
            return self.go_on_from_fallback().ok_or_else(|| {
                let after = self.after().unwrap_or_default().to_owned();
                *self = Self::default();
                ListingFault::ItemLeftOut { after, left_out }
            });
        }
        if page.has_more {
            let mut cursors = cursors(&page.keys, &self.asked_after);
            let Some(cursor) = cursors.pop() else {
                return self.step_back();
            };
            self.go_on_from(cursor);
            self.fallbacks = cursors;
        }
        self.items.extend(page.items);
        self.pages += 1;
        self.is_complete = !page.has_more;
        Ok(())
    }

    /// Goes on from another key of the last page, since the store rejects the present one or reads it in another way.
    ///
    /// # Errors
    ///
    /// Fails if there is no such key.
    pub fn step_back(&mut self) -> Result<(), ListingFault> {
        self.go_on_from_fallback()
            .ok_or_else(|| ListingFault::NoProgress {
                after: self.after().unwrap_or_default().to_owned(),
            })
    }

    /// Returns the key of an item that is missing at the beginning of a page.
    fn left_out(&self, page: &ListingPage<T>) -> Option<String> {
        let followed_by = self.cursor.as_ref()?.followed_by.as_ref()?;
        (!page.keys.contains(followed_by)).then(|| followed_by.clone())
    }

    fn go_on_from(&mut self, cursor: Cursor) {
        self.asked_after.insert(cursor.after.clone());
        self.cursor = Some(cursor);
    }

    /// Returns `None` if there is no fallback.
    fn go_on_from_fallback(&mut self) -> Option<()> {
        let cursor = self.fallbacks.pop()?;
        self.go_on_from(cursor);
        Some(())
    }
}

/// Returns where the page after one with these keys may begin, the best place last: after the last key that each server
/// reads alike, or after one that is followed by a known key. Keys after which a page was asked for bring nothing new.
fn cursors(keys: &[String], asked_after: &HashSet<String>) -> Vec<Cursor> {
    let is_new = |key: &&String| !asked_after.contains(*key);
    let last_plain = keys.iter().rev().find(|key| query::is_plain(key));
    if let Some(key) = last_plain.filter(is_new) {
        return vec![Cursor {
            after: key.clone(),
            followed_by: None,
        }];
    }
    // The distances from the end double, so that a page takes few calls whatever the store makes of its keys.
    let last = keys.len().saturating_sub(2);
    let distances = iter::successors(Some(0), |distance| Some(2 * distance + 1));
    let indices = distances.map_while(|distance| last.checked_sub(distance));
    let mut cursors: Vec<Cursor> = indices
        .filter_map(|index| {
            Some(Cursor {
                after: keys.get(index).filter(is_new)?.clone(),
                followed_by: keys.get(index + 1).cloned(),
            })
        })
        .collect();
    cursors.reverse();
    cursors
}
