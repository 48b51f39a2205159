//! Assembles a listing of the platform's store from its pages, which may be lost, refused or slow.
//!
//! A listing goes on from the pages that it has, however often a page fails. Each page has to bring a key from which no
//! page has been asked for, so that a store that reads a key in another way than this system does not keep a VM
//! reading the same page for ever (`docs/platform.md`, "Listings").

use std::collections::HashSet;

use thiserror::Error;

use crate::units::{StorePosition, Time};

/// One page of a listing.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ListingPage<T> {
    /// Items of the page.
    pub items: Vec<T>,
    /// Key of the last item; `None` if no item has a key.
    pub last_key: Option<String>,
    /// Key of the last item whose key each server reads alike, if that is another one.
    pub last_plain_key: Option<String>,
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
    /// The store has come back from an older copy between two pages.
    #[error("the store came back from an older copy between two pages")]
    EraChanged,
}

/// A listing that is in progress.
#[derive(Debug)]
pub struct Listing<T> {
    items: Vec<T>,
    /// Position of the first page, and when the call for it began.
    first: Option<(StorePosition, Time)>,
    after: Option<String>,
    /// Earlier key from which to go on if `after` brings nothing.
    fallback: Option<String>,
    asked_after: HashSet<String>,
    pages: usize,
    is_complete: bool,
}

impl<T> Default for Listing<T> {
    fn default() -> Self {
        Self {
            items: Vec::new(),
            first: None,
            after: None,
            fallback: None,
            asked_after: HashSet::new(),
            pages: 0,
            is_complete: false,
        }
    }
}

impl<T> Listing<T> {
    /// Returns the key after which the next page begins, `None` for the first page.
    pub fn after(&self) -> Option<&str> {
        self.after.as_deref()
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

    /// Returns all items.
    pub fn into_items(self) -> Vec<T> {
        self.items
    }

    /// Adds the page that was asked for at `asked_at`, after the key `after`. One that the listing does not wait for is
    /// ignored: taken as the next page, it would hide those between.
    ///
    /// # Errors
    ///
    /// Fails if the page brings nothing new, or is of another era than the pages before, which are then dropped.
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
        if page.has_more {
            let Some(last_key) = page.last_key.filter(|key| !self.asked_after.contains(key)) else {
                return self.step_back();
            };
            self.asked_after.insert(last_key.clone());
            self.fallback = page.last_plain_key;
            self.after = Some(last_key);
        }
        self.items.extend(page.items);
        self.pages += 1;
        self.is_complete = !page.has_more;
        Ok(())
    }

    /// Goes on from an earlier key of the last page, since the store rejects the last one or reads it in another way.
    /// The items between them come twice.
    ///
    /// # Errors
    ///
    /// Fails if there is no such key.
    pub fn step_back(&mut self) -> Result<(), ListingFault> {
        let is_new = |key: &String| !self.asked_after.contains(key);
        let Some(key) = self.fallback.take().filter(is_new) else {
            return Err(ListingFault::NoProgress {
                after: self.after.clone().unwrap_or_default(),
            });
        };
        self.asked_after.insert(key.clone());
        self.after = Some(key);
        Ok(())
    }
}
