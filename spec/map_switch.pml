// Map switches: no pass of a group begins while two ranks use different maps.
//
// MUTANT: ARM_FIRST       ranks are armed before the hold is confirmed
// MUTANT: RELEASE_EARLY   the pass is released when some rank is armed
// MUTANT: RELEASE_UNARMED a hold that is found with nothing copied is released without arming
// MUTANT: RELEASE_BLIND   a new leader releases the hold that it finds without reading the ranks
// MUTANT: PARTIAL         the pass is held before every rank has copied the map
// MUTANT: NO_DIGEST       a copy is confirmed by its version alone, without its content
// MUTANT: SAME_VERSIONS   a new leader takes equal versions of two incarnations for one map
// MUTANT: GIVE_UP_LATE    the keeper gives up an attempt for which it has allowed arms
// MUTANT: KEEPER_FORGETS  a keeper gives up an attempt that it found held as it started
// MUTANT: KEEPER_ALLOWS   a keeper allows arms for a pass that it found held as it started
// MUTANT: UNFENCED        the release by which the keeper gives up is executed after a later copy
// SPIN: -m400000 -w25
//
// Abstractions, each of which preserves or adds behaviour:
// - An order is a cell that the leader fills once. It may be executed at any later time, repeatedly
//   or never, which covers lost, late, repeated and reordered orders, also those of crashed leaders.
// - The leader reads the ranks one by one, and each may change before the next is read.
// - A leader may crash at any moment and loses its state; the next one is a new incarnation of the
//   same agent, as only the agent of rank 0 leads. There is never more than one leader at a time.
// - The pass is held at rank 0, whose agent is called the keeper here. The keeper either allows arms
//   for a pass that it sees held, or gives up the attempt and releases the pass; it decides once. It
//   may give up at any moment, and may crash and lose its state. A pass that it finds held as it
//   starts may have been allowed or given up before the crash: the keeper neither allows nor gives up
//   that pass until a new map is copied, after which its earlier release is refused. Requests of the
//   leader name the incarnation of the keeper, so that none from before a crash is answered after it.
// - There is one formation of the group: orders name it, and a new one discards maps, holds and
//   orders.
// - The content of a map is the number of the attempt that planned it. Two attempts of different
//   incarnations may pick the same version number. Real versions also contain the incarnation; the
//   model represents this by comparing both number and content.
// - A pass may begin whenever it is permitted; an idle group is one that begins none for a while.

#define RANKS 3
#define ATTEMPTS 3
#define PASSES 2
#define CRASHES 1
#define KEEPER_CRASHES 1

// Ranks.
byte map_content[RANKS];     // the content of the map in use, 0: the first map
byte map_version[RANKS];
byte copied_version[RANKS];  // 0: nothing copied
byte copied_content[RANKS];
byte armed_version[RANKS];   // 0: not armed
byte armed_content[RANKS];
byte armed_pass[RANKS];
byte held;                   // the pass that the keeper's rank holds, 0: none
byte begun;                  // the last pass that was begun

// Orders in flight; each may be executed at any time once sent.
byte prepare_version[ATTEMPTS + 1];        // 0: not sent
bool prepare_sent[(ATTEMPTS + 1) * RANKS];
bool hold_sent[PASSES + 2];
bool release_sent[PASSES + 2];
byte arm_version[(PASSES + 2) * RANKS];    // by pass and rank, 0: not sent

// State of the leader; a crash of its process loses all of it but the number of attempts.
mtype = { IDLE, PREPARING, HOLDING, ARMING, RELEASING, READING };
mtype phase = IDLE;
byte attempt;
byte version;
byte pass;
byte confirmed;              // bit set of the ranks whose state was read and is as expected
byte read_at;                // the next rank to read
byte highest;                // the highest version read
byte common;                 // the version copied by all ranks read so far, 0: none, 255: no rank read
byte common_content;
byte armed_seen;             // the version of a rank that is armed for the held pass
byte n_attempts;
byte crashes;

// State of the keeper; a crash of its process loses all of it.
byte told_pass;              // the pass of the current attempt, 0: none
bool allowed;                // arms are allowed for that pass
bool given_up;
bool unknown;                // the pass was already held when the process started
byte start_version;          // the version copied at the keeper's rank at that time
bool give_up_sent[PASSES + 2]; // releases that are executed unless another order has begun since
byte keeper_crashes;

#define ALL ((1 << RANKS) - 1)

