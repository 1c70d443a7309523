package event

import "github.com/apex/log"

// This file defines the events of the ledger of calls that may not be repeated (500-549).

// Events of the ledger.
var (
	LedgerNotWritten = define(500, "ledgerNotWritten", log.WarnLevel, "The store did not take a partition's records. Calls that may not be repeated are refused as not run until it does. Look at the platform's store.")
)
