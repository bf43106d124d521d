// The reducer of an entry that routes by host and path.
//
//   auto Node = routing_node_builder(Identity)
//                   .seeds(Seeds)
//                   .terms(Terms)       // names of the feeds among them
//                   .decoder(Decoder)   // of the platform's records
//                   .build();
//   routing_effects Effects;
//   Node->handle(Event, Effects);
//
// All entries are alike. Each serves its callers by what it knows itself:
// configuration and upstreams come by two keyed feeds, what the others have
// under way by their reports. One of them at a time reports usage and orders
// upstreams, under the lease of the duty log.

#ifndef ROUTING_ROUTING_NODE_H
#define ROUTING_ROUTING_NODE_H

#include <map>
#include <memory>
#include <string>
#include <vector>

#include "monsoonreel/membership.h"
#include "routing/capacity_policy.h"
#include "routing/duty_log.h"
#include "routing/keyed_feed.h"
#include "routing/listing_decoder.h"
#include "routing/request_router.h"
#include "routing/site_bounds.h"
#include "routing/true_time.h"
#include "routing/zone_relays.h"

namespace monsoonreel {

// Between two reports to the other entries: several within the time that a long
// prompt takes to be read.
constexpr duration report_period = std::chrono::milliseconds(100);
// Reports received in a second by each entry at most; with more entries than
// this allows at `report_period`, each reports less often. About 1% of a core.
constexpr int64_t reports_per_second = 150;
// The same for relays of a zone: entries of a zone are fewer, and relays are
// the larger VMs.
constexpr int64_t relayed_reports_per_second = 300;
// Every so many reports of a relay hold the sums of other zones as well.
constexpr int64_t far_sums_every = 3;
// Marks of feeds take so many reports from the reader to an entry of another
// zone: its own, those until its relay tells other zones, and that of the
// entry's relay.
constexpr int64_t mark_hops = 2 + far_sums_every;
// Between two reports that hold the usage windows as well.
constexpr duration usage_told_period = std::chrono::milliseconds(500);
// After a window's end, for its last counts to arrive.
constexpr duration usage_settle_time = std::chrono::milliseconds(1200);
// So long an entry tells the others of an upstream that said it is leaving:
// several reports, so that lost ones don't matter, and no longer, so that the
// word does not go round for ever.
constexpr duration leaving_told_time = std::chrono::seconds(3);
// Without an answer, a usage report is repeated.
constexpr duration usage_retry_period = std::chrono::milliseconds(1500);
// The list of live entries is made anew so often; a new entry hears of the
// others' work a report later in any case.
constexpr duration entries_refresh_period = std::chrono::milliseconds(100);
// With many entries less often, by so long for each, so that the work stays the
// same.
constexpr duration entry_refresh_share = std::chrono::milliseconds(2);
constexpr duration capacity_plan_period = std::chrono::milliseconds(500);

// After its start an entry does not know yet who reads before it, and leaves
// regular reads to others for so long.
constexpr duration reader_forming_time = std::chrono::seconds(5);
// So many entries of each zone are no later readers, so that a zone that is cut
// off from the others reads as soon as these.
constexpr size_t readers_in_zone = 3;

// Names of the feeds of the platform's store.
struct feed_names {
  std::string Config;
  std::string ConfigKey; // of the record that holds the configuration
  std::string Upstreams;
};

struct routing_terms {
  feed_names Feeds;
  site_bounds Bounds;
  duration UsageWindow = std::chrono::seconds(5);
  resend_terms Resends;
  duty_terms Duties;
  bool ReportsUsage = true;
  bool OrdersUpstreams = true;
};

class routing_node {
public:
  routing_node(node_identity Identity, const std::vector<address> &Seeds,
               routing_terms Terms,
               std::shared_ptr<const listing_decoder> Decoder);
  ~routing_node();
  routing_node(const routing_node &) = delete;
  routing_node &operator=(const routing_node &) = delete;

  void handle(const routing_event &Event, routing_effects &Effects);
  bool isReady() const;
  size_t openRequests() const { return Requests.open(); }

private:
  void onEvent(const tick &Tick, const routing_event &Event,
               routing_effects &Effects);
  void onEvent(const route_request &Arrived, const routing_event &Event,
               routing_effects &Effects);
  void onEvent(const route_caller_gone &Gone, const routing_event &Event,
               routing_effects &Effects);
  void onEvent(const answer_head &Head, const routing_event &Event,
               routing_effects &Effects);
  void onEvent(const answer_data &Data, const routing_event &Event,
               routing_effects &Effects);
  void onEvent(const answer_end &End, const routing_event &Event,
               routing_effects &Effects);
  void onEvent(const route_attempt_failed &Failed, const routing_event &Event,
               routing_effects &Effects);
  void onEvent(const peer_message_received &Received,
               const routing_event &Event, routing_effects &Effects);
  void onEvent(const feed_read &Read, const routing_event &Event,
               routing_effects &Effects);
  void onEvent(const feed_read_failed &Failed, const routing_event &Event,
               routing_effects &Effects);
  void onEvent(const duty_appended &Appended, const routing_event &Event,
               routing_effects &Effects);
  void onEvent(const duty_log_read &Read, const routing_event &Event,
               routing_effects &Effects);
  void onEvent(const usage_answered &Answer, const routing_event &Event,
               routing_effects &Effects);
  void onEvent(const capacity_answered &Answer, const routing_event &Event,
               routing_effects &Effects);
  void onEvent(const drain_requested &Drain, const routing_event &Event,
               routing_effects &Effects);

