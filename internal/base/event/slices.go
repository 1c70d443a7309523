package event

import "github.com/apex/log"

// This file defines the events of owned server budgets (550-599).

// Events of the owners of server budgets.
var (
	TermTaken    = define(550, "termTaken", log.InfoLevel, "This node splits the budget of the named server from now on.")
	TermLost     = define(551, "termLost", log.InfoLevel, "Another node splits the budget of the named server now.")
	TermNotTaken = define(552, "termNotTaken", log.WarnLevel, "This node is to split the budget of the named server and could not begin. It tries again. Nodes use the slices they hold until they run out.")
)
