/* At-most-once claims on one idempotency key.
 *
 * Two claimants, the first and its resend through another entry, ask three holders. A claim counts
 * at two grants, and its request is sent to an endpoint only then. Claims, grants and settlements
 * may be lost. One holder may be replaced by a new one that replies "unknown"; so may a second.
 * FAULT 1 sends before the claim counts; FAULT 2 lets one grant be enough; FAULT 3 lets a new
 * holder grant at once.
 */
#ifndef FAULT
#define FAULT 0
#endif

#define HOLDERS 3
#define NOBODY 255

byte held[HOLDERS];   /* which claimant holds the key there */
bool known[HOLDERS];  /* whether the holder cannot have missed a claim */
byte runs;            /* how often an endpoint ran the request */
byte deaths;

proctype claimant(byte me)
{
    byte holder;
    byte grants = 0;
    bool sent = false;

#if FAULT == 1
    runs++;
    sent = true;
#endif
    for (holder : 0 .. HOLDERS - 1) {
        if
        :: atomic { held[holder] == NOBODY && known[holder] -> held[holder] = me; grants++ }
        :: atomic { held[holder] == NOBODY && !known[holder] -> held[holder] = me }
        :: held[holder] == me && known[holder] -> grants++
        :: held[holder] != NOBODY -> skip
        /* The claim is lost, or the grant: the holder may keep a claim that does not count. */
        :: true -> skip
        :: atomic { held[holder] == NOBODY -> held[holder] = me }
        fi
    }
#if FAULT == 2
    if
    :: grants >= 1 && !sent -> runs++; sent = true
    :: else -> skip
    fi;
#else
    if
    :: grants >= 2 && !sent -> runs++; sent = true
    :: else -> skip
    fi;
#endif
    /* A claim whose request was not sent is given up; each release may be lost. */
    if
    :: !sent ->
        for (holder : 0 .. HOLDERS - 1) {
            if
            :: atomic { held[holder] == me -> held[holder] = NOBODY }
            :: true -> skip
            fi
        }
    :: else -> skip
    fi
}

/* A holder dies, and another entry takes its seat without its claims. */
proctype death(byte holder)
{
    atomic {
        held[holder] = NOBODY;
        deaths++;
#if FAULT != 3
        known[holder] = false;
#endif
    }
}

init {
    byte holder;
    atomic {
        for (holder : 0 .. HOLDERS - 1) {
            held[holder] = NOBODY;
            known[holder] = true
        }
        run claimant(1);
        run claimant(2);
        run death(0);
        run death(1);
    }
}

ltl once { [] (runs <= 1) }
