// Step windows: no window of a group runs on two expert maps.
//
// MUTANT: MAJORITY        two of three ranks instead of all
// MUTANT: NO_ASK          a new leader prepares without asking first
// MUTANT: NO_FENCE        agents take prepares and grants of any fencing number
// MUTANT: NO_REJOIN       a restarted agent answers without rejoining
// MUTANT: NO_ADOPT        a restarted agent rejoins without adopting promises
// MUTANT: NO_INCARNATIONS a grant does not name the incarnations of all ranks
// SPIN: -m100000 -w27
//
// Abstractions, each of which preserves or adds behaviour:
// - Only one window is modelled. A window follows only after all ranks were granted the previous
//   one, so that two consecutive windows do not interfere.
// - Each Lead record (fencing number) has its own process that never stops, which covers a paused
//   leader that resumes late. Leaders 1 and 2 propose different maps.
// - A message is a cell that its sender fills and its receiver may read at any later time, repeatedly
//   or never, which covers delay, reordering, duplication and loss. An answer replaces the one of an
//   earlier incarnation: a leader that acts on the earlier one makes no progress, since that
//   incarnation no longer accepts anything.
// - A grant needs no cell: it may arrive as soon as the leader could have sent it, naming any
//   incarnations that have accepted; that includes every grant still in flight.
// - No target checks fencing numbers; a target that does only refuses more.
// - By the time the next agent of a rank reads the target's state, every order of the previous agent
//   has reached the target or never will (one agent slot per VM, and the settle time of the agent).
// - A target survives a restart of its agent; a new target is a rank that has run nothing.
// - Agents restart at most RESTARTS times in total, at any moment, also all at once.

#define RANKS 3
#ifndef LEADS
#define LEADS 2
#endif
#ifndef RESTARTS
#define RESTARTS 3
#endif
#ifndef LIVES
#define LIVES 2            // the maximum number of incarnations of a rank
#endif
#define REJOINING 7

typedef Ballot {
  byte map;                // the map that the leader has chosen, 0: none
  byte answered[RANKS];    // cell: the incarnation that has answered, 0: none
  byte started[RANKS];     // cell: the started map in the answer, 0: none
  byte prepared[RANKS];    // cells: one bit for each incarnation that has accepted
};

typedef Rank {
  bool joined;
  byte incarnation;
  byte floor;              // the lowest fencing number that is accepted
  byte leader;             // the fencing number of the current leader, 0: none
  byte accepted;           // the map accepted from that leader, 0: none
  byte started;            // the map that the target runs the window on; survives agent restarts
  byte known[RANKS];       // the incarnations of all ranks, 0: not known
  byte told[RANKS];        // cells: the floors reported by the others + 1, or REJOINING; 0: none
  byte log;                // newest Lead record read + 1, 0: not read
};

Ballot ballots[LEADS + 1];
Rank ranks[RANKS];
byte newest = 1;           // the newest Lead record of the log
byte restarts = 0;

#define AGREES(RANK, MAP) (ranks[RANK].started == 0 || ranks[RANK].started == MAP)

#define ANSWERED(F, R) (ballots[F].answered[R] != 0)
#ifdef MAJORITY
#define ENOUGH_ANSWERED(F) (ANSWERED(F, 0) + ANSWERED(F, 1) + ANSWERED(F, 2) >= 2)
#else
#define ENOUGH_ANSWERED(F) (ANSWERED(F, 0) && ANSWERED(F, 1) && ANSWERED(F, 2))
#endif

#define HAS_PREPARED(F, Q) (ballots[F].prepared[Q] != 0)
#ifdef NO_INCARNATIONS
#define NAMED(R, F, Q) HAS_PREPARED(F, Q)
#else
// The grant names an incarnation of rank Q that has accepted and that rank R knows.
#define NAMED(R, F, Q) (HAS_PREPARED(F, Q) && \
  (ranks[R].known[Q] == 0 || (ballots[F].prepared[Q] & (1 << ranks[R].known[Q])) != 0))
