// This file defines the events of membership (600-649).

package event

import "github.com/apex/log"

// Events of membership.
var (
	MemberRegistered    = define(600, "memberRegistered", log.InfoLevel, "The node has registered in the store under a new lease and epoch.")
	MemberNotRegistered = define(601, "memberNotRegistered", log.WarnLevel, "The node could not register and tries again. If the error says that the name is taken, two processes share one name.")
	LeaseLapsed         = define(602, "leaseLapsed", log.WarnLevel, "The node's lease has expired; the node owns nothing until it has registered again. It was paused, or the store was unreachable.")
	MemberJoined        = define(603, "memberJoined", log.InfoLevel, "A node has joined the fleet, or has registered again.")
	MemberLeft          = define(604, "memberLeft", log.InfoLevel, "A node has left the list of live nodes; unreachable says that it failed heartbeats while its lease is still valid.")
	StoreFreshness      = define(605, "storeFreshness", log.WarnLevel, "The store has stopped (fresh false) or resumed (fresh true) confirming the list of nodes.")
	BadMemberRecord     = define(606, "badMemberRecord", log.ErrorLevel, "A record under members/ in the store cannot be read and is ignored.")
)
