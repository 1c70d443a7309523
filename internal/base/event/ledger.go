// This file defines the events of the ledger of calls that may not be repeated (500-549).

package event

import "github.com/apex/log"

// Events of the ledger.
var (
	LedgerNotWritten = define(500, "ledgerNotWritten", log.WarnLevel, "The store did not accept a partition's records. Calls that may not be repeated are refused as not run until it does. Check the platform's store.")
)
