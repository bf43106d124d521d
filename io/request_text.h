// The text of a request to another server.
//
//   std::string Bytes = requestText(
//       {"POST", "/v1/completions", Upstream, Headers, Body});

#ifndef IO_REQUEST_TEXT_H
#define IO_REQUEST_TEXT_H

#include <string>

#include "io/http_fields.h"
#include "monsoonreel/monsoonreel.h"

namespace monsoonreel {

struct outgoing_request {
  std::string Method;
  std::string Target; // path and query
  address To;
  http_header_list Headers; // sent as they are
  std::string Body;
};

// Adds the length, the type of the body if none is given, and a field that asks
// for an answer without compression.
std::string requestText(const outgoing_request &Request);

} // namespace monsoonreel

#endif // IO_REQUEST_TEXT_H
