/*
 * Leases make sure that only the present lease holder's orders reach an endpoint, which checks no fencing token itself. Time
 * passes in discrete ticks.
 *
 * Step       carried out by
 * ask        ShareLeases.write: reads the clock before it sends the request
 * commit     the table service: the conditional write, at any later time
 * learn      ShareLeases.settle: the answer has arrived
 * order      EngineClient.order: checks LeaseRules.mayOrder when it writes the order to the connection
 * deliver    the network, before the order expires
 *
 * A paused holder is modelled by time that passes between its steps. Clocks are equal in this model: the next holder's clock
 * may be ahead by the permitted difference between clocks, but the next holder also waits that much longer.
 */
module leaseOrders

sig Holder {}
sig Order {}

fun term: Int { 3 }
fun orderLife: Int { 2 }

one sig World {
  var now: one Int,
  var owner: lone Holder,
  var deadline: one Int
}
var sig Asking in Holder {}
one sig Times {
  var askedAt: Holder -> lone Int,
  var heldFrom: Holder -> lone Int,
  var expires: Order -> lone Int,
  var sentBy: Order -> lone Holder
}
var sig Delivered in Order {}

pred mayOrder[h: Holder] {
  some Times.heldFrom[h]
  World.now < plus[Times.heldFrom[h], minus[term, orderLife]]
}

pred mayTake[h: Holder] {
  no World.owner or World.owner = h or World.now > World.deadline
}

pred sameWorld { owner' = owner and deadline' = deadline }
pred sameTimes { askedAt' = askedAt and heldFrom' = heldFrom }
pred sameOrders { expires' = expires and sentBy' = sentBy and Delivered' = Delivered }

pred pass {
  some later: Int | gt[later, World.now] and lte[later, 4] and now' = World -> later
  sameWorld and sameTimes and sameOrders and Asking' = Asking
}

pred ask[h: Holder] {
  h not in Asking
  Asking' = Asking + h
  askedAt' = askedAt ++ (Times -> h -> World.now)
  now' = now and sameWorld and heldFrom' = heldFrom and sameOrders
}

pred commit[h: Holder] {
  h in Asking and mayTake[h]
  owner' = World -> h
  deadline' = World -> plus[Times.askedAt[h], term]
  now' = now and sameTimes and sameOrders and Asking' = Asking
}

pred learn[h: Holder] {
  h in Asking and World.owner = h and World.deadline = plus[Times.askedAt[h], term]
  heldFrom' = heldFrom ++ (Times -> h -> Times.askedAt[h])
  Asking' = Asking - h
  now' = now and sameWorld and askedAt' = askedAt and sameOrders
}

pred giveUp[h: Holder] {
  h in Asking
  Asking' = Asking - h
  now' = now and sameWorld and sameTimes and sameOrders
}

pred order[h: Holder, o: Order] {
  mayOrder[h] and no Times.sentBy[o]
  sentBy' = sentBy + (Times -> o -> h)
  expires' = expires + (Times -> o -> plus[World.now, orderLife])
  now' = now and sameWorld and sameTimes and Delivered' = Delivered and Asking' = Asking
}

pred deliver[o: Order] {
  some Times.sentBy[o] and o not in Delivered and World.now <= Times.expires[o]
  Delivered' = Delivered + o
  now' = now and sameWorld and sameTimes and expires' = expires and sentBy' = sentBy and Asking' = Asking
}

pred stutter { now' = now and sameWorld and sameTimes and sameOrders and Asking' = Asking }

fact behaviour {
  World.now = 0 and no World.owner and World.deadline = 0
  no Asking and no Times.askedAt and no Times.heldFrom and no Times.expires and no Times.sentBy and no Delivered
  always (stutter or pass
    or (some h: Holder | ask[h] or commit[h] or learn[h] or giveUp[h])
    or (some h: Holder, o: Order | order[h, o])
    or (some o: Order | deliver[o]))
}

/* An order reaches the endpoint only while the store names the order's sender as the lease holder. */
assert safe {
  always all o: Order | (o not in Delivered and o in Delivered') implies World.owner = Times.sentBy[o]
}

check safe for exactly 2 Holder, exactly 1 Order, 4 Int, 1..10 steps

run witness {
  some disj g, h: Holder | eventually (World.owner = g and some Delivered) and eventually World.owner = h
} for exactly 2 Holder, exactly 1 Order, 4 Int, 1..10 steps
