// How requests look on the wire to callers and upstreams.
//
// The routing runtime moves requests and answers; which header fields carry
// what is an adapter's matter. An adapter decodes each message once into the
// product's types and decides nothing.

#ifndef IO_WIRE_DIALECT_H
#define IO_WIRE_DIALECT_H

#include <optional>
#include <string>

#include "io/channel_pool.h"
#include "io/http_server.h"
#include "routing/routing.h"

namespace monsoonreel {

// A request of which an operator asks where it would go. Tokens and parts of
// the prompt are texts as in callers' requests.
struct explained_request {
  std::string Host;
  std::string Path;
  std::optional<std::string> Key;
  std::optional<std::string> Tokens;
  std::optional<std::string> Parts;
};

class wire_dialect {
public:
  virtual ~wire_dialect() = default;

  // Request is the name that the runtime has given to the message.
  virtual route_request decodeRequest(request_id Request,
                                      const http_request &Message) const = 0;

  // The request as it would arrive from a caller. The key is hashed.
  virtual route_request
  decodeExplained(const explained_request &Asked) const = 0;

  // The bytes of one attempt at an upstream.
  virtual std::string encodeAttempt(const http_request &Message,
                                    const route_dispatch &Dispatch) const = 0;

  // Whether an answer belongs to the attempt for the caller's request CallerId,
  // and what it says. Head.Attempt is filled in by the runtime.
  virtual reply_verdict readReply(const http_reply_head &Reply,
                                  const std::string &CallerId,
                                  answer_head &Head) const = 0;

  // The caller's id of the request that an answer belongs to; empty if it is
  // not stated exactly once.
  virtual std::string requestIdOf(const http_reply_head &Reply) const = 0;

  // The header fields of an upstream's answer that its caller gets.
  virtual http_header_list
  callerHeaders(const http_reply_head &Reply) const = 0;

  // The header fields and body of an answer by the router itself.
  virtual http_header_list
  refusalHeaders(const route_refusal &Refusal) const = 0;
};

} // namespace monsoonreel

#endif // IO_WIRE_DIALECT_H
