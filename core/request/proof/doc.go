// Package proof checks the protocols of the system by exploring every state
// of small models that run the protocols' own code. It holds tests alone.
//
// Each model's moves are crash and restart, loss, repetition, reordering,
// pause and late wake; each safeguard of the code is removed once, and the
// checker must then find how the rule breaks.
package proof
