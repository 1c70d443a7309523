// This file defines the events of admission and quarantine (300-399).

package event

import "github.com/apex/log"

// Events of admission and quarantine.
var (
	ServerCrashed      = define(300, "serverCrashed", log.WarnLevel, "A backend server failed with generations running on it. Their requests are suspects until they complete elsewhere.")
	RequestQuarantined = define(301, "requestQuarantined", log.WarnLevel, "A request was in flight at a second crash, or, if the line has parts, requests with these prefixes in common crashed at least three servers that began to answer them. Every node refuses such requests until the quarantine ends or an operator releases them.")
	NoticeDropped      = define(303, "noticeDropped", log.WarnLevel, "There were too many crashes at the same time, and one was not broadcast to the other nodes. They receive verdicts through the store.")
	VerdictUnreadable  = define(304, "verdictUnreadable", log.ErrorLevel, "A key under quarantine/ in the store does not hold a verdict. Delete it if no other program wrote it.")
	PassesUnknown      = define(305, "passesUnknown", log.WarnLevel, "Before a verdict on a prefix, at least one node could not be asked whether it has seen answers to requests with it. The verdict is given without it.")
	QuarantineReleased = define(302, "quarantineReleased", log.InfoLevel, "An operator released a request from quarantine.")
)
