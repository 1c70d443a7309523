// This file defines how an owner finds out that a pending process has ended because its VM no longer exists.

package slicing

import (
	"context"
	"time"

	"ebonyferry/internal/core/slice"
)

const (
	listInterval  = 30 * time.Second
	absentTimeout = 2 * time.Minute // a name missing from the platform's list for so long belongs to no VM
)

// absentNodes records since when nodes have been on neither the platform's list nor the list of members.
type absentNodes struct {
	lastRead time.Time            // of the platform's list
	since    map[string]time.Time // by node name
}

// checkAbsentNodes reads the platform's list if an owner has a pending process whose node is not a member. The caller
// holds mu.
func (m *Manager) checkAbsentNodes(ctx context.Context, now time.Time) {
	var pending []slice.Process
	for _, s := range m.terms {
		for _, proc := range s.owner.Pending() {
			if _, ok := m.findNode(proc.Name); !ok {
				pending = append(pending, proc)
			}
		}
	}
	if len(pending) == 0 || now.Sub(m.absent.lastRead) < listInterval {
		return
	}
	m.absent.lastRead = now
	go m.readVMs(ctx, pending)
}

// readVMs reads the platform's list of VMs and reports the pending processes that ended with their VMs to the owners.
func (m *Manager) readVMs(ctx context.Context, pending []slice.Process) {
	vms, err := m.store.VMs(ctx)
	if err != nil {
		return
	}
	listed := make(map[string]bool, len(vms))
	for _, vm := range vms {
		listed[vm.Name] = true
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	now := time.Now()
	absent := make(map[string]time.Time)
	for _, proc := range pending {
		if listed[proc.Name] {
			continue
		}
		since, ok := m.absent.since[proc.Name]
		if !ok {
			since = now
		}
		absent[proc.Name] = since
		if now.Sub(since) >= absentTimeout {
			m.processEnded(proc, now)
		}
	}
	m.absent.since = absent
}

// processEnded reports to all owners that a process has ended. The caller holds mu.
func (m *Manager) processEnded(proc slice.Process, now time.Time) {
	for _, s := range m.terms {
		m.updateOwner(s, now)
		s.owner.ProcessEnded(proc)
	}
}
