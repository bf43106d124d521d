// Simulates a small site in virtual time, with real slot clients and queue
// owners, fake engines and network delay.
//
//   fake_site Site(site_options{.Policy = "tiered", .Load = 1.2, .Seed = 7});
//   site_result Result = Site.run(std::chrono::seconds(60));
//   EXPECT_GE(Result.Classes["chat"].attainment(), 0.99);
//
// Requests arrive by a Poisson process at `Load` times the engines' capacity.
// The same seed gives the same arrivals under every policy.

#ifndef MONSOONREEL_TESTING_FAKE_SITE_H
#define MONSOONREEL_TESTING_FAKE_SITE_H

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <queue>
#include <string>
#include <vector>

#include <boost/random/mersenne_twister.hpp>

#include "monsoonreel/slot_client.h"
#include "monsoonreel/testing/fake_engine.h"

namespace monsoonreel {

struct site_options {
  // A scheduling policy, or "alone": each entry dispatches immediately to the
  // less loaded of two random engines, as judged by delayed load reports and
  // its own requests in flight.
  std::string Policy = "tiered";
  double Load = 1.0; // offered load as a fraction of the capacity
  uint64_t Seed = 1;
  int Entries = 8;
  int Engines = 8;
  int Concurrency = 16;
  int Organisations = 10;
  // Sets the large organisation's weight by its share of the requests.
  bool WeighLarge = true;
  duration ReportLag = std::chrono::milliseconds(500);
  duration NetworkDelay = std::chrono::milliseconds(1);
  // Multiplies the arrival rate of one class in a time interval.
  class_name BurstClass;
  double BurstFactor = 1;
  duration BurstFrom{};
  duration BurstTo{};
  // Index of an engine that becomes slower by a factor or stops answering; -1
  // for none.
  int FaultyEngine = -1;
  double Slowness = 1;
  bool Silent = false;
  duration FaultAt{};
};

struct served_count {
  int Offered = 0;
  int Met = 0;               // first token within the target
  int Served = 0;            // complete answer before the caller's deadline
  int Refused = 0;           // refused before any token was produced
  int64_t RefusalMicros = 0; // sum of the times from arrival to refusal
  double attainment() const { return Offered ? double(Met) / Offered : 1.0; }
};

struct site_result {
  std::map<std::string, served_count> Classes;
  std::map<std::pair<std::string, std::string>, served_count> Pairs;
  duration Length{};
  int64_t TokensMade = 0;
  int64_t TokensWasted = 0; // of requests that were not completed
  int Breaches = 0;
  // Requests per second that met their targets.
  double goodput() const;
  // The lowest attainment of an organisation, relative to the mean of its
  // class.
  double worstOrganisation() const;
};

// Four classes, one of each tier: chat, draft, summary and batch.
configuration siteConfiguration(const site_options &Options);

class fake_site {
public:
  explicit fake_site(site_options Options);
  ~fake_site();
  site_result run(duration Length);

private:
  struct request;
  struct entry;
  struct timed {
    steady_time At;
    uint64_t Order;
    std::function<void()> Run;
    bool operator<(const timed &Other) const {
      return std::pair(Other.At, Other.Order) < std::pair(At, Order);
    }
  };

  void after(duration Delay, std::function<void()> Run);
  double capacity() const;
  void scheduleArrival(const class_name &Class);
  void arrive(const class_name &Class);
  void begin(request &Request);
  void beginAlone(request &Request);
  void tick(entry &Entry);
  void carryOut(entry &Entry, effect_list Effects,
                const slot_outcome_list &Outcomes);
  void onOutcome(entry &Entry, const slot_outcome &Outcome);
  void dispatch(entry &Entry, request &Request, const std::string &Engine);
  void onFirstToken(request &Request);
  void onEnd(entry &Entry, request &Request, slot_report Report);
  void release(entry &Entry, const request &Request, const slot_report &Report);
  void poll(entry &Entry, const upstream_name &Engine);
  void giveUp(request &Request);
  void count(const request &Request,
             const std::function<void(served_count &)> &Change);

  site_options Options;
  configuration Configuration;
  steady_time Now;
  steady_time Start;
  steady_time End;
  uint64_t LastOrder = 0;
  int64_t LastRequest = 0;
  std::priority_queue<timed> Pending;
  std::vector<std::unique_ptr<entry>> Entries;
  std::map<std::string, std::unique_ptr<fake_engine>> Engines;
  std::map<int64_t, std::unique_ptr<request>> Requests;
  std::map<std::string, boost::random::mt19937_64> Arrivals;
  boost::random::mt19937_64 Draws;
  site_result Result;
};

} // namespace monsoonreel

#endif // MONSOONREEL_TESTING_FAKE_SITE_H
