// This file defines the events of owned server budgets (550-599).

package event

import "github.com/apex/log"

// Events of the owners of server budgets.
var (
	TermTaken    = define(550, "termTaken", log.InfoLevel, "This node now splits the budget of the named server.")
	TermLost     = define(551, "termLost", log.InfoLevel, "Another node now splits the budget of the named server.")
	TermNotTaken = define(552, "termNotTaken", log.WarnLevel, "This node is to split the budget of the named server and could not start. It tries again. Nodes use the slices that they hold until these expire.")
)
