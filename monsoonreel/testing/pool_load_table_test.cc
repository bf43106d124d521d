#include "monsoonreel/pool_load_table.h"

#include <set>

#include <gtest/gtest.h>

namespace monsoonreel {
namespace {

constexpr size_t owned_pools = 7;
constexpr size_t loads_per_message = 3;

// A node that owns more pools than fit in one message. Its own loads are
// replaced before each message.
class pool_load_table_test : public ::testing::Test {
protected:
  static wire::pool_load loadOf(const std::string &Pool,
                                const std::string &Owner) {
    wire::pool_load Load;
    Load.Pool = Pool;
    Load.Owner = Owner;
    return Load;
  }
  void setOwn(size_t Count) {
    std::vector<wire::pool_load> Own;
    for (size_t I = 0; I < Count; ++I)
      Own.push_back(loadOf("own" + std::to_string(I), "self"));
    Table.setOwn(Own, Now);
  }
  // Returns the pools whose loads are in the next Messages messages.
  std::set<std::string> sentPools(size_t Messages, size_t OwnCount) {
    std::set<std::string> Pools;
    for (size_t I = 0; I < Messages; ++I) {
      Now += std::chrono::milliseconds(200);
      setOwn(OwnCount);
      for (const wire::pool_load &Load : Table.pick(loads_per_message, Now))
        Pools.insert(Load.Pool);
    }
    return Pools;
  }

  steady_time Now{std::chrono::hours(1)};
  pool_load_table Table{"self"};
};

TEST_F(pool_load_table_test, OwnLoads_MoreThanFitAMessage_AreAllSentInTurn) {
  EXPECT_EQ(sentPools(3, owned_pools).size(), owned_pools);
}

TEST_F(pool_load_table_test, OwnLoads_SentAllTwice_TakesTwoRounds) {
  sentPools(3, owned_pools);
  EXPECT_EQ(sentPools(3, owned_pools).size(), owned_pools);
}

TEST_F(pool_load_table_test, OwnLoads_FitAMessage_AreInEachOne) {
  Table.merge({loadOf("other", "peer")}, Now);
  for (int Message = 0; Message < 3; ++Message)
    EXPECT_TRUE(sentPools(1, 2).contains("own1"));
  EXPECT_TRUE(sentPools(1, 2).contains("other"));
}

} // namespace
} // namespace monsoonreel
