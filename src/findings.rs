//! Collects the problems of a document or of settings, each with its place, and reports them
//! together.
//!
//! An operator who corrects a manifest can thus fix all problems at once instead of one per
//! attempt.

use std::fmt;

/// A problem in a document or in settings, with its place.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Finding {
    /// Path in the document (`pipelines[2].stages[0].kind`) or the name of a flag.
    pub place: String,
    /// What is wrong and what would be accepted.
    pub problem: String,
}

impl fmt::Display for Finding {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{}: {}", self.place, self.problem)
    }
}

/// All problems that one check of a document or of settings found.
#[derive(Debug, Default, Clone, PartialEq, Eq)]
pub struct Findings {
    items: Vec<Finding>,
}

impl Findings {
    /// Adds a problem.
    pub fn add(&mut self, place: impl Into<String>, problem: impl Into<String>) {
        self.items.push(Finding {
            place: place.into(),
            problem: problem.into(),
        });
    }

    /// Returns the problems in the order in which they were found.
    pub fn items(&self) -> &[Finding] {
        &self.items
    }

    /// Returns `value` if no problem was found, and all findings otherwise.
    ///
    /// # Errors
    ///
    /// Returns `self` if at least one problem was found.
    pub fn into_result<T>(self, value: T) -> Result<T, Self> {
        if self.items.is_empty() {
            Ok(value)
        } else {
            Err(self)
        }
    }
}

impl fmt::Display for Findings {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        let lines: Vec<String> = self.items.iter().map(Finding::to_string).collect();
        formatter.write_str(&lines.join("\n"))
    }
}

impl std::error::Error for Findings {}
