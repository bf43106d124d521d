// The decisions about requests: asks, grants, releases, and their messages.

#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include <benchmark/benchmark.h>

#include "bench/bench_site.h"
#include "monsoonreel/incarnation.h"
#include "monsoonreel/pool_map.h"
#include "monsoonreel/slot_client.h"
#include "monsoonreel/slot_owner.h"

namespace monsoonreel {
namespace {

// An owner of queues, and the grants that it gave in their order.
class bench_owner {
public:
  explicit bench_owner(const configuration &Configuration)
      : Owner(slot_owner::builder()
                  .name(node_name("owner"))
                  .incarnation(incarnation{1791820800000000})
                  .build()) {
    Owner.setConfiguration(Configuration,
                           pool_map::fromConfiguration(Configuration), Now,
                           Replies, Effects);
  }

  void ask() {
    Owner.onAsk(Asker, makeAsk(++LastId), Now, Replies, Effects);
    collect();
  }
  // Ends the work of the oldest grant that is left.
  void releaseNext() {
    wire::slot_release Release;
    Release.FirstTokenMicros = 120000;
    Release.TotalMicros = 2400000;
    Release.OutputTokens = 240;
    Release.Slot = Grants[NextReleased].Slot;
    Release.OwnerIncarnation = Grants[NextReleased].OwnerIncarnation;
    ++NextReleased;
    Owner.onRelease(Release, Now, Replies, Effects);
    collect();
  }
  size_t waitingCount() const { return Owner.waitingCount(); }

  steady_time Now{std::chrono::hours(1)};

private:
  void collect() {
    for (const slot_reply &Reply : Replies)
      if (const auto *Grant = std::get_if<wire::slot_grant>(&Reply.Message))
        Grants.push_back(*Grant);
    Replies.clear();
    Effects.clear();
  }

  slot_owner Owner;
  slot_peer Asker{node_name("entry12"), address("10.1.0.12:7100"),
                  zone_name("zone0")};
  slot_reply_list Replies;
  effect_list Effects;
  std::vector<wire::slot_grant> Grants;
  size_t NextReleased = 0;
  int64_t LastId = 0;
};

// One ask, one release and the grant that follows, while so many requests wait.
void admitAndGrant(benchmark::State &State) {
  bench_owner Owner(makeConfiguration(30));
  double Before = heapInUse();
  while (Owner.waitingCount() < static_cast<size_t>(State.range(0)))
    Owner.ask();
  double Waiting = heapInUse() - Before;
  while (State.KeepRunning()) {
    Owner.Now += std::chrono::milliseconds(1);
    Owner.ask();
    Owner.releaseNext();
  }
  State.counters["waiting_heap_bytes"] = Waiting;
}
BENCHMARK(admitAndGrant)->Arg(1)->Arg(100)->Arg(10000);

// So many entries, in all zones in turn.
std::vector<slot_peer> makePeers(int Entries) {
  std::vector<slot_peer> Peers;
  Peers.reserve(static_cast<size_t>(Entries));
  for (int I = 0; I < Entries; ++I)
    Peers.push_back({node_name("entry" + std::to_string(I)),
                     address("10.1.0." + std::to_string(I) + ":7100"),
                     zone_name("zone" + std::to_string(I % zones))});
  return Peers;
}

// The grant that answers an ask, when one was sent.
std::optional<wire::slot_grant> answerTo(const effect_list &Effects,
                                         int64_t Slot) {
  if (Effects.empty())
    return std::nullopt;
  const auto &Send = std::get<send_message>(Effects.back());
  wire::slot_grant Grant;
  Grant.Ask = std::get<wire::slot_ask>(Send.Message).Ask;
  Grant.Slot = Slot;
  Grant.Upstream = "upstream1";
  return Grant;
}

// The asking entry's part of one request, with so many entries in its site.
void askAndHold(benchmark::State &State) {
  configuration Configuration =
      makeConfiguration(static_cast<int>(State.range(1)));
  steady_time Now(std::chrono::hours(1));
  double Before = heapInUse();
  slot_client Client =
      slot_client::builder()
          .self({node_name("entry0"), zone_name("zone0"),
                 address("10.1.0.0:7100"), incarnation{1791820800000077}})
          .build();
  effect_list Effects;
  slot_outcome_list Outcomes;
  Client.setConfiguration(Configuration, Now, Effects, Outcomes);
  Client.setPeers(makePeers(static_cast<int>(State.range(0))));
  double Held = heapInUse() - Before;
  int64_t Id = 0;
  while (State.KeepRunning()) {
    slot_request Request;
    Request.Request = request_id{++Id};
    Request.Pool = pool_name("model" + std::to_string(Id % models));
    Request.Class = class_name("class0");
    Request.Organisation = organisation_name("organisation7");
    Request.Target = Now + std::chrono::seconds(1);
    Request.WaitDeadline = Now + std::chrono::seconds(10);
    Request.Idempotent = true;
    Client.ask(Request, Now, static_cast<uint64_t>(Id) * 0x9E3779B97F4A7C15U,
               Effects, Outcomes);
    if (auto Grant = answerTo(Effects, Id))
      Client.onMessage(node_name("entry1"), address("10.1.0.1:7100"), *Grant,
                       Now, Effects, Outcomes);
    Client.release(Request.Request, {}, Now, Effects, Outcomes);
    Effects.clear();
    Outcomes.clear();
  }
  State.counters["heap_bytes"] = Held;
}
BENCHMARK(askAndHold)->ArgsProduct({{8, 40, 330}, {30, 600}});

// An entry of zone0 and what it was told to do.
struct bench_entry {
  explicit bench_entry(const std::string &Name)
      : Identity{node_name(Name), zone_name("zone0"), address(Name),
                 makeIncarnation(node_name(Name), wall_time(seconds_in_2026))},
        Client(slot_client::builder().self(Identity).build()) {}

