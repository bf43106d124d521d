// Fleets of several sizes in virtual time, before engines that crash when they
// begin an answer to a prompt with a certain part.
//
// The platform's rules: from the contact time after the fifth crash, at most
// three more requests with the part reach upstreams, sent by entries in touch.
// From twice the contact time on, sound requests with the same first part begin
// at the first attempt at least half as often as before.

#ifndef ROUTING_TESTING_CRASHING_PART_FLEET_H
#define ROUTING_TESTING_CRASHING_PART_FLEET_H

#include <array>
#include <cstdlib>
#include <functional>
#include <random>

#include "routing/testing/fleet_fixture.h"

namespace monsoonreel {

constexpr duration contact_time = 3s;
constexpr int allowed_after_contact = 3;
constexpr size_t known_crashes = 5;
constexpr duration restart_time = 4s;
constexpr duration time_to_first_event = 200ms;
constexpr duration event_interval = 100ms;
constexpr int events_per_answer = 6;
constexpr int common_parts = 4;
constexpr int subjects = 300;
// Parts that crash engines, among the subjects of sound requests.
constexpr uint64_t deadly_part = 7000;

class engine_decoder : public fake_decoder {
public:
  // "run N": start time of the upstream.
  tl::expected<upstream_entry, finding_list>
  decodeUpstream(const std::string &Key,
                 const std::string &Value) const override {
    auto Entry = fake_decoder::decodeUpstream(Key, Value);
    if (Value.starts_with("run "))
      Entry->StartedAt = std::chrono::milliseconds(std::stoll(Value.substr(4)));
    return Entry;
  }
  tl::expected<site_config, finding_list>
  decodeConfig(const std::string &Value) const override {
    auto Config = fake_decoder::decodeConfig(Value);
    host_route Route;
    Route.Name = "drafts";
    Route.Host = "h";
    Route.Prefix = "/";
    Route.Kind = repeat_kind::Stream;
    Route.Public = true;
    Route.Timeout = 5s;
    Route.Target = 600ms;
    Route.MaxAttempts = 1;
    Route.Services = {{pool_name("app"), 1}};
    Config->Routes = {Route};
    Route.Name = "chats";
    Route.Prefix = "/chats/";
    Route.Resumable = true;
    Route.MaxAttempts = 3;
    Config->Routes.push_back(Route);
    service Service;
    Service.Name = pool_name("app");
    Service.MaxConnections = 4000;
    Service.Engine = engine_terms{};
    Service.Engine->Slots = 24;
    Config->Services = {Service};
    return Config;
  }
};

class crashing_part_fleet : public fleet_test {
protected:
  struct arrival {
    duration At;
    size_t Entry;
    uint64_t Part;
  };
  struct call {
    bool Tainted = false;
    uint64_t Part = 0; // the deadly one, if tainted
    std::string First;
    duration At{};
    bool Began = false; // got an event
    bool Refused = false;
  };
  struct attempt {
    size_t Entry = 0;
    attempt_number Number;
    std::string Upstream;
    bool HasHead = false;
  };
  struct engine {
    int64_t Run = 1;
    std::optional<duration> DownUntil;
    std::set<int64_t> Open; // attempts
  };
  struct step {
    duration At;
    int64_t Order;
    std::function<void()> Do;
    bool operator<(const step &Other) const {
      return std::pair(At, Order) > std::pair(Other.At, Other.Order);
    }
  };

  std::shared_ptr<const listing_decoder> decoder() const override {
    return std::make_shared<engine_decoder>();
  }
  bool isCut(size_t From, size_t To) const override {
    return CutZone && (Entries[From].Identity.Zone == *CutZone) !=
                          (Entries[To].Identity.Zone == *CutZone);
  }

  void startFleet(int Zones, int InZone) {
    Repeats = false;
    size_t Count = std::max<size_t>(18, 2 * static_cast<size_t>(Zones) *
                                            static_cast<size_t>(InZone) / 5);
    for (size_t I = 0; I < Count; ++I)
      Engines["u" + std::to_string(I)] = {};
    start(Zones, InZone);
    listAll();
    runUntil(12s);
    CallsPerSecond = 60;
  }
  void listAll() {
    for (const auto &[Name, Engine] : Engines)
      if (!Engine.DownUntil)
        append(upstream_feed, Name, "run " + std::to_string(Engine.Run));
  }

  void onStep() override {
    while (!Steps.empty() && Steps.top().At <= Now) {
      auto Do = Steps.top().Do;
      Steps.pop();
      Do();
    }
    if (Now % 1200ms == 0ms)
      listAll();
    for (auto &[Name, Engine] : Engines)
      if (Engine.DownUntil && Now >= *Engine.DownUntil) {
        Engine.DownUntil.reset();
        ++Engine.Run;
        append(upstream_feed, Name, "run " + std::to_string(Engine.Run));
      }
    Owed += CallsPerSecond * std::chrono::duration<double>(tick_period).count();
    for (; Owed >= 1; Owed -= 1)
      arrive();
  }

  static std::string firstOf(uint64_t Part) { return std::to_string(Part); }

