/* Configuration: an accepted write is in force in the end everywhere and no
 * instance ever goes back; an operator is told the truth about a write whose
 * reply was lost.
 *
 * One object at the platform, written by two racing operators through
 * conditional puts. Replies are lost; the platform has outages; two
 * instances hear of changes by watch and from each other in any order, stale
 * messages included; an instance may be replaced by an empty one.
 *
 * Break it with -DNO_VERSION_CHECK (an instance takes what comes) or
 * -DNO_READ_BACK (a lost reply is reported as not accepted).
 */
#define INSTANCES 2
#define WRITERS 2
#define MAX_VERSION 3

byte version = 1;            /* the platform's version of the object */
byte author[MAX_VERSION + 1]; /* write id behind each version, 0 = none */
bool reachable = true;

byte known[INSTANCES];       /* 0: nothing known, not ready */
bool went_back = false;

/* What an instance may still receive: a version once sent stays receivable,
 * which covers loss, delay, reordering and duplication together. */
bool in_flight[MAX_VERSION + 1];

mtype = { none, accepted, refused, unknown };
mtype told[WRITERS + 1] = none;

byte replacements = 0;

/* settings::ApplyDelta */
inline Learn(i, v) {
  if
#ifdef NO_VERSION_CHECK
  :: true -> if :: v < known[i] -> went_back = true :: else fi; known[i] = v
#else
  :: v > known[i] -> known[i] = v
  :: else
#endif
  fi
}

#ifdef NO_VERSION_CHECK
#define WORTH_HEARING(v, i) (in_flight[v] && v != known[i])
#else
#define WORTH_HEARING(v, i) (in_flight[v] && v > known[i])
#endif

/* platform::WatchLoop and membership's digests: each option is one message
 * that arrives, or one that is sent. */
active [INSTANCES] proctype Instance() {
  byte me = _pid;
end:
  do
  :: atomic { reachable && known[me] != version -> Learn(me, version) }
  :: atomic { WORTH_HEARING(1, me) -> Learn(me, 1) }
  :: atomic { WORTH_HEARING(2, me) -> Learn(me, 2) }
  :: atomic { WORTH_HEARING(3, me) -> Learn(me, 3) }
  :: atomic { known[me] > 0 && !in_flight[known[me]] ->
       in_flight[known[me]] = true }
  :: atomic { replacements < 1 && known[me] > 0 ->
       replacements++; known[me] = 0 }
  od
}

/* operators::AcceptWrite */
proctype Writer(byte id) {
  byte base;
  byte settled;
  bool applied = false;
  base = version;
  /* The conditional put. */
  atomic {
    if
    :: !reachable -> told[id] = refused; goto done
    :: reachable && version != base -> told[id] = refused; goto done
    :: reachable && version == base && version < MAX_VERSION ->
         version++; author[version] = id; applied = true
    fi
  }
  if
  :: told[id] = accepted /* the reply arrived */
  :: true ->             /* the reply was lost */
#ifdef NO_READ_BACK
     told[id] = refused
#else
     if
     :: atomic { reachable ->
          /* The object keeps its last write ids, so that a later write by
           * another operator does not hide this one. */
          settled = 1;
          do
          :: settled <= version && author[settled] != id -> settled++
          :: else -> break
          od;
          if
          :: settled <= version -> told[id] = accepted
          :: else -> told[id] = refused
          fi }
     :: !reachable -> told[id] = unknown
     fi
#endif
  fi;
done:
  /* What was told is true. */
  assert(told[id] != accepted || applied);
  assert(told[id] != refused || !applied);
}

active proctype Outage() {
  reachable = false;
  reachable = true
}

init { atomic { author[1] = 0; run Writer(1); run Writer(2) } }

ltl never_reverts { [] !went_back }

/* With weak fairness every ready instance ends at the newest version. */
ltl in_force_everywhere {
  <> [] (known[0] == version && known[1] == version) }
