// Reducer of an entry that routes by host and path.
//
//   auto Node = routing_node_builder(Identity)
//                   .seeds(Seeds)
//                   .terms(Terms)       // including the names of the feeds
//                   .decoder(Decoder)   // for the platform's records
//                   .build();
//   routing_effects Effects;
//   Node->handle(Event, Effects);
//
// All entries have the same role. Each serves its callers from its own state:
// the configuration and the upstreams come from two keyed feeds, the load of
// the other entries from their reports. At any time one entry reports usage and
// orders upstreams; it holds the lease of the duty log.

#ifndef ROUTING_ROUTING_NODE_H
#define ROUTING_ROUTING_NODE_H

#include <map>
#include <memory>
#include <string>
#include <vector>

#include "monsoonreel/membership.h"
#include "routing/capacity_policy.h"
#include "routing/duty_log.h"
#include "routing/figure_copies.h"
#include "routing/keyed_feed.h"
#include "routing/listing_decoder.h"
#include "routing/median_clock.h"
#include "routing/request_router.h"
#include "routing/site_bounds.h"
#include "routing/zone_evacuations.h"
#include "routing/zone_relays.h"

namespace monsoonreel {

// Interval between two reports to the other entries. It allows several reports
// within the time that an engine needs to read a long prompt.
constexpr duration report_period = std::chrono::milliseconds(100);
// Maximum number of reports that each entry receives per second. With more
// entries than this allows at `report_period`, each reports less often. This
// takes about 1% of a core.
constexpr int64_t reports_per_second = 150;
// The same limit for the relays of a zone. It is higher because a zone has
// fewer entries, and relays run on the larger VMs.
constexpr int64_t relayed_reports_per_second = 300;
// Interval, in reports of a relay, at which a report also contains the sums of
// other zones.
constexpr int64_t reports_per_zone_exchange = 3;
// Number of reports that carry a mark from the reader to an entry of another
// zone: the reader's own report, those until its relay reports to other
// zones, and that of the entry's relay.
constexpr int64_t mark_hops = 2 + reports_per_zone_exchange;
// Interval between two reports that contain the usage windows.
constexpr duration usage_report_period = std::chrono::milliseconds(500);
// Time after the end of a window in which its last counts arrive.
constexpr duration usage_settle_time = std::chrono::milliseconds(1200);
// Larger messages with figures are sent over a connection.
constexpr size_t max_figure_datagram_bytes = size_t{32} << 10;
// How long an entry reports an upstream that is leaving: several report
// intervals, so that lost reports do not matter, but not longer, so that
// entries do not repeat the notice to each other indefinitely.
constexpr duration leaving_report_time = std::chrono::seconds(3);
// Number of entries that may be lost while at least one copy of each reported
// window is sure to be left: the holder reports a window with one copy if other
// entries do not answer.
constexpr size_t safe_entry_losses = 1;
// A usage report without an answer is repeated after this time.
constexpr duration usage_retry_period = std::chrono::milliseconds(1500);
// Interval at which the list of live entries is updated. A new entry receives
// the load of the others one report later in any case.
constexpr duration entries_refresh_period = std::chrono::milliseconds(100);
// Minimum update interval per entry, so that the cost stays constant with many
// entries.
constexpr duration entry_refresh_share = std::chrono::milliseconds(2);
constexpr duration capacity_plan_period = std::chrono::milliseconds(500);

// After its start an entry does not know yet which entries read before it. It
// leaves regular reads to others for this time.
constexpr duration reader_warmup_time = std::chrono::seconds(5);
// An entry takes no share of the limits of upstreams, and tries no prompt part
// that is held back, for this time after its start, because it does not know
// all other entries yet.
constexpr duration limit_warmup_time = std::chrono::seconds(5);
// After its start an entry waits for so long to hear from another one, if the
// store was restored: the store may hold an older configuration than the
// others.
constexpr duration first_report_wait = std::chrono::seconds(1);

// Number of entries of each zone that are not later readers, so that a zone
// that is cut off from the others reads as early as they do.
constexpr size_t readers_in_zone = 3;

// Names of the feeds of the platform's store.
struct feed_names {
  std::string Config;
  std::string ConfigKey; // key of the configuration record
  std::string Upstreams;
  // Prefix of the keys of evacuation orders in the configuration feed; empty:
  // there are none.
  std::string EvacuationPrefix = {};
};

struct routing_terms {
  feed_names Feeds;
  site_bounds Bounds;
  zone_regions Regions; // regions of the zones
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
  // Returns where the request would go if it arrived now, and why. Sends,
  // counts and changes nothing. Random: as in a routing_event.
  explanation explain(const route_request &Asked, steady_time Now,
                      wall_time Wall, uint64_t Random) const;
  bool isReady() const;
  size_t openRequests() const { return Requests.open(); }

private:
  void onEvent(const tick &Tick, const routing_event &Event,
               routing_effects &Effects);
  void onEvent(const route_request &Arrived, const routing_event &Event,
               routing_effects &Effects);
  void onEvent(const route_caller_gone &Gone, const routing_event &Event,
               routing_effects &Effects);
  void onEvent(const caller_lags &Lag, const routing_event &Event,
               routing_effects &Effects);
  void onEvent(const callers_reading &Reading, const routing_event &Event,
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

  // Adds the effects of modules that are shared with the other kind of entry.
  static void append(effect_list &&From, routing_effects &Effects);
  // Returns whether the store, back from a backup, may have given this entry an
  // older configuration than other entries have. Ends after a while, in case
  // that the operator does not write the newest one again.
  bool mayHaveOldConfig(steady_time Now) const;
  // Returns the table under which requests are admitted; nullptr if none is.
  std::shared_ptr<const route_table> usableTable(steady_time Now) const;
  int64_t configVersion() const;
  router_context contextOf(const routing_event &Event) const;
  size_t entryCount() const { return Others.size() + 1; }
  duration reportInterval() const;
  // Interval, in reports of a relay, at which zones exchange their sums.
  int64_t zoneExchangePeriod() const;
  keyed_feed *feedOf(const std::string &Name);
  void refreshEntries(steady_time Now, routing_effects &Effects);
  void updateLimitShares(steady_time Now);
  void updateQuarantine(const std::vector<std::string> &Names, steady_time Now);
  void logQuarantine(routing_effects &Effects);
  size_t updateReaderRank(keyed_feed &Feed, steady_time Now) const;
  // Handles the era of the store that an answer of the store or a peer states.
  void onStoreEra(int64_t Era, const char *Source, steady_time Now,
                  routing_effects &Effects);
  void logStoreRecovery(steady_time Now, routing_effects &Effects);
  void applyChanges(const keyed_feed &Feed,
                    const std::vector<feed_change> &Changes, steady_time Now,
                    routing_effects &Effects);
  void applyUpstream(const feed_change &Change, steady_time Now,
                     routing_effects &Effects);
  bool isUpstreamNews(const wire::feed_record &Record) const;
  // Updates the limit of a cold upstream after a change of its registry entry
  // or of the configuration.
  void updateColdLimit(const upstream_name &Upstream, steady_time Now);
  void applyEvacuations(const std::vector<evacuation_change> &Changes,
                        routing_effects &Effects);
  // Tells other entries the evacuation orders that the store may have lost. An
  // entry that missed them cannot read them.
  void sendUnconfirmedOrders(const std::vector<address> &To, steady_time Now,
                             routing_effects &Effects) const;
  void onUnconfirmedOrders(const wire::feed_news &Orders, steady_time Now,
                           routing_effects &Effects);
  void reportGauges(steady_time Now, routing_effects &Effects);
  void applyConfig(const feed_change &Change, steady_time Now,
                   routing_effects &Effects);
  void onReport(const address &From, const wire::entry_report &Report,
                steady_time Now, routing_effects &Effects);
  void onRelayReport(const address &From, const wire::relay_report &Report,
                     steady_time Now, routing_effects &Effects);
  void onLimits(const std::vector<wire::upstream_limit> &Reported,
                steady_time Now, routing_effects &Effects);
  template <typename T>
  void onSharedParts(const T &Report, steady_time Now,
                     routing_effects &Effects);
  void onUsageReport(const address &From, const wire::usage_report &Report,
                     steady_time Now);
  void onNews(const address &From, const wire::feed_news &News, steady_time Now,
              routing_effects &Effects);
  void onMarks(const std::vector<wire::feed_mark> &Marks, steady_time Now);
  void onLeavingRuns(const std::vector<wire::upstream_run> &Runs,
                     steady_time Now);
  void sendOwnReport(const routing_event &Event, routing_effects &Effects);
  void sendUsageReport(routing_effects &Effects);
  void sendZoneReport(const routing_event &Event, routing_effects &Effects);
  std::vector<wire::feed_mark> marks(steady_time Now) const;
  std::vector<wire::upstream_run> leavingRuns(steady_time Now) const;
  const wire::member *dutyHolder() const;
  // Returns the recipients of this entry's messages: all entries, or relays.
  std::vector<address> recipients() const;
  static void sendTo(const std::vector<address> &To,
                     const wire::peer_message &Message,
                     routing_effects &Effects);
  void performDuties(const routing_event &Event, routing_effects &Effects);
  void reportUsage(const routing_event &Event, routing_effects &Effects);
  std::string missingReport(int64_t Window, steady_time Now) const;
  // Returns why a window of which nobody knows figures may have been reported
  // all the same; empty if it cannot have been. Has to be called after all
  // entries were asked.
  std::string reasonToLeaveOut(int64_t Window, steady_time EndedAt) const;
  // Logs and counts once that a window is not reported, because it may have
  // been.
  void logLeftOut(int64_t Window, const std::string &Reason,
                  steady_time EndedAt, routing_effects &Effects);
  void logHolder(routing_effects &Effects);
  // As the holder: lets other entries keep figures, and asks for theirs.
  void exchangeFigures(steady_time Now, routing_effects &Effects);
  void updateFigureKeepers();
  void onFigureRequest(const address &From, const wire::figure_request &Request,
                       steady_time Now, routing_effects &Effects);
  void onFigureReply(const address &From, const wire::figure_reply &Reply,
                     steady_time Now, routing_effects &Effects);
  // Logs once that no entry confirms a window's figures for long.
  void logMissingCopies(int64_t Window, steady_time Now,
                        routing_effects &Effects);
  static void sendFigures(std::vector<address> To, wire::peer_message Message,
                          routing_effects &Effects);
  void checkDrain(const routing_event &Event, routing_effects &Effects);
  // Replaces each message to all entries by one message per recipient.
  void expandBroadcasts(size_t From, routing_effects &Effects);

  node_identity Identity;
  routing_terms Terms;
  std::shared_ptr<const listing_decoder> Decoder;
  membership Members;
  median_clock Clock;
  keyed_feed ConfigFeed;
  keyed_feed UpstreamFeed;
  zone_evacuations Evacuations;
  upstream_registry Registry;
  upstream_load Load;
  prompt_cache_view Cache;
  engine_model Model;
  upstream_failure_tracker FailureTracker;
  upstream_limits Limits;
  part_quarantine Quarantine;
  resend_budget Budget;
  usage_windows Usage;
  request_router Requests;
  duty_log Duties;
  figure_copies Copies;
  capacity_policy Capacity;
  std::shared_ptr<const route_table> Table;
  std::vector<wire::member> Others; // live entries without this one
  zone_relays Relays;
  // Sums that the relays of another zone reported, as of At.
  struct zone_sums {
    wire::zone_uses Uses;
    steady_time At;
  };
  std::map<zone_name, zone_sums> OtherZones;
  size_t ConfigRank = 0; // rank among the readers of the feed
  size_t UpstreamRank = 0;
  steady_time NextRefresh = steady_time::min();
  std::optional<steady_time> StartedAt;

  steady_time NextReport = steady_time::min();
  steady_time NextUsageReport = steady_time::min();
  int64_t RelayReports = 0; // number sent so far
  steady_time NextPlan = steady_time::min();
  int64_t ReportSequence = 0;
  std::map<address, steady_time> ReportedAt; // last report of each entry
  // Windows whose report was sent, and the time at which it may be sent again;
  // steady_time::max() once it was accepted.
  std::map<int64_t, steady_time> UsageSent;
  int64_t PeersFiguredWindow = 0; // in the current era
  int64_t PeersConfigVersion = 0; // highest one in force at another entry
  bool HasServed = false;         // was ready before
  steady_time LastEvent;
  int64_t StoreEra = 0; // newest known era of the store
  std::string LoggedHolder;
  int64_t LoggedLeftOut = -1;  // newest window that was logged as left out
  int64_t LoggedUncopied = -1; // newest window whose lack of copies was logged
  std::pair<int, double> ReportedLimits; // last values of the metrics
  int64_t ReportedCold = 0;
  bool StoreFailing = false;
  bool WasReady = false;
  std::optional<steady_time> DrainingSince;
  bool StoppedAccepting = false;
  size_t BeingRead = 0; // requests of callers, while this entry drains
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
