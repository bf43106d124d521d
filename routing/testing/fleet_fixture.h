// A fleet of routing nodes in virtual time, with a store that answers at once.
//
//   start(Zones, InZone);
//   runUntil(10s);
//
// Derived fixtures override `decoder`, `onStep` and `onEffect` to add callers
// and upstreams.

#ifndef ROUTING_TESTING_FLEET_FIXTURE_H
#define ROUTING_TESTING_FLEET_FIXTURE_H

#include <algorithm>
#include <map>
#include <memory>
#include <queue>
#include <set>
#include <string>
#include <vector>

#include <gtest/gtest.h>

#include "routing/routing.h"
#include "routing/testing/test_time.h"

namespace monsoonreel {

using namespace std::chrono_literals;

inline constexpr const char *config_feed = "config";
inline constexpr const char *upstream_feed = "upstreams";

// Records contain only a name and whether the upstream is draining.
class fake_decoder : public listing_decoder {
public:
  tl::expected<upstream_entry, finding_list>
  decodeUpstream(const std::string &Key,
                 const std::string &Value) const override {
    upstream_entry Entry;
    Entry.Name = upstream_name(Key);
    Entry.Service = pool_name("app");
    Entry.Address = address("10.9.0.1:80");
    Entry.Zone = zone_name("z0");
    Entry.Draining = Value == "draining";
    Entry.StartedAt =
        std::chrono::milliseconds(Value.ends_with("again") ? 2 : 1);
    return Entry;
  }
  tl::expected<site_config, finding_list>
  decodeConfig(const std::string &Value) const override {
    site_config Config;
    Config.Version = std::stoll(Value);
    return Config;
  }
};

struct counts {
  int Sent = 0;
  int Received = 0;
  int Reads = 0; // feed reads
  int DutyCalls = 0;
};

class fleet_test : public testing::Test {
protected:
  virtual std::shared_ptr<const listing_decoder> decoder() const {
    return std::make_shared<fake_decoder>();
  }
  // Called before the entries' ticks of each step.
  virtual void onStep() {}
  // Returns whether messages from one entry to another are lost.
  virtual bool isCut(size_t /*From*/, size_t /*To*/) const { return false; }
  enum class store_state { Serves, Refuses, Silent };
  // Returns how the store treats the calls of an entry.
  virtual store_state storeFor(size_t /*Index*/) const {
    return StoreIsDown ? store_state::Refuses : store_state::Serves;
  }
  // Called with each effect, besides what the fixture does for it.
  virtual void onEffect(size_t /*Index*/, const routing_effect & /*Effect*/) {}

  struct entry {
    node_identity Identity;
    std::unique_ptr<routing_node> Node;
    counts Counts;
    bool Frozen = false;
    int64_t Version = 0; // version of the configuration in force
    std::set<std::string> Draining;
    std::set<std::string> Known; // other entries, by name
  };
  struct delivery {
    duration At;
    int64_t Order;
    size_t To;
    routing_event_body Body;
    bool operator<(const delivery &Other) const {
      return std::pair(At, Order) > std::pair(Other.At, Other.Order);
    }
  };

