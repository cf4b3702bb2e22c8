/*
 * The core of the replicated log: leader election, commit, disk loss and membership changes.
 *
 * Each slot holds a store. A store that lost its disk gets a new id. An exchange between two stores
 * is atomic and may never happen.
 *
 * Seeded faults, which the check must find: with UNSYNCED, a vote counts before it is on disk; with
 * KEEPS, a store that lost its disk keeps its id and restarts as a founder.
 *
 * With WANTED, leaders maintain that number of voters among WANTED + 1 stores: they demote any
 * voter, since it may have become unresponsive, and promote a store that has caught up. The seeded
 * fault TWICE starts a change before the previous one is committed.
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

#define ID(i) (i + N * generation[i])
#define BIT(i) (1 << ID(i))
#define INDEX(i, k) ((i) * ENTRIES + (k))
#define LAST_TERM(i) log_term[INDEX(i, length[i] - 1)]
#define MEMBER_COUNT(m) (((m) & 1) + (((m) >> 1) & 1) + (((m) >> 2) & 1) \
    + (((m) >> 3) & 1) + (((m) >> 4) & 1) + (((m) >> 5) & 1) + (((m) >> 6) & 1) + (((m) >> 7) & 1))

byte term[N] = 1;
byte vote[N] = NONE;
byte disk_term[N] = 1;
byte disk_vote[N] = NONE;
byte role[N] = FOLLOWER;
byte votes[N];
byte generation[N];

/* The log of each store: the term of each entry, and its member set as a bit set of ids, or 0. */
byte length[N] = 1;
byte log_term[N * ENTRIES];
byte log_members[N * ENTRIES];
byte commit[N] = 1;

/* The term of each committed entry, the term that committed it, and the leader of each term. */
byte committed_term[ENTRIES];
byte committed_in[ENTRIES];
byte committed_length = 1;
byte leader[TERMS + 1] = NONE;

byte crashes;
byte wipes;

hidden byte members;
hidden byte config_index;
hidden byte k;
hidden byte s;
hidden byte holders;
hidden byte prefix_matches;

/* Sets members to the latest member set in the log of store i, and config_index to its entry. */
inline find_members(i) {
    config_index = length[i];
    members = 0;
    do
    :: config_index > 0 && members == 0 -> config_index--; members = log_members[INDEX(i, config_index)]
    :: else -> break
    od
}

/* Sets prefix_matches to whether the log of store j contains the first n entries of store i. */
inline compare_prefix(i, j, n) {
    prefix_matches = (length[j] >= n);
    k = 0;
    do
    :: prefix_matches && k < n ->
        prefix_matches = (log_term[INDEX(i, k)] == log_term[INDEX(j, k)]);
        k++
    :: else -> break
    od
}

inline adopt_term(j, t) {
    if
    :: term[j] < t ->
        term[j] = t; vote[j] = NONE; role[j] = FOLLOWER; votes[j] = 0;
        disk_term[j] = t; disk_vote[j] = NONE
    :: else
    fi
}

inline append(i, set) {
    log_term[INDEX(i, length[i])] = term[i];
    log_members[INDEX(i, length[i])] = set;
    length[i]++
}

inline start_election(i) {
    term[i]++;
    vote[i] = ID(i);
    disk_term[i] = term[i];
    disk_vote[i] = vote[i];
    role[i] = CANDIDATE;
    votes[i] = BIT(i)
}

/* Store j votes for candidate i if the rules permit; its vote is on disk before it counts. */
inline request_vote(i, j) {
    adopt_term(j, term[i]);
    if
    :: term[j] == term[i] && (vote[j] == NONE || vote[j] == ID(i)) &&
        (LAST_TERM(i) > LAST_TERM(j) || (LAST_TERM(i) == LAST_TERM(j) && length[i] >= length[j])) ->
        vote[j] = ID(i);
#ifndef UNSYNCED
        disk_vote[j] = vote[j];
#endif
        votes[i] = votes[i] | BIT(j)
    :: else
    fi
}

inline become_leader(i) {
    find_members(i);
    if
    :: 2 * MEMBER_COUNT(votes[i] & members) > MEMBER_COUNT(members) ->
        assert(leader[term[i]] == NONE || leader[term[i]] == ID(i));
        leader[term[i]] = ID(i);
        role[i] = LEADER;
        k = 0;
        do
        :: k < committed_length ->
            assert(committed_in[k] >= term[i] ||
                (k < length[i] && log_term[INDEX(i, k)] == committed_term[k]));
            k++
        :: else -> break
        od;
        append(i, 0)
    :: else
    fi
}

/* Store j appends the first entry of leader i that it lacks and truncates conflicting entries. */
inline replicate(i, j) {
    adopt_term(j, term[i]);
    if
    :: term[j] == term[i] ->
        role[j] = FOLLOWER;
        votes[j] = 0;
        k = 0;
        do
        :: k < length[i] && k < length[j] && log_term[INDEX(i, k)] == log_term[INDEX(j, k)] -> k++
        :: else -> break
        od;
        if
        :: k < length[i] ->
            s = k;
            do
            :: s < ENTRIES -> log_term[INDEX(j, s)] = 0; log_members[INDEX(j, s)] = 0; s++
            :: else -> break
            od;
            log_term[INDEX(j, k)] = log_term[INDEX(i, k)];
            log_members[INDEX(j, k)] = log_members[INDEX(i, k)];
            length[j] = k + 1
        :: else
        fi
    :: else
    fi
}

