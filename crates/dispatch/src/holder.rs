//! The claims that an entry holds.

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
        ClaimId,
        KeyHash,
        Record,
        Reply,
        Settled, //
    },
    ring::Ring, //
};

/// Time within which the instances' views of a changed membership become equal.
const CONVERGENCE: Duration = Duration::from_secs(10);

/// Most claims that are held.
const MAX_CLAIMS: usize = 100_000;

/// Most bytes of answers that are kept.
const MAX_ANSWER_BYTES: usize = 64 * 1024 * 1024;

/// Most views of the membership that are remembered; older ones count as never seen.
const MAX_VIEWS: usize = 64;

#[derive(Clone, Debug)]
struct Held {
    claim: Claim,
    made: Duration,
    settled: Option<Settled>,
    until: Duration,
}

/// The claims that an entry holds, and what it cannot know.
///
/// A holder grants a claim only for a key that it has held for the whole retention time, or whose
/// claims both of the other holders handed over. For all others it replies that it does not know.
#[derive(Clone, Debug)]
pub struct Holder {
    bytes: usize,
    claims: BTreeMap<KeyHash, Held>,
    expiry: BTreeSet<(Duration, KeyHash)>,
    givers: BTreeSet<Box<str>>,
    origin: Option<Duration>,
    own: Box<str>,
    retention: Duration,
    views: Vec<(Duration, Ring)>,
}

impl Holder {
    /// Creates the holder of the entry `own`, started at `now`, that keeps claims and answers for
    /// `retention`. It may have missed all earlier claims.
    pub fn new(now: Duration, own: &str, retention: Duration) -> Self {
        Self {
            bytes: 0,
            claims: BTreeMap::new(),
            expiry: BTreeSet::new(),
            givers: BTreeSet::new(),
            origin: Some(now),
            own: own.into(),
            retention,
            views: Vec::new(),
        }
    }

    /// Takes note that no request can have run before this holder was created.
    pub const fn first(&mut self) {
        self.origin = None;
    }

    /// Sets how long later claims and their answers are kept.
    pub const fn retain(&mut self, retention: Duration) {
        self.retention = retention;
    }

    /// Takes in the members; returns whether they have changed.
    pub fn view(&mut self, now: Duration, ring: Ring) -> bool {
        if self.views.last().is_some_and(|(_, last)| *last == ring) {
            return false;
        }
        self.givers.clear();
        self.views.push((now, ring));
        if self.views.len() > MAX_VIEWS {
            self.views.remove(0);
            self.origin = Some(now);
        }
        true
    }

    /// Whether claims may be taken over from other holders now: the membership has been the same
    /// for long enough, and something is unknown to this holder.
    pub fn wants(&self, now: Duration) -> bool {
        let since = self.views.last().map(|(since, _)| *since);
        let stable = since.is_some_and(|since| now.saturating_sub(since) >= CONVERGENCE);
        stable && !self.settled(now)
    }

    /// Whether this holder knows all claims on all its keys.
    pub fn settled(&self, now: Duration) -> bool {
        let Some((_, last)) = self.views.last() else {
            return false;
        };
        let Some(own) = last.member(&self.own) else {
            return false;
        };
        !self.fresh(now) && self.recent(now).all(|ring| last.narrows(ring, &own.centre))
    }

    /// Takes over the claims of another holder that knows all claims on its keys.
    pub fn take(&mut self, now: Duration, giver: &str, records: Vec<Record>) {
        for record in records {
            let made = now.saturating_sub(Duration::from_millis(record.age));
            if !self.claims.contains_key(&record.claim.key) && self.claims.len() < MAX_CLAIMS {
                self.insert(record.claim, made, record.settled);
            }
        }
        self.givers.insert(giver.into());
        let Some((since, last)) = self.views.last() else {
            return;
        };
        let given = |name: &str| name == &*self.own || self.givers.contains(name);
        if last.members().all(|member| given(&member.name)) {
            self.views = vec![(*since, last.clone())];
            self.origin = None;
        }
    }

    /// All claims, for a new holder; none if this holder does not know all claims on its keys.
    pub fn records(&self, now: Duration) -> Option<Vec<Record>> {
        let record = |held: &Held| Record {
            age: u64::try_from(now.saturating_sub(held.made).as_millis()).unwrap_or(u64::MAX),
            claim: held.claim.clone(),
            settled: held.settled.as_ref().map(|settled| match settled {
                Settled::Answered(_) => Settled::Answered(None),
                Settled::NotRun | Settled::Unknown => Settled::Unknown,
            }),
        };
        self.settled(now)
            .then(|| self.claims.values().map(record).collect())
    }

