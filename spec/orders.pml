// Orders that run at most once: claims, voids and settlements in one shard of the order stream.
//
// The model has two agents, each of which may crash and restart once, and two tries with three
// attempts in total. Either both tries use the same key, sent through two entry VMs, or each has its
// own key. Every step is one choice of a single loop, so any process may pause between any two
// steps; a lost append, dispatch or reply is a step that is never taken. An append may take effect
// late, even after its sender has given up or crashed. A read may lag by any number of records.
//
// Invariants: a key runs at most once; a closing not-run implies that the key never runs; a
// not-run that leaves the key reusable implies that no attempt of that try runs; a settled answer
// is the answer of the run.
//
// MUTANT: RUN_BEFORE_READ
// MUTANT: VOID_WITHOUT_READ
// MUTANT: NOT_RUN_PER_ATTEMPT
// MUTANT: NOT_RUN_BY_STARTED
// MUTANT: CLAIM_WITHOUT_WINDOW
// SPIN: -m100000 -w24

#define N_KEYS 2
#define N_AGENTS 2
#define N_ATTEMPTS 3
#define N_TRIES 2
#define MAX_LOG 6
#define MAX_CRASHES 1
#define NOWHERE 15

// Attempts 0 and 1 belong to try 0 and attempt 2 to try 1. Attempts 0 and 2 go to agent 0.
#define TRY_OF(a) ((a) / 2)
#define KEY_OF(a) (((a) == 2) * second_key)
#define AGENT_OF(a) ((a) % 2)
#define FIRST_OF(t) ((t) * 2)
#define LAST_OF(t) ((t) + 1)
#define KEY_OF_TRY(t) ((t) * second_key)

// Records.
#define CLAIM 1
#define VOID 2
#define SETTLE_RAN 3
#define SETTLE_NOT_RUN 4

// Phases of an attempt at its agent. The dispatch of a waiting attempt may still be in transit; a
// restart of the agent ends the attempt, since the dispatch names the agent's incarnation.
#define ABSENT 0
#define WAITING 1
#define CLAIMING 2
#define RUNNING 3
#define DEAD 4
#define GONE 5

// Phases of a try.
#define NEW 0
#define DISPATCHED 1
#define VOIDING 2
#define OVER 3
#define OVER_REUSABLE 4

#define IS_OVER(t) (try_phase[t] >= OVER)
#define IS_AWAITED(a) (try_phase[TRY_OF(a)] == DISPATCHED && try_attempt[TRY_OF(a)] == a)

byte log_kind[MAX_LOG];
byte log_attempt[MAX_LOG];
byte log_len;

byte read_start[N_AGENTS];
byte incarnation[N_AGENTS];

byte phase[N_ATTEMPTS];
bool claim_in_flight[N_ATTEMPTS];

byte try_phase[N_TRIES];
byte try_attempt[N_TRIES];
bool void_in_flight[N_TRIES];

// Whether the caller marked the first use of key 0; it then waits for the reply to try 0 before it
// sends the key again.
bool is_marked;
byte second_key;

byte runs[N_KEYS];
byte ran_by[N_KEYS];
bool is_closed[N_KEYS];

byte idx;
byte found;
byte settled;

// Finds the first claim or void of a key in a part of the log.
inline find_first(key, from, to) {
  d_step {
    found = NOWHERE;
    idx = from;
    do
    :: idx < to && found == NOWHERE ->
       if
       :: log_kind[idx] <= VOID && KEY_OF(log_attempt[idx]) == key -> found = idx
       :: else -> skip
       fi;
       idx++
    :: else -> break
    od;
    idx = 0
  }
}

// Finds the settlement of the claim at `found`.
inline find_settlement() {
  d_step {
    settled = NOWHERE;
    idx = found;
    do
    :: idx < log_len && settled == NOWHERE ->
       if
       :: log_kind[idx] >= SETTLE_RAN && log_attempt[idx] == log_attempt[found] -> settled = idx
       :: else -> skip
       fi;
       idx++
    :: else -> break
    od;
    idx = 0
  }
}

