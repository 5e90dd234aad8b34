/* Single-use tickets: a request that may not be repeated runs at most once, and
 * a request that was reported as not run never runs.
 *
 * Two agents mint tickets; each may restart once, at any time, and then knows
 * nothing of its earlier tickets. Messages between entries and agents may be
 * delayed past any other event; giving up on a reply stands for a broken link,
 * and the message may still arrive. The caller holds a ticket and presents it
 * through two entries (CALLER_TICKET), or leaves the tickets to one entry.
 *
 * Each mutant breaks one rule and must violate an assertion:
 *   SWAP            an entry replaces a caller's voided ticket by a fresh one
 *   NO_VOID         an entry tries elsewhere without a confirmed void
 *   FORGETFUL       a restarted agent honours tickets of its past
 *   KEEP_OPEN       a refused submission leaves its ticket open
 *   VOID_STARTED    an agent confirms the voiding of a started request
 *   TRUST_GONE      an entry takes "unknown ticket" for "not run" at a second
 *                   submission
 *   DOOR            an entry that refuses at its door says "not run" of a
 *                   caller's ticket
 */
#define AGENTS 2
#define TICKETS 5
#define ENTRIES 3
#define NO_TICKET 255

mtype = { UNUSED, OPEN, STARTED, DONE, VOID };
mtype = { ANSWER, REFUSED, IN_PROGRESS, GONE };
mtype = { VOIDED, WAS_STARTED, WAS_DONE };

byte incarnation[AGENTS];
byte ticket_agent[TICKETS];
byte ticket_incarnation[TICKETS];
mtype ticket_state[TICKETS] = UNUSED;
byte ticket_owner[TICKETS];     /* entry that waits for the answer, */
byte ticket_stream[TICKETS];    /* on this stream of its */
byte tickets;
byte runs;
bool reported_not_run[TICKETS]; /* the caller was told so of this ticket */
bool request_not_run;           /* the caller was told so of the request */

/* Replies belong to the stream of their submission, so that a late one is
 * dropped with its broken link. */
chan submit[AGENTS] = [3] of { byte /* ticket */, byte /* entry */,
                               byte /* stream */ };
chan void_request[AGENTS] = [2] of { byte, byte };
chan submit_reply[ENTRIES] = [3] of { byte /* ticket */, byte /* stream */,
                                      mtype };
chan void_reply[ENTRIES] = [2] of { byte, mtype };

inline mint(agent, ticket) {
  atomic {
    ticket = tickets;
    tickets++;
    ticket_agent[ticket] = agent;
    ticket_incarnation[ticket] = incarnation[agent];
    ticket_state[ticket] = OPEN;
  }
}

/* A full channel belongs to an entry that listens no more. */
inline reply(entry, ticket, stream, word) {
  if
  :: nfull(submit_reply[entry]) -> submit_reply[entry]!ticket, stream, word
  :: full(submit_reply[entry]) -> skip
  fi
}

inline reply_void(entry, ticket, word) {
  if
  :: nfull(void_reply[entry]) -> void_reply[entry]!ticket, word
  :: full(void_reply[entry]) -> skip
  fi
}

inline is_known(agent, ticket, known) {
#ifdef FORGETFUL
  known = true;
  if
  :: ticket_incarnation[ticket] != incarnation[agent] &&
     ticket_state[ticket] == STARTED -> ticket_state[ticket] = OPEN
  :: else -> skip
  fi
#else
  known = (ticket_incarnation[ticket] == incarnation[agent])
#endif
}

active [AGENTS] proctype Agent() {
  byte me = _pid;
  byte t, e, n;
  bool known;
end:
  do
  :: incarnation[me] == 0 -> incarnation[me] = 1 /* restart */
  :: atomic { submit[me]??t, e, n ->
       is_known(me, t, known);
       if
       :: !known -> reply(e, t, n, GONE)
       :: known && ticket_state[t] == OPEN ->
          if
          :: /* admitted */
             assert(runs == 0);
             assert(!reported_not_run[t]);
             assert(!request_not_run);
             runs++;
             ticket_state[t] = STARTED;
             ticket_owner[t] = e;
             ticket_stream[t] = n
          :: /* refused */
#ifndef KEEP_OPEN
             ticket_state[t] = VOID;
#endif
             reply(e, t, n, REFUSED)
          fi
       :: known && ticket_state[t] == VOID ->
          reply(e, t, n, REFUSED)
       :: known && ticket_state[t] == STARTED ->
          reply(e, t, n, IN_PROGRESS)
       :: known && ticket_state[t] == DONE ->
          reply(e, t, n, ANSWER)
       fi;
       known = false; e = 0; t = 0; n = 0
     }
  :: atomic { void_request[me]??t, e ->
       is_known(me, t, known);
       if
       :: !known -> skip /* no word, which counts as a broken link */
       :: known && (ticket_state[t] == OPEN || ticket_state[t] == VOID) ->
          ticket_state[t] = VOID;
          reply_void(e, t, VOIDED)
       :: known && ticket_state[t] == STARTED ->
#ifdef VOID_STARTED
          reply_void(e, t, VOIDED)
#else
          reply_void(e, t, WAS_STARTED)
#endif
       :: known && ticket_state[t] == DONE ->
          reply_void(e, t, WAS_DONE)
       fi;
       known = false; e = 0; t = 0; n = 0
     }
  :: atomic { /* the backend server has answered */
       select(t : 0 .. TICKETS - 1);
       if
       :: ticket_state[t] == STARTED && ticket_agent[t] == me &&
          ticket_incarnation[t] == incarnation[me] ->
          ticket_state[t] = DONE;
          reply(ticket_owner[t], t, ticket_stream[t], ANSWER)
       :: else -> skip
       fi;
       t = 0
     }
  od
}