  void start(int Zones, int InZone) {
    for (int Zone = 0; Zone < Zones; ++Zone)
      for (int I = 0; I < InZone; ++I) {
        entry Entry;
        std::string Host =
            "10." + std::to_string(Zone) + ".0." + std::to_string(I);
        Entry.Identity = {
            node_name("e-" + std::to_string(Zone) + "-" + std::to_string(I)),
            zone_name("z" + std::to_string(Zone)), address(Host + ":7"),
            incarnation{1}, I == 0 ? 500 : 120};
        if (I == 0 && Zone < 3)
          Seeds.push_back(Entry.Identity.Address);
        IndexOf[Entry.Identity.Address] = Entries.size();
        Entries.push_back(std::move(Entry));
      }
    append(config_feed, "config", "1");
    for (int I = 0; I < 2 * Zones; ++I)
      append(upstream_feed, "u" + std::to_string(I), "serving");
    Terms.Feeds = {config_feed, "config", upstream_feed, "evacuate/"};
    Bounds.LeaveDeadline = Bounds.ConfigInForce = 4s;
    Terms.Bounds = Bounds;
    Terms.UsageWindow = UsageWindow;
    Terms.OrdersUpstreams = false;
    for (entry &Entry : Entries)
      build(Entry);
  }
  void build(entry &Entry) {
    Entry.Node = routing_node_builder(Entry.Identity)
                     .seeds(Seeds)
                     .terms(Terms)
                     .decoder(decoder())
                     .build();
  }
  // Kills the entry's process and starts it again.
  void restart(entry &Entry) {
    ++Entry.Identity.Incarnation.Value;
    Entry.Version = 0;
    Entry.Draining.clear();
    build(Entry);
  }

  void append(const std::string &Feed, const std::string &Key,
              const std::string &Value) {
    std::vector<wire::feed_record> &Log = Logs[Feed];
    wire::feed_record Record;
    Record.Offset = static_cast<int64_t>(Log.size());
    Record.Key = Key;
    Record.__set_Value(Value);
    Log.push_back(std::move(Record));
    AppendedAt[Feed].push_back(Now);
  }
  void remove(const std::string &Feed, const std::string &Key) {
    append(Feed, Key, "");
    Logs[Feed].back().__isset.Value = false;
  }
  // Restores the store from a backup of this age, and starts a new era.
  void restoreStore(duration Age) {
    auto SizeOfBackup = [&](const std::vector<duration> &Times) {
      auto It = std::upper_bound(Times.begin(), Times.end(), Now - Age);
      return static_cast<size_t>(It - Times.begin());
    };
    for (auto &[Feed, Log] : Logs) {
      size_t Kept = SizeOfBackup(AppendedAt[Feed]);
      for (size_t I = Kept; I < Log.size(); ++I)
        LostRecords[{Feed, Log[I].Key}] = Log[I].Value;
      Log.resize(Kept);
      AppendedAt[Feed].resize(Kept);
      HistoryStart[Feed] =
          std::min(HistoryStart[Feed], static_cast<int64_t>(Kept));
    }
    DutyLog.resize(SizeOfBackup(DutyAppendedAt));
    DutyAppendedAt.resize(DutyLog.size());
    DutyForgotten = std::min(DutyForgotten, std::ssize(DutyLog));
    ++Era;
  }
  // Deletes all records of the duty log; its offsets go on.
  void forgetDutyHistory() { DutyForgotten = std::ssize(DutyLog); }
  // Returns the offset of the oldest record of the duty log that is kept.
  int64_t dutyStart() const {
    auto It = std::upper_bound(DutyAppendedAt.begin(), DutyAppendedAt.end(),
                               Now - DutyHistory);
    return std::max<int64_t>(DutyForgotten, It - DutyAppendedAt.begin());
  }
  // Writes the newest values that were lost again, as their owners do.
  void writeLostAgain() {
    for (const auto &[Place, Value] : std::exchange(LostRecords, {}))
      append(Place.first, Place.second, Value);
  }

  void runUntil(duration End) {
    for (; Now < End; Now += tick_period) {
      if (Now % 1200ms == 0ms && Repeats)
        for (size_t I = 0; I < 10; ++I)
          append(upstream_feed, "u" + std::to_string(I), "serving");
      while (!Queue.empty() && Queue.top().At <= Now) {
        delivery Next = Queue.top();
        Queue.pop();
        handle(Next.To, Next.Body);
      }
      onStep();
      for (size_t I = 0; I < Entries.size(); ++I)
        handle(I, tick{});
    }
  }

