//! Storage of the claims that an entry holds.

use std::{
    collections::{
        BTreeMap,
        BTreeSet, //
    },
    rc::Rc,
    time::Duration, //
};

use crate::{
    claim::{
        Claim,
        ClaimEnd,
        ClaimId,
        KeyHash,
        Record,
        Reply, //
    },
    ring::Ring, //
};

/// Time within which all instances agree on a changed membership.
const CONVERGENCE: Duration = Duration::from_secs(10);

/// Most claims that are stored.
const MAX_CLAIMS: usize = 100_000;

/// Most bytes of stored answers.
const MAX_ANSWER_BYTES: usize = 64 * 1024 * 1024;

/// Most past memberships that are stored. Dropping an older one loses the record of which keys were
/// held then, so the holder counts as newly started.
const MAX_RINGS: usize = 64;

#[derive(Clone, Debug)]
struct Held {
    claim: Claim,
    end: Option<ClaimEnd>,
    made: Duration,
    until: Duration,
}

/// The claims that an entry holds.
///
/// A holder grants a claim only for a key that it has held for the whole retention time, or whose
/// claims both of the other holders transferred to it. For other keys it replies
/// [`Reply::Unknown`].
#[derive(Clone, Debug)]
pub struct Holder {
    bytes: usize,
    claims: BTreeMap<KeyHash, Held>,
    expiry: BTreeSet<(Duration, KeyHash)>,
    name: Box<str>,
    retention: Duration,
    rings: Vec<(Duration, Ring)>,
    sources: BTreeSet<Box<str>>,
    started: Option<Duration>,
}

impl Holder {
    /// Creates the holder of the entry `name`, started at `now`, that retains claims and answers
    /// for `retention`. It is assumed to have missed all earlier claims.
    pub fn new(now: Duration, name: &str, retention: Duration) -> Self {
        Self {
            bytes: 0,
            claims: BTreeMap::new(),
            expiry: BTreeSet::new(),
            name: name.into(),
            retention,
            rings: Vec::new(),
            sources: BTreeSet::new(),
            started: Some(now),
        }
    }

    /// Records that no request ran before this holder was created, so that it missed no claim.
    pub const fn mark_complete(&mut self) {
        self.started = None;
    }

    /// Sets how long later claims and their answers are retained.
    pub const fn set_retention(&mut self, retention: Duration) {
        self.retention = retention;
    }

    /// Sets the ring of the present members; returns whether it has changed.
    pub fn set_ring(&mut self, now: Duration, ring: Ring) -> bool {
        if self.rings.last().is_some_and(|(_, last)| *last == ring) {
            return false;
        }
        self.sources.clear();
        self.rings.push((now, ring));
        if self.rings.len() > MAX_RINGS {
            self.rings.remove(0);
            self.started = Some(now);
        }
        true
    }

    /// Whether claims should be transferred from other holders now: the membership has been stable
    /// for long enough, and this holder may lack claims.
    pub fn needs_transfer(&self, now: Duration) -> bool {
        let since = self.rings.last().map(|(since, _)| *since);
        let stable = since.is_some_and(|since| now.saturating_sub(since) >= CONVERGENCE);
        stable && !self.is_complete(now)
    }

    /// Whether this holder has all claims on all its keys.
    pub fn is_complete(&self, now: Duration) -> bool {
        let Some((_, last)) = self.rings.last() else {
            return false;
        };
        let Some(member) = last.member(&self.name) else {
            return false;
        };
        !self.recently_started(now)
            && self
                .recent_rings(now)
                .all(|ring| last.holds_subset(ring, &member.centre))
    }

    /// Adds the claims of another holder that has all claims on its keys.
    pub fn import(&mut self, now: Duration, source: &str, records: Vec<Record>) {
        for record in records {
            let made = now.saturating_sub(Duration::from_millis(record.age));
            if !self.claims.contains_key(&record.claim.key) && self.claims.len() < MAX_CLAIMS {
                self.insert(record.claim, made, record.end);
            }
        }
        self.sources.insert(source.into());
        let Some((since, last)) = self.rings.last() else {
            return;
        };
        let transferred = |name: &str| name == &*self.name || self.sources.contains(name);
        if last.members().all(|member| transferred(&member.name)) {
            self.rings = vec![(*since, last.clone())];
            self.started = None;
        }
    }

    /// All claims, for a new holder; none if this holder may lack claims on its keys.
    pub fn export(&self, now: Duration) -> Option<Vec<Record>> {
        let record = |held: &Held| Record {
            age: u64::try_from(now.saturating_sub(held.made).as_millis()).unwrap_or(u64::MAX),
            claim: held.claim.clone(),
            end: held.end.as_ref().map(|end| match end {
                ClaimEnd::Answered(_) => ClaimEnd::Answered(None),
                ClaimEnd::NotRun | ClaimEnd::Unknown => ClaimEnd::Unknown,
            }),
        };
        self.is_complete(now)
            .then(|| self.claims.values().map(record).collect())
    }

