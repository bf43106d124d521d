// Handles each caller's request from its arrival to its answer.
//
//   request_router Requests(
//       {Registry, Load, Cache, FailureTracker, Budget, Usage}, Zone);
//   Requests.onArrival(Arrived, Table, Context, Effects);
//   Requests.onHead(Head, Context, Effects); ...
//   Requests.onTick(Context, Effects);
//
// A request is admitted under the table that is in force when it arrives, and
// keeps it. It is sent to one upstream at a time. What happens after a failure
// depends on whether the request may have run:
//
//   not run   it may be sent to another upstream, or be refused
//   run       the upstream's answer is passed on; an idempotent request whose
//             upstream failed may be sent to another one first
//   unknown   only requests that may be repeated are sent again; others end
//             without a guarantee that they have not run
//
// A stream is passed on event by event. A resumable stream is continued at
// another upstream after the last event that the caller has received.

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
#include "routing/event_splitter.h"
#include "routing/explain.h"
#include "routing/part_quarantine.h"
#include "routing/placement.h"
#include "routing/region_rules.h"
#include "routing/resend_budget.h"
#include "routing/route_table.h"
#include "routing/routing_effect.h"
#include "routing/usage_windows.h"
#include "routing/zone_relays.h"

namespace monsoonreel {

// A request with less time left is not sent to another upstream.
constexpr duration min_resend_time = std::chrono::milliseconds(40);
// Maximum number of open requests of one entry; further ones are refused. Each
// takes at most about 20 KB.
constexpr size_t max_open_requests = 3000;
// An ask without a grant for this time is given up, and the entry places the
// request by itself. Answers come within a few milliseconds.
constexpr duration placement_ask_timeout = std::chrono::milliseconds(25);
// The relays of three zones. The last one grants an engine of its own zone or
// refuses, so that a request is not passed on for ever by old sums.
constexpr int max_asks = 3;
// A relay that has not answered is not asked again for this time.
constexpr duration silent_relay_pause = std::chrono::seconds(1);
// Less urgent requests are refused for this time after a most urgent one had to
// be: several intervals at which relays tell each other.
constexpr duration urgent_refusal_time = std::chrono::milliseconds(500);

// Shared state that requests read and modify.
struct router_services {
  upstream_registry &Registry;
  upstream_load &Load;
  prompt_cache_view &Cache;
  upstream_failure_tracker &FailureTracker;
  upstream_limits &Limits;
  engine_model &Model;
  part_quarantine &Quarantine;
  resend_budget &Budget;
  usage_windows &Usage;
};

// Conditions under which one event is handled.
struct router_context {
  steady_time Now;
  wall_time TrueTime;
  uint64_t Random = 0;
  duration RegistryAge{};
  size_t Entries = 1;
  bool LoadIsStale = false; // others' reports are older than most requests last
  // The relays of the zones, where one of each zone places requests for all
  // entries, see onAsk; nullptr: there are none.
  const zone_relays *Relays = nullptr;
};

class request_router {
public:
  request_router(router_services Services, zone_name Zone,
                 zone_regions Regions = {});

  // Table is nullptr while no configuration is known.
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
  // Places a request of another entry, which reports it later.
  void onAsk(const address &From, const wire::placement_ask &Ask,
             const std::shared_ptr<const route_table> &Table,
             const router_context &Context, routing_effects &Effects);
  // Handles that the most urgent requests to a service had to be refused by
  // another relay. Less urgent ones are refused for a while.
  void onUrgentRefused(const pool_name &Service, steady_time Now);
  // Returns the services whose most urgent requests this entry has refused
  // recently.
  std::vector<std::string> servicesShortOfRoom(steady_time Now) const;
  void onGrant(const address &From, const wire::placement_grant &Grant,
               const router_context &Context, routing_effects &Effects);
  // Handles that a caller reads its answer too slowly, or has caught up.
  void onCallerLags(const caller_lags &Lag, steady_time Now);
  // Ends requests whose time limit is reached, and moves stalled streams to
  // other upstreams.
  void onTick(const router_context &Context, routing_effects &Effects);

  // Returns where the request would go if it arrived now, and why. Sends,
  // counts and changes nothing.
  explanation explain(const route_request &Asked,
                      const std::shared_ptr<const route_table> &Table,
                      const router_context &Context) const;