  void handle(size_t Index, const routing_event_body &Body) {
    entry &Entry = Entries[Index];
    if (Entry.Frozen)
      return;
    if (std::holds_alternative<peer_message_received>(Body))
      ++Entry.Counts.Received;
    routing_effects Effects;
    Entry.Node->handle({at(Now), wall_time(Now), ++Random * 7919, Body},
                       Effects);
    for (const routing_effect &Effect : Effects)
      carryOut(Index, Effect);
  }

  void carryOut(size_t Index, const routing_effect &Effect) {
    entry &Entry = Entries[Index];
    if (const auto *Send = std::get_if<send_message>(&Effect))
      send(Index, Send->ToAddress, Send->Message);
    if (const auto *Send = std::get_if<send_datagrams>(&Effect))
      for (const address &To : Send->To)
        send(Index, To, Send->Message);
    if (const auto *Read = std::get_if<read_feed>(&Effect))
      answer(Index, *Read);
    if (const auto *Append = std::get_if<append_duty>(&Effect))
      answer(Index, *Append);
    if (const auto *Read = std::get_if<read_duty_log>(&Effect))
      answer(Index, *Read);
    if (const auto *Report = std::get_if<report_usage>(&Effect))
      ReportedWindows.insert(Report->Figures.Window);
    if (const auto *Line = std::get_if<log_line>(&Effect)) {
      size_t Joined = Line->Text.find(" joined at ");
      if (Joined != std::string::npos)
        Entry.Known.insert(Line->Text.substr(0, Joined));
      size_t At = Line->Text.find("event=config-in-force version=");
      if (At != std::string::npos)
        Entry.Version = std::stoll(Line->Text.substr(At + 30));
      if (Line->Text.find("state=draining") != std::string::npos)
        Entry.Draining.insert(Line->Text);
    }
    onEffect(Index, Effect);
  }

  void send(size_t From, const address &To, const wire::peer_message &Message) {
    ++Entries[From].Counts.Sent;
    auto It = IndexOf.find(To);
    if (It == IndexOf.end() || isCut(From, It->second))
      return;
    // Asks and grants take far less than a step.
    if (std::holds_alternative<wire::placement_ask>(Message) ||
        std::holds_alternative<wire::placement_grant>(Message))
      handle(It->second,
             peer_message_received{Entries[From].Identity.Name,
                                   Entries[From].Identity.Address, Message});
    else
      Queue.push(
          {Now + 2ms, ++Order, It->second,
           peer_message_received{Entries[From].Identity.Name,
                                 Entries[From].Identity.Address, Message}});
  }

  void answer(size_t Index, const read_feed &Call) {
    ++Entries[Index].Counts.Reads;
    store_state Store = storeFor(Index);
    if (Store == store_state::Refuses) {
      feed_read_failed Failed{Call.Feed, "refused", false};
      return Queue.push({Now + 4ms, ++Order, Index, std::move(Failed)});
    }
    if (Store == store_state::Silent) {
      feed_read_failed Failed{Call.Feed, "timeout", false};
      return Queue.push({Now + Call.Wait + feed_read_timeout, ++Order, Index,
                         std::move(Failed)});
    }
    int64_t Cut = HistoryStart[Call.Feed];
    auto LogEnd = static_cast<int64_t>(Logs[Call.Feed].size());
    if (!Call.Whole && (Call.From < Cut || Call.From > LogEnd)) {
      feed_read_failed Failed{Call.Feed, "history cut", true, Era};
      return Queue.push({Now + 4ms, ++Order, Index, std::move(Failed)});
    }
    const std::vector<wire::feed_record> &Log = Logs[Call.Feed];
    feed_read Read;
    Read.Feed = Call.Feed;
    Read.Whole = Call.Whole;
    Read.From = Call.Whole ? 0 : Call.From;
    Read.End = static_cast<int64_t>(Log.size());
    Read.Records.assign(Log.begin() + Read.From, Log.end());
    Read.Era = Era;
    // A read without news is answered when its wait time is over; a read with
    // news is answered at once.
    duration Wait = Read.Records.empty() ? Call.Wait : duration{};
    Queue.push({Now + 4ms + Wait, ++Order, Index, std::move(Read)});
  }

