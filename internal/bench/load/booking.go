// This file defines calls of the plain service: bookings, which may not run twice, and look-ups.

package load

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"time"

	fake "ebonyferry/internal/fake/service"

	"ebonyferry/internal/base/bounded"
)

const callTimeout = 15 * time.Second

// book makes a booking. Every retry uses the same idempotency key, so the booking must not run twice.
func (c *caller) book(ctx context.Context, req *request) ending {
	body, err := json.Marshal(fake.Booking{Booking: req.booking, Item: req.item, Count: 1})
	if err != nil {
		return ending{outcome: Failed, detail: err.Error()}
	}
	header := http.Header{idempotencyHeader: {req.booking}}
	return c.callService(ctx, req, http.MethodPost, fake.PathBookings, header, body, func(status int, data []byte) ending {
		var receipt fake.Receipt
		if status != http.StatusCreated {
			return ending{outcome: Complete, detail: "service refused"}
		}
		if json.Unmarshal(data, &receipt) != nil || receipt.Booking != req.booking {
			c.g.rec.addViolation(CheckCrossed, req, "receipt is %q, want one for %s", data, req.booking)
		}
		return ending{outcome: Complete, receipt: true}
	})
}

// lookUp requests the stock of an item.
func (c *caller) lookUp(ctx context.Context, req *request) ending {
	return c.callService(ctx, req, http.MethodGet, fake.PathStock+req.item, nil, nil, func(status int, data []byte) ending {
		if status != http.StatusOK {
			return ending{outcome: Complete, detail: "service refused"}
		}
		var got fake.Stock
		want := fake.Stock{Item: req.item, Count: fake.StockOf(req.item)}
		if json.Unmarshal(data, &got) != nil || got != want {
			c.g.rec.addViolation(CheckCrossed, req, "stock is %q, want %+v", data, want)
		}
		return ending{outcome: Complete}
	})
}

// callService calls the service and retries until the caller's limits are reached. check examines the service's answer.
func (c *caller) callService(ctx context.Context, req *request, method, path string, header http.Header, body []byte, check func(int, []byte) ending) ending {
	const maxUnknown = 3 // errors other than "not run", after which the caller stops retrying
	var tries attempts
	for unknown := 0; ; {
		addr := c.entry(ctx)
		status, data, err := c.callOnce(ctx, addr.String(), func(ctx context.Context) (*http.Response, error) {
			return c.send(ctx, addr, method, c.g.servicePrefix+path, header, body)
		})
		var apiErr *apiError
		if err == nil {
			apiErr = parseError(data)
			if apiErr == nil {
				return check(status, data)
			}
		}
		tries.add(apiErr, err)
		if err != nil {
			c.markFailed(addr)
		}
		if apiErr != nil && !apiErr.Ferry.NotRun {
			unknown++
		}
		if unknown >= maxUnknown || !tries.pause(ctx, c.g) {
			return tries.ending()
		}
	}
}

// callOnce makes one call and reads its whole answer.
func (c *caller) callOnce(ctx context.Context, addr string, send func(context.Context) (*http.Response, error)) (int, []byte, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	resp, err := send(ctx)
	if err != nil {
		return 0, nil, err
	}
	defer resp.Body.Close()
	data, err := bounded.ReadAll(resp.Body, maxAnswerBytes)
	if err != nil {
		return 0, nil, fmt.Errorf("answer of %s: %w", addr, errors.Join(errCut, err))
	}
	return resp.StatusCode, data, nil
}