  static constexpr duration seconds_in_2026 = std::chrono::seconds(1791820800);
  node_identity Identity;
  slot_client Client;
  effect_list Effects;
  slot_outcome_list Outcomes;
};

// Two entries of one zone, the messages between which are counted.
class entry_pair {
public:
  entry_pair() {
    configuration Configuration = makeConfiguration(600);
    std::vector<slot_peer> Peers;
    for (const bench_entry *Entry : {&Asker, &Owner})
      Peers.push_back({Entry->Identity.Name, Entry->Identity.Address,
                       Entry->Identity.Zone});
    for (bench_entry *Entry : {&Asker, &Owner}) {
      Entry->Client.setConfiguration(Configuration, Now, Entry->Effects,
                                     Entry->Outcomes);
      Entry->Client.setPeers(Peers);
    }
  }

  // From the ask to the release, with one renewal in between.
  void runRequest(int64_t Id) {
    slot_request Request;
    Request.Request = request_id{Id};
    Request.Pool = pool_name("model" + std::to_string(Id % models));
    Request.Class = class_name("class" + std::to_string(Id % 4));
    Request.Organisation =
        organisation_name("organisation" + std::to_string(Id % organisations));
    Request.Target = Now + std::chrono::milliseconds(350);
    Request.WaitDeadline = Now + std::chrono::seconds(20);
    Request.PromptTokens = 700;
    Request.MaxTokens = 500;
    Request.PrefixHash = static_cast<uint64_t>(Id) * 0x9E3779B97F4A7C15U;
    Request.Idempotent = true;
    Asker.Client.ask(Request, Now, Request.PrefixHash, Asker.Effects,
                     Asker.Outcomes);
    deliverAll();
    Now += renewal_period;
    Asker.Client.onTick(Now, 0, Asker.Effects, Asker.Outcomes);
    Owner.Client.onTick(Now, 0, Owner.Effects, Owner.Outcomes);
    slot_report Report;
    Report.FirstToken = std::chrono::milliseconds(120);
    Report.Total = std::chrono::milliseconds(2400);
    Report.OutputTokens = 240;
    Asker.Client.release(Request.Request, Report, Now, Asker.Effects,
                         Asker.Outcomes);
    deliverAll();
  }
  // Mean bytes of the messages of one kind that were sent.
  template <typename T> double meanBytes() const {
    auto Found = Sent.find(wire::peer_message(T{}).index());
    return Found == Sent.end() ? 0 : Found->second.Bytes / Found->second.Count;
  }

private:
  struct sent_messages {
    double Count = 0;
    double Bytes = 0;
  };

  void deliverAll() {
    deliver(Asker, Owner);
    deliver(Owner, Asker);
    Asker.Outcomes.clear();
  }
  void deliver(bench_entry &From, bench_entry &To) {
    for (const effect &Effect : std::exchange(From.Effects, {})) {
      const auto *Send = std::get_if<send_message>(&Effect);
      if (!Send)
        continue;
      sent_messages &Kind = Sent[Send->Message.index()];
      ++Kind.Count;
      Kind.Bytes += encodedBytes(Send->Message);
      To.Client.onMessage(From.Identity.Name, From.Identity.Address,
                          Send->Message, Now, To.Effects, To.Outcomes);
    }
  }

  steady_time Now{std::chrono::hours(1)};
  bench_entry Asker{"entry0"};
  bench_entry Owner{"entry7"};
  std::map<size_t, sent_messages> Sent;
};

// The messages of requests whose owner is another entry. Ids grow with the
// requests, so there are as many of these as in an hour or so.
void requestMessages(benchmark::State &State) {
  entry_pair Entries;
  int64_t Id = 0;
  while (State.KeepRunning())
    Entries.runRequest(++Id);
  State.counters["ask_bytes"] = Entries.meanBytes<wire::slot_ask>();
  State.counters["grant_bytes"] = Entries.meanBytes<wire::slot_grant>();
  State.counters["release_bytes"] = Entries.meanBytes<wire::slot_release>();
  State.counters["renew_bytes"] = Entries.meanBytes<wire::slot_renew>();
}
BENCHMARK(requestMessages)->Iterations(40000);

// One tick of an owner of so many cells, each with 64 slots taken.
void ownerTick(benchmark::State &State) {
  configuration Configuration = makeConfiguration(600);
  pool_map Map = pool_map::fromConfiguration(Configuration);
  steady_time Now(std::chrono::hours(1));
  slot_owner Owner = slot_owner::builder().name(node_name("owner")).build();
  slot_reply_list Replies;
  effect_list Effects;
  Owner.setConfiguration(Configuration, Map, Now, Replies, Effects);
  double Before = heapInUse();
  int64_t Id = 0;
  auto Cell = Map.all().begin();
  for (int I = 0; I < State.range(0); ++I, ++Cell)
    for (int Slot = 0; Slot < 64; ++Slot) {
      wire::slot_ask Ask = makeAsk(++Id);
      Ask.Pool = Cell->first.Value;
      Owner.onAsk(
          {node_name("entry12"), address("10.1.0.12:7100"), zone_name("zone0")},
          Ask, Now, Replies, Effects);
    }
  State.counters["heap_bytes"] = heapInUse() - Before;
  State.counters["cells"] = static_cast<double>(Map.all().size());
  while (State.KeepRunning()) {
    Now += std::chrono::microseconds(10); // slots do not expire meanwhile
    Owner.onTick(Now, Replies, Effects);
    Effects.clear();
  }
}
BENCHMARK(ownerTick)->Arg(1)->Arg(4);

} // namespace
} // namespace monsoonreel
