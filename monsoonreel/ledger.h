// Replays one stream of the platform's log into a state that is the same on
// all nodes.
//
//   ledger Ledger(operator_stream);
//   ledger_change Change = Ledger.apply(log_offset(7), Bytes, Effects);
//   if (Change.ConfigurationChanged)
//     use(Ledger.config());
//   for (const key_hash &Hash : Change.WithdrawnKeys)
//     cancelRequestsOf(Hash);
//
// The state after offset N is a pure function of the records 1 to N. Of several
// conflicting records, the first valid one in offset order wins and the others
// are void. A record that does not decode or breaks a rule only advances the
// offset. The state does not depend on time: `lease_holder` determines who may
// act under a lease, and until when.
//
// Two streams are replayed by this class. Each has its own leases and writers:
//
//   operator_stream  the configuration document, keys, upstream orders; small,
//                    replicated to every node
//   usage_stream     usage batches and windows; read only by the stewards
//                    that append to it or may close windows

#ifndef MONSOONREEL_LEDGER_H
#define MONSOONREEL_LEDGER_H

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include <absl/container/btree_map.h>
#include <absl/container/flat_hash_set.h>

#include "monsoonreel/configuration.h"
#include "monsoonreel/effect.h"
#include "monsoonreel/types.h"
#include "monsoonreel/wire.h"

namespace monsoonreel {

constexpr std::string_view operator_stream = "operator";
constexpr std::string_view usage_stream = "usage";

// The lease of the steward that closes and reports usage windows.
constexpr std::string_view usage_lease = "usage";
// The lease of the steward that orders upstreams in Zone.
std::string orderLeaseName(const zone_name &Zone);

// Bounds of the replayed state. A record that would exceed a bound is void.
constexpr size_t max_live_keys = 10000;
// Withdrawn keys that are kept; the oldest is removed first.
constexpr size_t max_withdrawn_keys = 32768;
constexpr size_t max_leases = 64;
constexpr duration max_lease_duration = std::chrono::minutes(5);
// Writers and usage sources that are kept; the one whose last record has the
// lowest offset is removed first.
constexpr size_t max_writers = 4096;
constexpr size_t max_usage_sources = 4096;
// How far the sequence of a usage batch may be ahead of the first missing batch
// of its source.
constexpr int64_t max_batches_ahead = 32;
constexpr size_t max_increments_per_batch = 4096;
constexpr size_t max_open_usage = 16384;
// Closed windows that have not been reported yet. At this bound no further
// window is closed, and the open window gets longer instead.
constexpr size_t max_unreported_windows = 30;
constexpr size_t max_open_orders = 256;
constexpr size_t max_name_bytes = 256;
// SHA-256.
constexpr size_t key_hash_bytes = 32;

enum class record_verdict {
  Valid,
  Void,      // breaks a rule, or conflicts with an earlier record
  Repeated,  // a record with this writer and sequence was already replayed
  Malformed, // does not decode
  Stale,     // its offset was already replayed; not counted in metrics
  Gap,       // earlier records are missing; not applied
};

// What one record changed.
struct ledger_change {
  record_verdict Verdict = record_verdict::Void;
  // Why the record is void or malformed; empty otherwise.
  std::string Reason;
  log_offset Offset;
  // The decoded record, unless it is malformed, stale or after a gap.
  std::optional<wire::log_record> Record;

  bool ConfigurationChanged = false;
  std::vector<key_hash> WithdrawnKeys;
  // Set when a lease was claimed, renewed or released.
  std::optional<wire::lease_state> Lease;
  bool UsageChanged = false;
  std::optional<int64_t> ClosedWindow;
  bool OrdersChanged = false;

  bool isValid() const { return Verdict == record_verdict::Valid; }
};

struct key_record {
  key_id Id;
  organisation_name Organisation;
  key_hash Hash;
};

class ledger {
public:
  explicit ledger(std::string_view Stream);

  const std::string &stream() const { return Stream; }

  // Replays the record at Offset. Offsets must be contiguous; an offset that
  // was already replayed is ignored.
  ledger_change apply(log_offset Offset, const std::string &Bytes,
                      effect_list &Effects);

  // Replaces the state by a snapshot that covers all records up to Covers.
  // Returns false and changes nothing if the snapshot is not newer or not
  // consistent.
  bool restore(log_offset Covers, const wire::ledger_state &Snapshot,
               effect_list &Effects);

  // The state to store in a snapshot. It is equal for equal prefixes of the
  // stream.
  wire::ledger_state state() const;

  // The highest offset that has been replayed; 0 at the start.
  log_offset applied() const { return Applied; }

  // ------------------------------------------------------- configuration
  const configuration &config() const { return Config; }
  const std::string &document() const { return Document; }
  // The offset of the record that set the document in force, which serves as
  // the document's version; 0 if there is no document.
  log_offset configOffset() const { return ConfigOffset; }

