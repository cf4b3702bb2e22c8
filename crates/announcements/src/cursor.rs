//! How far another process has been told the changes of a registry.

use crate::page::Page;

/// How far another process has been told the changes of a registry.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Cursor {
    /// Number of the change up to which everything was told, as it was at that time.
    complete: u64,
    /// Number of the last change that was told.
    sent: u64,
}

impl Cursor {
    /// Records that a page was sent.
    pub const fn advance(&mut self, page: &Page) {
        self.sent = page.upto;
        if !page.more {
            self.complete = page.upto;
        }
    }

    /// Number of the last change that was told.
    pub const fn sent(&self) -> u64 {
        self.sent
    }

    /// Whether the other process has been told what changed with a number, or anything later of
    /// the same endpoint. Between the pages of a catch-up, an endpoint that changed early and once
    /// more lately has not been told at all.
    pub(crate) const fn covers(&self, change: u64) -> bool {
        change <= self.complete
    }
}
