//! Tests of claims on idempotency keys: holders, tallies, and holders that lack claims.

use std::{
    collections::BTreeMap,
    rc::Rc,
    time::Duration, //
};

use mimosausher_dispatch::{
    Claim,
    ClaimEnd,
    ClaimId,
    Holder,
    KeyHash,
    Member,
    Reply,
    Ring,
    Tally,
    Verdict, //
};

const RETENTION: Duration = Duration::from_secs(60);
const START: Duration = Duration::from_secs(5);

fn member(centre: &str, name: &str) -> Member {
    Member {
        centre: centre.into(),
        incarnation: 1,
        name: name.into(),
    }
}

fn members() -> Vec<Member> {
    ["a", "b", "c", "d"]
        .iter()
        .flat_map(|centre| [1, 2].map(|number| member(centre, &format!("{centre}{number}"))))
        .collect()
}

fn key(hash: u128) -> KeyHash {
    KeyHash { hash, home: None }
}

fn claim(claimant: &str, key: &KeyHash) -> Claim {
    Claim {
        fingerprint: 1,
        id: ClaimId {
            claimant: claimant.into(),
            incarnation: 1,
            serial: 1,
        },
        key: key.clone(),
    }
}

/// Holders that have every claim, by name.
fn holders(ring: &Ring) -> BTreeMap<Box<str>, Holder> {
    ring.members()
        .map(|member| {
            let mut holder = Holder::new(Duration::ZERO, &member.name, RETENTION);
            holder.mark_complete();
            holder.set_ring(Duration::ZERO, ring.clone());
            (member.name.clone(), holder)
        })
        .collect()
}

fn send_claim(
    now: Duration,
    ring: &Ring,
    holders: &mut BTreeMap<Box<str>, Holder>,
    claim: &Claim,
) -> Verdict {
    let members = ring.holders(&claim.key);
    let mut tally = Tally::new(members.len(), ring.quorum());
    let mut verdict = tally.final_verdict();
    for member in members {
        let reply = holders
            .get_mut(&member.name)
            .map(|holder| holder.claim(now, claim.clone()));
        if let Some(certain) = tally.reply(reply) {
            verdict = certain;
        }
    }
    verdict
}

#[test]
fn ring_three_centres() {
    let ring = Ring::new().with_members(members());
    for hash in 0..100 {
        let key = key(hash);
        let mut centres: Vec<_> = ring
            .holders(&key)
            .iter()
            .map(|m| m.centre.clone())
            .collect();
        centres.sort();
        centres.dedup();
        assert_eq!(centres.len(), 3);
    }
}

#[test]
fn ring_named_home() {
    let ring = Ring::new().with_members(members());
    let home = Some("b".into());
    for hash in 0..100 {
        let key = KeyHash {
            hash,
            home: home.clone(),
        };
        let centres: Vec<_> = ring.holders(&key).iter().map(|m| &*m.centre).collect();
        assert_eq!(&centres[..2], ["b", "b"]);
        assert_ne!(centres[2], "b");
    }
}

/// The two sides of a partition never both have a majority of a key's holders.
#[test]
fn ring_partition_one_majority() {
    let whole = Ring::new().with_members(members());
    let (inside, outside): (Vec<_>, Vec<_>) = members()
        .into_iter()
        .partition(|member| &*member.centre == "a");
    let (inside, outside) = (whole.with_members(inside), whole.with_members(outside));
    for hash in 0..200 {
        for home in [None, Some("a".into()), Some("b".into())] {
            let key = KeyHash { hash, home };
            let both = [inside.holders(&key).len(), outside.holders(&key).len()];
            assert!(
                both.iter()
                    .filter(|count| **count >= whole.quorum())
                    .count()
                    <= 1
            );
        }
    }
}

#[test]
fn claim_first() {
    let ring = Ring::new().with_members(members());
    let mut holders = holders(&ring);
    let claim = claim("a1", &key(1));
    assert_eq!(
        send_claim(START, &ring, &mut holders, &claim),
        Verdict::Granted
    );
}

#[test]
fn claim_pending_resend() {
    let ring = Ring::new().with_members(members());
    let mut holders = holders(&ring);
    let first = claim("a1", &key(1));
    send_claim(START, &ring, &mut holders, &first);
    let resend = claim("b1", &key(1));
    let held = Verdict::Held(first.id.clone());
    assert_eq!(send_claim(START, &ring, &mut holders, &resend), held);
    let answer: Rc<[u8]> = Rc::from(&b"answer"[..]);
    for holder in holders.values_mut() {
        holder.settle(
            &first.key,
            &first.id,
            ClaimEnd::Answered(Some(answer.clone())),
        );
    }
    let verdict = send_claim(START, &ring, &mut holders, &resend);
    assert_eq!(verdict, Verdict::Answered(answer));
}

#[test]
fn claim_mismatch() {
    let ring = Ring::new().with_members(members());
    let mut holders = holders(&ring);
    send_claim(START, &ring, &mut holders, &claim("a1", &key(1)));
    let other = Claim {
        fingerprint: 2,
        ..claim("b1", &key(1))
    };
    assert_eq!(
        send_claim(START, &ring, &mut holders, &other),
        Verdict::Mismatch
    );
}

#[test]
fn claim_released() {
    let ring = Ring::new().with_members(members());
    let mut holders = holders(&ring);
    let first = claim("a1", &key(1));
    send_claim(START, &ring, &mut holders, &first);
    for holder in holders.values_mut() {
        holder.settle(&first.key, &first.id, ClaimEnd::NotRun);
    }
    let resend = claim("b1", &key(1));
    assert_eq!(
        send_claim(START, &ring, &mut holders, &resend),
        Verdict::Granted
    );
}