  size_t open() const { return Requests.size(); }
  // Ends every request by End, before the process ends. From NoLateWorkFrom on,
  // refuses new requests that may not be repeated and might not end by then.
  void drain(steady_time NoLateWorkFrom, steady_time End);

private:
  struct active_request {
    route_request Arrived;
    std::shared_ptr<const route_table> Table;
    const host_route *Route = nullptr;
    organisation_name Organisation;
    region_rule Regions; // binds every attempt
    urgency Urgency;
    const service *Service = nullptr;
    steady_time ArrivedAt;
    steady_time EndsAt;         // the caller's deadline or the route's timeout
    std::optional<int64_t> Ask; // a placement that is asked for
    steady_time AskedAt;        // of the first ask for the current attempt
    steady_time AskSentAt;      // of the last one
    address Asked;
    int AsksSent = 0;           // for the current attempt
    const char *Placer = "own"; // of the current attempt, for logs
    std::string Holder;         // of the prompt's beginning, as was answered
    std::optional<attempt_number> Attempt;
    upstream_name Upstream; // upstream of Attempt
    zone_name UpstreamZone;
    std::chrono::milliseconds UpstreamStartedAt{};
    steady_time SentAt;
    // Prompt tokens at the upstream when it was sent, its own included.
    int64_t UnreadWhenSent = 0;
    bool FoundSlot = false; // a slot was free, as far as was known
    // Whether the delay of its first event tells how fast the upstream reads.
    bool ReadsAtOnce = false;
    duration PredictedFirst{}; // zero: not predicted
    steady_time ProgressAt;    // when it was sent or the last event arrived
    int64_t EventsBefore = 0;  // taken from earlier attempts
    std::optional<steady_time> BeganAt; // first event
    duration LongestGap{};              // between two events
    // Nothing is read from the upstream, because the caller reads too slowly.
    bool CallerLags = false;
    steady_time NextStallCheck = steady_time::min();
    bool StallLogged = false; // since the last progress
    // The upstream whose silent run was given up for the current attempt, until
    // that attempt has an event.
    std::optional<upstream_instance> Former;
    // When the request is sent to Former again, as no other upstream took it.
    std::optional<steady_time> ReturnAt;
    bool SoundRecorded = false;
    int Sent = 0; // upstreams that may have received it
    std::vector<upstream_name> Tried;
    execution_outcome Knowledge = execution_outcome::NotRun;
    // An upstream whose failure is not counted until another upstream has
    // answered without a failure.
    std::optional<std::pair<upstream_name, zone_name>> UnconfirmedFailure;
    bool Counted = false; // in the usage of its organisation
    // State of Attempt:
    int Status = 0;
    bool Stream = false;             // passed on event by event
    bool Held = false;               // its answer is held back until complete
    bool EndsWithConnection = false; // its body has no length
    std::string FailureDetail;       // of its connection, for the log
    upstream_instance run() const { return {Upstream, UpstreamStartedAt}; }
    int64_t eventsOfAttempt() const { return Events.taken() - EventsBefore; }
    // State of the answer to the caller:
    bool AnswerStarted = false;
    event_splitter Events;
    std::string Body;
    // Failure of an upstream that is passed on if no better answer follows.
    std::optional<route_answer> Fallback;
  };