    /// Replies to a claim.
    pub fn claim(&mut self, now: Duration, claim: Claim) -> Reply {
        self.expire(now);
        let known = self.knows(now, &claim.key);
        match self.claims.get(&claim.key) {
            Some(held) if held.claim.print != claim.print => Reply::Mismatch,
            Some(held) => match &held.settled {
                Some(Settled::Answered(answer)) => Reply::Answered(answer.clone()),
                Some(Settled::NotRun | Settled::Unknown) => Reply::Unknown,
                None if held.claim.id == claim.id && known => Reply::Granted,
                None if held.claim.id == claim.id => Reply::Unknown,
                None => Reply::Held(held.claim.id.clone()),
            },
            None if self.claims.len() >= MAX_CLAIMS => Reply::Full,
            None => {
                self.insert(claim, now, None);
                if known {
                    Reply::Granted
                } else {
                    Reply::Unknown
                }
            }
        }
    }

    /// Takes in how the request of a claim ended.
    pub fn settle(&mut self, key: &KeyHash, id: &ClaimId, settled: Settled) {
        let Some(held) = self.claims.get_mut(key) else {
            return;
        };
        if held.claim.id != *id {
            return;
        }
        let settled = match settled {
            Settled::NotRun => {
                self.remove(key);
                return;
            }
            Settled::Answered(Some(answer)) if self.bytes + answer.len() > MAX_ANSWER_BYTES => {
                Settled::Answered(None)
            }
            Settled::Answered(_) | Settled::Unknown => settled,
        };
        self.bytes =
            self.bytes.saturating_sub(length(held.settled.as_ref())) + length(Some(&settled));
        held.settled = Some(settled);
    }

    /// Number of claims that are held.
    pub fn len(&self) -> usize {
        self.claims.len()
    }

    /// Whether no claim is held.
    pub fn is_empty(&self) -> bool {
        self.claims.is_empty()
    }

    /// Whether this holder cannot have missed a claim on the key.
    fn knows(&self, now: Duration, key: &KeyHash) -> bool {
        let Some((_, last)) = self.views.last() else {
            return false;
        };
        let holds = |ring: &Ring| {
            ring.holders(key)
                .iter()
                .any(|holder| holder.name == self.own)
        };
        if !holds(last) {
            return false;
        }
        let held = !self.fresh(now) && self.recent(now).all(holds);
        let mut others = last.holders(key);
        others.retain(|holder| holder.name != self.own);
        let given = others.len() >= last.others()
            && others
                .iter()
                .all(|holder| self.givers.contains(&holder.name));
        held || given
    }

    /// Whether the process started so recently that it may have missed claims.
    fn fresh(&self, now: Duration) -> bool {
        let window = self.retention + CONVERGENCE;
        self.origin
            .is_some_and(|origin| now.saturating_sub(origin) < window)
    }

    /// The views that ended within the time that an earlier claim may still be of, and the last.
    fn recent(&self, now: Duration) -> impl Iterator<Item = &Ring> {
        let window = self.retention + CONVERGENCE;
        let ends = self.views.iter().skip(1).map(|(since, _)| *since);
        self.views
            .iter()
            .zip(ends.chain([now]))
            .filter(move |(_, end)| now.saturating_sub(*end) < window)
            .map(|((_, ring), _)| ring)
    }

    /// Forgets claims after the retention time.
    fn expire(&mut self, now: Duration) {
        while let Some((until, key)) = self.expiry.first().cloned()
            && until <= now
        {
            self.remove(&key);
        }
        let window = self.retention + CONVERGENCE;
        while let [_, (second, _), ..] = self.views.as_slice()
            && now.saturating_sub(*second) >= window
        {
            self.views.remove(0);
        }
    }

    fn insert(&mut self, claim: Claim, made: Duration, settled: Option<Settled>) {
        let key = claim.key.clone();
        let until = made + self.retention;
        self.expiry.insert((until, key.clone()));
        let held = Held {
            claim,
            made,
            settled,
            until,
        };
        self.claims.insert(key, held);
    }

    fn remove(&mut self, key: &KeyHash) {
        if let Some(held) = self.claims.remove(key) {
            self.bytes = self.bytes.saturating_sub(length(held.settled.as_ref()));
            self.expiry.remove(&(held.until, key.clone()));
        }
    }
}

/// Bytes that a kept answer takes.
fn length(settled: Option<&Settled>) -> usize {
    let answer: Option<&Rc<[u8]>> = match settled {
        Some(Settled::Answered(Some(answer))) => Some(answer),
        Some(Settled::Answered(None) | Settled::NotRun | Settled::Unknown) | None => None,
    };
    answer.map(|answer| answer.len()).unwrap_or_default()
}
