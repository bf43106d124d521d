// Simulates entries and stewards that share one claims stream, in virtual time
// and with faults drawn from a seed, for tests of claims.
//
// The log, the network and the upstream are fakes. The claim clients, claim
// coordinators, followers and memberships are the production classes.
// Executions at the upstream are counted by key.

#ifndef MONSOONREEL_TESTING_CLAIM_SITE_H
#define MONSOONREEL_TESTING_CLAIM_SITE_H

#include <functional>
#include <map>
#include <memory>
#include <random>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "monsoonreel/claim_client.h"
#include "monsoonreel/claim_coordinator.h"
#include "monsoonreel/claim_routing.h"
#include "monsoonreel/log_follower.h"
#include "monsoonreel/membership.h"

namespace monsoonreel {

// Probabilities of faults, 0 to 1, for each message or call, and the largest
// delay.
struct claim_faults {
  double LoseMessage = 0.0;
  double DuplicateMessage = 0.0;
  // An append takes effect, but its answer is lost.
  double LoseAppendAnswer = 0.0;
  double LoseAppend = 0.0;
  double LoseRead = 0.0;
  // The request does not reach the upstream, so its outcome is NotRun.
  double UpstreamNeverReached = 0.0;
  duration MaxDelay = std::chrono::milliseconds(5);
};

class claim_site {
public:
  static constexpr duration step = std::chrono::milliseconds(10);

  struct caller_result {
    std::string Key;
    claim_decision Decision = claim_decision::Unavailable;
    std::optional<wire::recorded_answer> Answer;
  };

  claim_site(int Entries, int Stewards, uint64_t Seed) : Random(Seed) {
    for (int Index = 0; Index < Stewards; ++Index)
      startSteward("s" + std::to_string(Index));
    for (int Index = 0; Index < Entries; ++Index)
      startEntry("e" + std::to_string(Index));
    run(std::chrono::seconds(4));
  }

  void startEntry(const std::string &Name) {
    node_identity Self = identity(Name);
    Entries[Name] = std::make_unique<entry>(
        entry{claim_client(Self),
              membership(Self, wire::member_role::Entry, Seeds),
              {}});
  }
  void startSteward(const std::string &Name) {
    node_identity Self = identity(Name);
    Seeds.push_back(Self.Address);
    Stewards[Name] = std::make_unique<steward>(Self, Seeds);
  }
  // Ends a process, which loses all its state.
  void kill(const std::string &Name) {
    Entries.erase(Name);
    Stewards.erase(Name);
  }

  request_id ask(const std::string &Entry, const std::string &Key,
                 duration Timeout = std::chrono::seconds(8),
                 uint64_t BodyHash = 1) {
    request_id Request{++LastRequest};
    Keys[Request] = Key;
    entry &At = *Entries.at(Entry);
    effect_list Effects;
    At.Client.ask(
        {Request, organisation_name("org"), Key, BodyHash, Now + Timeout}, Now,
        Wall, At.Members, Effects);
    carryOut(Entry, Effects);
    return Request;
  }
  // The result of a request, or nullptr if it has none yet.
  const caller_result *result(request_id Request) const {
    auto Found = Results.find(Request);
    return Found == Results.end() ? nullptr : &Found->second;
  }
  claim_decision decision(request_id Request) const {
    const caller_result *Result = result(Request);
    return Result ? Result->Decision : claim_decision::Unavailable;
  }
  int executions(const std::string &Key) { return Executions[Key]; }
  const std::map<request_id, caller_result> &results() const { return Results; }
  // The number of requests that had more than one result, or whose result was
  // "not run" although they were executed.
  int wrongResults() const {
    int Count = 0;
    for (const auto &[Request, Result] : Results) {
      bool ReportedNotRun =
          Result.Decision != claim_decision::Dispatch &&
          outcomeOf(Result.Decision) == execution_outcome::NotRun;
      bool FalselyNotRun = ReportedNotRun && Executed.contains(Request);
      Count += FalselyNotRun || Decisions.at(Request) > 1 ? 1 : 0;
    }
    return Count;
  }
  int breaches() const { return Breaches; }

  void run(duration Time) {
    for (steady_time End = Now + Time; Now < End; Now += step) {
      Wall += step;
      deliver();
      for (auto &[Name, Entry] : Entries)
        tickEntry(Name, *Entry);
      for (auto &[Name, Steward] : Stewards)
        tickSteward(Name, *Steward);
    }
  }

