//! What a registry tells other stores and entries, page by page.

use std::{
    collections::BTreeMap,
    time::Duration, //
};

use crate::{
    cursor::Cursor,
    known_endpoint::{
        CLOCK_OFFSET,
        KnownEndpoint, //
    },
    page::Page,
    record::Record,
    registry::{
        Registry,
        incarnation_bits,
        name_key, //
    },
    renewal::Renewal,
    state_change::StateChange, //
};

/// What an entry lacks of an endpoint's record.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Lack {
    /// It may lack all of it.
    Everything,
    /// It has the record as it is.
    Nothing,
    /// It may lack all of it, and takes whole records only.
    Record,
    /// It has all but the state.
    State,
}

impl Registry {
    /// Records that another store lacks if it has all changes up to `since`, oldest change first.
    pub fn updated_since(&self, now: Duration, since: u64) -> Vec<Record> {
        let page = self.page(now, &self.store_changes, since, usize::MAX, |_| true);
        page.records
    }

    /// Records that an entry lacks if it has all changes up to `since`, oldest change first.
    pub fn changed_since(&self, now: Duration, since: u64) -> Vec<Record> {
        let page = self.page(now, &self.entry_changes, since, usize::MAX, |_| true);
        page.records
    }

    /// The first `limit` of the records that another store lacks. Those that it knows up to their
    /// last announcement are among the renewals.
    pub fn updated_page(&self, now: Duration, cursor: Cursor, limit: usize) -> Page {
        let mut page = self.page(now, &self.store_changes, cursor.sent(), limit, |_| true);
        let renewal = |record: &Record| self.renewal(record, cursor);
        page.renewals = page.records.iter().filter_map(renewal).collect();
        page.records
            .retain(|record| self.renewal(record, cursor).is_none());
        page
    }

    /// Like [`Self::updated_page`], without renewals.
    pub fn updated_page_in_full(&self, now: Duration, cursor: Cursor, limit: usize) -> Page {
        self.page(now, &self.store_changes, cursor.sent(), limit, |_| true)
    }

    /// The first `limit` of the records that an entry lacks by what it was told, and by `lacks`,
    /// which says what it knew before.
    pub fn changed_page(
        &self,
        now: Duration,
        cursor: Cursor,
        limit: usize,
        lacks: impl Fn(&KnownEndpoint) -> Lack,
    ) -> Page {
        let wanted = |known: &KnownEndpoint| lacks(known) != Lack::Nothing;
        let mut page = self.page(now, &self.entry_changes, cursor.sent(), limit, wanted);
        let state_change = |record: &Record| {
            let known = self.endpoints.get(&record.announcement.name)?;
            let base_known = match lacks(known) {
                Lack::Everything => cursor.covers(known.base_change),
                Lack::State => true,
                Lack::Nothing | Lack::Record => false,
            };
            base_known.then(|| self.state_change(record)).flatten()
        };
        page.states = page.records.iter().filter_map(state_change).collect();
        page.records.retain(|record| state_change(record).is_none());
        page
    }

    /// Takes as many steps as there are changes after `since`, however many endpoints are known.
    fn page(
        &self,
        now: Duration,
        changes: &BTreeMap<u64, Box<str>>,
        since: u64,
        limit: usize,
        wanted: impl Fn(&KnownEndpoint) -> bool,
    ) -> Page {
        let now = now + CLOCK_OFFSET;
        let changes = changes.range(since.saturating_add(1)..);
        let known = changes.filter_map(|(change, name)| Some((*change, self.endpoints.get(name)?)));
        let mut page = Page {
            more: false,
            records: Vec::new(),
            renewals: Vec::new(),
            states: Vec::new(),
            upto: since,
        };
        for (change, known) in known.filter(|(_, known)| wanted(known)) {
            if page.records.len() >= limit {
                page.more = true;
                return page;
            }
            page.records.push(known.record(now));
            page.upto = change;
        }
        page.upto = self.last_change;
        page
    }

    /// The renewal that replaces a record for another store; none if that store lacks more of it.
    fn renewal(&self, record: &Record, cursor: Cursor) -> Option<Renewal> {
        let announcement = &record.announcement;
        let known = self.endpoints.get(&announcement.name)?;
        let key = name_key(&announcement.name);
        let unique = self.keys.get(&key).is_some_and(Option::is_some);
        (unique && cursor.covers(known.full_change) && !record.departed).then(|| Renewal {
            age: record.age,
            incarnation: incarnation_bits(announcement.incarnation),
            key,
            sequence: announcement.sequence,
        })
    }

    /// The change of state that replaces a record for an entry that knows the endpoint; none if the
    /// key of its name is not unique.
    fn state_change(&self, record: &Record) -> Option<StateChange> {
        let announcement = &record.announcement;
        let key = name_key(&announcement.name);
        let unique = self.keys.get(&key).is_some_and(Option::is_some);
        unique.then(|| StateChange {
            age: record.age,
            departed: record.departed,
            incarnation: incarnation_bits(announcement.incarnation),
            key,
            sequence: announcement.sequence,
            silent: record.silent,
            state: announcement.state,
        })
    }
}