inline forget() {
  phase = IDLE; attempt = 0; version = 0; pass = 0; confirmed = 0; read_at = 0; highest = 0;
  common = 0; common_content = 0; armed_seen = 0
}

// Begins an order. At the keeper's rank this invalidates the releases sent before it: they name the
// number of orders begun until then and are refused from now on.
inline fence(rank) {
#ifndef UNFENCED
  if
  :: rank == 0 -> give_up_sent[1] = false; give_up_sent[2] = false
  :: else
  fi
#else
  skip
#endif
}

// The leader queries the keeper about its attempt; the keeper allows arms once it sees the pass held.
inline ask() {
  if
  :: told_pass != pass -> told_pass = pass; allowed = false; given_up = false; unknown = false
  :: else
  fi;
  if
#ifdef KEEPER_ALLOWS
  :: held == pass && !given_up -> allowed = true; unknown = false
#else
  :: held == pass && !given_up && !unknown -> allowed = true
  :: held == pass && unknown && start_version < copied_version[0] && version == copied_version[0] ->
      allowed = true; unknown = false
#endif
  :: else
  fi
}

active proctype Group() {
  byte r;
end:
  do
  :: atomic { begun < PASSES && held != begun + 1 ->
      begun++;
      r = 0;
      do
      :: r < RANKS ->
          if
          :: armed_version[r] != 0 && armed_pass[r] == begun ->
              map_version[r] = armed_version[r];
              map_content[r] = armed_content[r];
              armed_version[r] = 0; armed_content[r] = 0; armed_pass[r] = 0
          :: else
          fi;
          r++
      :: else -> break
      od;
      r = 1;
      do
      :: r < RANKS ->
          assert(map_version[r] == map_version[0] && map_content[r] == map_content[0]);
          r++
      :: else -> break
      od;
      r = 0 }
  od
}

active proctype Orders() {
  byte a, r, s;
end:
  do
  :: atomic { select(a : 1 .. ATTEMPTS); select(r : 0 .. 2);
      if
      :: prepare_sent[a * RANKS + r] && armed_version[r] == 0 &&
         copied_version[r] < prepare_version[a] && map_version[r] < prepare_version[a] ->
          copied_version[r] = prepare_version[a];
          copied_content[r] = a;
          fence(r)
      :: else
      fi; a = 0; r = 0 }
  :: atomic { select(s : 1 .. PASSES);
      if
      :: hold_sent[s] && held == 0 && begun < s -> held = s; fence(0)
      :: else
      fi; s = 0 }
  :: atomic { select(s : 1 .. PASSES);
      if
      :: release_sent[s] && held == s -> held = 0
      :: give_up_sent[s] && held == s -> held = 0
      :: else
      fi; s = 0 }
  :: atomic { select(s : 1 .. PASSES); select(r : 0 .. 2);
      if
      :: arm_version[s * RANKS + r] != 0 && begun < s && armed_version[r] == 0 &&
         copied_version[r] == arm_version[s * RANKS + r] ->
          armed_version[r] = copied_version[r];
          armed_content[r] = copied_content[r];
          armed_pass[r] = s;
          fence(r)
      :: else
      fi; s = 0; r = 0 }
  od
}

