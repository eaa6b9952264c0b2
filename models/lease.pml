/*
 * Model the lease of one shard. Safety property: at most one node may act at a time.
 *
 * Node 0 is the holder named by the log's first record, nodes 1 and 2 are its closed
 * set of successors, node 3 is a newcomer. Every step below is one action of one node
 * or of the environment, in any order. Paused nodes, partitions and lost or delayed
 * messages are steps that do not happen or happen late; timers keep running meanwhile.
 *
 * Timers count down on the owner's clock; zero means expired. In an odd tick the node
 * `slow` does not advance and all others advance twice; odd ticks are at least
 * DRIFT_PERIOD ticks apart. A request is modelled as sent at the moment it takes
 * effect: sending it earlier only shortens the validity that the sender gains.
 *
 * With RESTORES, the store comes back from an older copy: records are lost, the next
 * ones get their numbers, and a new era begins. A record states the era that its writer
 * knew. One of an earlier era grants nothing before NEWCOMER_WAIT, since the records
 * that were lost are not known.
 *
 * Each switch (-D) removes one guard; the checker must then find two acting nodes.
 */

#ifndef READ_VALID
#define READ_VALID 1 /* how long a holder may act after reading the log's head */
#endif
#ifndef TAKEOVER_WAIT
#define TAKEOVER_WAIT 3 /* how long a successor waits after its record */
#endif
#ifndef PROMISE
#define PROMISE 2 /* how long a holder relies on a promise */
#endif
#ifndef PROMISE_KEPT
#define PROMISE_KEPT 4 /* how long a successor keeps a promise */
#endif
#ifndef UNREAD_LIMIT
#define UNREAD_LIMIT 3 /* how long a holder acts on promises after a read */
#endif
#ifndef NEWCOMER_WAIT
#define NEWCOMER_WAIT 5 /* how long a newcomer waits after its record */
#endif
#define DRIFT_PERIOD 4
#ifndef HIGHEST_TERM
#define HIGHEST_TERM 3
#endif
#define NODES 4
#define NOBODY 7
#define max(a, b) ((a) > (b) -> (a) : (b))

#ifndef FIRST_CANDIDATE
#define FIRST_CANDIDATE 1
#endif
#ifndef LAST_CANDIDATE
#define LAST_CANDIDATE 3
#endif
#ifndef RESTARTS
#define RESTARTS 1
#endif
#ifndef RESTORES
#define RESTORES 0
#endif

/* The log: records 1..log_term, each succeeding the previous one. */
byte log_term = 1;
byte log_holder[5];
byte log_wait[5];
bit log_newcomer_in_set[5];

/* Appends in flight, by writer: the term they build on, or zero. */
byte append_on[4];
bit append_orphaned[4];   /* the writer has restarted since sending it */
bit append_renews[4];
bit append_hands_over;    /* of node 0 */

/* State of each node. */
byte seen[4];             /* newest term read, zero for none */
byte read_valid[4];
byte wait[4];             /* until all records seen are old enough */
byte promise_kept[4];
byte claimed_on[4];       /* the term of an append in doubt, or zero */

/* State of node 0 as the holder of term 1. */
byte unread_limit;
byte promise[4];
byte promise_answer[4];   /* validity of a response in flight, or zero */
byte read_answer;         /* the same for a read that saw term 1 */
bit lapsed;
bit stopped;

byte slow;
byte drift_credit = DRIFT_PERIOD;
byte restarts;

#if RESTORES > 0
byte era;                 /* of the store */
byte read_era[4];         /* in which a node has read last */
byte log_era[5];          /* that the writer of a record knew */
byte append_era[4];
bit was_holder[4];        /* as read before the restore */
bit was_waitless[4];      /* the same for a record without a wait */
#endif

bit checked[4];           /* only for NO_CHECK_AFTER_PAUSE */

