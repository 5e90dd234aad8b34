/* Which epoch a leader takes for that of its group, while the engine of one
 * rank reports a wrong one in some of its reports, or in all of them, and the
 * group may form anew. Refines group/formation_votes and MapSwitch::OnStatus.
 *
 * At the end, after a round of reports without a change of the group:
 *   - the leader knows the group's epoch;
 *   - no hold that it has placed stands.
 *
 * Mutants, which must fail:
 *   TRUST_ONE      one rank's higher epoch is taken for the group's
 *   IGNORE_OTHERS  a status of another epoch isn't used
 *   TRUST_OWN      only the leader's own rank tells the epoch
 */
#define RANKS 3
#define ROUNDS 3
#define NEVER 7 /* an epoch that the group doesn't reach */

byte epoch = 1;    /* of the group */
byte believed = 1; /* by the leader */
bool held = true;  /* a pass, for the leader's switch in epoch 1 */
bool known[RANKS]; /* ranks whose status the leader has read */
byte vote[RANKS];  /* the epoch that each rank reported last */

inline forget_others(said) {
  for (other : 0 .. RANKS - 1) { known[other] = (vote[other] == said) }
}

inline take_epoch(rank, said) {
#ifdef TRUST_ONE
  if
  :: said > believed -> believed = said; forget_others(said)
  :: else
  fi
#else
  votes = 0;
  for (other : 0 .. RANKS - 1) {
    if
    :: vote[other] == said -> votes++
    :: else
    fi
  }
  if
#ifdef TRUST_OWN
  :: rank == 0 && said != believed
#else
  :: 2 * votes > RANKS && said != believed
#endif
     -> believed = said; forget_others(said)
  :: else
  fi
#endif
}

inline take_status(rank, said) {
  vote[rank] = said;
  take_epoch(rank, said);
  if
#ifdef IGNORE_OTHERS
  :: said == believed -> known[rank] = true
#else
  :: said >= believed -> known[rank] = true
#endif
  :: else
  fi
}

/* The engine refuses an order of another epoch. */
inline release_hold() {
  if
  :: known[0] && known[1] && known[2] && believed == epoch -> held = false
  :: else
  fi
}

active proctype Group() {
  byte round, rank, said, votes, other, faulty;
  vote[0] = 1; vote[1] = 1; vote[2] = 1;
  select(faulty : 0 .. RANKS - 1);
  for (round : 1 .. ROUNDS) {
    for (rank : 0 .. RANKS - 1) {
      if
      :: round < ROUNDS && epoch == 1 -> epoch = 2; held = false
      :: skip
      fi;
      said = epoch;
      if
      :: rank == faulty -> said = NEVER
      :: rank == faulty -> said = epoch + 1
      :: skip
      fi;
      take_status(rank, said);
      release_hold()
    }
  }
  assert(believed == epoch);
  assert(!held)
}