/// A late release of an earlier claim does not release a later one.
#[test]
fn claim_late_release() {
    let ring = Ring::new().with_members(members());
    let mut holder = Holder::new(Duration::ZERO, "a1", RETENTION);
    holder.mark_complete();
    holder.set_ring(Duration::ZERO, ring.with_members([member("a", "a1")]));
    let (first, second) = (claim("a1", &key(1)), claim("b1", &key(1)));
    holder.claim(START, second.clone());
    holder.settle(&first.key, &first.id, ClaimEnd::NotRun);
    assert_eq!(holder.claim(START, first), Reply::Held(second.id));
}

#[test]
fn claim_retention_over() {
    let ring = Ring::new().with_members(members());
    let mut holders = holders(&ring);
    send_claim(START, &ring, &mut holders, &claim("a1", &key(1)));
    let resend = claim("b1", &key(1));
    let late = START + RETENTION;
    assert_eq!(
        send_claim(late, &ring, &mut holders, &resend),
        Verdict::Granted
    );
}

#[test]
fn death_one_holder() {
    let ring = Ring::new().with_members(members());
    let mut holders = holders(&ring);
    for hash in 0..50 {
        let first = claim("z1", &key(hash));
        send_claim(START, &ring, &mut holders, &first);
    }
    let dead = "a1";
    holders.remove(dead);
    let after = ring.with_members(members().into_iter().filter(|m| &*m.name != dead));
    for holder in holders.values_mut() {
        holder.set_ring(START * 2, after.clone());
    }
    for hash in 0..50 {
        let resend = claim("z2", &key(hash));
        let verdict = send_claim(START * 2, &after, &mut holders, &resend);
        assert!(matches!(verdict, Verdict::Held(_)), "{verdict:?}");
    }
    for hash in 50..100 {
        let first = claim("z1", &key(hash));
        assert_eq!(
            send_claim(START * 2, &after, &mut holders, &first),
            Verdict::Granted
        );
    }
}

#[test]
fn death_two_holders() {
    let ring = Ring::new().with_members(members());
    let mut holders = holders(&ring);
    let mut unknown = 0;
    for hash in 0..50 {
        send_claim(START, &ring, &mut holders, &claim("z1", &key(hash)));
    }
    let dead = ["a1", "b1"];
    holders.retain(|name, _| !dead.contains(&&**name));
    let after = ring.with_members(members().into_iter().filter(|m| !dead.contains(&&*m.name)));
    for holder in holders.values_mut() {
        holder.set_ring(START * 2, after.clone());
    }
    for hash in 0..50 {
        match send_claim(START * 2, &after, &mut holders, &claim("z2", &key(hash))) {
            Verdict::Held(_) => {}
            Verdict::Unknown => unknown += 1,
            verdict => panic!("{verdict:?} for a key that has run"),
        }
    }
    assert_ne!(
        unknown, 50,
        "claims on keys with at most one dead holder must be found"
    );
    let later = START * 2 + RETENTION + Duration::from_secs(10);
    for hash in 100..150 {
        let first = claim("z1", &key(hash));
        assert_eq!(
            send_claim(later, &after, &mut holders, &first),
            Verdict::Granted
        );
    }
}

#[test]
fn restart_without_records() {
    let ring = Ring::new().with_members([member("a", "a1")]);
    let mut holder = Holder::new(Duration::ZERO, "a1", RETENTION);
    holder.set_ring(Duration::ZERO, ring);
    assert_eq!(holder.claim(START, claim("a1", &key(1))), Reply::Unknown);
    let after = RETENTION + Duration::from_secs(10);
    assert_eq!(holder.claim(after, claim("a1", &key(2))), Reply::Granted);
}

/// A restarted holder is complete again once both other holders have transferred their claims.
#[test]
fn restart_claims_transferred() {
    let all = [member("a", "a1"), member("b", "b1"), member("c", "c1")];
    let ring = Ring::new().with_members(all.clone());
    let mut holders = holders(&ring);
    send_claim(START, &ring, &mut holders, &claim("b1", &key(1)));
    let [mut first, second, third] = all;
    first.incarnation = 2;
    let after = ring.with_members([first, second, third]);
    let mut fresh = Holder::new(START, "a1", RETENTION);
    fresh.set_ring(START, after.clone());
    for name in ["b1", "c1"] {
        holders
            .get_mut(name)
            .unwrap()
            .set_ring(START, after.clone());
    }
    let now = START + Duration::from_secs(10);
    assert!(fresh.needs_transfer(now));
    assert_eq!(fresh.claim(now, claim("z1", &key(2))), Reply::Unknown);
    for name in ["b1", "c1"] {
        let records = holders[name].export(now).unwrap();
        fresh.import(now, name, records);
    }
    assert_eq!(fresh.claim(now, claim("z1", &key(3))), Reply::Granted);
    let held = fresh.claim(now, claim("z1", &key(1)));
    assert_eq!(held, Reply::Held(claim("b1", &key(1)).id));
    assert!(fresh.export(now).is_some());
}

/// A holder whose own set of keys has changed transfers no claims.
#[test]
fn restart_incomplete_source() {
    let ring = Ring::new().with_members(members());
    let mut holders = holders(&ring);
    let after = ring.with_members(members().into_iter().filter(|m| &*m.name != "a1"));
    for holder in holders.values_mut() {
        holder.set_ring(START, after.clone());
    }
    assert_eq!(holders["a2"].export(START), None);
    assert!(holders["b1"].export(START).is_some());
}
