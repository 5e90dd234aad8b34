/* Terms, leases and relays over the eras of a store that comes back from older
 * copies.
 *
 * The store counts revisions and leases, both of which go back with a copy. Two
 * agents ask for leases and write themselves as a group's leader under them; a
 * term is where that was written, and versions of maps are made of it. A
 * watcher follows the store, and a follower follows it through the watcher.
 * Any step may come at any time, answers of an earlier era included.
 *
 * To be checked: no version is given by two leaders, and each new term is above
 * all versions given before; a renewal is never taken for the own one when the
 * lease is another's; a follower knows all that its watcher knows, up to where
 * it says that it does.
 *
 * The two parts share nothing but the store, and are checked apart: agents, or
 * with RELAY watcher and follower. Each mutant must violate its part:
 *   TERM_WITHOUT_ERA          a term is a revision alone
 *   LEASE_WITHOUT_ERA         a lease is a number alone
 *   RELAY, RELAY_WITHOUT_ERA  watcher and follower compare revisions alone
 */
#define REVISIONS 3
#define LEASES 2
#define ERAS 3
#define AGENTS 2
#define NOBODY 9

byte era = 1;
byte revision;
#ifdef RELAY
byte written[REVISIONS + 1];  /* by revision: the era of the write; 0: none */
#define NOTE(r, e) written[r] = e
#else
#define NOTE(r, e) skip
#endif
byte leases;                  /* the last number that was given */
byte owner[LEASES + 1] = NOBODY;
byte leader = NOBODY;         /* whom the key names */
byte leader_lease;
byte copy_revision;
byte copy_leases;

#ifndef RELAY
/* What each agent believes. */
byte known_era[AGENTS] = 1;
byte lease[AGENTS];           /* 0: none */
byte term_era[AGENTS];        /* 0: doesn't lead */
byte term_revision[AGENTS];

#define VERSIONS 20
byte giver[VERSIONS] = NOBODY;
byte highest;

#ifdef TERM_WITHOUT_ERA
#define VERSION(e, r) (r)
#else
#define VERSION(e, r) ((e) * (REVISIONS + 1) + (r))
#endif

/* The first answer of a later era ends what an agent believed. */
inline hear(a) {
  if
  :: known_era[a] != era ->
     known_era[a] = era;
#ifndef LEASE_WITHOUT_ERA
     lease[a] = 0;
#endif
     term_era[a] = 0
  :: else
  fi
}

proctype Agent(byte a) {
  byte version;
end:
  do
  /* a lease is granted */
  :: atomic { lease[a] == 0 && leases < LEASES ->
       hear(a); leases++; owner[leases] = a; lease[a] = leases }
  /* a renewal is granted */
  :: atomic { lease[a] != 0 ->
       hear(a);
       if
       :: lease[a] != 0 && owner[lease[a]] != NOBODY ->
          assert(owner[lease[a]] == a)
       :: lease[a] != 0 && owner[lease[a]] == NOBODY ->
          lease[a] = 0; term_era[a] = 0
       :: else
       fi }
  /* nobody leads: it writes itself */
  :: atomic { lease[a] != 0 && leader == NOBODY && revision < REVISIONS ->
       hear(a);
       if
       :: lease[a] != 0 && owner[lease[a]] == a ->
          revision++; NOTE(revision, era);
          leader = a; leader_lease = lease[a];
          term_era[a] = era; term_revision[a] = revision;
          version = VERSION(era, revision);
          assert(version > highest);
          version = 0
       :: else
       fi }
  /* it gives the group a map under its term; it may have been deposed */
  :: atomic { term_era[a] != 0 ->
       version = VERSION(term_era[a], term_revision[a]);
       assert(giver[version] == NOBODY || giver[version] == a);
       giver[version] = a;
       if
       :: version > highest -> highest = version
       :: else
       fi;
       version = 0 }
  od
}

#endif

inline end_lease(n) {
  owner[n] = NOBODY;
  if
  :: leader != NOBODY && leader_lease == n -> leader = NOBODY
  :: else
  fi
}

active proctype Store() {
  byte i;
#ifndef RELAY
  run Agent(0);
  run Agent(1);
#endif
end:
  do
  :: atomic { revision < REVISIONS -> revision++; NOTE(revision, era) }
  :: atomic { copy_revision = revision; copy_leases = leases }
  :: atomic { leases > 0 -> select(i : 1 .. LEASES);
       if
       :: owner[i] != NOBODY -> end_lease(i)
       :: else
       fi;
       i = 0 }
  /* comes back from the copy, without the leases and their keys */
  :: atomic { era < ERAS && copy_revision <= revision ->
       era++; revision = copy_revision; leases = copy_leases;
       leader = NOBODY;
       for (i : 1 .. REVISIONS) {
         if
         :: i > revision -> NOTE(i, 0)
         :: else
         fi
       }
       for (i : 1 .. LEASES) { owner[i] = NOBODY }
       i = 0 }
  od
}

#ifdef RELAY
/* What the watcher and the follower know, by revision. */
byte watcher_era = 1;
byte watcher_at;
byte watcher_knows[REVISIONS + 1];
byte follower_era = 1;
byte follower_at;
byte follower_knows[REVISIONS + 1];

active proctype Watcher() {
  byte i;
end:
  do
  :: d_step { (watcher_era != era || watcher_at < revision) ->
       if
#ifdef RELAY_WITHOUT_ERA
       :: watcher_at <= revision ->
          i = watcher_at + 1;
          do
          :: i <= revision -> watcher_knows[i] = written[i]; i++
          :: else -> break
          od
       :: else ->
#else
       :: watcher_era == era ->
          i = watcher_at + 1;
          do
          :: i <= revision -> watcher_knows[i] = written[i]; i++
          :: else -> break
          od
       :: else ->
#endif
          /* lists anew */
          for (i : 1 .. REVISIONS) { watcher_knows[i] = written[i] }
       fi;
       watcher_era = era; watcher_at = revision }
  od
}

active proctype Follower() {
  byte i;
end:
  do
  :: d_step { follower_at <= watcher_at &&
#ifdef RELAY_WITHOUT_ERA
       true ->
#else
       follower_era == watcher_era ->
#endif
       i = follower_at + 1;
       do
       :: i <= watcher_at -> follower_knows[i] = watcher_knows[i]; i++
       :: else -> break
       od;
       follower_at = watcher_at; follower_era = watcher_era;
       for (i : 1 .. REVISIONS) {
         assert(i > follower_at || follower_knows[i] == watcher_knows[i])
       } }
  /* of another era, or the watcher is behind: it lists by itself */
  :: d_step { follower_era != era || watcher_at < follower_at ->
       for (i : 1 .. REVISIONS) { follower_knows[i] = written[i] }
       follower_at = revision; follower_era = era }
  od
}
#endif