inline forget_found() {
  found = 0;
  settled = 0
}

#define VOID_STANDS (found != NOWHERE && log_kind[found] == VOID)
#define CLAIM_STANDS (found != NOWHERE && log_kind[found] == CLAIM)
#define RAN_STANDS (settled != NOWHERE && log_kind[settled] == SETTLE_RAN)
#define NOT_RUN_STANDS (settled != NOWHERE && log_kind[settled] == SETTLE_NOT_RUN)

inline append(kind, attempt) {
  if
  :: log_len < MAX_LOG ->
     log_kind[log_len] = kind;
     log_attempt[log_len] = attempt;
     log_len++
  :: else -> skip
  fi
}

inline start_run(a) {
  phase[a] = RUNNING;
  runs[KEY_OF(a)]++;
  ran_by[KEY_OF(a)] = a;
  assert(runs[KEY_OF(a)] == 1);
  assert(!is_closed[KEY_OF(a)]);
  assert(try_phase[TRY_OF(a)] != OVER_REUSABLE)
}

inline end_try(t, over) {
  try_phase[t] = over;
  try_attempt[t] = 0
}

inline close_key(key) {
  is_closed[key] = true;
  assert(runs[key] == 0)
}

// The agent replies not-run for the key; the reply may be lost on the way to the entry VM.
inline reply_not_run(a) {
  close_key(KEY_OF(a));
  if
  :: IS_AWAITED(a) -> end_try(TRY_OF(a), OVER)
  :: true -> skip
  fi
}

inline reply_other(a) {
  if
  :: IS_AWAITED(a) -> end_try(TRY_OF(a), OVER)
  :: true -> skip
  fi
}

inline dispatch(t, a) {
  phase[a] = WAITING;
  try_attempt[t] = a;
  try_phase[t] = DISPATCHED
}

// The agent refuses before anything was appended, and keeps a tombstone. The entry VM retries at
// the next agent, or ends the try: as not-run only for the first use of the key.
inline reply_refused(a) {
  phase[a] = GONE;
  if
  :: IS_AWAITED(a) && a < LAST_OF(TRY_OF(a)) -> dispatch(TRY_OF(a), a + 1)
#ifdef NOT_RUN_PER_ATTEMPT
  :: IS_AWAITED(a) -> close_key(KEY_OF(a)); end_try(TRY_OF(a), OVER)
#else
  :: IS_AWAITED(a) && a == 0 && is_marked ->
     assert(runs[KEY_OF(a)] == 0);
     end_try(TRY_OF(a), OVER_REUSABLE)
  :: IS_AWAITED(a) && (a != 0 || !is_marked) -> end_try(TRY_OF(a), OVER)
#endif
  :: true -> skip
  fi
}

// Determines the result for the caller when another attempt's claim precedes.
inline conclude_claimed(key) {
  find_settlement();
  if
  :: RAN_STANDS -> assert(runs[key] == 1 && ran_by[key] == log_attempt[found])
  :: NOT_RUN_STANDS -> close_key(key)
  :: else -> skip
  fi
}