  claim_faults Faults;
  bool LogUnavailable = false;
  // While this is true, reads of the log are not answered.
  bool ReadsHang = false;
  // Messages from the first to the second node of a pair are lost.
  std::set<std::pair<std::string, std::string>> BlockedLinks;
  // While this is true, dispatched requests do not finish at the upstream.
  bool UpstreamHangs = false;
  // How far the wall clock of a steward is ahead.
  std::map<std::string, duration> ClockLead;
  duration Window = std::chrono::hours(24);
  std::map<std::string, steady_time> FrozenUntil;
  // Entries that do not send the request to the upstream after they won the
  // claim, as if they crashed in between.
  std::set<std::string> CrashBeforeDispatch;

  steady_time now() const { return Now; }
  wall_time wall() const { return Wall; }
  claim_coordinator &coordinator(const std::string &Name) {
    return Stewards.at(Name)->Coordinator;
  }
  claim_client &client(const std::string &Name) {
    return Entries.at(Name)->Client;
  }
  size_t appends() const { return Log.size(); }
  std::mt19937_64 &random() { return Random; }

private:
  struct entry {
    claim_client Client;
    membership Members;
    std::vector<std::pair<request_id, steady_time>> Running;
  };
  struct steward {
    call_counter Calls;
    claim_coordinator Coordinator;
    log_follower Follower;
    membership Members;
    steward(const node_identity &Self, const std::vector<address> &Seeds)
        : Coordinator(Self, Calls),
          Follower(std::string(claims_stream), Coordinator),
          Members(Self, wire::member_role::Steward, Seeds) {}
  };

  node_identity identity(const std::string &Name) {
    return {node_name(Name), zone_name("east"), address(Name + ":7100"),
            incarnation{++LastIncarnation}};
  }
  bool chance(double Probability) {
    return std::uniform_real_distribution<>(0, 1)(Random) < Probability;
  }
  duration delay() {
    return duration(std::uniform_int_distribution<int64_t>(
        0, toMicros(Faults.MaxDelay))(Random));
  }
  bool isFrozen(const std::string &Name) const {
    auto Found = FrozenUntil.find(Name);
    return Found != FrozenUntil.end() && Now < Found->second;
  }

  void tickEntry(const std::string &Name, entry &Entry) {
    if (isFrozen(Name))
      return;
    effect_list Effects;
    Entry.Members.onTick(Now, Random(), log_offset(), Effects);
    Entry.Client.onTick(Now, Entry.Members, Effects);
    takeResults(Name, Entry);
    finishRuns(Entry, Effects);
    carryOut(Name, Effects);
  }
  void takeResults(const std::string &Name, entry &Entry) {
    for (const claim_result &Result : Entry.Client.takeResults()) {
      const std::string &Key = Keys[Result.Request];
      Results[Result.Request] = {Key, Result.Decision, Result.Answer};
      ++Decisions[Result.Request];
      if (Result.Decision != claim_decision::Dispatch ||
          CrashBeforeDispatch.contains(Name))
        continue;
      if (!chance(Faults.UpstreamNeverReached)) {
        ++Executions[Key];
        Executed.insert(Result.Request);
      } else
        NeverReached.insert(Result.Request);
      Entry.Running.emplace_back(Result.Request,
                                 Now + std::chrono::milliseconds(100));
    }
  }
  void finishRuns(entry &Entry, effect_list &Effects) {
    std::erase_if(Entry.Running, [&](const auto &Run) {
      if (Now < Run.second || UpstreamHangs)
        return false;
      wire::recorded_answer Answer;
      Answer.Status = 200;
      Answer.Body = "answer of " + Keys[Run.first];
      Answer.BodyKept = true;
      if (NeverReached.contains(Run.first))
        Entry.Client.settle(Run.first, wire::run_outcome::NotRun, {}, Now,
                            Entry.Members, Effects);
      else
        Entry.Client.settle(Run.first, wire::run_outcome::Run, Answer, Now,
                            Entry.Members, Effects);
      return true;
    });
  }

  void tickSteward(const std::string &Name, steward &Steward) {
    if (isFrozen(Name))
      return;
    effect_list Effects;
    Steward.Members.onTick(Now, Random(), log_offset(), Effects);
    Steward.Follower.setFollowing(true);
    Steward.Follower.onTick(Now, Random(), Effects);
    Steward.Coordinator.onTick(
        {Now, Wall + ClockLead[Name], Steward.Follower.isCaughtUp(), Window},
        Steward.Members, Effects);
    carryOut(Name, Effects);
  }

