/* At-most-once claims on one idempotency key.
 *
 * Two claimants, the original request and its retransmission through another entry, send claims to
 * three holders. A claim succeeds with two grants, and only then is its request forwarded to an
 * endpoint. Claims, grants and releases may be lost. Up to two holders may be replaced by new ones,
 * which reply "unknown".
 *
 * Seeded faults: FAULT 1 forwards the request before the claim succeeds; FAULT 2 accepts a single
 * grant; FAULT 3 lets a new holder grant claims at once.
 */
#ifndef FAULT
#define FAULT 0
#endif

#define HOLDERS 3
#define NO_CLAIMANT 255

byte claimed_by[HOLDERS];  /* the claimant that holds the key at each holder */
bool complete[HOLDERS];    /* false if the holder may have missed a claim */
byte executions;           /* number of times that endpoints executed the request */
byte replacements;

proctype claimant(byte self_id)
{
    byte holder;
    byte grants = 0;
    bool forwarded = false;

#if FAULT == 1
    executions++;
    forwarded = true;
#endif
    for (holder : 0 .. HOLDERS - 1) {
        if
        :: atomic { claimed_by[holder] == NO_CLAIMANT && complete[holder] -> claimed_by[holder] = self_id; grants++ }
        :: atomic { claimed_by[holder] == NO_CLAIMANT && !complete[holder] -> claimed_by[holder] = self_id }
        :: claimed_by[holder] == self_id && complete[holder] -> grants++
        :: claimed_by[holder] != NO_CLAIMANT -> skip
        /* The claim or its grant is lost: the holder may retain a claim whose grant is not
         * counted. */
        :: true -> skip
        :: atomic { claimed_by[holder] == NO_CLAIMANT -> claimed_by[holder] = self_id }
        fi
    }
#if FAULT == 2
    if
    :: grants >= 1 && !forwarded -> executions++; forwarded = true
    :: else -> skip
    fi;
#else
    if
    :: grants >= 2 && !forwarded -> executions++; forwarded = true
    :: else -> skip
    fi;
#endif
    /* A claim whose request was not forwarded is released; each release may be lost. */
    if
    :: !forwarded ->
        for (holder : 0 .. HOLDERS - 1) {
            if
            :: atomic { claimed_by[holder] == self_id -> claimed_by[holder] = NO_CLAIMANT }
            :: true -> skip
            fi
        }
    :: else -> skip
    fi
}

/* A holder crashes, and another entry replaces it without its claims. */
proctype replace_holder(byte holder)
{
    atomic {
        claimed_by[holder] = NO_CLAIMANT;
        replacements++;
#if FAULT != 3
        complete[holder] = false;
#endif
    }
}

init {
    byte holder;
    atomic {
        for (holder : 0 .. HOLDERS - 1) {
            claimed_by[holder] = NO_CLAIMANT;
            complete[holder] = true
        }
        run claimant(1);
        run claimant(2);
        run replace_holder(0);
        run replace_holder(1);
    }
}

ltl at_most_once { [] (executions <= 1) }
