/* The switch of a group's expert map under a hold.
 *
 * Three ranks have prepared the new map. A leader beside rank 0 holds the pass
 * at rank 1, arms ranks 1 and 2 in any order, has rank 1 grant that it arms its
 * own rank, arms it, and releases the hold. It may stop for good at any point,
 * and then rank 0 can't be reached for as long as it pleases. An order to arm may
 * be left unanswered and carried out at any later time until the pass has begun
 * or the rank has prepared another version; the rank's agent remembers that. The
 * agent of rank 1 may start again once, at any point, and then knows neither what
 * it granted nor which orders were left unanswered. A successor beside rank 2 ends the leader's power over each rank that it reads
 * and goes on from what it finds. The claim: the pass never begins with some
 * ranks armed and others not.
 *
 * Each mutant must violate it:
 *   NO_HOLD         the leader arms without a hold
 *   EARLY_RELEASE   the hold is released before all are confirmed armed
 *   NO_READING      the successor releases without reading the ranks
 *   NO_GRANT        the leader arms its own rank without a grant
 *   IGNORE_LATE     the arming is undone although an order may still be late
 *   FORGET_GRANT    an agent that has started again is taken to have granted
 *                   nothing
 */
#define RANKS 3

bool armed[RANKS];
bool late[RANKS];         /* an order to arm is on its way */
bool may_arm_late[RANKS]; /* the agent sent one that got no answer */
bool voided[RANKS];       /* has prepared another version since */
bool fenced[RANKS];       /* the agent has seen the successor's term */
bool granted;             /* rank 1 let the leader arm rank 0, as its agent knows */
bool knows = true;        /* that agent has run since before the switch */
bool restarted;           /* and it has started again since */
bool held;
bool begun;
bool stopped;             /* the leader, with the way to rank 0 */
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
#define ARE_LATE_VOID true
#else
#define ARE_LATE_VOID ((!may_arm_late[1] || voided[1]) && \
                       (!may_arm_late[2] || voided[2]))
#endif

/* An order to arm: carried out, or left unanswered for later. */
inline arm(r) {
  if
  :: begun || voided[r]
  :: !begun && !voided[r] -> armed[r] = true
  :: !begun && !voided[r] -> late[r] = true; may_arm_late[r] = true
  fi
}

proctype Leader() {
#ifndef NO_HOLD
  held = true;
#endif
  do
  :: atomic { !stopped && !fenced[1] && !armed[1] -> arm(1) }
  :: atomic { !stopped && !fenced[2] && !armed[2] -> arm(2) }
  :: armed[1] && armed[2] -> break
#ifdef EARLY_RELEASE
  :: armed[1] -> break
#endif
  :: stopped || fenced[1] || fenced[2] -> goto end
  od;
#ifdef EARLY_RELEASE
  held = false;
#endif
#ifndef NO_GRANT
  if
  :: atomic { !stopped && !fenced[1] -> granted = true }
  :: stopped || fenced[1] -> goto end
  fi;
#endif
  do
  :: atomic { !stopped && !fenced[0] && !armed[0] -> arm(0) }
  :: armed[0] -> break
  :: stopped || fenced[0] -> goto end
  od;
  atomic { !stopped && !fenced[1] -> held = false };
  done = true;
end:
  skip
}

/* Takes over once the leader has stopped. */
proctype Successor() {
  stopped;
#ifdef NO_READING
  held = false;
  goto end;
#endif
  fenced[1] = true;
  fenced[2] = true;
  if
  :: !held -> goto end           /* nothing in progress, or all armed */
  :: else
  fi;
  if
  :: reachable ->
       fenced[0] = true;
forward:
       do
       :: atomic { !armed[0] -> arm(0) }
       :: atomic { !armed[1] -> arm(1) }
       :: atomic { !armed[2] -> arm(2) }
       :: ALL_ARMED -> break
       od
  :: !reachable && IS_UNGRANTED ->
       do
       :: atomic { armed[1] -> armed[1] = false }
       :: atomic { armed[2] -> armed[2] = false }
       :: atomic { !armed[1] && !voided[1] -> voided[1] = true }
       :: atomic { !armed[2] && !voided[2] -> voided[2] = true }
       :: !armed[1] && !armed[2] && ARE_LATE_VOID -> break
       od
  :: !reachable && !IS_UNGRANTED ->
       reachable;                /* waits for rank 0 */
       fenced[0] = true;
       goto forward
  fi;
  held = false;
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
  :: atomic { !restarted && !begun -> restarted = true;
       granted = false; knows = false; may_arm_late[1] = true }
  :: atomic { late[0] && !begun && !voided[0] -> late[0] = false; armed[0] = true }
  :: atomic { late[1] && !begun && !voided[1] -> late[1] = false; armed[1] = true }
  :: atomic { late[2] && !begun && !voided[2] -> late[2] = false; armed[2] = true }
  :: atomic { !held && !begun -> assert(ALL_ARMED || NONE_ARMED);
       begun = true }
  :: begun -> break
  od
}

init {
  atomic { run Leader(); run Successor(); run World() }
}
