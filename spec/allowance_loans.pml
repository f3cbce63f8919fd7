/* Allowances: an instance's share is never counted by two instances at once.
 *
 * One lender and two counting instances, one of which may restart without
 * state. The lender knows a first reading of each. Messages are delayed, for
 * ever too, and overtaken; the lender changes its choice from instance 0 to
 * instance 1 at any time. A loan ends LOAN after the clock reading that it
 * echoes. The lists of a loan are a set of the instances that they choose, and
 * the loan counts only if they all choose the receiver.
 *
 * Replies arrive at once or are lost: a reading that arrives later only makes
 * the lender wait longer.
 *
 * Break it with -DNO_ECHO (a loan ends LOAN after its message arrives),
 * -DONE_STEP (a new choice without the old list), -DNO_PROCESS_CHECK (a reading
 * of a previous process is accepted) or -DNO_SEQUENCE (an overtaken message is
 * accepted).
 */
#define LOAN 2
#define MAX_TIME 4
#define MAX_SENT 4

byte now = 0;

/* The counting instances. Readings of their clocks count from `started`. */
byte started[2] = 0;
byte process[2] = 1;
byte loan_end[2];
byte last_sequence[2];
byte restarts = 0;

/* The lender: the last reading from each instance, when it came, when a loan to
 * the instance ends at the latest, and the last message that it answered. */
byte known[2] = 1;
byte reading[2];
byte got_at[2];
byte lent_until[2];
byte confirmed[2];

/* engine::AllowanceRequest: process and reading echoed, lists, sequence. Two
 * channels to instance 0, so that one message can overtake another. */
chan request[3] = [1] of { byte, byte, byte, byte };

#define COUNTED(i) (loan_end[i] > now)
#define END(i, echo) (started[i] + echo + LOAN)

inline Forget(i) {
  if :: loan_end[i] <= now -> loan_end[i] = 0 :: else fi;
  if :: lent_until[i] <= now -> lent_until[i] = 0 :: else fi;
  if :: got_at[i] + LOAN <= now -> got_at[i] = 0 :: else fi
}

active proctype Time() {
end:
  do
  :: atomic { now < MAX_TIME -> now++;
       /* What has ended makes no difference any more. */
       Forget(0); Forget(1) }
  od
}

/* engine::RenewLoan. */
inline Accept(i) {
  if
#ifndef NO_SEQUENCE
  :: sequence <= last_sequence[i] -> skip
  :: sequence > last_sequence[i] ->
#else
  :: true ->
#endif
     last_sequence[i] = sequence;
     if
#ifdef NO_PROCESS_CHECK
     :: p > 0 && echo <= now - started[i] && END(i, echo) > now ->
#else
     :: p == process[i] && echo <= now - started[i] && END(i, echo) > now ->
#endif
#ifdef NO_ECHO
        loan_end[i] = (lists == (1 << i) -> now + LOAN : 0)
#else
        loan_end[i] = (lists == (1 << i) -> END(i, echo) : 0)
#endif
     :: else
     fi
  fi;
  assert(!(COUNTED(0) && COUNTED(1)))
}

/* engine::HandleLeaseReply. */
inline Reply(i) {
  if
  :: true ->
     if
     :: known[i] != process[i] || reading[i] < now - started[i] ->
          known[i] = process[i]; reading[i] = now - started[i];
          got_at[i] = now
     :: else
     fi;
     if :: sequence > confirmed[i] -> confirmed[i] = sequence :: else fi
  :: true /* lost */
  fi;
  p = 0; echo = 0; lists = 0; sequence = 0
}

active proctype Counting() {
  byte p, echo, lists, sequence;
end:
  do
  :: atomic { request[0]?p, echo, lists, sequence -> Accept(0); Reply(0) }
  :: atomic { request[2]?p, echo, lists, sequence -> Accept(0); Reply(0) }
  :: atomic { request[1]?p, echo, lists, sequence -> Accept(1); Reply(1) }
  :: atomic { restarts < 1 && now > started[0] ->
       restarts++; process[0]++; started[0] = now;
       loan_end[0] = 0; last_sequence[0] = 0 }
  od
}

/* engine::UpdateLists and MakeMessage. */
active proctype Lender() {
  byte named = 1;           /* bit i: a list chooses instance i */
  byte sent = 0;
  byte since = 0;           /* messages after this one name the lists */
  byte i = 0;
end:
  do
  :: atomic { sent < MAX_SENT ->
       if :: i = 0 :: i = 1 fi;
       sent++;
       if
       :: known[i] > 0 && got_at[i] + LOAN > lent_until[i] ->
            lent_until[i] = got_at[i] + LOAN
       :: else
       fi;
       if
       :: nfull(request[i]) -> request[i]!known[i], reading[i], named, sent
       :: i == 0 && nfull(request[2]) ->
            request[2]!known[i], reading[i], named, sent
       :: full(request[i]) && (i == 1 || full(request[2]))
       fi;
       i = 0 }
  :: atomic { named == 1 ->
#ifdef ONE_STEP
       named = 2;
#else
       named = 3;
#endif
       since = sent }
  :: atomic { named == 3 &&
       (confirmed[0] > since || lent_until[0] <= now) &&
       (confirmed[1] > since || lent_until[1] <= now) ->
       named = 2; since = sent }
  od
}
