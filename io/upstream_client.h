// Requests to upstreams, and their answers as events.
//
//   upstream_client Client(Listener);
//   Client.start({Attempt, Address, "POST", "/v1/chat/completions",
//                 Caller.Headers, Caller.Body});
//   Client.cancel(Attempt);
//
// Each request is sent at most once. Answers are read only while the listener
// has room for them, so a slow caller slows its engine's stream and nothing
// else. Of the caller's header fields only those of a fixed list go upstream;
// a key never does.

#ifndef IO_UPSTREAM_CLIENT_H
#define IO_UPSTREAM_CLIENT_H

#include <memory>
#include <string>

#include "absl/container/flat_hash_map.h"

#include "io/channel_pool.h"
#include "monsoonreel/monsoonreel.h"

namespace monsoonreel {

struct upstream_request {
  attempt_number Attempt;
  address Address;
  std::string Method;
  std::string Target;             // path and query
  http_header_list CallerHeaders; // filtered by the client
  http_header_list OwnHeaders;    // sent as they are
  std::string Body;
  // The answer is a token stream that ends with "[DONE]".
  bool TokenStream = false;
  bool FreshConnection = false;
};

class upstream_listener {
public:
  virtual ~upstream_listener() = default;
  // One of the attempt events.
  virtual void onAttemptEvent(event_body Event) = 0;
  // Whether more of the attempt's answer can be taken. When it becomes so
  // again, the listener calls `resume`.
  virtual bool hasRoom(attempt_number Attempt) = 0;
};

class upstream_client {
public:
  explicit upstream_client(upstream_listener &Listener);
  ~upstream_client();
  upstream_client(const upstream_client &) = delete;
  upstream_client &operator=(const upstream_client &) = delete;

  void start(const upstream_request &Request);
  // Closes the attempt's connection. No event about it comes any more.
  void cancel(attempt_number Attempt);
  // Goes on reading after hasRoom was false.
  void resume(attempt_number Attempt);
  size_t running() const { return Exchanges.size(); }

private:
  class exchange;

  // Passes on what the listener has room for, and the end once all is.
  void deliver(attempt_number Attempt);
  void conclude(attempt_number Attempt);

  upstream_listener &Listener;
  channel_pool Channels;
  absl::flat_hash_map<attempt_number, std::shared_ptr<exchange>> Exchanges;
};

} // namespace monsoonreel

#endif // IO_UPSTREAM_CLIENT_H
