/* Draining: once an instance has heard that a backend server is leaving it
 * sends it no new work in that life of the server, however old the news is
 * that arrives later; and all instances hear of it.
 *
 * One backend server lives, drains, and comes back with a higher incarnation.
 * Two instances pass news on in any order, any number of times; an instance
 * may have work queued when the news comes.
 *
 * Break it with -DNO_INCARNATION (the newest arrival wins) or
 * -DNO_LAST_CHECK (queued work is not checked again before the socket).
 */
#define INSTANCES 2
byte life = 1;               /* the server's incarnation */
bool draining = false;

/* News once told stays receivable: [incarnation * 2 + draining]. */
bool told[6];

byte known_life[INSTANCES] = 1;
bool known_draining[INSTANCES];
bool heard[INSTANCES];       /* of the drain of life 1 */
bool queued[INSTANCES];
bool broken = false;         /* work sent after the news, same life */

/* membership::MergeServerNews */
inline Merge(me, l, d) {
  if
#ifdef NO_INCARNATION
  :: true -> known_life[me] = l; known_draining[me] = d
#else
  :: l > known_life[me] -> known_life[me] = l; known_draining[me] = d
  :: l == known_life[me] -> known_draining[me] = known_draining[me] || d
  :: else
#endif
  fi;
  if
  :: l == 1 && d -> heard[me] = true
  :: else
  fi
}

#ifdef NO_INCARNATION
#define WORTH_HEARING(l, d) \
  (told[l * 2 + d] && (known_life[me] != l || known_draining[me] != d))
#else
#define WORTH_HEARING(l, d) \
  (told[l * 2 + d] && (l > known_life[me] || \
                       (l == known_life[me] && d && !known_draining[me])))
#endif

/* What an instance hears and tells. */
active [INSTANCES] proctype Instance() {
  byte me = _pid;
end:
  do
  :: atomic { WORTH_HEARING(1, 0) -> Merge(me, 1, 0) }
  :: atomic { WORTH_HEARING(1, 1) -> Merge(me, 1, 1) }
  :: atomic { WORTH_HEARING(2, 0) -> Merge(me, 2, 0) }
  :: atomic { !told[known_life[me] * 2 + known_draining[me]] ->
       told[known_life[me] * 2 + known_draining[me]] = true }
  od
}

/* The traffic of instance _pid - INSTANCES. */
active [INSTANCES] proctype Traffic() {
  byte me = _pid - INSTANCES;
end:
  do
  /* limits::AddTask chooses the server. */
  :: atomic { !queued[me] && !known_draining[me] -> queued[me] = true }
  /* limits::MayStart, the last check before the socket. */
  :: atomic { queued[me] ->
       queued[me] = false;
       if
#ifdef NO_LAST_CHECK
       :: true ->
#else
       :: !known_draining[me] ->
#endif
            /* Still life 1, and this instance had heard of its drain. */
            if
            :: heard[me] && life == 1 -> broken = true
            :: else
            fi
       :: known_draining[me]
       fi }
  od
}

active proctype BackendServer() {
  told[2] = true;
  atomic { draining = true; told[3] = true };
  if
  :: atomic { life = 2; draining = false; told[4] = true }
  :: true
  fi
}

ltl no_new_work { [] !broken }

ltl all_hear { <> [] ((known_draining[0] && known_draining[1]) ||
                      (known_life[0] == 2 && known_life[1] == 2)) }