  struct admission_refusal {
    int Status = 0;
    const char *Code = "";
    duration RetryAfter{};
  };
  // Fills in the terms under which the request is admitted. Returns why it is
  // refused, if it is.
  std::optional<admission_refusal> admit(active_request &Request,
                                         const router_context &Context) const;
  active_request *findByAttempt(attempt_number Attempt);
  void send(active_request &Request, const router_context &Context,
            routing_effects &Effects);
  // Ends the request if a part of its prompt is held back.
  bool endIfHeld(active_request &Request, const router_context &Context,
                 routing_effects &Effects);
  // Records that the address of the attempt's upstream answers as another one.
  void recordGone(const active_request &Request, const answer_head &Head,
                  const router_context &Context, routing_effects &Effects);
  // Chooses an upstream with what this entry knows. Asks the relay of another
  // zone if this entry places the requests of its own zone, and engines there
  // are better.
  void place(active_request &Request, const router_context &Context,
             routing_effects &Effects);
  void dispatch(active_request &Request, const placement_query &Query,
                const placement &Chosen, const router_context &Context,
                routing_effects &Effects);
  // What a choice of the upstream for Service is based on.
  placement_inputs inputsFor(const pool_name &Service) const;
  // Returns the engine that another entry names as a source of a cached prompt;
  // nullptr if engines of the service may not fetch from it.
  const upstream_state *namedSource(const std::string &Name,
                                    const service &Service,
                                    steady_time Now) const;
  // Returns the entry that places the request; empty if this one does.
  address placerFor(const active_request &Request, const placement_query &Query,
                    const router_context &Context) const;
  // Returns the zone of the subject's home.
  static zone_name homeZone(const placement_query &Query);
  // Returns the relay of another zone that places requests at its engines;
  // empty if none answers.
  address relayOf(const zone_name &Far, const router_context &Context) const;
  bool isSilent(const address &Relay, steady_time Now) const;
  void ask(active_request &Request, const address &Placer,
           const placement_query &Query, const router_context &Context,
           routing_effects &Effects);
  // Fills in the answer to an ask, and returns its outcome for metrics.
  const char *answerAsk(const address &From, const wire::placement_ask &Ask,
                        const placement_query &Query, const placement &Chosen,
                        wire::placement_grant &Grant, routing_effects &Effects);
  // Handles that engines of another zone are better for the request.
  void onRedirect(active_request &Request, const zone_name &Far,
                  const router_context &Context, routing_effects &Effects);
  void onUnansweredAsk(active_request &Request, const router_context &Context,
                       routing_effects &Effects);
  std::vector<std::string> failingUpstreams(const placement_query &Query) const;
  // Returns whether the request may be sent to Upstream as was granted.
  bool isUsable(const active_request &Request, const upstream_state &Upstream,
                const router_context &Context) const;
  // Returns whether a request with this best placement has to be refused.
  bool isRefused(const pool_name &Service, const placement_query &Query,
                 const placement &Best) const;
  // The same, and remembers it if the request is one of the most urgent.
  bool mustRefuse(const pool_name &Service, const placement_query &Query,
                  const placement &Best);
  void refuseForRoom(active_request &Request, duration RetryAfter,
                     const router_context &Context, routing_effects &Effects);
  void endAttempt(active_request &Request, const router_context &Context);
  // Records whether the upstream of the current attempt failed.
  void recordAnswer(active_request &Request, const router_context &Context);
  // Handles notices about the upstream itself in the head of an answer.
  void applyUpstreamNotices(const active_request &Request,
                            const answer_head &Head,
                            const router_context &Context,
                            routing_effects &Effects);
  // Returns the upstreams of the request's service that serve and are in its
  // allowed regions.
  std::vector<const upstream_state *>
  allowedUpstreams(const active_request &Request) const;
  // Returns why no upstream could be chosen for the request.
  const char *reasonForNoUpstream(const active_request &Request,
                                  const router_context &Context,
                                  routing_effects &Effects) const;
  // Returns the shortest remaining back-off of the upstreams of the request's
  // service; zero if none of them has asked for back-off.
  duration backoffLeft(const active_request &Request,
                       const router_context &Context) const;
  // Returns the limits of the upstreams of the request's service.
  upstream_limits::summary limitsOf(const active_request &Request,
                                    const router_context &Context) const;
  // Returns the part for which the request must not be sent now, if any.
  std::optional<part_quarantine::held_back>
  heldBack(const active_request &Request, const router_context &Context) const;
  // Records that an attempt broke before its answer went on.
  void recordBreak(const active_request &Request,
                   const router_context &Context);
  // Records that the answer of an attempt goes on or is complete.
  void recordSound(const active_request &Request,
                   const router_context &Context);
  static void logLimited(const active_request &Request,
                         const upstream_limits::summary &Limits,
                         routing_effects &Effects);
  // Sends the request to another upstream if that is allowed; otherwise ends
  // it.
  void resendOrFail(active_request &Request, bool Arrived, const char *Why,
                    const router_context &Context, routing_effects &Effects);
  static void logFailure(const active_request &Request, const char *Why,
                         const router_context &Context,
                         routing_effects &Effects);
  // Sends the request to another upstream; mayResend has to have allowed it.
  void resend(active_request &Request, const char *Why,
              const router_context &Context, routing_effects &Effects);
  // Returns whether a resumable stream makes no progress. Bytes that do not
  // complete an event are not progress.
  bool hasStalled(const active_request &Request,
                  const router_context &Context) const;
  // Moves a stalled stream to another upstream, if one would probably take it.
  // Otherwise it stays at its upstream, which may recover.
  void onStalled(active_request &Request, const router_context &Context,
                 routing_effects &Effects);
  // Returns why a stalled stream stays where it is; empty if it is given up.
  // Takes a resend from the budget in that case.
  std::string reasonToStay(const active_request &Request,
                           const router_context &Context);
  // Has a request, whose silent run was given up for an upstream that did not
  // take it, wait for its return. Returns false if it cannot return.
  bool awaitReturn(active_request &Request, const char *Why,
                   const router_context &Context, routing_effects &Effects);
  // Sends the request to the upstream that it was given up at.
  void returnToFormer(active_request &Request, const router_context &Context,
                      routing_effects &Effects);
  // Returns the upstream that ran the request before; nullptr if it has gone.
  const upstream_state *formerUpstream(const active_request &Request) const;
  // Returns whether the request may be sent once more, apart from the budget.
  bool mayRepeat(const active_request &Request,
                 const router_context &Context) const;
  bool hasEligibleUpstream(const active_request &Request,
                           const router_context &Context) const;
  // Returns whether the request may be sent once more now, and there is an
  // upstream for it. Takes a resend from the budget if an upstream received it.
  bool mayResend(const active_request &Request, bool Arrived,
                 const router_context &Context);
  void endWithFailure(active_request &Request, const char *Why,
                      const router_context &Context, routing_effects &Effects);
  // Returns the delay after which a caller may retry a request that has not
  // run.
  duration retryAfter(const active_request &Request, std::string_view Why,
                      const router_context &Context) const;
  void refuse(active_request &Request, int Status, const char *Code,
              duration RetryAfter, const router_context &Context,
              routing_effects &Effects);
  void close(active_request &Request, const char *Outcome,
             const router_context &Context, routing_effects &Effects);
  void onStreamData(active_request &Request, const std::string &Data,
                    const router_context &Context, routing_effects &Effects);
  // Whether the upstream's times are learned.
  static bool isTimed(const active_request &Request);
  // Records when an event of an engine has come.
  void observeTiming(const active_request &Request,
                     const router_context &Context);
  void countUsage(active_request &Request, const router_context &Context);
  placement_query queryFor(const active_request &Request,
                           const router_context &Context) const;