  void answer(size_t Index, const append_duty &Call) {
    ++Entries[Index].Counts.DutyCalls;
    if (storeFor(Index) != store_state::Serves) {
      duty_appended Refused{Call.Call, append_outcome::Refused, 0, 0};
      return Queue.push({Now + 4ms, ++Order, Index, Refused});
    }
    auto End = static_cast<int64_t>(DutyLog.size());
    duty_appended Answer{Call.Call, append_outcome::Conflict, End, End, Era};
    if (Call.At == End) {
      DutyLog.push_back(encodeDutyRecord(Call.Record));
      DutyAppendedAt.push_back(Now);
      Answer = {Call.Call, append_outcome::Done, End, End + 1, Era};
    }
    Queue.push({Now + 4ms, ++Order, Index, Answer});
  }

  void answer(size_t Index, const read_duty_log &Call) {
    ++Entries[Index].Counts.DutyCalls;
    duty_log_read Read;
    Read.Call = Call.Call;
    if (storeFor(Index) != store_state::Serves)
      return Queue.push({Now + 4ms, ++Order, Index, std::move(Read)});
    Read.Era = Era;
    Read.From = Call.From;
    Read.End = static_cast<int64_t>(DutyLog.size());
    Read.Start = dutyStart();
    Read.HistoryCut = Read.From < Read.Start || Read.From > Read.End;
    Read.Ok = !Read.HistoryCut;
    for (int64_t Offset = Read.From; Offset < Read.End; ++Offset) {
      wire::stored_record Record;
      Record.Offset = Offset;
      Record.Bytes = DutyLog[static_cast<size_t>(Offset)];
      Read.Records.push_back(std::move(Record));
    }
    Queue.push({Now + 4ms, ++Order, Index, std::move(Read)});
  }

  void changeAll() {
    append(config_feed, "config", "2");
    append(upstream_feed, "u3", "draining");
  }
  void expectChanged() const {
    for (const entry &Entry : Entries) {
      if (Entry.Frozen)
        continue;
      EXPECT_EQ(Entry.Version, 2) << Entry.Identity.Name.Value;
      EXPECT_EQ(Entry.Draining.size(), 1u) << Entry.Identity.Name.Value;
    }
  }

  void clearCounts() {
    for (entry &Entry : Entries)
      Entry.Counts = {};
  }
  counts sum() const {
    counts Sum;
    for (const entry &Entry : Entries) {
      Sum.Sent += Entry.Counts.Sent;
      Sum.Received += Entry.Counts.Received;
      Sum.Reads += Entry.Counts.Reads;
      Sum.DutyCalls += Entry.Counts.DutyCalls;
    }
    return Sum;
  }

  static constexpr duration tick_period = 50ms;
  site_bounds Bounds;
  routing_terms Terms;
  std::vector<address> Seeds;
  std::vector<entry> Entries;
  std::map<address, size_t> IndexOf;
  std::map<std::string, std::vector<wire::feed_record>> Logs;
  std::map<std::string, int64_t> HistoryStart; // oldest offset that is kept
  std::vector<std::string> DutyLog;
  int64_t Era = first_store_era;
  std::map<std::string, std::vector<duration>> AppendedAt;
  std::vector<duration> DutyAppendedAt;
  std::ptrdiff_t DutyForgotten = 0; // oldest record that was not deleted
  duration DutyHistory = 1000000s;  // how long records are kept
  std::map<std::pair<std::string, std::string>, std::string> LostRecords;
  std::priority_queue<delivery> Queue;
  duration Now{};
  int64_t Order = 0;
  uint64_t Random = 1;
  duration UsageWindow = 5s;
  std::set<int64_t> ReportedWindows;
  bool StoreIsDown = false; // every call is refused
  bool Repeats = true;      // upstreams repeat their records
};

} // namespace monsoonreel

#endif // ROUTING_TESTING_FLEET_FIXTURE_H
