/*
 * The core of the replicated log: election, commit, lost disks and change of members.
 *
 * Each slot holds a store. A store that lost its disk gets a new id. Exchanges between two
 * stores are atomic and may never happen. UNSYNCED and KEEPS are faults that the check must find.
 *
 * With WANTED, leaders keep that many voters by themselves out of one store more: they take a vote
 * from any voter, since it may have fallen silent, and give it to a store that has caught up. TWICE,
 * which does not wait for the change before, is a fault too.
 */

#ifdef WANTED
#define N (WANTED + 1)
#define FOUNDERS WANTED
#else
#define N 3
#define FOUNDERS 3
#endif
#define NONE 255

#ifndef ENTRIES
#define ENTRIES 4
#endif
#ifndef TERMS
#define TERMS 4
#endif

#ifndef CRASHES
#define CRASHES 1
#endif

#define FOLLOWER 0
#define CANDIDATE 1
#define LEADER 2

#define ID(i) (i + N * gen[i])
#define BIT(i) (1 << ID(i))
#define AT(i, k) ((i) * ENTRIES + (k))
#define LAST(i) log_term[AT(i, length[i] - 1)]
#define SIZE(m) (((m) & 1) + (((m) >> 1) & 1) + (((m) >> 2) & 1) \
    + (((m) >> 3) & 1) + (((m) >> 4) & 1) + (((m) >> 5) & 1) + (((m) >> 6) & 1) + (((m) >> 7) & 1))

byte term[N] = 1;
byte vote[N] = NONE;
byte disk_term[N] = 1;
byte disk_vote[N] = NONE;
byte role[N] = FOLLOWER;
byte votes[N];
byte gen[N];

/* Each store's log: the entries' terms, and the members that an entry names, as a set of ids. */
byte length[N] = 1;
byte log_term[N * ENTRIES];
byte log_members[N * ENTRIES];
byte commit[N] = 1;

/* The committed entries' terms, the terms that committed them, and the leader of each term. */
byte chosen[ENTRIES];
byte chosen_in[ENTRIES];
byte count = 1;
byte leader[TERMS + 1] = NONE;

byte crashes;
byte wipes;

hidden byte members;
hidden byte named;
hidden byte k;
hidden byte s;
hidden byte held;
hidden byte same;

/* The members in effect at store i, and the entry that names them. */
inline view(i) {
    named = length[i];
    members = 0;
    do
    :: named > 0 && members == 0 -> named--; members = log_members[AT(i, named)]
    :: else -> break
    od
}

/* Whether the log of store j holds the first n entries of store i. */
inline compare(i, j, n) {
    same = (length[j] >= n);
    k = 0;
    do
    :: same && k < n ->
        same = (log_term[AT(i, k)] == log_term[AT(j, k)]);
        k++
    :: else -> break
    od
}

inline raise(j, t) {
    if
    :: term[j] < t ->
        term[j] = t; vote[j] = NONE; role[j] = FOLLOWER; votes[j] = 0;
        disk_term[j] = t; disk_vote[j] = NONE
    :: else
    fi
}

inline push(i, set) {
    log_term[AT(i, length[i])] = term[i];
    log_members[AT(i, length[i])] = set;
    length[i]++
}

inline stand(i) {
    term[i]++;
    vote[i] = ID(i);
    disk_term[i] = term[i];
    disk_vote[i] = vote[i];
    role[i] = CANDIDATE;
    votes[i] = BIT(i)
}

/* Store j votes for candidate i if it may, and its vote is on disk before it counts. */
inline ask(i, j) {
    raise(j, term[i]);
    if
    :: term[j] == term[i] && (vote[j] == NONE || vote[j] == ID(i)) &&
        (LAST(i) > LAST(j) || (LAST(i) == LAST(j) && length[i] >= length[j])) ->
        vote[j] = ID(i);
#ifndef UNSYNCED
        disk_vote[j] = vote[j];
#endif
        votes[i] = votes[i] | BIT(j)
    :: else
    fi
}

inline lead(i) {
    view(i);
    if
    :: 2 * SIZE(votes[i] & members) > SIZE(members) ->
        assert(leader[term[i]] == NONE || leader[term[i]] == ID(i));
        leader[term[i]] = ID(i);
        role[i] = LEADER;
        k = 0;
        do
        :: k < count ->
            assert(chosen_in[k] >= term[i] ||
                (k < length[i] && log_term[AT(i, k)] == chosen[k]));
            k++
        :: else -> break
        od;
        push(i, 0)
    :: else
    fi
}

/* Store j takes the first entry of leader i that it lacks, in place of what contradicts it. */
inline replicate(i, j) {
    raise(j, term[i]);
    if
    :: term[j] == term[i] ->
        role[j] = FOLLOWER;
        votes[j] = 0;
        k = 0;
        do
        :: k < length[i] && k < length[j] && log_term[AT(i, k)] == log_term[AT(j, k)] -> k++
        :: else -> break
        od;
        if
        :: k < length[i] ->
            s = k;
            do
            :: s < ENTRIES -> log_term[AT(j, s)] = 0; log_members[AT(j, s)] = 0; s++
            :: else -> break
            od;
            log_term[AT(j, k)] = log_term[AT(i, k)];
            log_members[AT(j, k)] = log_members[AT(i, k)];
            length[j] = k + 1
        :: else
        fi
    :: else
    fi
}