#define ALL_PROMISED (promise[1] > 0 && promise[2] > 0)
#ifdef UNREAD_WITHOUT_END
#define WITHIN_UNREAD_LIMIT true
#else
#define WITHIN_UNREAD_LIMIT (unread_limit > 0)
#endif
#define VALID_0 (read_valid[0] > 0 || (ALL_PROMISED && WITHIN_UNREAD_LIMIT && !lapsed))
#define MAY_0 (seen[0] == 1 && !stopped && VALID_0)
#if RESTORES > 0
#ifdef ERA_IGNORED
#define IS_CURRENT(i) true
#define IS_FIRST_ERA true
#else
#define IS_CURRENT(i) (read_era[i] == era)
#ifdef HOLDER_READS_LATER_ERA
#define IS_FIRST_ERA true
#else
#define IS_FIRST_ERA (era == 0)
#endif
#endif
#define HOLDS(i) (IS_CURRENT(i) -> (seen[i] > 0 && log_holder[seen[i]] == i) : was_holder[i])
#define WAITLESS(i) (IS_CURRENT(i) -> log_wait[seen[i]] == 0 : was_waitless[i])
#else
#define IS_CURRENT(i) true
#define IS_FIRST_ERA true
#define HOLDS(i) (seen[i] > 0 && log_holder[seen[i]] == i)
#define WAITLESS(i) (log_wait[seen[i]] == 0)
#endif
#ifdef NO_PROMISE_WAIT
#define PROMISE_OVER(i) true
#else
#define PROMISE_OVER(i) (promise_kept[i] == 0 || WAITLESS(i))
#endif
#ifdef NO_TAKEOVER_WAIT
#define WAIT_OVER(i) true
#else
#define WAIT_OVER(i) (wait[i] == 0)
#endif
#define MAY(i) (HOLDS(i) && WAIT_OVER(i) && PROMISE_OVER(i) && read_valid[i] > 0)

#ifdef NO_CHECK_AFTER_PAUSE
#define ACTS_0 checked[0]
#define ACTS(i) checked[i]
#else
#define ACTS_0 MAY_0
#define ACTS(i) MAY(i)
#endif

#define COUNT_ACTING (ACTS_0 + ACTS(1) + ACTS(2) + ACTS(3))

inline advance(timer, step) {
    timer = (timer > step -> timer - step : 0)
}

inline tick(odd) {
    d_step {
        for (n : 0 .. 3) {
            step = (odd -> (n == slow -> 0 : 2) : 1);
            advance(read_valid[n], step);
            advance(wait[n], step);
            advance(promise_kept[n], step);
            if
            :: n == 0 ->
                advance(unread_limit, step);
#ifndef TIME_FROM_ANSWER
                advance(read_answer, step)
#endif
            :: else
            fi
        }
        step = (odd -> (slow == 0 -> 0 : 2) : 1);
        for (n : 1 .. 2) {
#ifndef PROMISE_WITHOUT_END
            advance(promise[n], step);
#endif
#ifdef TIME_FROM_ANSWER
            skip;
#else
            advance(promise_answer[n], step);
#endif
        }
#ifndef RESUME_BY_PROMISES
        if
        :: !VALID_0 -> lapsed = 1
        :: else
        fi;
#endif
        drift_credit = (odd -> 0 : (drift_credit < DRIFT_PERIOD -> drift_credit + 1 : DRIFT_PERIOD));
        n = 0;
        step = 0
    }
}

#if RESTORES > 0 && !defined(ERA_IGNORED) && !defined(EARLIER_RECORD_COUNTS)
#define WAIT_OF(n) (log_era[n] < era -> NEWCOMER_WAIT : log_wait[n])
#else
#define WAIT_OF(n) log_wait[n]
#endif

/* Reads the head and starts the waits of records that the reader has not seen. */
inline read_log(i) {
    d_step {
#if RESTORES > 0 && !defined(ERA_IGNORED)
        if
        :: read_era[i] != era ->
            read_era[i] = era;
            seen[i] = 0;
            claimed_on[i] = 0
        :: else
        fi;
#endif
        n = seen[i] + 1;
        do
        :: n <= log_term ->
            /* Only an acting holder writes a record without a wait. */
            wait[i] = (WAIT_OF(n) == 0 -> 0 : max(wait[i], WAIT_OF(n)));
            n++
        :: else -> break
        od;
        n = 0;
#ifdef ERA_IGNORED
        seen[i] = max(seen[i], log_term);
#else
        seen[i] = log_term;
#endif
        read_valid[i] = (HOLDS(i) -> READ_VALID : 0);
        if
        :: seen[i] > claimed_on[i] -> claimed_on[i] = 0
        :: else
        fi
    }
}

