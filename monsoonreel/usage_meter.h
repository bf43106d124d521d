// Meters the usage of an entry's requests and delivers it to the log.
//
//   usage_meter Meter(Self);
//   Meter.add(Organisation, Class, {1, PromptTokens, OutputTokens});
//   Meter.setPeers(Stewards, Holders);
//   Meter.onTick(Now, Random, Effects);
//   if (Meter.onMessage(Received)) ...
//
// Increments accumulate in a bucket for `cut_interval`. They are then cut into
// a batch with the next sequence number of this process, which is never
// modified again. A copy of the batch is held by an entry on another VM, and
// the batch is offered to stewards until one of them has read it back from the
// log. If this process dies, the holder offers the batch (`usage_holder`). The
// replay counts each (incarnation, sequence) once, whichever node offered it.
//
// A VM that dies without a drain loses its bucket and the batches that have not
// reached their holder: at most the requests that ended in the last
// `cut_interval` plus the time to send a hold. Usage is then billed too low,
// never too high.
//
// Memory is bounded by `max_open_increments`. Above half of it, as in a long
// outage of the platform, batches are cut less often, so that more increments
// are merged. At the bound no batch is cut and the bucket grows, which is
// bounded by the number of organisations times classes.

#ifndef MONSOONREEL_USAGE_METER_H
#define MONSOONREEL_USAGE_METER_H

#include <cstdint>
#include <string>
#include <utility>
#include <vector>

#include <absl/container/btree_map.h>
#include <absl/container/btree_set.h>

#include "monsoonreel/effect.h"
#include "monsoonreel/event.h"
#include "monsoonreel/node.h"
#include "monsoonreel/types.h"
#include "monsoonreel/usage_offers.h"

namespace monsoonreel {

constexpr duration cut_interval = std::chrono::seconds(1);
// Replaces cut_interval while more than half of max_open_increments are open.
constexpr duration memory_pressure_cut_interval = std::chrono::seconds(30);
constexpr size_t max_open_increments = 65536;
constexpr duration hold_timeout = std::chrono::milliseconds(500);
constexpr duration release_interval = std::chrono::seconds(1);

struct usage_figures {
  int64_t Requests = 0;
  int64_t PromptTokens = 0;
  int64_t OutputTokens = 0;
};

class usage_meter {
public:
  explicit usage_meter(const node_identity &Self);

  void add(const organisation_name &Organisation, const class_name &Class,
           const usage_figures &Figures);

  // Stewards may append to the log; those that follow the log come first.
  // Holders are entries on other VMs, in order of preference.
  void setPeers(std::vector<wire::member> Stewards,
                const std::vector<wire::member> &Holders);

  void onTick(steady_time Now, uint64_t Random, effect_list &Effects);

  // Returns true when the message was addressed to this meter.
  bool onMessage(const peer_message_received &Received);

  // Increments in batches that are not accepted yet.
  size_t openIncrements() const { return Offers.incrementCount(); }

  // Cuts a batch immediately; used for a drain.
  void flush();
  // Whether everything metered is in the log.
  bool isLogged() const { return Bucket.empty() && Offers.empty(); }
  // Whether everything metered is in the log or at a holder.
  bool isDurable() const { return Bucket.empty() && Unheld.empty(); }

private:
  struct bucket_key {
    organisation_name Organisation;
    class_name Class;
    auto operator<=>(const bucket_key &) const = default;
  };
  struct pending_hold {
    steady_time NextSend = steady_time::min();
  };

  void cut();
  void sendHolds(steady_time Now, effect_list &Effects);
  void sendRelease(steady_time Now, effect_list &Effects);
  void requeueHolds();

  node_identity Self;
  std::vector<wire::member> Stewards;
  wire::member Holder; // an empty name means that there is none
  absl::btree_map<bucket_key, usage_figures> Bucket;
  int64_t LastSequence = 0;
  usage_offers Offers;
  // Open batches that no holder has acknowledged.
  absl::btree_map<int64_t, pending_hold> Unheld;
  steady_time NextCut = steady_time::min();
  steady_time NextRelease = steady_time::min();
  int64_t ReleasedUpTo = 0;
};

} // namespace monsoonreel

#endif // MONSOONREEL_USAGE_METER_H
