package front

import (
	"bufio"
	"net/http"
	"strings"
	"testing"
)

// Guards against a call to a plain service that reaches the target with another path or query
// than its caller sent.
func TestServicePathIsPassedOnAsItIs(t *testing.T) {
	const prefix = "/v1/services/desk"
	tests := []struct{ target, want string }{
		{prefix + "/a/b?c=d", "/a/b?c=d"},
		{prefix + "//a", "//a"},
		{prefix + "/a//b/", "/a//b/"},
		{prefix + "/a?b?c", "/a?b?c"},
		{prefix + "/a?", "/a?"},
		{prefix + "/%2F%2f", "/%2F%2f"},
		{prefix + "/a;b:c", "/a;b:c"},
		{"http://h.example" + prefix + "/a", "/a"},
		{prefix + "/a|b", ""},
		{prefix + "/\xc3\xa9", ""},
		{prefix + "/../a", ""},
		{prefix + "/a/./b", ""},
		{prefix + "/a#b", ""},
		{"/v1/%73ervices/desk/a", ""},
	}
	for _, tc := range tests {
		r, err := http.ReadRequest(bufio.NewReader(strings.NewReader("GET " + tc.target + " HTTP/1.1\r\nHost: h\r\n\r\n")))
		if err != nil {
			t.Fatal(err)
		}
		got, err := servicePath(r, "desk")
		if got != tc.want || (err == nil) != (tc.want != "") {
			t.Errorf("%s: path %q, error %v, want %q", tc.target, got, err, tc.want)
		}
	}
}
