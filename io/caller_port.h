// Callers' HTTP requests as events, and the node's answers to them.
//
//   caller_port Callers("entry-1", Limits, Sink);
//   if (!Callers.listen(Settings.Listen))
//     return 1;
//   Callers.carryOut(refuse_request{...});
//
// A caller's key is hashed here and goes no further. What is malformed beyond
// doubt is answered here; everything else is the node's decision.

#ifndef IO_CALLER_PORT_H
#define IO_CALLER_PORT_H

#include <functional>
#include <memory>
#include <string>
#include <string_view>

#include "absl/container/flat_hash_map.h"

#include "io/event_sink.h"
#include "io/http_server.h"
#include "monsoonreel/monsoonreel.h"

namespace monsoonreel {

// Bytes that a caller has not taken yet, above which no more of its answer is
// read from the upstream.
constexpr int64_t max_unsent_bytes = 256 << 10;
// An answer that is not streamed goes out with its length up to this size, and
// in chunks above.
constexpr size_t max_whole_answer_bytes = size_t{1} << 20;

class caller_port : public http_handler {
public:
  caller_port(node_name Name, const http_bounds &Bounds, event_sink &Sink);
  ~caller_port() override;

  bool listen(const address &At);
  uint16_t port() const { return Server.port(); }
  int connections() const { return Server.connections(); }
  // From now on every answer asks its caller to close the connection.
  void startDraining();
  // Takes no new connections.
  void stopListening() { Server.stopListening(); }

  void handleRequest(const http_request &Request,
                     const std::shared_ptr<http_exchange> &Exchange) override;

  void carryOut(const begin_answer &Effect);
  void carryOut(const write_answer &Effect);
  void carryOut(const finish_answer &Effect);
  void carryOut(const abort_answer &Effect);
  void carryOut(const refuse_request &Effect);

  // The request as it came, or nullptr after it has ended.
  const http_request *find(request_id Request) const;
  bool hasRoom(request_id Request) const;
  // Called with a request whose caller has taken part of its answer.
  void setOnRoom(std::function<void(request_id)> Callback);

private:
  struct pending;

  pending *findPending(request_id Request);
  // Removes a request that ends; nothing when it has ended already.
  std::unique_ptr<pending> take(request_id Request);
  void logEnd(request_id Request, const pending &Pending, int Status,
              const std::string &Outcome);

  node_name Name;
  event_sink &Sink;
  http_server Server;
  int64_t LastRequest = 0;
  absl::flat_hash_map<request_id, std::unique_ptr<pending>> Requests;
  std::function<void(request_id)> OnRoom;
};

// What a request says about itself, or the reason that it can't be taken.
struct request_reading {
  request_arrived Event;
  int Status = 0; // other than 0: refuse it so
  std::string Code;
  std::string Message;
};

// Whether requests of this path ask for a completion of a model.
bool isCompletionPath(std::string_view Path);

request_reading readRequest(const http_request &Request);

} // namespace monsoonreel

#endif // IO_CALLER_PORT_H