  void arrive() {
    arriveAt(draw() % Entries.size(), [this]() -> std::optional<uint64_t> {
      if (Deadly.empty() ||
          static_cast<double>(draw() % 1000) >= TaintedShare * 1000)
        return std::nullopt;
      return Deadly[draw() % Deadly.size()];
    });
  }
  // Requests with a deadly part, at different entries at the same time.
  void arriveTogether(uint64_t Part, int Count) {
    for (int I = 0; I < Count; ++I)
      arriveAt(static_cast<size_t>(I) % Entries.size(),
               [Part] { return std::optional(Part); });
  }

  template <typename F> void arriveAt(size_t Index, F ChoosePart) {
    if (Entries[Index].Frozen)
      return;
    route_request Arrived;
    Arrived.Request = request_id{++LastRequest};
    Arrived.CallerId = std::to_string(LastRequest);
    Arrived.Host = "h";
    Arrived.Path = draw() % 3 ? "/x" : "/chats/x";
    Arrived.TimeLeft = 5s;
    prompt_info Prompt;
    Prompt.Model = "m";
    Prompt.PromptTokens = 4000;
    Prompt.MaxOutputTokens = 60;
    Prompt.Parts = {{draw() % common_parts, 1000},
                    {100 + draw() % subjects, 1000},
                    {1'000'000 + static_cast<uint64_t>(LastRequest), 2000}};
    call &Call = Calls[LastRequest];
    Call.At = Now;
    if (std::optional<uint64_t> Part = ChoosePart()) {
      Call.Tainted = true;
      Call.Part = *Part;
      // Anywhere but at the end.
      Prompt.Parts.insert(Prompt.Parts.begin() + DeadlyPlace, {Call.Part, 500});
    }
    Call.First = firstOf(Prompt.Parts.front().Id);
    Arrived.Prompt = Prompt;
    handle(Index, Arrived);
  }

  void onEffect(size_t Index, const routing_effect &Effect) override {
    if (const auto *Dispatch = std::get_if<route_dispatch>(&Effect))
      serve(Index, *Dispatch);
    else if (const auto *Cancel = std::get_if<route_cancel>(&Effect))
      cancel(Index, Cancel->Attempt);
    else if (const auto *Write = std::get_if<route_write>(&Effect))
      Calls[Write->Request.Value].Began = true;
    else if (const auto *Refusal = std::get_if<route_refusal>(&Effect))
      onRefusal(*Refusal);
  }

  void cancel(size_t Index, attempt_number Attempt) {
    if (auto It = IdOf.find({Index, Attempt.Value}); It != IdOf.end())
      finish(It->second);
  }

  void onRefusal(const route_refusal &Refusal) {
    call &Call = Calls[Refusal.Request.Value];
    Call.Refused = Refusal.Code == "prompt-part-held";
    if (!Call.Refused)
      return;
    EXPECT_EQ(Refusal.Status, 503);
    EXPECT_EQ(Refusal.Outcome, execution_outcome::NotRun);
    EXPECT_GT(Refusal.RetryAfter, duration::zero());
  }

  void later(duration After, std::function<void()> Do) {
    Steps.push({Now + After, ++Order, std::move(Do)});
  }

  void serve(size_t Index, const route_dispatch &Dispatch) {
    engine &Engine = Engines[Dispatch.Upstream.Value];
    if (Engine.DownUntil)
      return Queue.push({Now + 2ms, ++Order, Index,
                         route_attempt_failed{Dispatch.Attempt,
                                              attempt_failure::NeverSent, ""}});
    const call &Call = Calls[Dispatch.Request.Value];
    if (Call.Tainted)
      Arrivals.push_back({Now, Index, Call.Part});
    int64_t Id = ++LastAttempt;
    Attempts[Id] = {Index, Dispatch.Attempt, Dispatch.Upstream.Value, false};
    IdOf[{Index, Dispatch.Attempt.Value}] = Id;
    Engine.Open.insert(Id);
    bool Crashes = Call.Tainted && IsDeadly;
    int64_t Next = Dispatch.ResumeAfter ? *Dispatch.ResumeAfter + 1 : 0;
    later(time_to_first_event,
          [this, Id, Crashes, Next] { begin(Id, Crashes, Next); });
  }

  void begin(int64_t Id, bool Crashes, int64_t NextEvent) {
    auto It = Attempts.find(Id);
    if (It == Attempts.end())
      return;
    It->second.HasHead = true;
    answer_head Head;
    Head.Attempt = It->second.Number;
    Head.Status = 200;
    Head.EventStream = true;
    std::string Upstream = It->second.Upstream;
    handle(It->second.Entry, Head);
    if (Crashes)
      return crash(Upstream);
    event(Id, NextEvent);
  }

  void event(int64_t Id, int64_t Number) {
    auto It = Attempts.find(Id);
    if (It == Attempts.end())
      return;
    auto [Entry, Attempt] = std::pair(It->second.Entry, It->second.Number);
    if (Number >= events_per_answer) {
      finish(Id);
      return handle(Entry, answer_end{Attempt});
    }
    std::string Text = "id: " + std::to_string(Number) + "\ndata: x\n\n";
    handle(Entry, answer_data{Attempt, Text});
    later(event_interval, [this, Id, Number] { event(Id, Number + 1); });
  }

