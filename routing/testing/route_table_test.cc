#include "routing/route_table.h"

#include <chrono>
#include <map>
#include <string>

#include <gtest/gtest.h>

namespace monsoonreel {
namespace {

class route_table_test : public testing::Test {
protected:
  static host_route routeTo(std::string Name, std::string Host,
                            std::string Prefix) {
    host_route Route;
    Route.Name = std::move(Name);
    Route.Host = std::move(Host);
    Route.Prefix = std::move(Prefix);
    Route.Services = {{pool_name("chat"), 1}};
    return Route;
  }

  static std::string nameOf(const host_route *Route) {
    return Route ? Route->Name : "none";
  }

  site_config Config;
};

TEST_F(route_table_test, Path_SeveralPrefixesMatch_LongestWins) {
  Config.Routes = {routeTo("all", "a.example", "/"),
                   routeTo("chat", "a.example", "/chat/"),
                   routeTo("long", "a.example", "/chat/long/")};
  route_table Table(Config);
  EXPECT_EQ(nameOf(Table.find("a.example", "/chat/long/7")), "long");
  EXPECT_EQ(nameOf(Table.find("a.example", "/chat/7")), "chat");
  EXPECT_EQ(nameOf(Table.find("a.example", "/chat")), "all");
  EXPECT_EQ(nameOf(Table.find("a.example", "/")), "all");
}

TEST_F(route_table_test, Path_NoPrefixOfItsHost_FindsNothing) {
  Config.Routes = {routeTo("chat", "a.example", "/chat/")};
  route_table Table(Config);
  EXPECT_EQ(Table.find("a.example", "/chatter/7"), nullptr);
  EXPECT_EQ(Table.find("b.example", "/chat/7"), nullptr);
  EXPECT_EQ(Table.find("a.example", ""), nullptr);
}

TEST_F(route_table_test, Key_HeldByOrganisation_FindsIt) {
  organisation_terms Terms;
  Terms.Name = organisation_name("kitchen-1");
  Terms.Keys = {key_hash("one"), key_hash("two")};
  Config.Organisations = {Terms};
  route_table Table(Config);
  ASSERT_NE(Table.organisationOf(key_hash("two")), nullptr);
  EXPECT_EQ(Table.organisationOf(key_hash("two"))->Name.Value, "kitchen-1");
  EXPECT_EQ(Table.organisationOf(key_hash("three")), nullptr);
}

TEST_F(route_table_test, Ranks_OfAnEngine_OnlyCountRoutesThatLeadToIt) {
  Config.Routes = {routeTo("chat", "a.example", "/"),
                   routeTo("batch", "b.example", "/"),
                   routeTo("desk", "c.example", "/")};
  Config.Routes[1].Rank = 1;
  Config.Routes[2].Rank = 7;
  Config.Routes[2].Services = {{pool_name("desk"), 1}};
  service Chat;
  Chat.Name = pool_name("chat");
  Chat.Engine = engine_terms{.Ranks = 10};
  service Desk;
  Desk.Name = pool_name("desk");
  Config.Services = {Chat, Desk};
  route_table Table(Config);
  ASSERT_NE(Table.ranksAt(Chat.Name), nullptr);
  EXPECT_EQ(Table.ranksAt(Chat.Name)->toText(), "0/0,0/1,1/0,1/1");
  EXPECT_EQ(Table.ranksAt(Desk.Name), nullptr);
}

TEST_F(route_table_test, Service_SplitByWeight_GetsItsPart) {
  host_route Route = routeTo("split", "a.example", "/");
  Route.Services = {{pool_name("old"), 90}, {pool_name("new"), 10}};
  std::map<std::string, int> Chosen;
  for (uint64_t Draw = 0; Draw < 1000; ++Draw)
    ++Chosen[route_table::chooseService(Route, Draw)->Value];
  EXPECT_EQ(Chosen["old"], 900);
  EXPECT_EQ(Chosen["new"], 100);
}

TEST_F(route_table_test, Service_AllWeightsZero_FirstIsChosen) {
  host_route Route = routeTo("split", "a.example", "/");
  Route.Services = {{pool_name("old"), 0}, {pool_name("new"), 0}};
  EXPECT_EQ(route_table::chooseService(Route, 7)->Value, "old");
  Route.Services.clear();
  EXPECT_EQ(route_table::chooseService(Route, 7), nullptr);
}

// The required bound: 1,000 routes are replaced within 5 ms of processor time.
TEST_F(route_table_test, Table_ThousandRoutes_IsBuiltWithinItsBound) {
  for (int I = 0; I < 1000; ++I)
    Config.Routes.push_back(routeTo("r" + std::to_string(I), "a.example",
                                    "/p" + std::to_string(I) + "/"));
  std::clock_t Before = std::clock();
  route_table Table(Config);
  [[maybe_unused]] double Seconds =
      static_cast<double>(std::clock() - Before) / CLOCKS_PER_SEC;
  EXPECT_EQ(nameOf(Table.find("a.example", "/p999/x")), "r999");
#ifdef __OPTIMIZE__
#ifndef __SANITIZE_ADDRESS__
  EXPECT_LT(Seconds, 0.005);
#endif
#endif
}

} // namespace
} // namespace monsoonreel
