package event

import "github.com/apex/log"

// This file defines the events of the configuration's spread (650-699).

// Events of the configuration.
var (
	HeadInForce     = define(650, "headInForce", log.InfoLevel, "The node applies a new head of the configuration.")
	HeadNotLoaded   = define(651, "headNotLoaded", log.ErrorLevel, "The documents of a new head cannot be loaded or do not match their digest. The node keeps the old head, tries again, and stops taking work if that lasts.")
	BadHead         = define(652, "badHead", log.ErrorLevel, "The head in the store cannot be read. The node keeps the one it holds.")
	StandingChanged = define(653, "standingChanged", log.WarnLevel, "What the node knows of its head has changed: fresh and sharedOutage take new work, none and cutOff do not.")
)