  void carryOut(const std::string &From, const effect_list &Effects) {
    for (const effect &Effect : Effects) {
      if (std::holds_alternative<report_breach>(Effect))
        ++Breaches;
      if (const auto *Send = std::get_if<send_message>(&Effect))
        send(From, *Send);
      if (const auto *Append = std::get_if<append_record>(&Effect))
        append(From, *Append);
      if (const auto *Read = std::get_if<read_log>(&Effect))
        read(From, *Read);
    }
  }
  void later(std::function<void()> Action) {
    Actions.emplace(Now + delay(), std::move(Action));
  }
  void send(const std::string &From, const send_message &Send) {
    std::string To =
        Send.ToAddress.Value.substr(0, Send.ToAddress.Value.find(':'));
    int Copies = chance(Faults.DuplicateMessage) ? 2 : 1;
    for (int Copy = 0; Copy < Copies; ++Copy) {
      if (chance(Faults.LoseMessage) || BlockedLinks.contains({From, To}))
        continue;
      later([this, From, To, Message = Send.Message] {
        receive(To, {node_name(From), address(From + ":7100"), Message});
      });
    }
  }
  void receive(const std::string &To, const peer_message_received &Received) {
    if (isFrozen(To)) {
      // The connection buffers the message until the process runs again.
      Actions.emplace(FrozenUntil[To],
                      [this, To, Received] { receive(To, Received); });
      return;
    }
    effect_list Effects;
    if (auto Found = Entries.find(To); Found != Entries.end()) {
      entry &Entry = *Found->second;
      if (!Entry.Members.onMessage(Received, Now, Effects))
        Entry.Client.onMessage(Received, Now, Entry.Members, Effects);
    } else if (auto Steward = Stewards.find(To); Steward != Stewards.end()) {
      membership &Members = Steward->second->Members;
      if (!Members.onMessage(Received, Now, Effects))
        Steward->second->Coordinator.onMessage(Received, Now, Members, Effects);
    }
    carryOut(To, Effects);
  }

  void append(const std::string &From, const append_record &Append) {
    if (LogUnavailable || chance(Faults.LoseAppend)) {
      later([this, From, Append] {
        if (auto Found = Stewards.find(From); Found != Stewards.end())
          Found->second->Coordinator.onAppendFailed(
              {Append.Call, platform_error::Unreachable}, Now, Random());
      });
      return;
    }
    // The append takes effect after one delay, and is answered after another.
    later([this, From, Append] {
      Log.push_back(encodeRecord(Append.Record));
      log_offset Offset{static_cast<int64_t>(Log.size())};
      if (chance(Faults.LoseAppendAnswer))
        return;
      later([this, From, Call = Append.Call, Offset] {
        if (auto Found = Stewards.find(From); Found != Stewards.end())
          Found->second->Coordinator.onAppendAnswered({Call, Offset}, Now);
      });
    });
  }
  void read(const std::string &From, const read_log &Read) {
    if (ReadsHang) {
      Actions.emplace(Now + step, [this, From, Read] { read(From, Read); });
      return;
    }
    if (LogUnavailable || chance(Faults.LoseRead)) {
      later([this, From] {
        if (auto Found = Stewards.find(From); Found != Stewards.end())
          Found->second->Follower.onFailure({std::string(claims_stream)}, Now,
                                            Random());
      });
      return;
    }
    later([this, From, Start = Read.From] {
      log_records_read Result;
      Result.Stream = std::string(claims_stream);
      Result.From = Start;
      Result.Horizon = log_offset{1};
      Result.End = log_offset{static_cast<int64_t>(Log.size()) + 1};
      for (int64_t Offset = Start.Value; Offset < Result.End.Value; ++Offset) {
        wire::stored_record Stored;
        Stored.Offset = Offset;
        Stored.Bytes = Log[static_cast<size_t>(Offset - 1)];
        Result.Records.push_back(std::move(Stored));
      }
      later([this, From, Result] {
        auto Found = Stewards.find(From);
        if (Found == Stewards.end() || isFrozen(From))
          return;
        effect_list Effects;
        Found->second->Follower.onRecords(Result, Now, Random(), Effects);
        carryOut(From, Effects);
      });
    });
  }
  void deliver() {
    while (!Actions.empty() && Actions.begin()->first <= Now) {
      std::function<void()> Action = std::move(Actions.begin()->second);
      Actions.erase(Actions.begin());
      Action();
    }
  }

  std::mt19937_64 Random;
  steady_time Now{std::chrono::hours(1)};
  wall_time Wall{std::chrono::hours(24 * 365 * 50)};
  int64_t LastIncarnation = 0;
  int64_t LastRequest = 0;
  int Breaches = 0;
  std::vector<address> Seeds;
  std::map<std::string, std::unique_ptr<entry>> Entries;
  std::map<std::string, std::unique_ptr<steward>> Stewards;
  std::vector<std::string> Log;
  std::multimap<steady_time, std::function<void()>> Actions;
  std::map<request_id, std::string> Keys;
  std::set<request_id> NeverReached;
  std::map<request_id, caller_result> Results;
  std::map<request_id, int> Decisions;
  std::map<std::string, int> Executions;
  std::set<request_id> Executed;
};

} // namespace monsoonreel

#endif // MONSOONREEL_TESTING_CLAIM_SITE_H
