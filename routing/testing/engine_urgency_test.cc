// Requests of several organisations and routes at an engine whose slots are
// taken. The simulated engine schedules as real ones are documented to: a more
// urgent request is admitted first and preempts the newest of the least urgent
// ones.

#include <algorithm>
#include <utility>
#include <vector>

#include "routing/testing/request_router_fixture.h"

namespace monsoonreel {
namespace {

struct engine_run {
  int Rank = 0;                   // as sent to the engine
  std::pair<int, int> Priorities; // of the organisation, then of the route
};

class full_engine {
public:
  explicit full_engine(size_t Slots) : Slots(Slots) {}

  void take(const engine_run &New) {
    if (Running.size() < Slots)
      return Running.push_back(New);
    // Among equal ranks the last one is the newest.
    auto Victim = Running.begin();
    for (auto It = Running.begin(); It != Running.end(); ++It)
      if (It->Rank >= Victim->Rank)
        Victim = It;
    if (Victim->Rank <= New.Rank)
      return;
    engine_run Preempted = *Victim;
    Running.erase(Victim);
    PreemptedRuns.push_back(Preempted);
    PreemptedWrongly += std::any_of(
        Running.begin(), Running.end(), [&](const engine_run &Each) {
          return Each.Priorities > Preempted.Priorities;
        });
    Running.push_back(New);
  }

  std::vector<engine_run> PreemptedRuns;
  // Number of requests that were preempted while a less urgent one kept
  // running.
  int PreemptedWrongly = 0;

private:
  size_t Slots;
  std::vector<engine_run> Running;
};

class engine_urgency_test : public request_router_test {
protected:
  engine_urgency_test() {
    Config.Services.front().Engine = engine_terms{.Slots = 4, .Ranks = 10};
    Config.Routes.clear();
    addRoute("/chat/", repeat_kind::Stream, 1);
    addRoute("/draft/", repeat_kind::Stream, 1);
    Config.Routes.back().Rank = 1;
    addOrganisation("guests", 1);
    addOrganisation("buyers", 0);
  }

  void addOrganisation(const char *Name, int Rank) {
    organisation_terms Terms;
    Terms.Name = organisation_name(Name);
    Terms.Keys = {key_hash(Name)};
    Terms.Rank = Rank;
    Config.Organisations.push_back(Terms);
  }

  // Organisation is also the key.
  engine_run runOf(const char *Path, const char *Organisation) {
    arrive(Path, Organisation, 3000ms, prompt_info{});
    return {one<route_dispatch>().Rank,
            {Table->organisationOf(key_hash(Organisation))->Rank.value_or(0),
             Table->find("h", Path)->Rank}};
  }
};

TEST_F(engine_urgency_test,
       OrganisationsOfOneRank_SlotsTaken_UrgentRouteIsNotPreemptedFirst) {
  full_engine Engine(4);
  for (const char *Path : {"/draft/", "/chat/", "/draft/", "/chat/"})
    Engine.take(runOf(Path, "guests"));
  for (int I = 0; I < 2; ++I)
    Engine.take(runOf("/chat/", "buyers"));
  EXPECT_EQ(Engine.PreemptedRuns.size(), 2u);
  EXPECT_EQ(Engine.PreemptedWrongly, 0);
}

TEST_F(engine_urgency_test, Organisation_MoreUrgent_GoesBeforeAnyRoute) {
  EXPECT_LT(runOf("/draft/", "buyers").Rank, runOf("/chat/", "guests").Rank);
}

TEST_F(engine_urgency_test, Dispatch_ToEngine_LogsUrgencyAndRank) {
  runOf("/draft/", "guests");
  EXPECT_NE(one<log_line>().Text.find(" urgency=1/1 rank=3 "),
            std::string::npos);
}

} // namespace
} // namespace monsoonreel
