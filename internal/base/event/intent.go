// This file defines the events of the configuration's distribution (650-699).

package event

import "github.com/apex/log"

// Events of the configuration.
var (
	HeadInForce      = define(650, "headInForce", log.InfoLevel, "The node applies a new head of the configuration.")
	HeadNotLoaded    = define(651, "headNotLoaded", log.ErrorLevel, "The documents of a new head cannot be loaded or do not match their digest. The node keeps the old head, tries again, and stops accepting work if that lasts.")
	BadHead          = define(652, "badHead", log.ErrorLevel, "The head in the store cannot be read. The node keeps its current head.")
	HeadWrittenAgain = define(654, "headWrittenAgain", log.WarnLevel, "The store came back from an earlier copy without the head inForce, and the node wrote it again; or, if operators had changed the restored head meanwhile, their change with a revision above that.")
	HeadNotWritten   = define(655, "headNotWritten", log.ErrorLevel, "The store came back from an earlier copy without the head in force, which could not be written again. The node tries again when it reads the store.")
	StandingChanged  = define(653, "standingChanged", log.WarnLevel, "The status of the node's head, given in standing, has changed: with fresh and sharedOutage the node accepts new work, with none and cutOff it does not.")
)
