/*
 * A router never returns from an accepted configuration revision to an older revision, except by a restart.
 *
 * Step       carried out by
 * accept     ConfigurationWriter: writes the next revision to the store
 * poll       ConfigurationTracker.heardFromStore; a read may be stale, and a restored store may be older
 * hear       ConfigurationTracker.takeFromPeer
 * restart    a router on a VM without a disk: it has no revision and is not ready
 */
module configuration

open util/ordering[Revision]

sig Revision {}
sig Router { var inForce: lone Revision }
one sig Store { var head: one Revision }
var sig Accepted in Revision {}
var sig Ready in Router {}
var sig Restarted in Router {}

pred mayTake[r: Router, offered: Revision] { no r.inForce or gt[offered, r.inForce] }

pred accept {
  some next[Store.head]
  no (Accepted & nexts[Store.head])
  head' = Store -> next[Store.head]
  Accepted' = Accepted + next[Store.head]
  inForce' = inForce and Ready' = Ready and no Restarted'
}

/* The store is restored from an older copy. Operators advance its head again before they write; see ADR 2. */
pred restore[older: Revision] {
  lt[older, Store.head]
  head' = Store -> older
  Accepted' = Accepted and inForce' = inForce and Ready' = Ready and no Restarted'
}

pred take[r: Router, offered: Revision] {
  mayTake[r, offered]
  inForce' = inForce ++ (r -> offered)
  Ready' = Ready + r
  head' = head and Accepted' = Accepted and no Restarted'
}

pred poll[r: Router] { some offered: Accepted | lte[offered, Store.head] and take[r, offered] }

pred hear[r: Router] { some peer: Router - r | some peer.inForce and take[r, peer.inForce] }

pred restart[r: Router] {
  inForce' = inForce - (r -> Revision)
  Ready' = Ready - r
  Restarted' = r
  head' = head and Accepted' = Accepted
}

pred stutter { head' = head and Accepted' = Accepted and inForce' = inForce and Ready' = Ready and no Restarted' }

fact behaviour {
  Store.head = first and Accepted = first and no inForce and no Ready and no Restarted
  always (stutter or accept or (some older: Revision | restore[older]) or (some r: Router | poll[r] or hear[r] or restart[r]))
}

/*
 * Between restarts, the revision of a router never decreases. Only accepted revisions are in force. A router that is ready
 * has a revision.
 */
assert safe {
  always all r: Router | {
    (some r.inForce and r not in Restarted') implies (some r.inForce' and gte[r.inForce', r.inForce])
    r.inForce in Accepted
    r in Ready implies some r.inForce
  }
}

check safe for exactly 2 Router, exactly 3 Revision, 1..7 steps

run witness {
  some r: Router | eventually r.inForce = last
  eventually lt[Store.head, last] and eventually Store.head = last
  some r: Router | eventually r in Restarted
} for exactly 2 Router, exactly 3 Revision, 1..9 steps