  // Returns why the admitted request would be refused now; empty if it would
  // not. Chosen is unset if there is no upstream for it.
  std::string explainRefusal(const active_request &Request,
                             const placement_query &Query,
                             const std::optional<placement> &Chosen,
                             const router_context &Context) const;
  // Returns the entry that would be asked to place the request.
  address explainPlacer(const active_request &Request,
                        const placement_query &Query,
                        const std::optional<placement> &Chosen,
                        const router_context &Context) const;
  std::vector<explained_upstream>
  explainUpstreams(const active_request &Request, const placement_query &Query,
                   const router_context &Context) const;
  // Returns why an upstream was not compared.
  const char *exclusionOf(const active_request &Request,
                          const upstream_state &Upstream,
                          steady_time Now) const;

  bool comesTooLate(const active_request &Request,
                    const router_context &Context) const;

  router_services Services;
  zone_name Zone;
  zone_regions Regions;
  struct drain_times {
    steady_time NoLateWorkFrom;
    steady_time End;
  };
  std::optional<drain_times> Drain;
  int64_t LastAttempt = 0;
  absl::flat_hash_map<request_id, std::unique_ptr<active_request>> Requests;
  absl::flat_hash_map<attempt_number, request_id> Attempts;
  int64_t LastAsk = 0;
  absl::flat_hash_map<int64_t, request_id> Asks;
  absl::flat_hash_map<address, steady_time> SilentUntil; // relays
  reported_failures Reported; // by the entries for which this one places
  prompt_fetches Fetches;     // that this entry has ordered
  // When most urgent requests were refused by this entry, and by any.
  absl::flat_hash_map<pool_name, steady_time> OwnUrgentRefusals;
  absl::flat_hash_map<pool_name, steady_time> UrgentRefusals;
};

} // namespace monsoonreel

#endif // ROUTING_REQUEST_ROUTER_H