  void finish(int64_t Id) {
    auto It = Attempts.find(Id);
    if (It == Attempts.end())
      return;
    Engines[It->second.Upstream].Open.erase(Id);
    IdOf.erase({It->second.Entry, It->second.Number.Value});
    Attempts.erase(It);
  }

  // All open attempts break, and the upstream starts again later.
  void crash(const std::string &Upstream) {
    engine &Engine = Engines[Upstream];
    Engine.DownUntil = Now + restart_time;
    Crashes.emplace_back(Now, Upstream);
    for (int64_t Id : std::set(Engine.Open)) {
      const attempt Attempt = Attempts[Id];
      finish(Id);
      later(1ms, [this, Attempt, Epoch = Epochs[Attempt.Entry]] {
        if (Epoch == Epochs[Attempt.Entry])
          handle(Attempt.Entry, route_attempt_failed{
                                    Attempt.Number,
                                    Attempt.HasHead ? attempt_failure::Truncated
                                                    : attempt_failure::Broken,
                                    "reset"});
      });
    }
  }

  // Requests with the part that reached upstreams from the contact time after
  // the fifth one on, but for those of entries that were disturbed.
  int lateArrivals(uint64_t Part) {
    std::vector<arrival> Own;
    for (const arrival &Arrival : Arrivals)
      if (Arrival.Part == Part)
        Own.push_back(Arrival);
    if (Own.size() <= known_crashes)
      return 0;
    duration From =
        Own[known_crashes - 1].At + time_to_first_event + contact_time;
    int Late = 0;
    for (const arrival &Arrival : Own) {
      auto Touched = TouchedAt.find(Arrival.Entry);
      bool IsExcused = Touched != TouchedAt.end() &&
                       Arrival.At - Touched->second < contact_time;
      Late += Arrival.At > From && !IsExcused ? 1 : 0;
    }
    return Late;
  }
  // The same from the fifth crash on, where one part causes all crashes.
  int64_t arrivalsAfterFifthCrash() const {
    if (Crashes.size() < known_crashes)
      return 0;
    duration From = Crashes[known_crashes - 1].first + contact_time;
    return std::count_if(
        Arrivals.begin(), Arrivals.end(),
        [&](const arrival &Arrival) { return Arrival.At > From; });
  }
  // Share of the sound requests with this first part that got an event.
  double soundShare(const std::string &First, duration From, duration To) {
    int Asked = 0;
    int Began = 0;
    for (const auto &[Id, Call] : Calls) {
      if (Call.Tainted || Call.First != First || Call.At < From ||
          Call.At >= To)
        continue;
      ++Asked;
      Began += Call.Began ? 1 : 0;
    }
    EXPECT_GE(Asked, 20) << First;
    return Asked ? static_cast<double>(Began) / Asked : 0;
  }
  void expectSoundServed(duration From, duration To) {
    for (uint64_t Part = 0; Part < common_parts; ++Part)
      EXPECT_GE(soundShare(firstOf(Part), From, To), 0.9) << Part;
  }
  int heldSound() const {
    int Held = 0;
    for (const auto &[Id, Call] : Calls)
      Held += !Call.Tainted && Call.Refused ? 1 : 0;
    return Held;
  }
  int servedTainted(duration From) const {
    int Served = 0;
    for (const auto &[Id, Call] : Calls)
      Served += Call.Tainted && Call.Began && Call.At >= From ? 1 : 0;
    return Served;
  }
  void taint(std::vector<uint64_t> Parts, double Share) {
    Deadly = std::move(Parts);
    TaintedShare = Share;
  }
  void restartEntry(size_t Index) {
    // Its connections end with it.
    std::map<int64_t, attempt> Open = Attempts;
    for (const auto &[Id, Attempt] : Open)
      if (Attempt.Entry == Index)
        finish(Id);
    ++Epochs[Index];
    restart(Entries[Index]);
    TouchedAt[Index] = Now;
  }

  uint64_t draw() { return Source(); }

  double CallsPerSecond = 0;
  double Owed = 0;
  std::mt19937_64 Source{1};
  int64_t LastRequest = 0;
  std::vector<uint64_t> Deadly;
  int DeadlyPlace = 1;
  bool IsDeadly = true;
  double TaintedShare = 0;
  std::map<std::string, engine> Engines;
  int64_t LastAttempt = 0;
  std::map<int64_t, attempt> Attempts;
  std::map<std::pair<size_t, int64_t>, int64_t> IdOf; // by entry and attempt
  std::priority_queue<step> Steps;
  std::map<int64_t, call> Calls;
  std::vector<arrival> Arrivals;
  std::vector<std::pair<duration, std::string>> Crashes;
  std::map<size_t, duration> TouchedAt; // by entry
  std::map<size_t, int> Epochs;         // starts of entries
  std::optional<zone_name> CutZone;
};

} // namespace monsoonreel

#endif // ROUTING_TESTING_CRASHING_PART_FLEET_H
