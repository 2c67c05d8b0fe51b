// Package proof model-checks at-most-once calls and soak-tests request routing. It
// contains tests only.
//
// The model checker runs the code of package calls in a small model and explores
// every reachable state. Between two steps of the protocol, processes may crash and
// restart, connections may be lost, and messages may be lost, repeated, reordered or
// delayed for as long as the bounds allow. Each safeguard of the code is also removed
// once; the checker must then find a sequence of events that breaks a rule.
//
// The soak test runs package picker, package admit and the ledger of package calls
// for weeks of virtual time, and checks that no table or rate drifts.
package proof
