package event

import "github.com/apex/log"

// This file defines the events of the node's own life (100-199).

// Events of the node process.
var (
	NodeStarted        = define(100, "nodeStarted", log.InfoLevel, "The node process has read its settings and listens.")
	NodeReady          = define(101, "nodeReady", log.InfoLevel, "The node holds the head of the configuration and takes work.")
	NodeDraining       = define(102, "nodeDraining", log.InfoLevel, "The node was asked to stop: it leaves the entry list and finishes running work.")
	NodeStopped        = define(103, "nodeStopped", log.InfoLevel, "The node has ended all work and exits.")
	LeaveFailed        = define(104, "leaveFailed", log.WarnLevel, "A node that drained could not give up its lease. The lease lapses by itself; until then the node is on the list though it is gone.")
	ConnectionFailed   = define(105, "connectionFailed", log.InfoLevel, "A connection to a listener failed before a request was read from it, as in a TLS handshake with an unknown authority.")
	SettingsReloaded   = define(106, "settingsReloaded", log.InfoLevel, "The settings were read again and those that may change while the node runs apply.")
	SettingsUnreadable = define(107, "settingsUnreadable", log.ErrorLevel, "The settings were read again and have a fault, which the cause names. Those in force stay.")
	LogLinesDropped    = define(108, "logLinesDropped", log.WarnLevel, "So many log lines were left out, since whoever reads the log did not keep up. Requests were not held up.")
	BugFound           = define(199, "bugFound", log.ErrorLevel, "The program met a state its logic rules out. Report it with the place field.")
)
