// Answers operators who ask where a request would go, see routing/explain.h.
//
//   explain_handler Explanations(Node, Dialect);
//   Explanations.handleRequest(Request, Exchange);
//
// POST with a JSON object: `host` and `path`, and optionally `key`, `tokens`
// and `parts`, which are texts as in the requests of callers. The dialect
// hashes the key before it is used; it is neither logged nor answered.

#ifndef IO_EXPLAIN_HANDLER_H
#define IO_EXPLAIN_HANDLER_H

#include <deque>

#include "io/http_server.h"
#include "io/wire_dialect.h"

namespace monsoonreel {

// An explanation takes as long as placing some requests, so operators' tools
// must not be able to ask without pause.
constexpr size_t max_explanations = 5;
constexpr duration explanation_window = std::chrono::seconds(1);

class explain_handler : public http_handler {
public:
  explain_handler(const routing_node &Source, const wire_dialect &Adapter)
      : Node(Source), Dialect(Adapter) {}

  void handleRequest(const http_request &Request,
                     const std::shared_ptr<http_exchange> &Exchange) override;

private:
  // Returns whether one more may be answered now, and counts it.
  bool take(steady_time Now);

  const routing_node &Node;
  const wire_dialect &Dialect;
  std::deque<steady_time> AnsweredAt; // within explanation_window
};

} // namespace monsoonreel

#endif // IO_EXPLAIN_HANDLER_H
