package event

import "github.com/apex/log"

// This file defines the events of membership and the spread of the configuration (600-699).

// Events of membership.
var (
	MemberRegistered    = define(600, "memberRegistered", log.InfoLevel, "The node has registered in the store under a new lease and epoch.")
	MemberNotRegistered = define(601, "memberNotRegistered", log.WarnLevel, "The node could not register and tries again. When the error speaks of a name taken, two processes share one name.")
	LeaseLapsed         = define(602, "leaseLapsed", log.WarnLevel, "The node's lease has lapsed; it owns nothing until it has registered anew. It was paused, or the store was out of reach.")
	MemberJoined        = define(603, "memberJoined", log.InfoLevel, "A node has joined the fleet, or has registered anew.")
	MemberLeft          = define(604, "memberLeft", log.InfoLevel, "A node has left the list of live nodes; unreachable says that heartbeats showed it dead while its lease holds.")
	StoreFreshness      = define(605, "storeFreshness", log.WarnLevel, "The store has stopped (fresh false) or resumed (fresh true) to confirm the list of nodes.")
	BadMemberRecord     = define(606, "badMemberRecord", log.ErrorLevel, "A record under members/ in the store cannot be read and is left out.")
)
