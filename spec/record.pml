/* Records: a request that may not be repeated runs at most once, and an
 * instance that says "not run" has not run it.
 *
 * A caller sends one key to two instances, one after the other or at the same
 * time. Each claims the key by conditional create with a token of its own
 * before it dispatches. Replies of the platform are lost; it has outages; an
 * instance may be paused between any two steps (every interleaving).
 *
 * Break it with -DNO_CLAIM_CHECK (dispatch after a lost reply without reading
 * back) or -DTAKE_OVER (a claim without outcome is taken over).
 */
#define INSTANCES 2
byte claim = 0;        /* 0: none, otherwise the claiming instance + 1 */
bool outcome = false;  /* stored at the platform */
bool reachable = true;
byte executed = 0;     /* at the backend server */

mtype = { pending, done, no, maybe };
mtype answer[INSTANCES] = pending;
bool handed_over[INSTANCES];

proctype Instance(byte me) {
  bool mine = false;
  /* records::Claim */
  if
  :: atomic { !reachable -> answer[me] = no; goto end }
  :: atomic { reachable && claim == 0 -> claim = me + 1 };
     if
     :: mine = true          /* the reply arrived */
     :: true ->              /* the reply was lost */
#ifdef NO_CLAIM_CHECK
        mine = true
#else
        if
        :: atomic { reachable -> mine = (claim == me + 1) }
        :: atomic { !reachable -> answer[me] = no; goto end }
        fi
#endif
     fi
  :: atomic { reachable && claim != 0 };
     /* A create that finds the key taken. */
     if
     :: atomic { outcome -> answer[me] = done; goto end }
     :: atomic { !outcome ->
#ifdef TAKE_OVER
          claim = me + 1; mine = true
#else
          answer[me] = maybe; goto end
#endif
        }
     fi
#ifdef NO_CLAIM_CHECK
  :: atomic { reachable && claim != 0 -> mine = true }
#endif
  fi;
  if
  :: !mine -> answer[me] = maybe; goto end
  :: else
  fi;
  /* The deadline may have passed while the instance was paused: the socket
   * hand-over checks again (records::Dispatch). */
  if
  :: answer[me] = no; goto end
  :: atomic { handed_over[me] = true; executed++ }
  fi;
  /* The reply of the backend server may be lost. */
  if
  :: answer[me] = maybe
  :: if
     :: atomic { reachable -> outcome = true; answer[me] = done }
     :: atomic { !reachable -> answer[me] = done }
     fi
  fi;
end:
  assert(answer[me] != pending);
  assert(answer[me] != no || !handed_over[me]);
}

active proctype Outage() {
  do
  :: reachable = !reachable
  :: break
  od;
  reachable = true
}

init { atomic { run Instance(0); run Instance(1) } }

ltl at_most_once { [] (executed <= 1) }

/* Every caller is answered. */
ltl answered { <> (answer[0] != pending && answer[1] != pending) }