/* Leader i commits all its entries if a quorum holds them; the last one is of its term. */
inline settle(i) {
    view(i);
    held = 0;
    s = 0;
    do
    :: s < N ->
        compare(i, s, length[i]);
        if
        :: same && term[s] == term[i] -> held = held | BIT(s)
        :: else
        fi;
        s++
    :: else -> break
    od;
    if
    :: LAST(i) == term[i] &&
        2 * SIZE(held & members) > SIZE(members) ->
        k = 0;
        do
        :: k < length[i] ->
            assert(k >= count || chosen[k] == log_term[AT(i, k)]);
            chosen[k] = log_term[AT(i, k)];
            if
            :: k >= count -> chosen_in[k] = term[i]
            :: else
            fi;
            k++
        :: else -> break
        od;
        if
        :: count < length[i] -> count = length[i]
        :: else
        fi;
        commit[i] = length[i]
    :: else
    fi
}

#ifdef TWICE
#define SETTLED 1
#else
#define SETTLED (named < commit[i] && log_term[AT(i, commit[i] - 1)] == term[i])
#endif

#ifdef WANTED
/*
 * Leader i removes the id that the store in slot j lost with its disk; else gives j a vote, one more
 * than wanted if need be, or takes the superfluous one from it.
 */
inline change(i, j) {
    view(i);
    compare(i, j, commit[i]);
    if
    :: SETTLED && gen[j] == 1 && (members & (1 << j)) -> push(i, members & ~(1 << j))
    :: SETTLED && !(gen[j] == 1 && (members & (1 << j))) ->
        if
        :: same && !(members & BIT(j)) && SIZE(members) <= WANTED -> push(i, members | BIT(j))
        :: (members & BIT(j)) && SIZE(members) > WANTED -> push(i, members & ~BIT(j))
        :: else
        fi
    :: else
    fi
}
#else
/* Leader i removes the id that the store in slot j lost with its disk, or adds its new one. */
inline change(i, j) {
    view(i);
    if
    :: SETTLED && gen[j] == 1 ->
        if
        :: members & (1 << j) -> push(i, members & ~(1 << j))
        :: else ->
            compare(i, j, commit[i]);
            if
            :: same && !(members & BIT(j)) -> push(i, members | BIT(j))
            :: else
            fi
        fi
    :: else
    fi
}
#endif

inline crash(i) {
    crashes++;
    term[i] = disk_term[i];
    vote[i] = disk_vote[i];
    role[i] = FOLLOWER;
    votes[i] = 0;
    commit[i] = (length[i] > 0 -> 1 : 0)
}

inline wipe(i) {
    wipes++;
    role[i] = FOLLOWER;
    votes[i] = 0;
    vote[i] = NONE;
    disk_vote[i] = NONE;
    s = 0;
#ifdef KEEPS
    s = 1;
#else
    gen[i] = 1;
#endif
    term[i] = s;
    disk_term[i] = s;
    length[i] = s;
    commit[i] = s;
    do
    :: s < ENTRIES -> log_term[AT(i, s)] = 0; log_members[AT(i, s)] = 0; s++
    :: else -> break
    od
}

#define MEMBER(i) (members & BIT(i))

init {
    byte i;
    byte j;
    d_step {
        i = 0;
        do
        :: i < FOUNDERS -> log_term[AT(i, 0)] = 1; log_members[AT(i, 0)] = (1 << FOUNDERS) - 1; i++
        :: else -> break
        od;
        do
        :: i < N -> term[i] = 0; disk_term[i] = 0; length[i] = 0; commit[i] = 0; i++
        :: else -> break
        od;
        chosen[0] = 1;
        i = 0
    }
    do
    :: atomic {
        select(i : 0 .. N - 1);
        select(j : 0 .. N - 1);
        if
        :: i == j && term[i] < TERMS && role[i] != LEADER && length[i] > 0 ->
            d_step { view(i); if :: MEMBER(i) -> stand(i) :: else fi }
        :: i != j && role[i] == CANDIDATE && length[j] > 0 && term[j] <= term[i] ->
            d_step { view(i); if :: MEMBER(j) -> ask(i, j) :: else fi }
        :: i == j && role[i] == CANDIDATE && length[i] < ENTRIES -> d_step { lead(i) }
        :: i != j && role[i] == LEADER && term[j] <= term[i] -> d_step { replicate(i, j) }
        :: i == j && role[i] == LEADER && commit[i] < length[i] -> d_step { settle(i) }
        :: i == j && role[i] == LEADER && length[i] < ENTRIES -> d_step { push(i, 0) }
        :: i != j && role[i] == LEADER && length[i] < ENTRIES -> d_step { change(i, j) }
        :: i == j && crashes < CRASHES -> d_step { crash(i) }
        :: i == j && wipes == 0 -> d_step { wipe(i); s = 0 }
        :: else
        fi;
        d_step { i = 0; j = 0 }
    }
    od
}