// The steps of attempt a at its agent.
inline agent_step(a) {
  if
  :: phase[a] == WAITING -> reply_refused(a)
  :: phase[a] == WAITING ->
     // The key has not been read yet, or has no claim or void.
     phase[a] = CLAIMING;
     claim_in_flight[a] = true
  :: phase[a] == CLAIMING ->
     // The deadline passes, or the log becomes unavailable, before the claim is read back.
     phase[a] = DEAD;
     reply_other(a)
  :: phase[a] == CLAIMING || phase[a] == WAITING ->
     find_first(KEY_OF(a), read_start[AGENT_OF(a)], log_len);
     if
     :: CLAIM_STANDS && log_attempt[found] == a -> start_run(a)
     :: CLAIM_STANDS && log_attempt[found] == a ->
        // The deadline passed: the holder of the claim settles the run that it will never start.
        phase[a] = GONE;
        append(SETTLE_NOT_RUN, a);
        reply_not_run(a)
     :: CLAIM_STANDS && log_attempt[found] != a ->
        phase[a] = GONE;
        conclude_claimed(KEY_OF(a));
        reply_other(a)
     :: VOID_STANDS ->
        phase[a] = GONE;
        reply_not_run(a)
     :: else -> skip
     fi;
     forget_found()
  :: phase[a] == DEAD ->
     find_first(KEY_OF(a), read_start[AGENT_OF(a)], log_len);
     if
     :: CLAIM_STANDS && log_attempt[found] == a ->
        phase[a] = GONE;
        close_key(KEY_OF(a));
        append(SETTLE_NOT_RUN, a)
     :: else -> skip
     fi;
     forget_found()
  :: phase[a] == RUNNING ->
     phase[a] = GONE;
     append(SETTLE_RAN, a);
     reply_other(a)
  :: phase[a] == RUNNING && IS_AWAITED(a) ->
     // The deadline passes while the target runs.
#ifdef NOT_RUN_BY_STARTED
     reply_not_run(a)
#else
     reply_other(a)
#endif
#ifdef RUN_BEFORE_READ
  :: phase[a] == CLAIMING && !claim_in_flight[a] -> start_run(a)
#endif
  :: claim_in_flight[a] ->
     claim_in_flight[a] = false;
     append(CLAIM, a)
  fi
}

inline agent_crash(g) {
  d_step {
    incarnation[g]++;
#ifdef CLAIM_WITHOUT_WINDOW
    read_start[g] = log_len;
#endif
    idx = 0;
    do
    :: idx < N_ATTEMPTS ->
       if
       :: AGENT_OF(idx) == g && phase[idx] != ABSENT -> phase[idx] = GONE
       :: else -> skip
       fi;
       idx++
    :: else -> break
    od;
    idx = 0
  }
}

// The steps of try t at its entry VM.
inline try_step(t) {
  if
  :: try_phase[t] == NEW && (t == 0 || second_key == 1 || (try_phase[0] != NEW && (!is_marked || IS_OVER(0)))) ->
     dispatch(t, FIRST_OF(t))
  :: try_phase[t] == DISPATCHED && try_attempt[t] < LAST_OF(t) ->
     // The agent is unreachable: dispatch to another one.
     dispatch(t, try_attempt[t] + 1)
  :: try_phase[t] == DISPATCHED ->
     // The agent is unreachable and no other one is left: append a void.
     try_phase[t] = VOIDING;
     try_attempt[t] = 0;
     void_in_flight[t] = true
  :: void_in_flight[t] ->
     void_in_flight[t] = false;
     append(VOID, FIRST_OF(t))
#ifdef VOID_WITHOUT_READ
  :: try_phase[t] == VOIDING && !void_in_flight[t] ->
     close_key(KEY_OF_TRY(t));
     end_try(t, OVER)
#endif
  :: try_phase[t] == VOIDING ->
     find_first(KEY_OF_TRY(t), 0, log_len);
     if
     :: VOID_STANDS -> close_key(KEY_OF_TRY(t)); end_try(t, OVER)
     :: CLAIM_STANDS -> conclude_claimed(KEY_OF_TRY(t)); end_try(t, OVER)
     :: else -> skip
     fi;
     forget_found()
  :: try_phase[t] == DISPATCHED || try_phase[t] == VOIDING ->
     // The deadline passes, or the entry VM crashes.
     end_try(t, OVER)
  fi
}

active proctype orders() {
  if
  :: is_marked = true
  :: is_marked = false
  fi;
  if
  :: second_key = 0
  :: second_key = 1
  fi;
end:
  do
  :: atomic { agent_step(0) }
  :: atomic { agent_step(1) }
  :: atomic { agent_step(2) }
  :: atomic { try_step(0) }
  :: atomic { try_step(1) }
  :: atomic { incarnation[0] < MAX_CRASHES -> agent_crash(0) }
  :: atomic { incarnation[1] < MAX_CRASHES -> agent_crash(1) }
  od
}
