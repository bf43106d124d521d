#include <gtest/gtest.h>

#include "standins/fault_switch.h"
#include "standins/platform_log.h"
#include "standins/platform_records.h"

namespace monsoonreel::standin {
namespace {

using std::chrono::seconds;
using append_status = append_result::status;

class platform_test : public ::testing::Test {
protected:
  steady_time Now{};
};

TEST_F(platform_test, Log_TwoStreams_HaveOffsetsOfTheirOwn) {
  platform_log Log({});
  EXPECT_EQ(Log.append("a", "1", Now).Offset, 1);
  EXPECT_EQ(Log.append("b", "2", Now).Offset, 1);
  EXPECT_EQ(Log.append("a", "3", Now).Offset, 2);
  log_slice Slice = Log.read("a", 2, 10, Now);
  ASSERT_EQ(Slice.Records.size(), 1U);
  EXPECT_EQ(Slice.Records[0].Bytes, "3");
  EXPECT_EQ(Slice.End, 3);
}

TEST_F(platform_test, Log_OldRecord_IsDroppedAndOffsetsGoOn) {
  log_limits Limits;
  Limits.Retention = seconds(10);
  platform_log Log(Limits);
  Log.append("a", "1", Now);
  Log.append("a", "2", Now + seconds(8));
  log_slice Slice = Log.read("a", 1, 10, Now + seconds(11));
  EXPECT_EQ(Slice.Horizon, 2);
  ASSERT_EQ(Slice.Records.size(), 1U);
  EXPECT_EQ(Slice.Records[0].Offset, 2);
  EXPECT_EQ(Log.append("a", "3", Now + seconds(30)).Offset, 3);
  EXPECT_EQ(Log.read("a", 1, 10, Now + seconds(30)).Horizon, 3);
}

TEST_F(platform_test, Log_OverRate_RefusesAndKeepsNothing) {
  log_limits Limits;
  Limits.AppendsPerSecond = 2;
  platform_log Log(Limits);
  EXPECT_EQ(Log.append("a", "1", Now).Status, append_status::Appended);
  EXPECT_EQ(Log.append("a", "2", Now).Status, append_status::Appended);
  EXPECT_EQ(Log.append("a", "3", Now).Status, append_status::OverRate);
  EXPECT_EQ(Log.read("a", 1, 10, Now).End, 3);
  EXPECT_EQ(Log.append("a", "3", Now + seconds(1)).Offset, 3);
}

TEST_F(platform_test, Usage_WindowTwiceWithOtherFigures_IsAConflict) {
  usage_reports Reports(true);
  EXPECT_EQ(Reports.take({1, 5, "x"}), acceptance::Taken);
  EXPECT_EQ(Reports.take({1, 5, "x"}), acceptance::Repeated);
  EXPECT_EQ(Reports.take({1, 6, "y"}), acceptance::Repeated);
  EXPECT_EQ(Reports.conflicts(), 1);
  EXPECT_EQ(Reports.take({2, 5, "z"}), acceptance::OldFence);
  EXPECT_EQ(Reports.windows().count(2), 0U);
}

TEST_F(platform_test, Order_OldFence_TakesEffectOnlyWithoutTheCheck) {
  for (bool Checks : {true, false}) {
    order_book Orders(Checks);
    Orders.take({"a", "north", 9, "start", "m", 1});
    Orders.take({"b", "north", 8, "start", "m", 1});
    Orders.take({"c", "south", 1, "start", "m", 1});
    Orders.take({"c", "south", 1, "start", "m", 1});
    EXPECT_EQ(Orders.effective().size(), Checks ? 2U : 3U);
    EXPECT_EQ(Orders.oldFences(), 1);
    EXPECT_EQ(Orders.repeats(), 1);
  }
}

TEST_F(platform_test, VmList_Change_ShowsAfterTheLag) {
  vm_list Vms(seconds(5));
  Vms.set({{"e1", "north", "127.0.0.1:1", false}}, Now);
  Vms.markLeaving("north", Now + seconds(1));
  EXPECT_FALSE(Vms.shown(Now + seconds(5)).at(0).Leaving);
  EXPECT_TRUE(Vms.shown(Now + seconds(6)).at(0).Leaving);
}

TEST_F(platform_test, Faults_SeveralKinds_AddUpUntilNone) {
  fault_switch Faults;
  Faults.apply(*parseFault(R"({"kind":"slow","factor":4})"));
  Faults.apply(
      *parseFault(R"({"kind":"lose-answer","count":1,"path":"/log"})"));
  EXPECT_FALSE(Faults.losesAnswer("/usage"));
  EXPECT_TRUE(Faults.losesAnswer("/log/a/records"));
  EXPECT_FALSE(Faults.losesAnswer("/log/a/records"));
  EXPECT_EQ(Faults.slowFactor(), 4.0);
  Faults.apply(*parseFault(R"({"kind":"none"})"));
  EXPECT_EQ(Faults.slowFactor(), 1.0);
  EXPECT_FALSE(parseFault(R"({"kind":"flood"})"));
}

} // namespace
} // namespace monsoonreel::standin