/* The caller is told that the request was not run. */
inline report_not_run(t) {
  atomic {
    assert(runs == 0 || caller_ticket == NO_TICKET || ticket_state[t] == VOID);
    if
    :: caller_ticket != NO_TICKET -> reported_not_run[caller_ticket] = true;
       moved_on[me] = true
    :: else -> assert(runs == 0); request_not_run = true
    fi
  }
}

bool moved_on[ENTRIES]; /* the caller may take a new ticket */

proctype Entry(byte me; byte caller_ticket) {
  byte agent = 0;
  byte t;
  byte submissions;
  mtype word;

  /* Refused at the door, by an entry that can't know the ticket's fate. */
  if
#ifdef DOOR
  :: caller_ticket != NO_TICKET -> t = caller_ticket;
     agent = ticket_agent[t];
     goto not_run
#else
  :: caller_ticket != NO_TICKET -> goto unknown
#endif
  :: skip
  fi;

attempt:
  submissions = 0;
  if
  :: caller_ticket == NO_TICKET && tickets < TICKETS ->
     if
     :: mint(agent, t)
     :: mint(agent, t); goto next_agent /* the grant was lost */
     fi
  :: caller_ticket == NO_TICKET && tickets >= TICKETS -> goto finished
  :: caller_ticket != NO_TICKET -> t = caller_ticket;
     agent = ticket_agent[t]
  fi;

send:
  submissions++;
  if
  :: nfull(submit[agent]) -> submit[agent]!t, me, submissions
  :: full(submit[agent]) -> goto unknown
  fi;
  do
  :: submit_reply[me]??eval(t), eval(submissions), word ->
     if
     :: word == ANSWER -> goto finished
     :: word == IN_PROGRESS -> goto unknown
     :: word == REFUSED -> goto not_run
     :: word == GONE ->
        if
        /* only this entry has ever presented the ticket, and only now */
#ifdef TRUST_GONE
        :: caller_ticket == NO_TICKET -> goto not_run
#else
        :: caller_ticket == NO_TICKET && submissions == 1 -> goto not_run
        :: caller_ticket == NO_TICKET && submissions > 1 -> goto unknown
#endif
        :: caller_ticket != NO_TICKET -> goto unknown
        fi
     fi
  :: break /* the link broke */
  od;

#ifdef NO_VOID
  goto not_run;
#endif
  if
  :: nfull(void_request[agent]) -> void_request[agent]!t, me
  :: full(void_request[agent]) -> goto unknown
  fi;
  if
  :: void_reply[me]??eval(t), word ->
     if
     :: word == VOIDED -> goto not_run
     :: word == WAS_DONE && submissions == 1 -> goto send
     :: else -> goto unknown
     fi
  :: goto unknown /* the void couldn't be confirmed */
  fi;

not_run:
#ifdef SWAP
  if
  :: caller_ticket != NO_TICKET && agent == ticket_agent[caller_ticket] &&
     tickets < TICKETS ->
     agent = 1 - agent;
     mint(agent, t);
     goto send
  :: else -> skip
  fi;
#endif
  if
  :: caller_ticket != NO_TICKET -> report_not_run(t); goto finished
  :: caller_ticket == NO_TICKET -> goto next_agent
  fi;

next_agent:
  if
  :: agent == 0 -> agent = 1; goto attempt
  :: agent == 1 -> report_not_run(t); goto finished
  fi;

unknown:
finished:
  skip
}

init {
  byte t;
#ifdef CALLER_TICKET
  mint(0, t);
  run Entry(0, t);
  run Entry(1, t);
  /* Told that it was not run, the caller takes a new ticket. */
  (moved_on[0] || moved_on[1]);
  mint(1, t);
  run Entry(2, t)
#else
  run Entry(0, NO_TICKET)
#endif
}
