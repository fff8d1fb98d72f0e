package intake

import (
	"context"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/pkg/errors"

	"github.com/beryltide/beryltide/internal/memstore"
)

// A large submission whose owner can't be asked must be refused as not run and not be
// stored; a small one must be stored without a question.
func TestLargeSubmissionWithoutAnOwner(t *testing.T) {
	is := is.New(t)
	s := memstore.New(4)
	service := newService(s.Client())
	ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
	defer cancel()
	large := submission()
	large.Steps[0].Image = strings.Repeat("x", largeRecord)
	is.True(errors.Is(service.Submit(ctx, large), ErrNotRun))
	is.True(!stored(t, s))
	is.NoErr(service.Submit(ctx, submission()))
	is.True(stored(t, s))
}
