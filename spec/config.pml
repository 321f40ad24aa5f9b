// MUTANT: NO_BASE_CHECK
// MUTANT: BLIND_REAPPEND
// MUTANT: INSTALL_ANY
// MUTANT: NO_GAP_CHECK
//
// The configuration stream: operators who race, appends whose answer is lost, readers that
// pull from each other, a reader that restarts, and a log whose first record is trimmed.
//
// Two operators each want one change in force. An operator reads the version of a process,
// appends a patch against it, and may lose the answer after the append took effect or before.
// It then reads the log for its nonce and appends again only when the nonce is not there. A
// rejected patch is tried again against the version that the operator reads, in a new record.
//
// A version is known by its number; its content by the record (offset + 1) that made it.

#define OPERATORS 2
#define READERS 2
#define LOG 6

// The log: for each record its base and its nonce (operator, attempt).
byte log_base[LOG];
byte log_nonce[LOG];
byte log_len = 0;
byte first = 0;              // records before this offset are trimmed

// The fold of the whole log, the reference for every process.
byte true_version = 0;
byte true_content[LOG + 1];  // content by version: offset + 1 of its record
byte applied[OPERATORS];     // how often an operator's change was accepted

// The processes.
byte next[READERS];          // the next offset to fold
byte version[READERS];
byte content[READERS];
bool waiting[READERS];       // a gap was met; only a peer or a snapshot helps

// The last snapshot in the log.
byte snapshot_version = 0;
byte snapshot_content = 0;
byte snapshot_next = 0;

inline append(base_, nonce_) {
  d_step {
    assert(log_len < LOG);
    log_base[log_len] = base_;
    log_nonce[log_len] = nonce_;
    log_len++;
    if
#ifdef NO_BASE_CHECK
    :: true ->
#else
    :: base_ == true_version ->
#endif
       true_version++;
       true_content[true_version] = log_len;
       applied[nonce_ / 4]++;
       assert(applied[nonce_ / 4] <= 1);  // a change is accepted once
       assert(base_ + 1 == true_version)  // one winner per base
    :: else
    fi
  }
}

// Finds whether a record with the nonce is in the log and whether it was accepted.
inline look_up(nonce_) {
  d_step {
    found = false;
    accepted = false;
    i = 0;
    do
    :: i < log_len ->
       if
       :: log_nonce[i] == nonce_ -> found = true
       :: else
       fi;
       i++
    :: else -> break
    od;
    i = 1;
    do
    :: i <= true_version ->
       if
       :: log_nonce[true_content[i] - 1] == nonce_ -> accepted = true
       :: else
       fi;
       i++
    :: else -> break
    od;
    i = 0
  }
}

proctype operator(byte id) {
  byte base, nonce, i;
  byte attempt = 0;
  bool found, accepted;

  do
  :: attempt < 3 && log_len < LOG ->
     nonce = id * 4 + attempt;
     // The version of some process: it may lag behind the log.
     if
     :: base = version[0]
     :: base = version[1]
     fi;
     if
     :: log_len < LOG -> append(base, nonce)         // stored; answered or answer lost
     :: skip                                         // lost before the log had it
     fi;
#ifdef BLIND_REAPPEND
     // The answer is taken for a failure, the patch is sent again against the new version.
     if
     :: log_len < LOG -> append(version[0], nonce)
     :: skip
     fi;
     break
#else
     look_up(nonce);
     if
     :: accepted -> break
     :: found && !accepted -> attempt++              // rejected for good: a new record
     :: !found -> attempt++
     fi
#endif
  :: else -> break
  od
}

inline install(me, number_, content_) {
#ifndef INSTALL_ANY
  assert(version[me] < number_);                     // no process goes back
#else
  assert(version[me] <= number_);
#endif
  version[me] = number_;
  content[me] = content_;
  assert(content[me] == true_content[version[me]])   // one content per version number
}

proctype reader(byte me) {
  byte peer = 1 - me;
  bool restarted = false;

  do
  :: // Fold the next record, or meet a gap where it was trimmed.
     d_step {
       !waiting[me] && next[me] < log_len ->
       if
       :: next[me] < first ->
#ifdef NO_GAP_CHECK
          next[me] = first
#else
          waiting[me] = true
#endif
       :: else ->
          if
          :: log_base[next[me]] == version[me] ->
             install(me, version[me] + 1, next[me] + 1)
          :: else
          fi;
          next[me]++
       fi
     }
  :: // Pull the whole state of the peer when it is ahead, with its place in the log.
     d_step {
#ifdef INSTALL_ANY
       version[peer] != version[me] ->
#else
       version[me] < version[peer] ->
#endif
       install(me, version[peer], content[peer]);
       if
       :: next[me] < content[peer] -> next[me] = content[peer]
       :: else
       fi;
       waiting[me] = false
     }
  :: // Load the last snapshot of the log, where this reader met a gap.
     d_step {
       waiting[me] && first <= snapshot_next && version[me] <= snapshot_version ->
       version[me] = snapshot_version;
       content[me] = snapshot_content;
       next[me] = snapshot_next;
       waiting[me] = false
     }
  :: // Restart with nothing, once.
     d_step {
       !restarted ->
       restarted = true;
       version[me] = 0;
       content[me] = 0;
       next[me] = 0;
       waiting[me] = false
     }
  :: // Retention ends for a record after a reader at the tail wrote a snapshot.
     d_step {
       me == 0 && !waiting[0] && first < next[0] && next[0] == log_len && first < 3 ->
       snapshot_version = version[0];
       snapshot_content = content[0];
       snapshot_next = next[0];
       first++
     }
  :: timeout ->
     // Nothing more can happen: everybody has the version of the whole log.
     assert(!waiting[me] && version[me] == true_version);
     break
  od
}

init {
  atomic {
    run operator(0);
    run operator(1);
    run reader(0);
    run reader(1)
  }
}