#endif
#ifdef MAJORITY
#define GRANTED(R, F) (NAMED(R, F, 0) + NAMED(R, F, 1) + NAMED(R, F, 2) >= 2)
#else
#define GRANTED(R, F) (NAMED(R, F, 0) && NAMED(R, F, 1) && NAMED(R, F, 2))
#endif

#ifdef NO_FENCE
#define FOLLOWS(R, F) (ranks[R].joined)
#else
#ifdef NO_ASK
#define FOLLOWS(R, F) (ranks[R].joined && F >= ranks[R].floor)
#else
#define FOLLOWS(R, F) (ranks[R].joined && ranks[R].leader == F)
#endif
#endif

#ifdef NO_ASK
// No promise was made to any leader, so each may replace the map accepted from another.
#define MAY_ACCEPT(R, F) true
#else
#define MAY_ACCEPT(R, F) (ranks[R].accepted == 0)
#endif

// The leader with fencing number f.
proctype lead_record(byte f; byte wanted) {
end:
  do
  :: d_step { newest == f - 1 -> newest = f }
#ifdef NO_ASK
  :: d_step { newest >= f && ballots[f].map == 0 -> ballots[f].map = wanted }
#else
  // All ranks have answered: choose the map that a rank has started, else the wanted one.
  :: d_step { ballots[f].map == 0 && ENOUGH_ANSWERED(f) ->
       ballots[f].map = wanted;
       if :: ballots[f].started[0] != 0 -> ballots[f].map = ballots[f].started[0] :: else fi;
       if :: ballots[f].started[1] != 0 -> ballots[f].map = ballots[f].started[1] :: else fi;
       if :: ballots[f].started[2] != 0 -> ballots[f].map = ballots[f].started[2] :: else fi;
       // The answers are no longer needed: a leader that later learns of another map steps down.
       ballots[f].answered[0] = 0; ballots[f].answered[1] = 0; ballots[f].answered[2] = 0;
       ballots[f].started[0] = 0; ballots[f].started[1] = 0; ballots[f].started[2] = 0 }
#endif
  od
}

// Rank R processes the messages of the leader with fencing number F.
#define TAKE_ASK(R, F) \
  d_step { ranks[R].joined && newest >= F && F >= ranks[R].floor && \
    (ranks[R].leader != F || (ballots[F].map == 0 && \
      (ballots[F].answered[R] != ranks[R].incarnation || ballots[F].started[R] != ranks[R].started))) -> \
    if :: ranks[R].leader != F -> ranks[R].accepted = 0 :: else fi; \
    ranks[R].leader = F; \
    ranks[R].floor = F; \
    if :: ballots[F].map == 0 -> \
            ballots[F].answered[R] = ranks[R].incarnation; \
            ballots[F].started[R] = ranks[R].started \
       :: else fi }

#define TAKE_PREPARE(R, F) \
  d_step { FOLLOWS(R, F) && ballots[F].map != 0 && AGREES(R, ballots[F].map) && \
    ((ranks[R].started == 0 && ranks[R].accepted != ballots[F].map && MAY_ACCEPT(R, F)) || \
     ((ballots[F].prepared[R] & (1 << ranks[R].incarnation)) == 0 && \
      (ranks[R].started != 0 || ranks[R].accepted == ballots[F].map))) -> \
    if :: ranks[R].started == 0 -> ranks[R].accepted = ballots[F].map :: else fi; \
    ballots[F].prepared[R] = ballots[F].prepared[R] | (1 << ranks[R].incarnation) }

#define TAKE_GRANT(R, F) \
  d_step { FOLLOWS(R, F) && ballots[F].map != 0 && ranks[R].accepted == ballots[F].map && GRANTED(R, F) -> \
    ranks[R].accepted = 0; \
    assert(AGREES(R, ballots[F].map)); \
    ranks[R].started = ballots[F].map; \
    assert(AGREES(0, ballots[F].map) && AGREES(1, ballots[F].map) && AGREES(2, ballots[F].map)) }

