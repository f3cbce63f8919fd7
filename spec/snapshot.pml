/* Snapshot: one answer is of one index version, and its denominator is that
 * version's.
 *
 * Two shards. Their servers move from version 1 to version 2 while the query
 * runs, and version 2 has other document counts (a repartition). The query
 * pins a version before its first attempt; each reply echoes the version it
 * was made from; if the pinned version is gone the whole query starts again on
 * the newer one. Replies of the first run may arrive at any later time.
 *
 * Break it with -DNO_ECHO_CHECK (a reply counts whatever its version) or
 * -DKEEP_FIRST_RUN (a restart keeps the outcomes it had).
 */
#define SHARDS 2
byte held[SHARDS] = 1;         /* the version each shard's server holds */
byte pinned = 1;
byte run_number = 1;           /* raised by a restart */

/* Outstanding and late replies, at [(run - 1) * SHARDS + shard]: a version,
 * 0 for none, 3 for "not held". */
byte reply[4];
bool answered[4];             /* a server answers each request once */
byte counted[SHARDS];          /* version of the reply counted for a shard */
byte asked[SHARDS];            /* the run in which it was last asked */
bool finished = false;
byte denominator = 0;

/* A server rolls forward on its own. A correct one answers from the version
 * asked for or says "not held"; a broken one ignores what was asked. The
 * version asked for is that of the run: run 1 asks for 1, run 2 for 2. */
active [SHARDS] proctype Server() {
  byte me = _pid;
end:
  do
  :: atomic { held[me] == 1 -> held[me] = 2 }
  :: atomic { asked[me] >= 1 && !answered[me] -> answered[me] = true;
       if
       :: held[me] == 1 -> reply[me] = 1
       :: held[me] != 1 -> reply[me] = 3
       :: true -> reply[me] = held[me]
       fi }
  :: atomic { asked[me] == 2 && !answered[SHARDS + me] ->
       answered[SHARDS + me] = true;
       if
       :: held[me] == 2 -> reply[SHARDS + me] = 2
       :: held[me] != 2 -> reply[SHARDS + me] = 3
       :: true -> reply[SHARDS + me] = held[me]
       fi }
  od
}

/* One reply is taken in: counted only if it is of this run and echoes the
 * pinned version. */
inline Take(n) {
  if
  :: reply[n] == 3 && n / SHARDS + 1 == run_number -> gone = 1
#ifdef NO_ECHO_CHECK
  :: reply[n] != 3 -> counted[n % SHARDS] = reply[n]
#else
  :: reply[n] == pinned && n / SHARDS + 1 == run_number ->
       counted[n % SHARDS] = reply[n]
#endif
  :: else
  fi;
  reply[n] = 0
}

/* routing::Step */
active proctype Query() {
  bool gone;
  asked[0] = 1;
  asked[1] = 1;
  do
  :: atomic { reply[0] != 0 -> Take(0) }
  :: atomic { reply[1] != 0 -> Take(1) }
  :: atomic { reply[2] != 0 -> Take(2) }
  :: atomic { reply[3] != 0 -> Take(3) }
  :: atomic { gone && run_number == 1 ->
       run_number = 2; pinned = 2; gone = 0;
#ifndef KEEP_FIRST_RUN
       counted[0] = 0; counted[1] = 0;
#endif
       asked[0] = 2; asked[1] = 2 }
  /* All answered, or the deadline with what is there. */
  :: atomic { !gone || run_number == 2 ->
       finished = true; denominator = pinned; break }
  od;
  assert(counted[0] == 0 || counted[0] == denominator);
  assert(counted[1] == 0 || counted[1] == denominator);
}

ltl one_version {
  [] (!finished || ((counted[0] == 0 || counted[0] == pinned) &&
                    (counted[1] == 0 || counted[1] == pinned))) }

ltl ends { <> finished }