  // The key with this hash, or nullptr if no such key was issued or it was
  // withdrawn. Hashes are compared in constant time.
  const key_record *findKey(const key_hash &Hash) const;
  size_t liveKeyCount() const { return KeyIdByPrefix.size(); }

  // -------------------------------------------------------------- leases
  // The current claim of a lease, or nullptr if it was never claimed.
  const wire::lease_state *findLease(std::string_view Lease) const;

  // --------------------------------------------------------------- usage
  // Whether the usage batch was counted.
  bool hasCounted(incarnation Source, int64_t Sequence) const;
  // The sequence of the first batch of Source that is not counted yet.
  int64_t nextUsageSequence(incarnation Source) const;
  std::vector<wire::usage_increment> openUsage() const;
  int64_t lastClosedWindow() const { return LastClosedWindow; }
  // Closed windows without a report, in order.
  const std::vector<wire::closed_window> &unreportedWindows() const {
    return Windows;
  }

  // -------------------------------------------------------------- orders
  // Orders with an intent record and no done record yet, by order id.
  const absl::btree_map<std::string, wire::order_state> &openOrders() const {
    return Orders;
  }

  // ------------------------------------------------------------- writers
  // The highest sequence of Writer that was replayed; 0 if there is none.
  int64_t writerSequence(incarnation Writer) const;
  // The offset of the record with that sequence; 0 if there is none.
  log_offset writerOffset(incarnation Writer) const;
  // The offset of the newest snapshot record that the state includes.
  log_offset lastSnapshot() const { return LastSnapshot; }

private:
  struct key_entry {
    key_record Key;
    bool Withdrawn = false;
    log_offset Offset; // of the record that issued or withdrew the key
  };
  struct usage_key {
    std::string Organisation;
    std::string ServiceClass;
    auto operator<=>(const usage_key &) const = default;
  };
  struct usage_totals {
    int64_t Requests = 0;
    int64_t PromptTokens = 0;
    int64_t OutputTokens = 0;
  };
  using writer_map = absl::btree_map<int64_t, wire::writer_state>;

  // Each function replays one kind of record. It returns the reason if the
  // record is void.
  using rejection = std::optional<std::string>;
  void replayBytes(const std::string &Bytes, ledger_change &Change);
  rejection replay(const wire::log_record &Record, ledger_change &Change);
  rejection replayEdit(const wire::config_edit &Edit, ledger_change &Change);
  rejection replayGive(const wire::key_give &Give, ledger_change &Change);
  rejection replayWithdraw(const wire::key_withdraw &Withdraw,
                           ledger_change &Change);
  rejection replayClaim(const wire::lease_claim &Claim, ledger_change &Change);
  rejection replayUsage(const wire::usage_append &Append,
                        ledger_change &Change);
  rejection replayClose(const wire::usage_close &Close, ledger_change &Change);
  rejection replayReported(const wire::usage_reported &Reported);
  rejection replayIntent(const wire::order_intent &Intent,
                         ledger_change &Change);
  rejection replayDone(const wire::order_done &Done, ledger_change &Change);
  rejection replaySnapshot(const wire::snapshot &Snapshot,
                           ledger_change &Change);

  bool countBatch(const wire::usage_batch &Batch, log_offset Offset);
  bool isCurrentFence(std::string_view Lease, int64_t Fence) const;
  bool isRepeated(const wire::log_record &Record) const;
  void rememberWriter(const wire::log_record &Record, log_offset Offset);
  static void forgetLeastRecent(writer_map &Map, size_t Bound);
  void indexKey(const key_entry &Entry);
  void unindexKey(const key_entry &Entry);
  void forgetOldWithdrawals();
  bool load(const wire::ledger_state &Snapshot);
  bool loadKeys(const std::vector<wire::key_state> &States);

  std::string Stream;
  log_offset Applied;
  log_offset LastSnapshot;

  log_offset ConfigOffset;
  std::string Document;
  configuration Config;
  absl::btree_map<key_id, key_entry> Keys;
  // Ids of live keys by the first 8 bytes of their hash.
  absl::btree_multimap<uint64_t, key_id> KeyIdByPrefix;
  // Hashes of live and withdrawn keys, so that a withdrawn key can't be issued
  // again under a new id.
  absl::flat_hash_set<key_hash> HashesEverGiven;
  // Withdrawn keys by the offset of their withdrawal.
  absl::btree_map<log_offset, key_id> Withdrawals;

  absl::btree_map<std::string, wire::lease_state, std::less<>> Leases;

  writer_map Writers;
  writer_map UsageSources;
  absl::btree_map<usage_key, usage_totals> OpenUsage;
  int64_t LastClosedWindow = 0;
  std::vector<wire::closed_window> Windows;

  absl::btree_map<std::string, wire::order_state> Orders;
};

} // namespace monsoonreel

#endif // MONSOONREEL_LEDGER_H
