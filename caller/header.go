// Copyright ©2026 The sassafrasfront Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package caller

import (
	"fmt"
	"net"
	"net/http"
	"strings"

	"sassafrasfront.example/connlimit"
	"sassafrasfront.example/peer"
	"sassafrasfront.example/upstream"
)

// hopByHop are the hop-by-hop header fields, besides those that Connection lists.
var hopByHop = []string{
	"Connection",
	"Proxy-Connection",
	"Keep-Alive",
	"Proxy-Authenticate",
	"Proxy-Authorization",
	"Te",
	"Trailer",
	"Transfer-Encoding",
	"Upgrade",
	"Http2-Settings",
}

// stripHopByHop removes the hop-by-hop fields.
func stripHopByHop(h http.Header) {
	for _, v := range h["Connection"] {
		for name := range strings.SplitSeq(v, ",") {
			if name = strings.TrimSpace(name); name != "" {
				h.Del(name)
			}
		}
	}
	for _, name := range hopByHop {
		h.Del(name)
	}
}

// forwardedHeader returns the header of r as it is sent to the upstream.
func (h *Handler) forwardedHeader(r *http.Request) http.Header {
	fields := r.Header.Clone()
	stripHopByHop(fields)
	fields.Del("Expect")
	fields.Add("Via", fmt.Sprintf("%d.%d %s", r.ProtoMajor, r.ProtoMinor, h.Node))
	if !h.LocalCallers {
		addForwarded(fields, r)
	}
	return fields
}

// addForwarded adds the fields that describe the origin of r.
func addForwarded(h http.Header, r *http.Request) {
	client, _, err := net.SplitHostPort(r.RemoteAddr)
	if err != nil {
		client = r.RemoteAddr
	}
	proto := "http"
	if r.TLS != nil {
		proto = "https"
	}
	h.Add("Forwarded", fmt.Sprintf("for=%s;host=%q;proto=%s", forwardedFor(client), r.Host, proto))
	h.Add("X-Forwarded-For", client)
	h.Set("X-Forwarded-For", strings.Join(h["X-Forwarded-For"], ", "))
	if h.Get("X-Forwarded-Host") == "" {
		h.Set("X-Forwarded-Host", r.Host)
	}
	if h.Get("X-Forwarded-Proto") == "" {
		h.Set("X-Forwarded-Proto", proto)
	}
}

// forwardedFor returns an address in the form of RFC 7239, section 6.
func forwardedFor(client string) string {
	if strings.Contains(client, ":") {
		return `"[` + client + `]"`
	}
	return client
}

// NodeHeader names the node whose upstream ran the request.
const NodeHeader = "Sassafras-Node"

// copyResponseHeader copies a response's header fields for the caller.
func copyResponseHeader(to http.Header, from []peer.Field, node string) {
	for _, f := range from {
		to.Add(f.Name, f.Value)
	}
	stripHopByHop(to)
	to.Del(upstream.VerdictHeader)
	to.Add("Via", "1.1 "+node)
}

// headerSize returns the size of a request's header in bytes as it was sent, if that is known. It
// otherwise returns the smallest size with which the same fields can be sent. The server has
// removed Host from the fields.
func headerSize(r *http.Request) int {
	if n, ok := connlimit.HeadBytes(r); ok {
		return n
	}
	const (
		lineEnd = len("\n")
		colon   = len(":")
	)
	n := len(r.Method) + len(" ") + len(r.RequestURI) + len(" ") + len(r.Proto) + 2*lineEnd
	n += len("Host") + colon + len(r.Host) + lineEnd
	for name, values := range r.Header {
		for _, v := range values {
			n += len(name) + colon + len(v) + lineEnd
		}
	}
	return n
}
