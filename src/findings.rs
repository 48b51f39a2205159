//! Problems in a document or in settings, collected with their place and reported together.
//!
//! An operator who mends a manifest wants all its faults at once, not one per attempt.

use std::fmt;

/// One problem and where it is.
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

/// All problems found in one check.
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

    /// Passes `value` on when nothing was found, and all findings otherwise.
    ///
    /// # Errors
    ///
    /// Returns `self` when it holds at least one problem.
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
