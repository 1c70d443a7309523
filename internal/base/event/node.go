// This file defines the events of the node process (100-199).

package event

import "github.com/apex/log"

// Events of the node process.
var (
	NodeStarted        = define(100, "nodeStarted", log.InfoLevel, "The node process has read its settings and listens.")
	NodeReady          = define(101, "nodeReady", log.InfoLevel, "The node holds the head of the configuration and accepts work.")
	NodeDraining       = define(102, "nodeDraining", log.InfoLevel, "The node was asked to stop: it leaves the entry list and finishes running work.")
	NodeStopped        = define(103, "nodeStopped", log.InfoLevel, "The node has ended all work and exits.")
	LeaveFailed        = define(104, "leaveFailed", log.WarnLevel, "A node that drained could not release its lease. Until the lease expires, the node is listed although it has stopped.")
	ConnectionFailed   = define(105, "connectionFailed", log.InfoLevel, "A connection to a listener failed before a request was read from it, for example in a TLS handshake with an unknown CA. At most 10 lines a second are logged for a listener; omitted counts the others since the last one.")
	SettingsReloaded   = define(106, "settingsReloaded", log.InfoLevel, "The settings were read again, and those that may change while the node runs now apply.")
	SettingsUnreadable = define(107, "settingsUnreadable", log.ErrorLevel, "The settings were read again and have a problem, which cause describes. The previous settings stay in force.")
	LogLinesDropped    = define(108, "logLinesDropped", log.WarnLevel, "Log lines were dropped because the reader of the log was too slow; lines says how many. Requests were not delayed.")
	ClientsDropped     = define(109, "clientsDropped", log.WarnLevel, "Requests or connections of clients were dropped because the node's memory for them or a listener's connections were at their limit. The fields count them since the last such line.")
	BugFound           = define(199, "bugFound", log.ErrorLevel, "The program reached a state that its logic rules out. Report it with the place field.")
)
