package event

import "github.com/apex/log"

// This file defines the events of admission and quarantine (300-399).

// Events of the dispatcher.
var (
	ServerCrashed      = define(300, "serverCrashed", log.WarnLevel, "A backend server went away with generations on it. Their requests are suspects until they run through elsewhere.")
	RequestQuarantined = define(301, "requestQuarantined", log.WarnLevel, "A request was in flight at a second crash. Every node refuses it until its quarantine ends or an operator releases it.")
	NoticeDropped      = define(303, "noticeDropped", log.WarnLevel, "Too many crashes at once: one was not told to the other nodes. Verdicts reach them by the store.")
	VerdictUnreadable  = define(304, "verdictUnreadable", log.ErrorLevel, "A key of the store under quarantine/ is not a verdict. Delete it if no other program wrote it.")
	QuarantineReleased = define(302, "quarantineReleased", log.InfoLevel, "An operator released a request from quarantine.")
)