  // Effects of modules that entries of both kinds use.
  static void append(effect_list &&From, routing_effects &Effects);
  router_context contextOf(const routing_event &Event) const;
  size_t entryCount() const { return Others.size() + 1; }
  duration reportInterval() const;
  keyed_feed *feedOf(const std::string &Name);
  void refreshEntries(steady_time Now);
  size_t placeAsReader(keyed_feed &Feed, steady_time Now) const;
  void logStore(steady_time Now, routing_effects &Effects);
  void applyChanges(const keyed_feed &Feed,
                    const std::vector<feed_change> &Changes, steady_time Now,
                    routing_effects &Effects);
  void applyUpstream(const feed_change &Change, steady_time Now,
                     routing_effects &Effects);
  bool isUpstreamNews(const wire::feed_record &Record) const;
  void applyConfig(const feed_change &Change, steady_time Now,
                   routing_effects &Effects);
  void onReport(const address &From, const wire::entry_report &Report,
                steady_time Now);
  void onRelayReport(const address &From, const wire::relay_report &Report,
                     steady_time Now);
  template <typename T> void onSharedParts(const T &Report, steady_time Now);
  void onUsageReport(const address &From, const wire::usage_report &Report,
                     steady_time Now);
  void onNews(const address &From, const wire::feed_news &News, steady_time Now,
              routing_effects &Effects);
  void onMarks(const std::vector<wire::feed_mark> &Marks, steady_time Now);
  void onLeavingRuns(const std::vector<wire::upstream_run> &Runs,
                     steady_time Now);
  void tellReport(const routing_event &Event, routing_effects &Effects);
  void tellUsage(routing_effects &Effects);
  void tellZone(const routing_event &Event, routing_effects &Effects);
  std::vector<wire::feed_mark> marks(steady_time Now) const;
  std::vector<wire::upstream_run> leavingRuns(steady_time Now) const;
  const wire::member *dutyHolder() const;
  // Where this entry's words go: to all entries, or to relays.
  std::vector<address> listeners() const;
  static void sendTo(const std::vector<address> &To,
                     const wire::peer_message &Message,
                     routing_effects &Effects);
  void carryOutDuties(const routing_event &Event, routing_effects &Effects);
  void reportUsage(const routing_event &Event, routing_effects &Effects);
  std::string missingReport(int64_t Window, steady_time Now) const;
  void logHolder(routing_effects &Effects);
  void checkDrain(const routing_event &Event, routing_effects &Effects);
  // Replaces messages to all entries by one to each.
  void addressToEntries(size_t From, routing_effects &Effects);

  node_identity Identity;
  routing_terms Terms;
  std::shared_ptr<const listing_decoder> Decoder;
  membership Members;
  true_time Clock;
  keyed_feed ConfigFeed;
  keyed_feed UpstreamFeed;
  upstream_registry Registry;
  upstream_load Load;
  prompt_cache_view Cache;
  upstream_trust Trust;
  send_budget Budget;
  usage_windows Usage;
  request_router Requests;
  duty_log Duties;
  capacity_policy Capacity;
  std::shared_ptr<const route_table> Table;
  std::vector<wire::member> Others; // the live entries but this one
  zone_relays Relays;
  // What other zones' relays have told of their zones, as of At.
  struct zone_sums {
    wire::zone_uses Uses;
    steady_time At;
  };
  std::map<zone_name, zone_sums> FarZones;
  size_t ConfigRank = 0; // among the readers of each feed
  size_t UpstreamRank = 0;
  steady_time NextRefresh = steady_time::min();
  std::optional<steady_time> StartedAt;

  steady_time NextReport = steady_time::min();
  steady_time NextUsageTold = steady_time::min();
  int64_t RelayReports = 0; // told so far
  steady_time NextPlan = steady_time::min();
  int64_t ReportSequence = 0;
  std::map<address, steady_time> ReportedAt; // by other entries
  // Windows whose report was sent, and when it may be sent again; far in the
  // future once it was accepted.
  std::map<int64_t, steady_time> UsageSent;
  int64_t HeardFiguredWindow = 0;
  std::string LoggedHolder;
  bool StoreFailing = false;
  bool WasReady = false;
  std::optional<steady_time> DrainingSince;
  bool StoppedTaking = false;
  bool Finished = false;
};

class routing_node_builder {
public:
  explicit routing_node_builder(node_identity Identity)
      : Identity(std::move(Identity)) {}
  routing_node_builder &seeds(std::vector<address> Addresses) {
    Seeds = std::move(Addresses);
    return *this;
  }
  routing_node_builder &terms(routing_terms Value) {
    Terms = std::move(Value);
    return *this;
  }
  routing_node_builder &decoder(std::shared_ptr<const listing_decoder> Value) {
    Decoder = std::move(Value);
    return *this;
  }
  std::unique_ptr<routing_node> build() const {
    return std::make_unique<routing_node>(Identity, Seeds, Terms, Decoder);
  }

private:
  node_identity Identity;
  std::vector<address> Seeds;
  routing_terms Terms;
  std::shared_ptr<const listing_decoder> Decoder;
};

} // namespace monsoonreel

#endif // ROUTING_ROUTING_NODE_H
