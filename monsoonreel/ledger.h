// The replay of one stream of the platform's log into the state that all
// nodes agree on.
//
//   ledger Ledger(operator_stream);
//   ledger_change Change = Ledger.apply(log_offset(7), Bytes, Effects);
//   if (Change.ConfigurationChanged)
//     use(Ledger.config());
//   for (const key_hash &Hash : Change.WithdrawnKeys)
//     cancelRequestsOf(Hash);
//
// The state after offset N is a pure function of the records 1 to N: the first
// valid record in offset order wins, and every other one is void. A record
// that does not decode or breaks a rule changes nothing but the offset. There
// is no time in it: who may act under a lease, and until when, is
// `lease_holder`'s business.
//
// Two streams are replayed by this class. Each has its own leases and writers:
//
//   operator_stream  the configuration document, keys, upstream orders; small,
//                    handed on to every node
//   usage_stream     usage batches and windows; read by the stewards that
//                    append to it or may close windows, by no entry

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

// Bounds of the replayed state. A record that would exceed one is void.
constexpr size_t max_live_keys = 10000;
// Withdrawn keys that are remembered; the oldest is forgotten first.
constexpr size_t max_withdrawn_keys = 32768;
constexpr size_t max_leases = 64;
constexpr duration max_lease_duration = std::chrono::minutes(5);
// Writers and usage sources that are remembered; the one that has been silent
// for the most records is forgotten first.
constexpr size_t max_writers = 4096;
constexpr size_t max_usage_sources = 4096;
// How far a usage batch may run ahead of the first missing one of its source.
constexpr int64_t max_batches_ahead = 32;
constexpr size_t max_increments_per_batch = 4096;
constexpr size_t max_open_usage = 16384;
// Closed windows that wait for their report. No further window is closed while
// so many wait: the open one gets longer instead.
constexpr size_t max_unreported_windows = 30;
constexpr size_t max_open_orders = 256;
constexpr size_t max_name_bytes = 256;
// SHA-256.
constexpr size_t key_hash_bytes = 32;

enum class record_verdict {
  Valid,
  Void,      // breaks a rule, or lost against an earlier record
  Repeated,  // the same writer's record was replayed before
  Malformed, // does not decode
  Stale,     // its offset was replayed before; not counted
  Gap,       // records before it are missing; not applied
};

// What one record changed.
struct ledger_change {
  record_verdict Verdict = record_verdict::Void;
  // Why the record is void; empty for a valid one.
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

  // Replays the record at Offset. Offsets come without gaps; one that was
  // replayed before is ignored.
  ledger_change apply(log_offset Offset, const std::string &Bytes,
                      effect_list &Effects);

  // Replaces the state by a snapshot that covers all records up to Covers.
  // False, and nothing is changed, unless it is newer and consistent.
  bool restore(log_offset Covers, const wire::ledger_state &Snapshot,
               effect_list &Effects);

  // The state for a snapshot. Equal for equal prefixes of the stream.
  wire::ledger_state state() const;

  // The highest offset that was replayed; 0 at the start.
  log_offset applied() const { return Applied; }

  // ------------------------------------------------------- configuration
  const configuration &config() const { return Config; }
  const std::string &document() const { return Document; }
  // The offset, which is the version, of the document in force; 0 for none.
  log_offset configOffset() const { return ConfigOffset; }

  // The key with this hash, or nullptr when none was given or it was
  // withdrawn. The hashes are compared in constant time.
  const key_record *findKey(const key_hash &Hash) const;
  size_t liveKeyCount() const { return KeyIdByPrefix.size(); }

  // -------------------------------------------------------------- leases
  // The current claim of a lease, or nullptr when it was never claimed.
  const wire::lease_state *findLease(std::string_view Lease) const;

  // --------------------------------------------------------------- usage
  // Whether the batch was counted.
  bool hasCounted(incarnation Source, int64_t Sequence) const;
  // The first batch of Source that is not yet counted.
  int64_t nextUsageSequence(incarnation Source) const;
  std::vector<wire::usage_increment> openUsage() const;
  int64_t lastClosedWindow() const { return LastClosedWindow; }
  // Closed windows without a report, in order.
  const std::vector<wire::closed_window> &unreportedWindows() const {
    return Windows;
  }

  // -------------------------------------------------------------- orders
  // Intents that are not done yet, by order id.
  const absl::btree_map<std::string, wire::order_state> &openOrders() const {
    return Orders;
  }

  // ------------------------------------------------------------- writers
  // The highest sequence of Writer that was replayed; 0 for none.
  int64_t writerSequence(incarnation Writer) const;
  // The offset of that record.
  log_offset writerOffset(incarnation Writer) const;
  // Offset of the newest snapshot record that was replayed or restored from.
  log_offset lastSnapshot() const { return LastSnapshot; }

private:
  struct key_entry {
    key_record Key;
    bool Withdrawn = false;
    log_offset Offset; // of the giving or the withdrawing record
  };
  struct usage_key {
    std::string Organisation;
    std::string ServiceClass;
    auto operator<=>(const usage_key &) const = default;
  };
  struct usage_figure {
    int64_t Requests = 0;
    int64_t PromptTokens = 0;
    int64_t OutputTokens = 0;
  };
  using writer_map = absl::btree_map<int64_t, wire::writer_state>;

  // Each replays one kind of record and returns why it is void, or nothing.
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
  static void forgetSilent(writer_map &Map, size_t Bound);
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
  // Live keys by the first bytes of their hash.
  absl::btree_multimap<uint64_t, key_id> KeyIdByPrefix;
  // Of live and withdrawn keys: a withdrawn key can't come back under a new id.
  absl::flat_hash_set<key_hash> HashesEverGiven;
  // Withdrawn keys in the order of their withdrawal.
  absl::btree_map<log_offset, key_id> Withdrawals;

  absl::btree_map<std::string, wire::lease_state, std::less<>> Leases;

  writer_map Writers;
  writer_map UsageSources;
  absl::btree_map<usage_key, usage_figure> OpenUsage;
  int64_t LastClosedWindow = 0;
  std::vector<wire::closed_window> Windows;

  absl::btree_map<std::string, wire::order_state> Orders;
};

} // namespace monsoonreel

#endif // MONSOONREEL_LEDGER_H
