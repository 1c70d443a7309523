package slicing

import (
	"context"
	"time"

	"ebonyferry/internal/core/slice"
)

// This file defines how an owner learns that a VM is gone whose process has yet to come over to its term.

const (
	listInterval = 30 * time.Second
	goneAfter    = 2 * time.Minute // a name off the platform's list for so long belongs to no VM
)

// goneList notes since when names are on neither the platform's list nor the list of members.
type goneList struct {
	asked  time.Time
	absent map[string]time.Time
}

// Reads the platform's list when an owner waits for a process whose node is no member. The caller holds mu.
func (m *Manager) noteGone(ctx context.Context, now time.Time) {
	var waiting []slice.Process
	for _, s := range m.seats {
		for _, proc := range s.owner.Pending() {
			if _, ok := m.node(proc.Name); !ok {
				waiting = append(waiting, proc)
			}
		}
	}
	if len(waiting) == 0 || now.Sub(m.gone.asked) < listInterval {
		return
	}
	m.gone.asked = now
	go m.readList(ctx, waiting)
}

// Tells owners of the processes that have ended with their VMs.
func (m *Manager) readList(ctx context.Context, waiting []slice.Process) {
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
	for _, proc := range waiting {
		if listed[proc.Name] {
			continue
		}
		since, known := m.gone.absent[proc.Name]
		if !known {
			since = now
		}
		absent[proc.Name] = since
		if now.Sub(since) >= goneAfter {
			m.ended(proc, now)
		}
	}
	m.gone.absent = absent
}

// Tells all owners that a process has ended. The caller holds mu.
func (m *Manager) ended(proc slice.Process, now time.Time) {
	for _, s := range m.seats {
		m.attend(s, now)
		s.owner.ProcessEnded(proc)
	}
}
