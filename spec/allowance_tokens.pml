/* Allowances: a token lets at most one request run.
 *
 * Two holders ask a counting instance for tokens and give unused ones back.
 * Messages are lost; the counting instance restarts without its tokens; a
 * holder loses its leases.
 *
 * Break it with -DDEDUCT_LATE (tokens are deducted when the reply is known to
 * have arrived) or -DRETURN_AND_KEEP (a token that was given back is used).
 */
#define TOKENS 2
#define HOLDERS 2
#define MAX_ASKED 3

byte pool = TOKENS;
byte ran = 0;
chan ask = [HOLDERS] of { byte, byte };   /* holder, tokens given back */
chan grant[HOLDERS] = [1] of { byte };

/* engine::GrantTokens; the refill is left out, so that TOKENS is the bound. */
active proctype Pool() {
  byte holder, returned;
end:
  do
  :: atomic { ask?holder, returned ->
       pool = pool + returned;
       if
       :: pool == 0
       :: pool > 0 && nfull(grant[holder]) ->
            if
            :: grant[holder]!1; pool--
            :: true -> /* the reply is lost */
#ifndef DEDUCT_LATE
                 pool--
#else
                 skip
#endif
#ifdef DEDUCT_LATE
            :: grant[holder]!1 /* arrives, but its confirmation is lost */
#endif
            fi
       :: full(grant[holder])
       fi }
  :: atomic { pool > 0 -> pool = 0 }
  od
}

/* engine::RequestToken, ReturnToken and MakeTokenRequest. */
active [HOLDERS] proctype Holder() {
  byte me = _pid - 1;
  byte held = 0;
  byte unused = 0;
  byte asked = 0;
end:
  do
  :: atomic { asked < MAX_ASKED && nfull(ask) -> asked++;
       if
       :: ask!me, unused
       :: true /* lost */
       fi;
       unused = 0 }
  :: atomic { grant[me]?_ -> held++ }
  :: atomic { held > 0 -> held--; ran++; assert(ran <= TOKENS) }
  :: atomic { held > 0 -> unused++;
#ifndef RETURN_AND_KEEP
       held--
#endif
     }
  :: atomic { held > 0 -> held = 0 }
  od
}
