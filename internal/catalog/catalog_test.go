package catalog

import (
	"fmt"
	"testing"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

// Operators' configurations hold routes whose prefixes contain one another: the
// longest match must win, whatever the order of the routes, also for hosts and
// paths that match nothing.
func TestLongestPrefixWins(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		prefixes := rapid.SliceOfN(rapid.StringMatching(`/[ab/]{0,4}`), 1, 12).Draw(t, "prefixes")
		path := rapid.StringMatching(`/[ab/]{0,8}`).Draw(t, "path")
		c := New(1)
		want := ""
		for n, prefix := range prefixes {
			c.AddQueue(&Queue{Name: fmt.Sprint(n), Host: "h", Prefix: prefix})
			if len(prefix) > len(want) && len(prefix) <= len(path) && path[:len(prefix)] == prefix {
				want = prefix
			}
		}
		q, rest, found := c.Route("h", path)
		if found != (want != "") || found && (q.Prefix != want || rest != path[len(want):]) {
			t.Fatalf("%s of %q: %v, want %q", path, prefixes, q, want)
		}
		if _, _, found := c.Route("other", path); found {
			t.Fatal("a queue of another host")
		}
	})
}

// Nobody can read a configuration of thousands of routes: an operator must see
// which routes a longer one hides.
func TestExplainNamesShadowedRoutes(t *testing.T) {
	is := is.New(t)
	c := New(1)
	for _, prefix := range []string{"/", "/tags/", "/tags/large/", "/other/"} {
		c.AddQueue(&Queue{Name: prefix, Host: "h", Prefix: prefix})
	}
	e, found := c.Explain("h", "/tags/large/1f")
	is.True(found)
	is.Equal(e.Queue.Name, "/tags/large/")
	is.Equal(e.Rest, "1f")
	is.Equal(len(e.Shadowed), 2)
	is.Equal(e.Shadowed[0].Name, "/tags/")
	_, found = c.Explain("h", "none")
	is.True(!found)
}

// catalogOfRoutes returns a catalog with n routes of one host, and paths of each.
func catalogOfRoutes(n int) (*Catalog, []string) {
	c := New(1)
	paths := make([]string, n)
	for i := range n {
		prefix := fmt.Sprintf("/r%d/%x/", i%17, i)
		c.AddQueue(&Queue{Name: fmt.Sprint(i), Host: "h", Prefix: prefix})
		paths[i] = prefix + "5c0e7a21d94b36f8"
	}
	return c, paths
}

func BenchmarkRoute(b *testing.B) {
	for _, n := range []int{10, 1000, 100_000} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			c, paths := catalogOfRoutes(n)
			for i := 0; b.Loop(); i++ {
				if _, _, found := c.Route("h", paths[i*7919%n]); !found {
					b.Fatal("no match")
				}
			}
		})
	}
}

func BenchmarkBuild(b *testing.B) {
	for b.Loop() {
		catalogOfRoutes(100_000)
	}
}