/* Node 0 reads a head without a takeover; a read that shows one would only stop it. */
inline receive_read(valid) {
    d_step {
        read_valid[0] = max(read_valid[0], valid);
        unread_limit = max(unread_limit, UNREAD_LIMIT - (READ_VALID - valid));
        lapsed = 0;
        read_answer = 0
    }
}

/* Sends a takeover's append; its response is lost unless it definitely fails. */
inline claim(i) {
    d_step {
        append_on[i] = seen[i];
        append_orphaned[i] = 0;
        append_renews[i] = 0;
#if RESTORES > 0
        append_era[i] = read_era[i];
#endif
        claimed_on[i] = seen[i]
    }
}

inline land(i) {
    d_step {
        if
        :: append_on[i] == log_term && log_term < HIGHEST_TERM ->
            log_term++;
            log_newcomer_in_set[log_term] = log_newcomer_in_set[log_term - 1];
            if
            :: append_renews[i] ->
                log_wait[log_term] = 0;
                log_newcomer_in_set[log_term] = 1
#ifndef NEWCOMER_LIKE_SUCCESSOR
            :: !append_renews[i] && i == 3 && !log_newcomer_in_set[log_term] ->
                log_wait[log_term] = NEWCOMER_WAIT;
                log_newcomer_in_set[log_term] = 1
            :: !append_renews[i] && (i != 3 || log_newcomer_in_set[log_term]) ->
#else
            :: !append_renews[i] ->
#endif
                log_wait[log_term] = (i == 0 -> 0 : TAKEOVER_WAIT);
#ifdef SET_CHANGED_BY_TAKEOVER
                log_newcomer_in_set[log_term] = 1
#endif
            fi;
            log_holder[log_term] = (i == 0 -> 1 : i);
#if RESTORES > 0
            log_era[log_term] = append_era[i];
#endif
            if
            :: append_orphaned[i] -> log_holder[log_term] = NOBODY
            :: else
            fi
        :: else
        fi;
        append_on[i] = 0;
        append_orphaned[i] = 0;
        append_renews[i] = 0
    }
}

/* Requests a promise that successor i gives; the response is then in flight. */
inline give_promise(i) {
    d_step {
#ifdef LATE_ANSWERS
        promise_answer[i] = PROMISE;
#else
        promise[i] = PROMISE;
#endif
        if
        :: claimed_on[i] == 0 -> promise_kept[i] = PROMISE_KEPT
        :: else /* a takeover's wait is fixed when its append is sent */
        fi
    }
}

inline receive_promise(i) {
    d_step {
        promise[i] = max(promise[i], promise_answer[i]);
        promise_answer[i] = 0
    }
}

/* Loses all state of a node; its appends in flight to the log remain. */
inline restart(i) {
    d_step {
        restarts++;
        seen[i] = 0;
        read_valid[i] = 0;
        wait[i] = 0;
        claimed_on[i] = 0;
        checked[i] = 0;
        promise_kept[i] = PROMISE_KEPT;
#ifdef NO_QUIET_START
        promise_kept[i] = 0;
#endif
        append_orphaned[i] = (append_on[i] > 0);
#if RESTORES > 0
        was_holder[i] = 0;
#endif
        for (n : 2 .. HIGHEST_TERM) {
            if
            :: n <= log_term && log_holder[n] == i -> log_holder[n] = NOBODY
            :: else
            fi
        }
        n = 0
    }
}

#if RESTORES > 0
/* Loses the records above `kept`, and the holder of the first one if `lost` is set. */
inline restore(kept, lost) {
    d_step {
        for (n : 1 .. 3) {
            was_holder[n] = HOLDS(n);
            was_waitless[n] = WAITLESS(n)
        }
        n = 0;
        log_term = kept;
        era++;
        if
        :: lost -> log_holder[1] = NOBODY
        :: else
        fi
    }
}
#endif

#ifdef PROMISE_IN_DOUBT
#define MAY_PROMISE(i) (seen[i] <= 1)
#else
#define MAY_PROMISE(i) (seen[i] <= 1 && claimed_on[i] == 0)
#endif