// Rank R answers rank Q, which is rejoining.
#define TAKE_REJOIN(R, Q) \
  d_step { R != Q && !ranks[Q].joined && ranks[Q].told[R] == 0 -> \
    ranks[R].known[Q] = ranks[Q].incarnation; \
    ranks[Q].known[R] = ranks[R].incarnation; \
    if :: ranks[R].joined -> ranks[Q].told[R] = ranks[R].floor + 1 \
       :: else -> ranks[Q].told[R] = REJOINING fi }

#define TOLD(R, OFFSET) ranks[R].told[(R + OFFSET) % RANKS]
#define ALL_TOLD(R) (TOLD(R, 1) != 0 && TOLD(R, 2) != 0)
#define NEEDS_LOG(R) (TOLD(R, 1) == REJOINING || TOLD(R, 2) == REJOINING)

proctype agent(byte r) {
  byte lowest;
end:
  do
  :: TAKE_ASK(r, 1)
  :: TAKE_PREPARE(r, 1)
  :: TAKE_GRANT(r, 1)
  :: TAKE_ASK(r, 2)
  :: TAKE_PREPARE(r, 2)
  :: TAKE_GRANT(r, 2)
#if LEADS >= 3
  :: TAKE_ASK(r, 3)
  :: TAKE_PREPARE(r, 3)
  :: TAKE_GRANT(r, 3)
#endif
  :: TAKE_REJOIN(r, 0)
  :: TAKE_REJOIN(r, 1)
  :: TAKE_REJOIN(r, 2)
  // Restart: all state is lost except the target's.
  :: d_step { restarts < RESTARTS && ranks[r].incarnation < LIVES ->
       restarts++;
       ranks[r].incarnation++;
       ranks[r].floor = 0;
       ranks[r].leader = 0;
       ranks[r].accepted = 0;
       ranks[r].log = 0;
       ranks[r].told[0] = 0; ranks[r].told[1] = 0; ranks[r].told[2] = 0;
       ranks[r].known[0] = 0; ranks[r].known[1] = 0; ranks[r].known[2] = 0;
       ranks[r].known[r] = ranks[r].incarnation;
#ifdef NO_REJOIN
       ranks[r].joined = true
#else
       ranks[r].joined = false
#endif
     }
  // All others know the new incarnation. If one of them did not know its own promise, the newest
  // Lead record of the log is read, and all records up to it are refused.
  :: d_step { !ranks[r].joined && ALL_TOLD(r) && NEEDS_LOG(r) && ranks[r].log == 0 ->
       ranks[r].log = newest + 1 }
  :: d_step { !ranks[r].joined && ALL_TOLD(r) && (!NEEDS_LOG(r) || ranks[r].log != 0) ->
       lowest = ranks[r].log;
       if :: TOLD(r, 1) != REJOINING && TOLD(r, 1) > lowest + 1 -> lowest = TOLD(r, 1) - 1 :: else fi;
       if :: TOLD(r, 2) != REJOINING && TOLD(r, 2) > lowest + 1 -> lowest = TOLD(r, 2) - 1 :: else fi;
#ifndef NO_ADOPT
       ranks[r].floor = lowest;
#endif
       ranks[r].joined = true;
       ranks[r].log = 0;
       ranks[r].told[0] = 0; ranks[r].told[1] = 0; ranks[r].told[2] = 0;
       lowest = 0 }
  od
}

init {
  atomic {
    byte i = 0;
    do
    :: i < RANKS ->
       ranks[i].joined = true;
       ranks[i].incarnation = 1;
       ranks[i].known[0] = 1; ranks[i].known[1] = 1; ranks[i].known[2] = 1;
       i++
    :: else -> break
    od;
    run lead_record(1, 1);
    run lead_record(2, 2);
#if LEADS >= 3
    run lead_record(3, 1);
#endif
    run agent(0);
    run agent(1);
    run agent(2)
  }
}
