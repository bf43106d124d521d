#include "monsoonreel/testing/fake_site.h"

#include <algorithm>
#include <cmath>

#include <boost/random/exponential_distribution.hpp>
#include <boost/random/lognormal_distribution.hpp>
#include <boost/random/uniform_int_distribution.hpp>
#include <boost/random/uniform_real_distribution.hpp>

namespace monsoonreel {

namespace {

// The classes of requests, with the tokens of the prompt, the mean tokens of
// the output, the share of the arrivals, and the deadline.
struct traffic {
  const char *Class;
  int PromptTokens;
  double OutputTokens;
  double Fraction;
  duration Deadline;
};
constexpr traffic Traffics[] = {
    {"chat", 300, 80, 0.35, std::chrono::seconds(10)},
    {"draft", 1200, 160, 0.25, std::chrono::seconds(20)},
    {"summary", 800, 120, 0.25, std::chrono::seconds(30)},
    {"batch", 600, 160, 0.15, std::chrono::seconds(60)},
};
constexpr double output_sigma = 0.6;
constexpr duration tick_interval = std::chrono::milliseconds(20);
constexpr duration silence_timeout = std::chrono::seconds(3);
constexpr duration gossip_interval = std::chrono::seconds(1);
// One large organisation sends this share of all requests.
constexpr double large_fraction = 0.4;

const traffic &trafficOf(const class_name &Class) {
  return *std::find_if(
      std::begin(Traffics), std::end(Traffics),
      [&](const traffic &T) { return T.Class == Class.Value; });
}

service_class makeClass(const char *Name, int Tier, duration Target,
                        double Share) {
  service_class Class;
  Class.Name = class_name(Name);
  Class.Tier = tier{Tier};
  Class.FirstTokenTarget = Target;
  Class.BetweenTokensTarget = std::chrono::milliseconds(61);
  Class.MinimumShare = Share;
  return Class;
}

} // namespace

struct fake_site::request {
  slot_request Slot;
  int OutputTokens = 0;
  int Made = 0; // tokens that the caller has received
  steady_time ArrivedAt;
  steady_time DispatchedAt;
  size_t Entry = 0;
  std::string Engine;
  bool HasFirst = false;
  duration FirstToken{};
};

struct fake_site::entry {
  slot_client Client;
  slot_peer Peer;
  // Requests in flight and reported load by engine, for the policy "alone".
  std::map<std::string, int> InFlight;
  std::map<std::string, int> Reported;
};

double site_result::goodput() const {
  int Met = 0;
  for (const auto &[Name, Count] : Classes)
    Met += Count.Met;
  return Met / std::chrono::duration<double>(Length).count();
}

double site_result::worstOrganisation() const {
  constexpr int Enough = 20; // fewer requests are not significant
  double Worst = 1;
  for (const auto &[Pair, Count] : Pairs) {
    double Mean = Classes.at(Pair.first).attainment();
    if (Count.Offered >= Enough && Mean > 0)
      Worst = std::min(Worst, Count.attainment() / Mean);
  }
  return Worst;
}

configuration siteConfiguration(const site_options &Options) {
  using std::chrono::milliseconds;
  configuration Configuration;
  for (const service_class &Class :
       {makeClass("chat", 0, milliseconds(350), 0.2),
        makeClass("draft", 1, milliseconds(1000), 0.1),
        makeClass("summary", 2, milliseconds(3000), 0.05),
        makeClass("batch", 3, milliseconds(20000), 0.05)})
    Configuration.Classes[Class.Name] = Class;
  for (int I = 0; I < Options.Organisations; ++I) {
    organisation Organisation;
    Organisation.Name = organisation_name("org" + std::to_string(I));
    if (I == 0 && Options.WeighLarge)
      Organisation.Weight =
          large_fraction / (1 - large_fraction) * (Options.Organisations - 1);
    Configuration.Organisations[Organisation.Name] = Organisation;
  }
  for (int I = 0; I < Options.Engines; ++I) {
    upstream Engine;
    Engine.Name = upstream_name("e" + std::to_string(I));
    Engine.Pool = pool_name("model");
    Engine.Zone = zone_name("norte");
    Engine.Concurrency = Options.Concurrency;
    Configuration.Upstreams[Engine.Name] = Engine;
  }
  return Configuration;
}

fake_site::fake_site(site_options SiteOptions)
    : Options(std::move(SiteOptions)),
      Configuration(siteConfiguration(Options)), Now(std::chrono::hours(1)),
      Start(Now), Draws(Options.Seed) {
  bool Alone = Options.Policy == "alone";
  std::vector<slot_peer> Peers;
  Peers.reserve(Options.Entries);
  for (int I = 0; I < Options.Entries; ++I)
    Peers.push_back({node_name("n" + std::to_string(I)),
                     address(std::to_string(I)), zone_name("norte")});
  for (const auto &[Name, Member] : Configuration.Upstreams)
    Engines[Name.Value] = std::make_unique<fake_engine>(
        Options.Concurrency, [this](duration Delay, std::function<void()> Run) {
          after(Delay, std::move(Run));
        });
  for (const slot_peer &Peer : Peers) {
    node_identity Self{Peer.Name, Peer.Zone, Peer.Address, incarnation{77}};
    auto Client = slot_client::builder()
                      .self(Self)
                      .policy(Alone ? "tiered" : Options.Policy)
                      .build();
    effect_list Effects;
    slot_outcome_list Outcomes;
    Client.setConfiguration(Configuration, Now, Effects, Outcomes);
    Client.setPeers(Peers);
    Entries.push_back(
        std::make_unique<entry>(entry{std::move(Client), Peer, {}, {}}));
  }
}

fake_site::~fake_site() = default;

void fake_site::after(duration Delay, std::function<void()> Run) {
  Pending.push({Now + Delay, ++LastOrder, std::move(Run)});
}

double fake_site::capacity() const {
  double Gap = std::chrono::duration<double>(decode_token).count() *
               (1 + batch_slowdown * Options.Concurrency);
  double Hold = 0;
  for (const traffic &T : Traffics)
    Hold +=
        T.Fraction *
        (T.OutputTokens * Gap +
         T.PromptTokens * std::chrono::duration<double>(prefill_token).count());
  return Options.Engines * Options.Concurrency / Hold;
}

void fake_site::scheduleArrival(const class_name &Class) {
  double Rate = capacity() * Options.Load * trafficOf(Class).Fraction;
  duration Since = Now - Start;
  if (Class == Options.BurstClass && Since >= Options.BurstFrom &&
      Since < Options.BurstTo)
    Rate *= Options.BurstFactor;
  boost::random::exponential_distribution<double> Gap(Rate);
  auto Delay = std::chrono::duration_cast<duration>(
      std::chrono::duration<double>(Gap(Arrivals[Class.Value])));
  after(Delay, [this, Class] {
    if (Now < End)
      arrive(Class);
  });
}

void fake_site::arrive(const class_name &Class) {
  const traffic &Traffic = trafficOf(Class);
  boost::random::mt19937_64 &Random = Arrivals[Class.Value];
  auto Request = std::make_unique<request>();
  slot_request &Slot = Request->Slot;
  Slot.Request = request_id{++LastRequest};
  Slot.Pool = pool_name("model");
  Slot.Class = Class;
  Slot.Tier = Configuration.Classes.at(Class).Tier;
  boost::random::uniform_real_distribution<double> Fraction(0, 1);
  boost::random::uniform_int_distribution<int> Small(
      1, std::max(1, Options.Organisations - 1));
  bool Large = Fraction(Random) < large_fraction;
  Slot.Organisation =
      organisation_name("org" + std::to_string(Large ? 0 : Small(Random)));
  Slot.Target = Now + Configuration.Classes.at(Class).FirstTokenTarget;
  Slot.WaitDeadline = Now + Traffic.Deadline;
  Slot.PromptTokens = Traffic.PromptTokens;
  Slot.Idempotent = true;
  double Mu = std::log(Traffic.OutputTokens) - output_sigma * output_sigma / 2;
  boost::random::lognormal_distribution<double> Length(Mu, output_sigma);
  Request->OutputTokens = std::max(1, static_cast<int>(Length(Random)));
  Request->ArrivedAt = Now;
  boost::random::uniform_int_distribution<size_t> Entry(0, Entries.size() - 1);
  Request->Entry = Entry(Random);
  request &Kept = *Request;
  int64_t Id = Slot.Request.Value;
  Requests[Id] = std::move(Request);
  count(Kept, [](served_count &Count) { ++Count.Offered; });
  after(Traffic.Deadline, [this, Id] {
    auto Late = Requests.find(Id);
    if (Late != Requests.end())
      giveUp(*Late->second);
  });
  begin(Kept);
  scheduleArrival(Class);
}

void fake_site::begin(request &Request) {
  if (Options.Policy == "alone") {
    beginAlone(Request);
    return;
  }
  entry &Entry = *Entries[Request.Entry];
  effect_list Effects;
  slot_outcome_list Outcomes;
  Entry.Client.ask(Request.Slot, Now, Draws(), Effects, Outcomes);
  carryOut(Entry, std::move(Effects), Outcomes);
}

void fake_site::beginAlone(request &Request) {
  entry &Entry = *Entries[Request.Entry];
  boost::random::uniform_int_distribution<int> Any(0, Options.Engines - 1);
  auto Load = [&](const std::string &Name) {
    return Entry.Reported[Name] + Entry.InFlight[Name];
  };
  std::string First = "e" + std::to_string(Any(Draws));
  std::string Second = "e" + std::to_string(Any(Draws));
  const std::string &Engine = Load(First) <= Load(Second) ? First : Second;
  ++Entry.InFlight[Engine];
  dispatch(Entry, Request, Engine);
}

void fake_site::giveUp(request &Request) {
  entry &Entry = *Entries[Request.Entry];
  if (!Request.Engine.empty()) {
    int Made =
        Engines.at(Request.Engine)->cancel(Request.Slot.Request.Value, Now);
    Result.TokensMade += Made;
    Result.TokensWasted += Made + Request.Made;
    slot_report Report;
    Report.Result = wire::slot_result::Cancelled;
    Report.Total = Now - Request.DispatchedAt;
    release(Entry, Request, Report);
  } else if (Options.Policy != "alone") {
    // The request waits for a slot, and may have been preempted before.
    Result.TokensWasted += Request.Made;
    effect_list Effects;
    slot_outcome_list Outcomes;
    Entry.Client.cancel(Request.Slot.Request, Now, Effects, Outcomes);
    carryOut(Entry, std::move(Effects), Outcomes);
  }
  Requests.erase(Request.Slot.Request.Value);
}

void fake_site::carryOut(entry &Entry, effect_list Effects,
                         const slot_outcome_list &Outcomes) {
  for (effect &Effect : Effects) {
    if (auto *Send = std::get_if<send_message>(&Effect)) {
      entry *To = Entries[std::stoul(Send->ToAddress.Value)].get();
      after(Options.NetworkDelay,
            [this, To, From = Entry.Peer, Message = std::move(Send->Message)] {
              effect_list Next;
              slot_outcome_list NextOutcomes;
              To->Client.onMessage(From.Name, From.Address, Message, Now, Next,
                                   NextOutcomes);
              carryOut(*To, std::move(Next), NextOutcomes);
            });
    } else if (auto *Poll = std::get_if<poll_load>(&Effect)) {
      poll(Entry, Poll->Upstream);
    } else if (std::holds_alternative<report_breach>(Effect)) {
      ++Result.Breaches;
    }
  }
  for (const slot_outcome &Outcome : Outcomes)
    onOutcome(Entry, Outcome);
}

void fake_site::poll(entry &Entry, const upstream_name &Engine) {
  load_report Report;
  Report.Upstream = Engine;
  Report.Running = Engines.at(Engine.Value)->running();
  Report.Waiting = Engines.at(Engine.Value)->waiting();
  Report.Age = Options.ReportLag;
  after(Options.ReportLag, [this, To = &Entry, Report] {
    if (Options.Policy == "alone") {
      int Total = Report.Running + Report.Waiting;
      // The entry's own requests are counted in InFlight.
      To->Reported[Report.Upstream.Value] =
          std::max(0, Total - To->InFlight[Report.Upstream.Value]);
      return;
    }
    effect_list Effects;
    slot_outcome_list Outcomes;
    To->Client.onLoadReport(Report, Now, Effects, Outcomes);
    carryOut(*To, std::move(Effects), Outcomes);
  });
}

void fake_site::onOutcome(entry &Entry, const slot_outcome &Outcome) {
  if (const auto *Granted = std::get_if<slot_granted>(&Outcome)) {
    auto Found = Requests.find(Granted->Request.Value);
    if (Found != Requests.end())
      dispatch(Entry, *Found->second, Granted->Upstream.Value);
  } else if (const auto *Refused = std::get_if<slot_refused>(&Outcome)) {
    auto Found = Requests.find(Refused->Request.Value);
    if (Found == Requests.end())
      return;
    const request &Request = *Found->second;
    duration Waited = Now - Request.ArrivedAt;
    if (Request.Made == 0)
      count(Request, [&](served_count &Count) {
        ++Count.Refused;
        Count.RefusalMicros += toMicros(Waited);
      });
    else
      Result.TokensWasted += Request.Made;
    Requests.erase(Found);
  } else if (const auto *Preempted = std::get_if<slot_preempted>(&Outcome)) {
    auto Found = Requests.find(Preempted->Request.Value);
    if (Found == Requests.end())
      return;
    request &Request = *Found->second;
    int Made =
        Engines.at(Request.Engine)->cancel(Request.Slot.Request.Value, Now);
    Result.TokensMade += Made;
    Request.Made += Made;
    Request.Engine.clear();
    Request.Slot.Resumed = true;
    slot_report Report;
    Report.Result = wire::slot_result::Cancelled;
    Report.Total = Now - Request.DispatchedAt;
    release(Entry, Request, Report);
    begin(Request);
  }
}

void fake_site::dispatch(entry &Entry, request &Request,
                         const std::string &Engine) {
  Request.Engine = Engine;
  Request.DispatchedAt = Now;
  engine_work Work;
  Work.Priority = static_cast<int>(Request.Slot.Tier.Value);
  Work.PromptTokens = Request.Slot.PromptTokens + Request.Made;
  Work.OutputTokens = std::max(1, Request.OutputTokens - Request.Made);
  Work.HasFirst = Request.HasFirst;
  int64_t Id = Request.Slot.Request.Value;
  steady_time Dispatched = Now;
  Engines.at(Engine)->start(
      Id, Work, Now, [this, Id] { onFirstToken(*Requests.at(Id)); },
      [this, Id, E = &Entry](int Tokens) {
        request &Ended = *Requests.at(Id);
        slot_report Report;
        Report.FirstToken = Ended.FirstToken;
        Report.Total = Now - Ended.DispatchedAt;
        Report.OutputTokens = Tokens;
        Result.TokensMade += Tokens;
        onEnd(*E, Ended, Report);
      });
  after(silence_timeout, [this, Id, Dispatched, E = &Entry] {
    auto Found = Requests.find(Id);
    if (Found == Requests.end() || Found->second->HasFirst ||
        Found->second->DispatchedAt != Dispatched ||
        Found->second->Engine.empty() || Options.Policy == "alone")
      return;
    request &Silent = *Found->second;
    Engines.at(Silent.Engine)->cancel(Id, Now);
    Silent.Slot.Excluded.emplace_back(Silent.Engine);
    Silent.Engine.clear();
    slot_report Report;
    Report.Result = wire::slot_result::Silent;
    release(*E, Silent, Report);
    begin(Silent);
  });
}

void fake_site::onFirstToken(request &Request) {
  Request.HasFirst = true;
  Request.FirstToken = Now - Request.DispatchedAt;
  if (Now <= Request.Slot.Target)
    count(Request, [](served_count &Count) { ++Count.Met; });
}

void fake_site::onEnd(entry &Entry, request &Request, slot_report Report) {
  count(Request, [](served_count &Count) { ++Count.Served; });
  std::unique_ptr<fake_site::request> Ended =
      std::move(Requests.at(Request.Slot.Request.Value));
  Requests.erase(Ended->Slot.Request.Value);
  release(Entry, *Ended, Report);
}

void fake_site::release(entry &Entry, const request &Request,
                        const slot_report &Report) {
  if (Options.Policy == "alone") {
    --Entry.InFlight[Request.Engine];
    return;
  }
  effect_list Effects;
  slot_outcome_list Outcomes;
  Entry.Client.release(Request.Slot.Request, Report, Now, Effects, Outcomes);
  carryOut(Entry, std::move(Effects), Outcomes);
}

void fake_site::count(const request &Request,
                      const std::function<void(served_count &)> &Change) {
  Change(Result.Classes[Request.Slot.Class.Value]);
  Change(Result.Pairs[{Request.Slot.Class.Value,
                       Request.Slot.Organisation.Value}]);
}

void fake_site::tick(entry &Entry) {
  effect_list Effects;
  slot_outcome_list Outcomes;
  if (Options.Policy != "alone")
    Entry.Client.onTick(Now, Draws(), Effects, Outcomes);
  carryOut(Entry, std::move(Effects), Outcomes);
  if (Now < End)
    after(tick_interval, [this, E = &Entry] { tick(*E); });
}

site_result fake_site::run(duration Length) {
  End = Start + Length;
  Result.Length = Length;
  uint64_t Stream = Options.Seed;
  for (const traffic &Traffic : Traffics) {
    Arrivals[Traffic.Class].seed(++Stream * 1000003);
    scheduleArrival(class_name(Traffic.Class));
  }
  for (auto &Entry : Entries)
    tick(*Entry);
  std::function<void()> Gossip = [&] {
    std::vector<wire::pool_load> Loads;
    for (auto &Entry : Entries)
      for (const wire::pool_load &Load : Entry->Client.loads(Now))
        Loads.push_back(Load);
    for (auto &Entry : Entries) {
      Entry->Client.onLoads(Loads, Now);
      if (Options.Policy == "alone")
        for (const auto &[Name, Engine] : Engines)
          poll(*Entry, upstream_name(Name));
    }
    if (Now < End)
      after(gossip_interval, Gossip);
  };
  Gossip();
  if (Options.FaultyEngine >= 0)
    after(Options.FaultAt, [&] {
      fake_engine &Engine =
          *Engines.at("e" + std::to_string(Options.FaultyEngine));
      Engine.setSlowness(Options.Slowness);
      if (Options.Silent)
        Engine.setSilent();
    });
  while (!Pending.empty()) {
    timed Next = Pending.top();
    Pending.pop();
    Now = Next.At;
    Next.Run();
  }
  return Result;
}

} // namespace monsoonreel
