/* Acceptance, spread and confirmation of one change of the settings.
 *
 * Five entries, of which entry 0 writes the change to the store, entry 1 may be
 * replaced by a newcomer that knows nothing, and entry 4 asks the others. The
 * store may be out of reach of anybody at any time: a read of it is a choice,
 * never a duty. Times are reduced to what matters: whether a question was sent
 * after the change had been accepted. The claim to be checked: whoever is
 * confirmed as of a time after the acceptance knows the change.
 *
 * Each mutant must violate it:
 *   ACCEPT_STORED    a change is accepted once it is in the store
 *   FAIL_OPEN        an entry without the store confirms itself
 *   NO_QUARANTINE    a newcomer counts as soon as a majority has answered it
 *   COUNT_NEWCOMERS  a newcomer counts at once
 *   SMALL_MAJORITY   two of five entries count as a majority
 */
#define ENTRIES 5
#ifdef SMALL_MAJORITY
#define MAJORITY 2
#else
#define MAJORITY 3
#endif

bool stored;              /* the change is in the store */
bool accepted;
bool window_closed;       /* accepted, or given up for good */
bool knows[ENTRIES];
bool confirmed[ENTRIES];  /* as of a time after the acceptance */
bool is_new[ENTRIES];     /* not to be counted */
#define QUALIFIED(e) (!is_new[e])
bool acknowledged[ENTRIES];
bool heard[ENTRIES];      /* by entry 4: a qualified answer after acceptance */
bool asked[ENTRIES];      /* by the newcomer: a qualified answer that counts */
bool has_restarted;
byte count;

#define COUNT(set) (set[0] + set[1] + set[2] + set[3] + set[4])

/* Entry `who` asks entry `whom`, which answers at once. */
inline ask(who, whom) {
  knows[who] = knows[who] || knows[whom];
  confirmed[who] = confirmed[who] || confirmed[whom]
}

inline check(who) {
  assert(!confirmed[who] || knows[who])
}

active proctype Writer() {
  byte e;
end:
  do
  :: atomic { !stored -> stored = true;
       if
       :: knows[0] = true
       :: skip /* the answer is lost; it reads the store later */
       fi
#ifdef ACCEPT_STORED
       ; accepted = true; window_closed = true
#endif
     }
  :: atomic { stored && !window_closed ->
       select(e : 0 .. 4);
       if
       :: QUALIFIED(e) && knows[e] -> acknowledged[e] = true
       :: else -> skip
       fi;
       e = 0 }
  :: atomic { stored && !window_closed ->
       count = COUNT(acknowledged);
       if
       :: count >= MAJORITY -> accepted = true; window_closed = true
       :: else -> skip
       fi }
  :: atomic { stored && !window_closed -> window_closed = true }
  od
}

active proctype Readers() { /* any entry reads the store */
  byte e;
end:
  do
  :: atomic { select(e : 0 .. 4);
       knows[e] = knows[e] || stored;
       confirmed[e] = confirmed[e] || accepted;
       is_new[e] = false;
       check(e);
       e = 0 }
  od
}

active proctype Gossip() { /* any entry asks any other */
  byte who, whom;
end:
  do
  :: atomic { select(who : 0 .. 4); select(whom : 0 .. 4);
       ask(who, whom);
       check(who);
       who = 0; whom = 0 }
  od
}

active proctype Newcomer() {
  byte whom;
end:
  do
  :: atomic { !has_restarted && QUALIFIED(1) ->
       has_restarted = true;
       knows[1] = false; confirmed[1] = false;
#ifndef COUNT_NEWCOMERS
       is_new[1] = true
#endif
     }
  :: atomic { has_restarted && !QUALIFIED(1) ->
       select(whom : 0 .. 4);
       if
       :: whom != 1 && QUALIFIED(whom) ->
          ask(1, whom);
#ifdef NO_QUARANTINE
          asked[whom] = true
#else
          asked[whom] = asked[whom] || window_closed
#endif
       :: else -> skip
       fi;
       check(1);
       count = COUNT(asked);
       is_new[1] = is_new[1] && (count < MAJORITY);
       whom = 0 }
  od
}

active proctype Asker() { /* entry 4 confirms itself by a majority */
  byte whom;
end:
  do
  :: atomic { select(whom : 0 .. 3);
       ask(4, whom);
       heard[whom] = heard[whom] || (QUALIFIED(whom) && accepted);
       heard[4] = QUALIFIED(4) && accepted;
       count = COUNT(heard);
       confirmed[4] = confirmed[4] || (count >= MAJORITY);
#ifdef FAIL_OPEN
       confirmed[4] = confirmed[4] || accepted;
#endif
       check(4);
       whom = 0 }
  od
}