    /// Replies to a claim.
    pub fn claim(&mut self, now: Duration, claim: Claim) -> Reply {
        self.expire(now);
        let complete = self.has_all_claims(now, &claim.key);
        match self.claims.get(&claim.key) {
            Some(held) if held.claim.fingerprint != claim.fingerprint => Reply::Mismatch,
            Some(held) => match &held.end {
                Some(ClaimEnd::Answered(answer)) => Reply::Answered(answer.clone()),
                Some(ClaimEnd::NotRun | ClaimEnd::Unknown) => Reply::Unknown,
                None if held.claim.id == claim.id && complete => Reply::Granted,
                None if held.claim.id == claim.id => Reply::Unknown,
                None => Reply::Held(held.claim.id.clone()),
            },
            None if self.claims.len() >= MAX_CLAIMS => Reply::Full,
            None => {
                self.insert(claim, now, None);
                if complete {
                    Reply::Granted
                } else {
                    Reply::Unknown
                }
            }
        }
    }

    /// Records how the request of a claim ended.
    pub fn settle(&mut self, key: &KeyHash, id: &ClaimId, end: ClaimEnd) {
        let Some(held) = self.claims.get_mut(key) else {
            return;
        };
        if held.claim.id != *id {
            return;
        }
        let end = match end {
            ClaimEnd::NotRun => {
                self.remove(key);
                return;
            }
            ClaimEnd::Answered(Some(answer)) if self.bytes + answer.len() > MAX_ANSWER_BYTES => {
                ClaimEnd::Answered(None)
            }
            ClaimEnd::Answered(_) | ClaimEnd::Unknown => end,
        };
        self.bytes =
            self.bytes.saturating_sub(answer_bytes(held.end.as_ref())) + answer_bytes(Some(&end));
        held.end = Some(end);
    }

    /// Number of stored claims.
    pub fn len(&self) -> usize {
        self.claims.len()
    }

    /// Whether no claim is stored.
    pub fn is_empty(&self) -> bool {
        self.claims.is_empty()
    }

    /// Whether this holder has every earlier claim on the key.
    fn has_all_claims(&self, now: Duration, key: &KeyHash) -> bool {
        let Some((_, last)) = self.rings.last() else {
            return false;
        };
        let holds = |ring: &Ring| {
            ring.holders(key)
                .iter()
                .any(|holder| holder.name == self.name)
        };
        if !holds(last) {
            return false;
        }
        let held = !self.recently_started(now) && self.recent_rings(now).all(holds);
        let mut others = last.holders(key);
        others.retain(|holder| holder.name != self.name);
        let transferred = others.len() >= last.required_sources()
            && others
                .iter()
                .all(|holder| self.sources.contains(&holder.name));
        held || transferred
    }

    /// Whether this holder counts as started so recently that it may have missed claims.
    fn recently_started(&self, now: Duration) -> bool {
        let window = self.retention + CONVERGENCE;
        self.started
            .is_some_and(|started| now.saturating_sub(started) < window)
    }

    /// The rings that were in use within the retention time and [`CONVERGENCE`], the last one
    /// included.
    fn recent_rings(&self, now: Duration) -> impl Iterator<Item = &Ring> {
        let window = self.retention + CONVERGENCE;
        let ends = self.rings.iter().skip(1).map(|(since, _)| *since);
        self.rings
            .iter()
            .zip(ends.chain([now]))
            .filter(move |(_, end)| now.saturating_sub(*end) < window)
            .map(|((_, ring), _)| ring)
    }

    /// Removes the claims that have expired, and the rings that were replaced longer ago than the
    /// retention time and [`CONVERGENCE`].
    fn expire(&mut self, now: Duration) {
        while let Some((until, key)) = self.expiry.first().cloned()
            && until <= now
        {
            self.remove(&key);
        }
        let window = self.retention + CONVERGENCE;
        while let [_, (second, _), ..] = self.rings.as_slice()
            && now.saturating_sub(*second) >= window
        {
            self.rings.remove(0);
        }
    }

    fn insert(&mut self, claim: Claim, made: Duration, end: Option<ClaimEnd>) {
        let key = claim.key.clone();
        let until = made + self.retention;
        self.expiry.insert((until, key.clone()));
        let held = Held {
            claim,
            end,
            made,
            until,
        };
        self.claims.insert(key, held);
    }

    fn remove(&mut self, key: &KeyHash) {
        if let Some(held) = self.claims.remove(key) {
            self.bytes = self.bytes.saturating_sub(answer_bytes(held.end.as_ref()));
            self.expiry.remove(&(held.until, key.clone()));
        }
    }
}

/// Size of a stored answer in bytes.
fn answer_bytes(end: Option<&ClaimEnd>) -> usize {
    let answer: Option<&Rc<[u8]>> = match end {
        Some(ClaimEnd::Answered(Some(answer))) => Some(answer),
        Some(ClaimEnd::Answered(None) | ClaimEnd::NotRun | ClaimEnd::Unknown) | None => None,
    };
    answer.map(|answer| answer.len()).unwrap_or_default()
}
