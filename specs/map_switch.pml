/* The switch of a group's expert map under a hold.
 *
 * Three ranks have prepared the new map. A leader beside rank 0 holds the pass
 * at rank 1, arms ranks 1 and 2 in any order, has rank 1 grant that it arms its
 * own rank, arms it, and releases the hold. It may stop for good at any point,
 * and then rank 0 can't be reached for as long as it pleases.
 *
 * Two successors follow, beside rank 1 or 2; the first may stop too. A successor
 * reads each rank and releases the hold if all are armed. Otherwise it undoes the
 * switch: an unarmed rank prepares another version, which voids a late order to
 * arm it, and armed ranks are disarmed once some other rank can't be armed any
 * more. What it knows of a rank is as old as the rank's last status.
 *
 * Each order to arm, disarm or release may be left unanswered and carried out at
 * any later time: one to arm until the pass has begun or the rank has prepared
 * another version, one to disarm until the pass has begun. A rank's agent
 * remembers unanswered orders to arm. The agent of rank 1 may start again once,
 * at any point, and then knows neither what it granted nor which orders were left
 * unanswered. The claim: the pass never begins with some ranks armed and others
 * not.
 *
 * Each mutant must violate it:
 *   NO_HOLD         the leader arms without a hold
 *   EARLY_RELEASE   the hold is released before all are confirmed armed
 *   NO_READING      the successor releases without reading the ranks
 *   NO_GRANT        the leader arms its own rank without a grant
 *   IGNORE_LATE     the arming is undone although an order may still be late
 *   FORGET_GRANT    an agent that has started again is taken to have granted
 *                   nothing
 *   UNTOLD_PASS     a successor isn't told for which pass other ranks are armed,
 *                   takes them to be armed for another than its own, and disarms
 *                   them all while a release may be on its way; already with
 *                   ONE_SUCCESSOR
 *   EARLY_DISARM    a late order arms the last rank while the switch is undone,
 *                   and then ranks are disarmed though all are armed
 */
#define RANKS 3

bool armed[RANKS];
bool late[RANKS];         /* an order to arm is on its way */
bool late_disarm[RANKS];
bool late_release;
bool may_arm_late[RANKS]; /* the agent sent one that got no answer */
bool voided[RANKS];       /* has prepared another version since */
bool granted;             /* rank 1 let the leader arm rank 0, as its agent knows */
bool knows = true;        /* that agent has run since before the switch */
bool restarted;           /* and it has started again since */
bool held;
bool begun;
bool stopped;             /* the leader, with the way to rank 0 */
bool first_stopped;       /* the first successor */
bool reachable = true;    /* rank 0 */
bool done;

#ifdef FORGET_GRANT
#define IS_UNGRANTED (!granted)
#else
#define IS_UNGRANTED (knows && !granted)
#endif

#define ALL_ARMED (armed[0] && armed[1] && armed[2])
#define NONE_ARMED (!armed[0] && !armed[1] && !armed[2])

#ifdef IGNORE_LATE
#define IS_LATE_VOID(r) true
#else
#define IS_LATE_VOID(r) (!may_arm_late[r] || voided[r])
#endif

/* An order to arm: carried out, or left unanswered for later. */
inline arm(r) {
  if
  :: begun || voided[r]
  :: !begun && !voided[r] -> armed[r] = true
  :: !begun && !voided[r] -> late[r] = true; may_arm_late[r] = true
  fi
}

/* An order to disarm. A version in use isn't disarmed. */
inline disarm(r) {
  if
  :: begun
  :: !begun -> armed[r] = false
  :: !begun -> late_disarm[r] = true
  fi
}

inline release() {
  if
  :: held = false
  :: late_release = true
  fi
}

proctype Leader() {
#ifndef NO_HOLD
  held = true;
#endif
  do
  :: atomic { !stopped && !armed[1] -> arm(1) }
  :: atomic { !stopped && !armed[2] -> arm(2) }
  :: armed[1] && armed[2] -> break
#ifdef EARLY_RELEASE
  :: armed[1] -> break
#endif
  :: stopped -> goto end
  od;
#ifdef EARLY_RELEASE
  held = false;
#endif
#ifndef NO_GRANT
  if
  :: atomic { !stopped -> granted = true }
  :: stopped -> goto end
  fi;
#endif
  do
  :: atomic { !stopped && !armed[0] -> arm(0) }
  :: armed[0] -> break
  :: stopped -> goto end
  od;
  do
  :: atomic { !stopped && held && !late_release -> release() }
  :: atomic { !stopped && !held -> break }
  :: stopped -> goto end
  od;
  done = true;
end:
  skip
}