/* Leader i commits all its entries if a quorum holds them and the last one is of its own term. */
inline advance_commit(i) {
    find_members(i);
    holders = 0;
    s = 0;
    do
    :: s < N ->
        compare_prefix(i, s, length[i]);
        if
        :: prefix_matches && term[s] == term[i] -> holders = holders | BIT(s)
        :: else
        fi;
        s++
    :: else -> break
    od;
    if
    :: LAST_TERM(i) == term[i] &&
        2 * MEMBER_COUNT(holders & members) > MEMBER_COUNT(members) ->
        k = 0;
        do
        :: k < length[i] ->
            assert(k >= committed_length || committed_term[k] == log_term[INDEX(i, k)]);
            committed_term[k] = log_term[INDEX(i, k)];
            if
            :: k >= committed_length -> committed_in[k] = term[i]
            :: else
            fi;
            k++
        :: else -> break
        od;
        if
        :: committed_length < length[i] -> committed_length = length[i]
        :: else
        fi;
        commit[i] = length[i]
    :: else
    fi
}

#ifdef TWICE
#define CHANGE_COMMITTED 1
#else
#define CHANGE_COMMITTED (config_index < commit[i] && log_term[INDEX(i, commit[i] - 1)] == term[i])
#endif

#ifdef WANTED
/*
 * Leader i removes the id that the store in slot j lost with its disk; otherwise it promotes j to a
 * voter, temporarily exceeding WANTED by one, or demotes it if there is one voter too many.
 */
inline change_members(i, j) {
    find_members(i);
    compare_prefix(i, j, commit[i]);
    if
    :: CHANGE_COMMITTED && generation[j] == 1 && (members & (1 << j)) -> append(i, members & ~(1 << j))
    :: CHANGE_COMMITTED && !(generation[j] == 1 && (members & (1 << j))) ->
        if
        :: prefix_matches && !(members & BIT(j)) && MEMBER_COUNT(members) <= WANTED -> append(i, members | BIT(j))
        :: (members & BIT(j)) && MEMBER_COUNT(members) > WANTED -> append(i, members & ~BIT(j))
        :: else
        fi
    :: else
    fi
}
#else
/* Leader i removes the id that the store in slot j lost with its disk, or adds its new id. */
inline change_members(i, j) {
    find_members(i);
    if
    :: CHANGE_COMMITTED && generation[j] == 1 ->
        if
        :: members & (1 << j) -> append(i, members & ~(1 << j))
        :: else ->
            compare_prefix(i, j, commit[i]);
            if
            :: prefix_matches && !(members & BIT(j)) -> append(i, members | BIT(j))
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
    generation[i] = 1;
#endif
    term[i] = s;
    disk_term[i] = s;
    length[i] = s;
    commit[i] = s;
    do
    :: s < ENTRIES -> log_term[INDEX(i, s)] = 0; log_members[INDEX(i, s)] = 0; s++
    :: else -> break
    od
}

#define IS_MEMBER(i) (members & BIT(i))

init {
    byte i;
    byte j;
    d_step {
        i = 0;
        do
        :: i < FOUNDERS -> log_term[INDEX(i, 0)] = 1; log_members[INDEX(i, 0)] = (1 << FOUNDERS) - 1; i++
        :: else -> break
        od;
        do
        :: i < N -> term[i] = 0; disk_term[i] = 0; length[i] = 0; commit[i] = 0; i++
        :: else -> break
        od;
        committed_term[0] = 1;
        i = 0
    }
    do
    :: atomic {
        select(i : 0 .. N - 1);
        select(j : 0 .. N - 1);
        if
        :: i == j && term[i] < TERMS && role[i] != LEADER && length[i] > 0 ->
            d_step { find_members(i); if :: IS_MEMBER(i) -> start_election(i) :: else fi }
        :: i != j && role[i] == CANDIDATE && length[j] > 0 && term[j] <= term[i] ->
            d_step { find_members(i); if :: IS_MEMBER(j) -> request_vote(i, j) :: else fi }
        :: i == j && role[i] == CANDIDATE && length[i] < ENTRIES -> d_step { become_leader(i) }
        :: i != j && role[i] == LEADER && term[j] <= term[i] -> d_step { replicate(i, j) }
        :: i == j && role[i] == LEADER && commit[i] < length[i] -> d_step { advance_commit(i) }
        :: i == j && role[i] == LEADER && length[i] < ENTRIES -> d_step { append(i, 0) }
        :: i != j && role[i] == LEADER && length[i] < ENTRIES -> d_step { change_members(i, j) }
        :: i == j && crashes < CRASHES -> d_step { crash(i) }
        :: i == j && wipes == 0 -> d_step { wipe(i); s = 0 }
        :: else
        fi;
        d_step { i = 0; j = 0 }
    }
    od
}