active proctype Keeper() {
end:
  do
#ifdef GIVE_UP_LATE
  :: atomic { told_pass != 0 && held == told_pass && !unknown ->
#else
  :: atomic { told_pass != 0 && held == told_pass && !allowed && !unknown ->
#endif
      given_up = true; give_up_sent[told_pass] = true }
  :: atomic { keeper_crashes < KEEPER_CRASHES && told_pass != 0 ->
      keeper_crashes++;
      given_up = false; allowed = false; told_pass = held; start_version = copied_version[0];
#ifdef KEEPER_FORGETS
      unknown = false
#else
      unknown = (held != 0)
#endif
    }
  od
}

active proctype Leader() {
  byte r;
end:
  do
  // A crash at any moment.
  :: atomic { crashes < CRASHES && phase != IDLE -> crashes++; forget() }

  // Idle: read all ranks, then complete the attempt of a held pass or begin a new attempt.
  :: atomic { phase == IDLE -> phase = READING; read_at = 0; highest = 0; armed_seen = 0; common = 255 }
  :: atomic { phase == READING && read_at < RANKS ->
      if :: highest < map_version[read_at] -> highest = map_version[read_at] :: else fi;
      if :: highest < copied_version[read_at] -> highest = copied_version[read_at] :: else fi;
      if
      :: armed_version[read_at] != 0 && armed_pass[read_at] == held -> armed_seen = armed_version[read_at]
      :: else
      fi;
      if
      :: copied_version[read_at] == map_version[read_at] -> common = 0
      :: else ->
          if
          :: common == 255 -> common = copied_version[read_at]; common_content = copied_content[read_at]
#ifdef SAME_VERSIONS
          :: common != 255 && common != copied_version[read_at] -> common = 0
#else
          // Versions contain the incarnation that chose them, so equal versions have equal content.
          :: common != 255 && (common != copied_version[read_at] || common_content != copied_content[read_at]) ->
              common = 0
#endif
          :: else
          fi
      fi;
      read_at++ }
  :: atomic { phase == READING && read_at == RANKS ->
      if
      :: held != 0 ->
          pass = held; confirmed = 0;
#ifdef RELEASE_BLIND
          release_sent[pass] = true; phase = RELEASING
#else
          if
          :: armed_seen != 0 -> version = armed_seen; phase = ARMING
          :: armed_seen == 0 && common != 0 && common != 255 -> version = common; phase = HOLDING
#ifdef RELEASE_UNARMED
          :: else -> release_sent[pass] = true; phase = RELEASING
#else
          // Copy any map, then arm it for the held pass: a release that is executed late must never
          // apply to a pass for which only some ranks are armed.
          :: armed_seen == 0 && (common == 0 || common == 255) && n_attempts < ATTEMPTS ->
              n_attempts++; attempt = n_attempts; version = highest + 1;
              prepare_version[attempt] = version;
              phase = PREPARING
          :: else -> phase = IDLE
#endif
          fi
#endif
      :: held == 0 && n_attempts < ATTEMPTS && armed_version[0] == 0 && armed_version[1] == 0 &&
         armed_version[2] == 0 ->
          n_attempts++; attempt = n_attempts; version = highest + 1; confirmed = 0;
          prepare_version[attempt] = version;
          phase = PREPARING
      :: else -> phase = IDLE
      fi }

  // Preparing: send the order to each rank, and confirm it by reading the rank's state.
  :: atomic { phase == PREPARING ->
      select(r : 0 .. 2);
      prepare_sent[attempt * RANKS + r] = true;
      if
#ifdef NO_DIGEST
      :: copied_version[r] == version -> confirmed = confirmed | (1 << r)
#else
      :: copied_version[r] == version && copied_content[r] == attempt -> confirmed = confirmed | (1 << r)
#endif
      :: else
      fi; r = 0 }
#ifdef PARTIAL
  :: atomic { phase == PREPARING && confirmed != 0 && begun + 1 <= PASSES ->
#else
  :: atomic { phase == PREPARING && confirmed == ALL && begun + 1 <= PASSES ->
#endif
      if
      :: held != 0 -> pass = held
      :: else -> pass = begun + 1
      fi;
      confirmed = 0; phase = HOLDING }
  :: atomic { phase == PREPARING -> forget() }

  // Holding: hold the next pass, or a later one if that has already begun.
  :: atomic { phase == HOLDING -> 
      if
      :: begun < pass -> hold_sent[pass] = true
      :: begun >= pass && begun < PASSES -> pass = begun + 1
      :: else -> forget()
      fi }
#ifdef ARM_FIRST
  :: atomic { phase == HOLDING -> confirmed = 0; phase = ARMING }
#endif
  // The response may be lost.
  :: atomic { phase == HOLDING && begun < pass ->
      ask();
      if
      :: allowed -> confirmed = 0; phase = ARMING
      :: unknown && told_pass == pass && n_attempts < ATTEMPTS && version <= start_version ->
          n_attempts++; attempt = n_attempts; version = version + 1; confirmed = 0;
          prepare_version[attempt] = version;
          phase = PREPARING
      :: skip
      fi }

  // Arming: the leader never gives up in this phase.
  :: atomic { phase == ARMING ->
      select(r : 0 .. 2);
      arm_version[pass * RANKS + r] = version;
      if
      :: armed_version[r] == version && armed_pass[r] == pass -> confirmed = confirmed | (1 << r)
      :: else
      fi; r = 0 }
#ifdef RELEASE_EARLY
  :: atomic { phase == ARMING && confirmed != 0 -> release_sent[pass] = true; phase = RELEASING }
#else
  :: atomic { phase == ARMING && confirmed == ALL -> release_sent[pass] = true; phase = RELEASING }
#endif

  // Releasing: lasts until the state shows that the pass is no longer held.
  :: atomic { phase == RELEASING && held != pass -> forget() }
  od
}
