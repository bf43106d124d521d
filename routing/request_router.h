// The life of each caller's request, from its arrival to its answer.
//
//   request_router Requests({Registry, Load, Cache, Trust, Budget, Usage},
//   Zone); Requests.onArrival(Arrived, Table, Context, Effects);
//   Requests.onHead(Head, Context, Effects); ...
//   Requests.onTick(Context, Effects);
//
// A request is admitted by the table that is in force when it arrives and keeps
// it. It is sent to one upstream at a time. What is known about whether it has
// run decides what may follow:
//
//   not run   it may be sent to another upstream, or be refused
//   run       the upstream's answer is passed on; an idempotent request whose
//             upstream failed may be sent to another one first
//   unknown   only requests that may be repeated are sent again; others end
//             without the promise that they have not run
//
// A stream is passed on event by event. One that may be resumed goes on at
// another upstream after the last event that the caller has.

#ifndef ROUTING_REQUEST_ROUTER_H
#define ROUTING_REQUEST_ROUTER_H

#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "absl/container/flat_hash_map.h"

#include "monsoonreel/caller_answer.h"
#include "routing/event_cutter.h"
#include "routing/placement.h"
#include "routing/route_table.h"
#include "routing/routing_effect.h"
#include "routing/send_budget.h"
#include "routing/usage_windows.h"

namespace monsoonreel {

// With less time left, a request is not sent to a further upstream.
constexpr duration min_resend_time = std::chrono::milliseconds(40);
// Open requests of one entry; more are refused. About 20 KB each at most.
constexpr size_t max_open_requests = 3000;

// Shared state that requests read and change.
struct router_services {
  upstream_registry &Registry;
  upstream_load &Load;
  prompt_cache_view &Cache;
  upstream_trust &Trust;
  send_budget &Budget;
  usage_windows &Usage;
};

// What holds while one event is handled.
struct router_context {
  steady_time Now;
  wall_time TrueTime;
  uint64_t Random = 0;
  duration RegistryAge{};
  size_t Entries = 1;
  bool FiguresLag = false; // others' reports are older than most work lasts
};

class request_router {
public:
  request_router(router_services Services, zone_name Zone);

  // Table: nullptr while no configuration is known.
  void onArrival(const route_request &Arrived,
                 const std::shared_ptr<const route_table> &Table,
                 const router_context &Context, routing_effects &Effects);
  void onCallerGone(request_id Request, const router_context &Context,
                    routing_effects &Effects);
  void onHead(const answer_head &Head, const router_context &Context,
              routing_effects &Effects);
  void onData(const answer_data &Data, const router_context &Context,
              routing_effects &Effects);
  void onEnd(const answer_end &End, const router_context &Context,
             routing_effects &Effects);
  void onFailed(const route_attempt_failed &Failed,
                const router_context &Context, routing_effects &Effects);
  // Ends requests whose time is over.
  void onTick(const router_context &Context, routing_effects &Effects);

  size_t open() const { return Requests.size(); }

private:
  struct active_request {
    route_request Arrived;
    std::shared_ptr<const route_table> Table;
    const host_route *Route = nullptr;
    organisation_name Organisation;
    urgency Urgency;
    const service *Service = nullptr;
    steady_time ArrivedAt;
    steady_time EndsAt; // the caller's deadline or the route's timeout
    std::optional<attempt_number> Attempt;
    upstream_name Upstream; // of Attempt
    zone_name UpstreamZone;
    steady_time SentAt;
    steady_time ProgressAt; // sent, or the last whole event came
    int Sent = 0;           // upstreams that may have received it
    std::vector<upstream_name> Tried;
    run_knowledge Knowledge = run_knowledge::NotRun;
    // An upstream that failed it, until another one has answered.
    std::optional<std::pair<upstream_name, zone_name>> Doubted;
    bool Counted = false; // for its organisation's usage
    // Of Attempt:
    int Status = 0;
    bool Stream = false; // passed on event by event
    bool Held = false;   // its answer is held back until complete
    // Of the answer to the caller:
    bool Begun = false;
    event_cutter Events;
    std::string Body;
    // A failure of an upstream that is passed on if nothing better comes.
    std::optional<route_answer> Fallback;
  };

  active_request *ofAttempt(attempt_number Attempt);
  void send(active_request &Request, const router_context &Context,
            routing_effects &Effects);
  void endAttempt(active_request &Request);
  // Whether a failure speaks against the upstream of the present attempt.
  void judge(active_request &Request, const router_context &Context);
  // What an upstream says of itself with any answer.
  void takeWordOf(const active_request &Request, const answer_head &Head,
                  const router_context &Context, routing_effects &Effects);
  // Until the first resting upstream of the request's service may be used.
  duration restLeft(const active_request &Request,
                    const router_context &Context) const;
  // Sends the request elsewhere when that is allowed; else ends it.
  void trySendAgain(active_request &Request, bool Arrived, const char *Why,
                    const router_context &Context, routing_effects &Effects);
  static void logFailure(const active_request &Request, const char *Why,
                         const router_context &Context,
                         routing_effects &Effects);
  // Sends it elsewhere after mayResend has said so.
  void resend(active_request &Request, const char *Why,
              const router_context &Context, routing_effects &Effects);
  // Whether a stream that could go on elsewhere makes no progress. Bytes that
  // make no event are none.
  bool hasStalled(const active_request &Request,
                  const router_context &Context) const;
  bool mayResend(const active_request &Request, bool Arrived,
                 const router_context &Context);
  void giveUp(active_request &Request, const char *Why,
              const router_context &Context, routing_effects &Effects);
  // When a request that has not run may come back with a chance.
  duration retryAfter(const active_request &Request, std::string_view Why,
                      const router_context &Context) const;
  void refuse(active_request &Request, int Status, const char *Code,
              duration RetryAfter, const router_context &Context,
              routing_effects &Effects);
  void close(active_request &Request, const char *Outcome,
             const router_context &Context, routing_effects &Effects);
  void onStreamData(active_request &Request, const std::string &Data,
                    const router_context &Context, routing_effects &Effects);
  void countUsage(active_request &Request, const router_context &Context);
  placement_query queryFor(const active_request &Request,
                           const router_context &Context) const;

  router_services Services;
  zone_name Zone;
  int64_t LastAttempt = 0;
  absl::flat_hash_map<request_id, std::unique_ptr<active_request>> Requests;
  absl::flat_hash_map<attempt_number, request_id> Attempts;
};

} // namespace monsoonreel

#endif // ROUTING_REQUEST_ROUTER_H
