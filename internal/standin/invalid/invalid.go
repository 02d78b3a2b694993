// Package invalid has the answers of backend servers in trouble that are no valid final response,
// for tests and simulations.
package invalid

import (
	"fmt"
	"maps"
	"slices"
	"strings"
)

// statuses are status codes that a final response cannot have.
var statuses = []string{
	"000", "001", "099", "101", "104", "150", "199", "600", "666", "700", "999", "20", "2", "2000", "0200", "-20", "-200", "+20", "2x0", "abc", "２００", "",
}

// interimCount is the number of informational responses that are too many before a final one.
const interimCount = 300

// Answers returns such answers by name. inner is a whole valid response to the same request, which is
// the body of some of them and must not be taken for the response.
func Answers(inner string) map[string]string {
	all := map[string]string{
		"informational with a body":    answer("100 Continue", inner),
		"informational in chunks":      fmt.Sprintf("HTTP/1.1 103 Early Hints\r\nTransfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n0\r\n\r\n", len(inner), inner),
		"many informational responses": strings.Repeat("HTTP/1.1 102 Processing\r\n\r\n", interimCount) + inner,
		"later version":                strings.Replace(answer("200 OK", inner), "HTTP/1.1", "HTTP/3.1", 1),
	}
	for _, status := range statuses {
		all["status "+status+", a whole response as its body"] = answer(status+" OK", inner)
		all["status "+status] = answer(status+" OK", "in trouble")
		all["status "+status+" without a reason, a whole response behind it"] = "HTTP/1.1 " + status + "\r\n\r\n" + inner
	}
	return all
}

// Nth returns the n-th of the answers, in an order that does not change, again and again.
func Nth(n int, inner string) string {
	all := Answers(inner)
	names := slices.Sorted(maps.Keys(all))
	return all[names[n%len(names)]]
}

// answer returns a response with a status and a body.
func answer(status, body string) string {
	return fmt.Sprintf("HTTP/1.1 %s\r\nContent-Length: %d\r\n\r\n%s", status, len(body), body)
}

// Valid returns answers that begin with informational responses and are valid.
func Valid(inner string) map[string]string {
	all := map[string]string{"none": inner}
	for _, status := range []string{"100 Continue", "102 Processing", "103 Early Hints"} {
		all[status] = "HTTP/1.1 " + status + "\r\nLink: </a>\r\n\r\n" + inner
	}
	all["several"] = strings.Repeat("HTTP/1.1 102 Processing\r\n\r\n", 8) + inner
	return all
}
