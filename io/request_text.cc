#include "io/request_text.h"

#include "absl/strings/str_cat.h"

namespace monsoonreel {

std::string requestText(const outgoing_request &Request) {
  std::string Text = absl::StrCat(Request.Method, " ", Request.Target,
                                  " HTTP/1.1\r\nHost: ", Request.To.Value,
                                  "\r\nUser-Agent: monsoonreel"
                                  "\r\nAccept-Encoding: identity\r\n");
  for (const http_header &Header : Request.Headers)
    absl::StrAppend(&Text, Header.Name, ": ", Header.Value, "\r\n");
  if (!findHeader(Request.Headers, "Content-Type"))
    absl::StrAppend(&Text, "Content-Type: application/json\r\n");
  absl::StrAppend(&Text, "Content-Length: ", Request.Body.size(), "\r\n\r\n",
                  Request.Body);
  return Text;
}

} // namespace monsoonreel
