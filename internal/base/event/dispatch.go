// This file defines the events of admission and quarantine (300-399).

package event

import "github.com/apex/log"

// Events of admission and quarantine.
var (
	ServerCrashed      = define(300, "serverCrashed", log.WarnLevel, "A backend server failed with generations running on it. Their requests are suspects until they complete elsewhere.")
	RequestQuarantined = define(301, "requestQuarantined", log.WarnLevel, "A request was in flight at a second crash. Every node refuses it until its quarantine ends or an operator releases it.")
	NoticeDropped      = define(303, "noticeDropped", log.WarnLevel, "There were too many crashes at the same time, and one was not broadcast to the other nodes. They receive verdicts through the store.")
	VerdictUnreadable  = define(304, "verdictUnreadable", log.ErrorLevel, "A key under quarantine/ in the store does not hold a verdict. Delete it if no other program wrote it.")
	QuarantineReleased = define(302, "quarantineReleased", log.InfoLevel, "An operator released a request from quarantine.")
)