#define IS_GONE (number == 0 && first_stopped)
#define ALL_SEEN_ARMED (seen_armed[0] && seen_armed[1] && seen_armed[2])
#define ALL_SEEN_UNDONE (seen_undone[1] && seen_undone[2] && \
                         (seen_undone[0] || is_excused))
#define ANY_SEEN_UNDONE (seen_undone[0] || seen_undone[1] || seen_undone[2] || \
                         is_excused)
#ifdef UNTOLD_PASS
#define MAY_DISARM (ANY_SEEN_UNDONE || ALL_SEEN_ARMED)
#define CAN_COMPLETE false
#else
#ifdef EARLY_DISARM
#define MAY_DISARM (ANY_SEEN_UNDONE || ALL_SEEN_ARMED)
#define CAN_COMPLETE false
#else
#define MAY_DISARM ANY_SEEN_UNDONE
#define CAN_COMPLETE ALL_SEEN_ARMED
#endif
#endif

/* A status of rank r: what the successor knows of it from now on. */
inline read(r) {
  seen_armed[r] = armed[r];
  seen_undone[r] = !armed[r] && IS_LATE_VOID(r)
}

inline undo(r) {
  if
  :: seen_armed[r] && MAY_DISARM && !late_disarm[r] -> disarm(r)
  :: !seen_armed[r] && !seen_undone[r] && !armed[r] && !begun -> voided[r] = true
  fi
}

/* Takes over once its predecessor has stopped. */
proctype Successor(byte number) {
  bool seen_armed[RANKS];
  bool seen_undone[RANKS];
  bool is_excused; /* rank 0 isn't reachable, and known not to be armed */
  if
  :: number == 0 -> stopped
  :: number == 1 -> first_stopped
  fi;
#ifdef NO_READING
  held = false;
  goto end;
#endif
  atomic { read(1) };
  atomic { read(2) };
  if
  :: atomic { reachable -> read(0) }
  :: atomic { !reachable && number == 0 && IS_UNGRANTED -> is_excused = true }
  :: IS_GONE -> goto end
  fi;
  if
  :: !held -> goto end           /* nothing in progress, or all armed */
  :: held
  fi;
#ifndef UNTOLD_PASS
  if
  :: ALL_SEEN_ARMED -> goto completing
  :: !ALL_SEEN_ARMED
  fi;
#endif
  do
  :: atomic { !IS_GONE && CAN_COMPLETE -> goto completing }
  :: atomic { !IS_GONE && ALL_SEEN_UNDONE -> goto completing }
  :: atomic { !IS_GONE && reachable -> read(0) }
  :: atomic { !IS_GONE -> read(1) }
  :: atomic { !IS_GONE -> read(2) }
  :: atomic { !IS_GONE && reachable -> undo(0) }
  :: atomic { !IS_GONE -> undo(1) }
  :: atomic { !IS_GONE -> undo(2) }
  :: IS_GONE || begun -> goto end
  od;
completing:
  do
  :: atomic { !IS_GONE && held && !late_release -> release() }
  :: !held || IS_GONE -> break
  od;
end:
  skip
}

proctype World() {
  byte r;
  do
  :: atomic { !stopped && !done -> stopped = true;
       if
       :: reachable = false
       :: skip
       fi }
  :: atomic { stopped && !reachable -> reachable = true }
#ifndef ONE_SUCCESSOR
  :: atomic { stopped && !first_stopped && !begun -> first_stopped = true }
#endif
  :: atomic { !restarted && !begun -> restarted = true;
       granted = false; knows = false; may_arm_late[1] = true }
  :: atomic { late_release -> late_release = false; held = false }
  :: atomic { late[0] && !begun && !voided[0] -> late[0] = false; armed[0] = true }
  :: atomic { late[1] && !begun && !voided[1] -> late[1] = false; armed[1] = true }
  :: atomic { late[2] && !begun && !voided[2] -> late[2] = false; armed[2] = true }
  :: atomic { late_disarm[0] && !begun -> late_disarm[0] = false; armed[0] = false }
  :: atomic { late_disarm[1] && !begun -> late_disarm[1] = false; armed[1] = false }
  :: atomic { late_disarm[2] && !begun -> late_disarm[2] = false; armed[2] = false }
  :: atomic { !held && !begun -> assert(ALL_ARMED || NONE_ARMED);
       begun = true }
  :: begun -> break
  od
}

init {
  atomic {
    run Leader();
    run Successor(0);
#ifndef ONE_SUCCESSOR
    run Successor(1);
#endif
    run World()
  }
}
