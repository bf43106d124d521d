// Tests of membership in a full-size site whose nodes all start at once, and
// which loses a zone or has one partitioned.

#include "monsoonreel/membership.h"

#include <gtest/gtest.h>

#include "monsoonreel/testing/member_network.h"

namespace monsoonreel {
namespace {

using std::chrono::seconds;

constexpr int node_count = 330;
constexpr int zone_count = 7;
// Time within which all nodes must detect the loss or the return of a zone.
constexpr duration zone_known_within = seconds(30);

// Long enough for most nodes to consider the other side dead.
constexpr duration cut_time = seconds(20);

// A site whose nodes know only the first node.
class membership_start_test : public ::testing::Test {
protected:
  void SetUp() override {
    for (int Index = 0; Index < node_count; ++Index)
      Network.add(nameOf(Index), "zone-" + std::to_string(Index % zone_count));
  }
  static std::string nameOf(int Index) {
    return "entry-" + std::to_string(Index);
  }

  member_network Network;
};

// Time within which all nodes must know each other.
constexpr duration start_known_within = seconds(60);

TEST_F(membership_start_test, AllAtOnce_After60s_KnowEachOther) {
  Network.run(start_known_within);
  int Lacking = 0;
  for (int Index = 0; Index < node_count; ++Index)
    Lacking += Network.node(nameOf(Index)).liveCount() < node_count ? 1 : 0;
  EXPECT_EQ(Lacking, 0);
}

class membership_zone_test : public membership_start_test {
protected:
  void SetUp() override {
    membership_start_test::SetUp();
    Network.introduceAll();
    Network.run(seconds(10));
  }
  static bool isOfLostZone(int Index) { return Index % zone_count == 0; }
  template <typename T> static void forEachLostAndOther(T Function) {
    for (int Lost = 0; Lost < node_count; Lost += zone_count)
      for (int Other = 0; Other < node_count; ++Other)
        if (!isOfLostZone(Other))
          Function(nameOf(Lost), nameOf(Other));
  }
  size_t bytesOfOthers() {
    size_t Bytes = 0;
    for (int Index = 0; Index < node_count; ++Index)
      if (!isOfLostZone(Index))
        Bytes += Network.bytesSentBy(nameOf(Index)) +
                 Network.bytesReceivedBy(nameOf(Index));
    return Bytes;
  }
};

TEST_F(membership_zone_test, LostZone_After30s_IsDeadForAllOthers) {
  for (int Index = 0; Index < node_count; Index += zone_count)
    Network.stop(nameOf(Index));
  size_t Before = bytesOfOthers();
  Network.run(zone_known_within);
  int Missed = 0;
  forEachLostAndOther([&](const std::string &Lost, const std::string &Other) {
    Missed += Network.stateOf(Other, Lost) == wire::member_state::Dead ? 0 : 1;
  });
  EXPECT_EQ(Missed, 0);
  // Half of the bandwidth that a node may use for all control traffic.
  constexpr size_t OtherCount = node_count - (node_count / zone_count + 1);
  constexpr size_t MaxBytesPerSecond = 1500;
  EXPECT_LT((bytesOfOthers() - Before) / OtherCount,
            MaxBytesPerSecond *
                static_cast<size_t>(zone_known_within / seconds(1)));
}

TEST_F(membership_zone_test, CutOffZone_30sAfterHealing_AllLive) {
  forEachLostAndOther([&](const std::string &Lost, const std::string &Other) {
    Network.cut(Lost, Other);
  });
  Network.run(cut_time);
  EXPECT_EQ(Network.stateOf(nameOf(1), nameOf(0)), wire::member_state::Dead);
  Network.healAll();
  Network.run(zone_known_within);
  int Missed = 0;
  forEachLostAndOther([&](const std::string &Lost, const std::string &Other) {
    for (auto [Viewer, Seen] : {std::pair(Lost, Other), std::pair(Other, Lost)})
      Missed +=
          Network.stateOf(Viewer, Seen) == wire::member_state::Alive ? 0 : 1;
  });
  EXPECT_EQ(Missed, 0);
}

} // namespace
} // namespace monsoonreel
