/*
 * Claims make a non-idempotent request run at most once. The model has all attempts at one request with one idempotency key,
 * through any routers.
 *
 * Step          carried out by
 * ask           ClaimStore.claim, the conditional insert
 * arrive, lose  the table service; an insert may be applied late or never
 * learn         ClaimStore.claim and readBack: the attempt finds its own token in the row
 * refuse        OnceGuard.refusal with NOT_RUN
 * withdraw      ClaimStore.withdraw, after an attempt that certainly did not run
 * send          EndpointClient.write, after the final check of the deadline
 * run           the endpoint, at any later time
 * crash         the router, at any time; a paused router is modelled by steps of other attempts in between
 */
module atMostOnce

sig Attempt {}

var lone sig Holder in Attempt {}
var sig Asked in Attempt {}
var sig InFlight in Attempt {}
var sig Knows in Attempt {}
var sig Refused in Attempt {}
var sig Sent in Attempt {}
var sig Ran in Attempt {}
var sig Crashed in Attempt {}

pred maySend[a: Attempt] { a in Knows }

pred ask[a: Attempt] {
  a not in Asked + Crashed
  Asked' = Asked + a and InFlight' = InFlight + a
  Holder' = Holder and Knows' = Knows and Refused' = Refused and Sent' = Sent and Ran' = Ran and Crashed' = Crashed
}

pred arrive[a: Attempt] {
  a in InFlight
  InFlight' = InFlight - a
  Holder' = (no Holder implies a else Holder)
  Asked' = Asked and Knows' = Knows and Refused' = Refused and Sent' = Sent and Ran' = Ran and Crashed' = Crashed
}

pred lose[a: Attempt] {
  a in InFlight
  InFlight' = InFlight - a
  Holder' = Holder and Asked' = Asked and Knows' = Knows and Refused' = Refused and Sent' = Sent and Ran' = Ran
  Crashed' = Crashed
}

pred learn[a: Attempt] {
  a in Asked - Crashed - Refused - Knows and Holder = a
  Knows' = Knows + a
  Holder' = Holder and Asked' = Asked and InFlight' = InFlight and Refused' = Refused and Sent' = Sent and Ran' = Ran
  Crashed' = Crashed
}

pred refuse[a: Attempt] {
  a in Asked - Crashed - Knows - Sent - Refused
  Refused' = Refused + a
  Holder' = Holder and Asked' = Asked and InFlight' = InFlight and Knows' = Knows and Sent' = Sent and Ran' = Ran
  Crashed' = Crashed
}

pred withdraw[a: Attempt] {
  a in Knows - Crashed - Sent - Refused and Holder = a
  no Holder' and Refused' = Refused + a
  Asked' = Asked and InFlight' = InFlight and Knows' = Knows and Sent' = Sent and Ran' = Ran and Crashed' = Crashed
}

pred send[a: Attempt] {
  maySend[a] and a not in Crashed + Sent + Refused
  Sent' = Sent + a
  Holder' = Holder and Asked' = Asked and InFlight' = InFlight and Knows' = Knows and Refused' = Refused and Ran' = Ran
  Crashed' = Crashed
}

pred run_[a: Attempt] {
  a in Sent - Ran
  Ran' = Ran + a
  Holder' = Holder and Asked' = Asked and InFlight' = InFlight and Knows' = Knows and Refused' = Refused and Sent' = Sent
  Crashed' = Crashed
}

pred crash[a: Attempt] {
  a not in Crashed
  Crashed' = Crashed + a
  Holder' = Holder and Asked' = Asked and InFlight' = InFlight and Knows' = Knows and Refused' = Refused and Sent' = Sent
  Ran' = Ran
}

pred stutter {
  Holder' = Holder and Asked' = Asked and InFlight' = InFlight and Knows' = Knows and Refused' = Refused and Sent' = Sent
  Ran' = Ran and Crashed' = Crashed
}

fact behaviour {
  no Holder and no Asked and no InFlight and no Knows and no Refused and no Sent and no Ran and no Crashed
  always (stutter or some a: Attempt |
    ask[a] or arrive[a] or lose[a] or learn[a] or refuse[a] or withdraw[a] or send[a] or run_[a] or crash[a])
}

assert safe { always (lone Ran and no (Refused & Ran)) }

check safe for exactly 2 Attempt, 1..10 steps

run witness {
  some disj a, b: Attempt | eventually (a in Refused and b in Ran) and eventually a in Asked
  some a: Attempt | eventually (a in Crashed and a in Ran)
} for exactly 2 Attempt, 1..11 steps