#ifdef LATE_ANSWERS
#define IS_NEW_PROMISE(i) (promise_answer[i] < PROMISE)
#else
#define IS_NEW_PROMISE(i) (promise[i] < PROMISE)
#endif
/* Whether node 0 may act now or later. */
#define READS_0 (log_term == 1 && IS_FIRST_ERA)
#define LIVES_0 (!stopped && (READS_0 || !lapsed || read_answer > 0))
#ifndef PASSIVE
#define PASSIVE NOBODY    /* a node that gives promises but never takes over */
#endif
#define MAY_CLAIM(i) (i != PASSIVE && seen[i] > 0 && seen[i] < HIGHEST_TERM && !HOLDS(i) && claimed_on[i] == 0 && append_on[i] == 0)

init {
    byte n;
    byte step;
    byte i;
    d_step {
        log_holder[0] = NOBODY;
        log_holder[1] = 0;
        seen[0] = 1;
        lapsed = 1;
        seen[1] = 1;
        seen[2] = 1
    }
#ifndef EXACT_CLOCKS
    select (slow : 0 .. 3);
#endif
    do
    :: atomic {
        if
        :: i = 0
        :: i = FIRST_CANDIDATE
        :: i = LAST_CANDIDATE
#if LAST_CANDIDATE - FIRST_CANDIDATE > 1
        :: i = 2
#endif
        fi;
        if
        /* Steps of the environment. */
        :: i == 0 -> tick(0)
#ifndef EXACT_CLOCKS
        :: i == 0 && drift_credit == DRIFT_PERIOD -> tick(1)
#endif
        :: append_on[i] > 0 -> land(i)
        :: append_on[i] > 0 && i > 0 ->
            d_step { append_on[i] = 0; append_orphaned[i] = 0; append_renews[i] = 0 }
        :: append_on[i] > 0 && i > 0 && !append_orphaned[i] ->
            d_step { append_on[i] = 0; append_renews[i] = 0; claimed_on[i] = 0 }
        :: i > 0 && restarts < RESTARTS -> restart(i)
#if RESTORES > 0
        :: i == 0 && era < RESTORES && log_term > 1 -> restore(1, 0)
        :: i == 0 && era < RESTORES -> restore(1, 1)
#if HIGHEST_TERM > 2
        :: i == 0 && era < RESTORES && log_term > 2 -> restore(2, 0)
#endif
#endif
        /* Steps of any node. */
        :: i > 0 && (!IS_CURRENT(i) || seen[i] < log_term || (HOLDS(i) && read_valid[i] < READ_VALID)) -> read_log(i)
#ifdef NO_CHECK_AFTER_PAUSE
        :: i == 0 && MAY_0 && !checked[0] -> checked[0] = 1
        :: i > 0 && MAY(i) && !checked[i] -> checked[i] = 1
        :: checked[i] -> checked[i] = 0
#endif
        /* Steps of a candidate. */
        :: i > 0 && MAY_CLAIM(i) -> claim(i)
        :: i > 0 && claimed_on[i] > 0 && append_on[i] == 0 -> append_on[i] = claimed_on[i]
        :: (i == 1 || i == 2) && MAY_PROMISE(i) && LIVES_0 && IS_NEW_PROMISE(i) -> give_promise(i)
        :: (i == 1 || i == 2) && promise_answer[i] > 0 -> receive_promise(i)
        /* Steps of the holder. */
#ifdef LATE_ANSWERS
        :: i == 0 && LIVES_0 && READS_0 && read_answer < READ_VALID -> read_answer = READ_VALID
        :: i == 0 && read_answer > 0 -> receive_read(read_answer)
#else
        :: i == 0 && LIVES_0 && READS_0 && (read_valid[0] < READ_VALID || lapsed) -> receive_read(READ_VALID)
#endif
#ifdef RENEWALS
        :: i > 0 && MAY(i) && append_on[i] == 0 && claimed_on[i] == 0 && log_newcomer_in_set[seen[i]] == 0 ->
            d_step { claim(i); append_renews[i] = 1 }
#endif
#ifdef HANDOVERS
        :: i == 0 && MAY_0 && append_on[0] == 0 ->
            d_step { stopped = 1; append_on[0] = 1 }
#endif
        fi;
        i = 0
    };
    assert(COUNT_ACTING <= 1)
    od
}
