// This file serves the routes for bundles and their sign-offs.

package operator

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"slices"
	"strings"

	"github.com/go-chi/chi/v5"

	"ebonyferry/internal/core/bundle"
	"ebonyferry/internal/edge/document"
	"ebonyferry/internal/edge/kvstore"
)

// inForceID is accepted in place of the ID of the bundle in force.
const inForceID = "inForce"

func (s *Server) registerBundles(r chi.Router) {
	r.Post("/bundles", s.handle(s.putBundle))
	r.Post("/validate", s.handle(s.validate))
	r.Get("/bundles", s.handle(s.listBundles))
	r.Get("/bundles/{id}", s.handle(s.showBundle))
	r.Get("/diff", s.handle(s.diff))
	r.Post("/bundles/{id}/signoffs", s.handle(s.signOff))
}

// parseBody parses the bundle in the body of r. The author is the operator who signed the request.
func parseBody(r request) (bundle.Bundle, error) {
	text, err := io.ReadAll(r.Body)
	if err != nil {
		return bundle.Bundle{}, fmt.Errorf("reading the bundle: %w", err)
	}
	b, err := bundle.Parse(text)
	if err != nil {
		return bundle.Bundle{}, err
	}
	if b.Author != "" && b.Author != r.operator {
		return bundle.Bundle{}, &Failure{Code: CodeInvalid, Message: fmt.Sprintf("author is %q, the request is signed by %q", b.Author, r.operator)}
	}
	b.Author = r.operator
	return bundle.Canonical(b), nil
}

func (s *Server) validate(r request) (any, error) {
	b, err := parseBody(r)
	if err != nil {
		return nil, err
	}
	return s.describe(b), nil
}

func (s *Server) describe(b bundle.Bundle) BundleInfo {
	return BundleInfo{
		ID: b.ID, Author: b.Author, Note: b.Note, CreatedAt: s.now().UTC(),
		Servers: len(b.Servers), Models: len(b.Models), Services: len(b.Services),
	}
}

func (s *Server) putBundle(r request) (any, error) {
	b, err := parseBody(r)
	if err != nil {
		return nil, err
	}
	if err := document.PutBundle(r.Context(), s.store, b); err != nil {
		return nil, err
	}
	info := s.describe(b)
	return info, document.PutJSON(r.Context(), s.store, bundle.InfoKey(b.ID), info)
}

func (s *Server) listBundles(r request) (any, error) {
	entries, _, err := s.store.List(r.Context(), bundle.InfoPrefix)
	if err != nil {
		return nil, err
	}
	infos := []BundleInfo{}
	for _, e := range entries {
		var info BundleInfo
		if err := json.Unmarshal(e.Value, &info); err != nil {
			return nil, fmt.Errorf("reading %s: %w", e.Key, err)
		}
		infos = append(infos, info)
	}
	slices.SortFunc(infos, func(a, b BundleInfo) int { return a.CreatedAt.Compare(b.CreatedAt) })
	return infos, nil
}

// fullIDLength is the length of a SHA-256 digest in hex.
const fullIDLength = 64

// resolve returns the full ID for a prefix of one, or for inForceID.
func (s *Server) resolve(r request, id string) (string, error) {
	if id == inForceID {
		return r.in.Head.BundleID, nil
	}
	if len(id) == fullIDLength {
		return id, nil
	}
	if id == "" || strings.ContainsAny(id, "/") {
		return "", &Failure{Code: CodeInvalid, Message: fmt.Sprintf("%q is not the ID of a bundle", id)}
	}
	if strings.HasPrefix(r.in.Head.BundleID, id) {
		return r.in.Head.BundleID, nil
	}
	entries, _, err := s.store.List(r.Context(), bundle.InfoPrefix+id)
	if err != nil {
		return "", err
	}
	switch len(entries) {
	case 0:
		return "", &Failure{Code: CodeNotFound, Message: fmt.Sprintf("bundle %q does not exist", id)}
	case 1:
		return strings.TrimPrefix(entries[0].Key, bundle.InfoPrefix), nil
	}
	return "", &Failure{Code: CodeInvalid, Message: fmt.Sprintf("%d bundles begin with %q, give more of the ID", len(entries), id)}
}

// bundle returns a bundle by a prefix of its ID. It returns the bundle in force without reading the store.
func (s *Server) bundle(r request, id string) (bundle.Bundle, error) {
	full, err := s.resolve(r, id)
	if err != nil {
		return bundle.Bundle{}, err
	}
	if full == r.in.Head.BundleID {
		return r.in.Bundle, nil
	}
	return document.LoadBundle(r.Context(), s.store, full)
}

func (s *Server) showBundle(r request) (any, error) {
	b, err := s.bundle(r, chi.URLParam(r.Request, "id"))
	if err != nil {
		return nil, err
	}
	details := BundleDetails{Info: s.describe(b), Bundle: b, InForce: b.ID == r.in.Head.BundleID}
	if entry, err := s.store.Get(r.Context(), bundle.InfoKey(b.ID)); err == nil {
		_ = json.Unmarshal(entry.Value, &details.Info) // if the stored description cannot be decoded, the computed one is used
	}
	if details.InForce {
		details.SignedOffBy = r.in.Head.SignedOffBy
		return details, nil
	}
	list, err := document.SignOffs(r.Context(), s.store, b.ID)
	details.SignedOffBy = r.in.Signers(b, list)
	return details, err
}

func (s *Server) diff(r request) (any, error) {
	from, err := s.bundle(r, r.URL.Query().Get("from"))
	if err != nil {
		return nil, err
	}
	to, err := s.bundle(r, r.URL.Query().Get("to"))
	if err != nil {
		return nil, err
	}
	return BundleDiff{From: from.ID, To: to.ID, Changes: bundle.Diff(from, to)}, nil
}

func (s *Server) signOff(r request) (any, error) {
	var so bundle.SignOff
	if err := r.decode(&so); err != nil {
		return nil, err
	}
	b, err := s.bundle(r, chi.URLParam(r.Request, "id"))
	if err != nil {
		return nil, err
	}
	if so.Operator != r.operator || so.Subject.BundleID != b.ID {
		return nil, &Failure{Code: CodeInvalid, Message: "the sign-off is for another operator or bundle than the request"}
	}
	head, _, err := document.LoadHead(r.Context(), s.store)
	if err != nil {
		return nil, err
	}
	if so.Subject.Since != head.BundleSince {
		winner, err := document.HeadAt(r.Context(), s.store, head.BundleSince)
		if err != nil && !errors.Is(err, kvstore.ErrNotFound) {
			return nil, err
		}
		return nil, &document.RaceError{Head: winner}
	}
	if err := bundle.CheckSignOff(r.in.Keys, so); err != nil {
		return nil, err
	}
	if err := document.PutSignOff(r.Context(), s.store, so); err != nil {
		return nil, err
	}
	list, err := document.SignOffs(r.Context(), s.store, b.ID)
	if err != nil {
		return nil, err
	}
	in := bundle.NewInForce(head, r.in.Bundle, r.in.Keys)
	return BundleDetails{Info: s.describe(b), Bundle: b, SignedOffBy: in.Signers(b, list)}, nil
}
