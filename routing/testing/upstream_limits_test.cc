#include "routing/upstream_limits.h"

#include <limits>
#include <map>
#include <numeric>

#include <gtest/gtest.h>

#include "routing/site_bounds.h"
#include "routing/testing/test_time.h"

namespace monsoonreel {
namespace {

using namespace std::chrono_literals;

// Limits of several entries that know each other.
class upstream_limits_test : public testing::Test {
protected:
  void startEntries(int Count) {
    for (int I = 0; I < Count; ++I)
      Entries.emplace_back("e" + std::to_string(I));
    for (int I = 0; I < Count; ++I) {
      std::vector<std::string> Others;
      for (int J = 0; J < Count; ++J)
        if (J != I)
          Others.push_back("e" + std::to_string(J));
      Entries[I].setEntries(Others, at(0ms));
      Entries[I].onTick(at(0ms), wall_time(0ms));
    }
  }
  void limit(std::optional<double> PerSecond, duration Now) {
    for (upstream_limits &Entry : Entries)
      Entry.onAnswer(Upstream, PerSecond, at(Now), at(Now));
  }
  // Sends as many requests as all entries may, every 10 ms.
  int sendUntil(duration From, duration End) {
    int Sent = 0;
    for (duration Now = From; Now < End; Now += 10ms)
      for (upstream_limits &Entry : Entries) {
        Entry.onTick(at(Now), wall_time(Now));
        for (; Entry.maySend(Upstream, at(Now)); ++Sent)
          Entry.onSent(Upstream, at(Now));
      }
    return Sent;
  }
  wire::upstream_limit report(std::optional<double> PerSecond, duration Age) {
    wire::upstream_limit Report;
    Report.Upstream = Upstream.Value;
    if (PerSecond)
      Report.__set_PerSecond(*PerSecond);
    Report.AgeMicros = toMicros(Age);
    return Report;
  }

  upstream_name Upstream{"u"};
  std::vector<upstream_limits> Entries;
};

TEST_F(upstream_limits_test, Limit_OfAnySize_IsKeptAndUsedByAnyNumber) {
  for (int Count : {1, 2, 8, 60, 295})
    for (double Limit : {0.5, 1.0, 1.7, 3.0, 12.0, 250.0, 4000.0}) {
      Entries.clear();
      startEntries(Count);
      limit(Limit, 0ms);
      sendUntil(0ms, 5s);
      int Sent = sendUntil(5s, 9s);
      EXPECT_LE(Sent, 4 * Limit + std::max(1.0, Limit))
          << Count << " entries, limit " << Limit;
      // Tokens become available at multiples of 10 ms only.
      EXPECT_GE(Sent, 3.5 * Limit - 1) << Count << " entries, limit " << Limit;
    }
}

TEST_F(upstream_limits_test, Limit_New_StartsWithoutABurst) {
  startEntries(60);
  limit(30, 0ms);
  EXPECT_EQ(sendUntil(0ms, 500ms), 0);
  EXPECT_LE(sendUntil(500ms, 1s), 30);
}

TEST_F(upstream_limits_test, Shares_ChangeEntries_LimitIsKept) {
  startEntries(8);
  limit(1, 0ms);
  for (duration Now = 0ms; Now < 60s; Now += 4s) {
    limit(1, Now);
    EXPECT_LE(sendUntil(Now, Now + 4s), 5);
  }
}

TEST_F(upstream_limits_test, Shares_OverTime_GoToAllEntries) {
  startEntries(8);
  limit(1, 0ms);
  std::map<size_t, int> Sent;
  for (duration Now = 0ms; Now < 1000s; Now += 1s)
    for (size_t I = 0; I < Entries.size(); ++I) {
      Entries[I].onAnswer(Upstream, 1, at(Now), at(Now));
      Entries[I].onTick(at(Now), wall_time(Now));
      if (Entries[I].maySend(Upstream, at(Now))) {
        Entries[I].onSent(Upstream, at(Now));
        ++Sent[I];
      }
    }
  EXPECT_EQ(Sent.size(), Entries.size());
}

TEST_F(upstream_limits_test, Limit_Zero_IsTriedRarely) {
  startEntries(8);
  limit(0, 0ms);
  int Sent = sendUntil(0ms, 20s);
  EXPECT_GE(Sent, 1);
  EXPECT_LE(Sent, 2);
}

TEST_F(upstream_limits_test, Entry_NotSharing_SendsNothing) {
  startEntries(1);
  limit(10, 0ms);
  Entries[0].setSharing(false, at(0ms));
  EXPECT_EQ(sendUntil(0ms, 4s), 0);
  Entries[0].setSharing(true, at(4s));
  EXPECT_GT(sendUntil(4s, 8s), 0);
}

TEST_F(upstream_limits_test, Answer_WithoutALimit_EndsIt) {
  startEntries(1);
  EXPECT_TRUE(Entries[0].onAnswer(Upstream, 1, at(0s), at(1s)));
  EXPECT_FALSE(Entries[0].onAnswer(Upstream, 1, at(0s), at(1s)));
  // Sent before the limit was known, so it may be the older answer.
  EXPECT_FALSE(Entries[0].onAnswer(Upstream, {}, at(500ms), at(2s)));
  EXPECT_EQ(Entries[0].limitOf(Upstream), 1);
  EXPECT_TRUE(Entries[0].onAnswer(Upstream, {}, at(1500ms), at(3s)));
  EXPECT_EQ(Entries[0].limitOf(Upstream), std::nullopt);
  EXPECT_TRUE(Entries[0].maySend(Upstream, at(3s)));
}

TEST_F(upstream_limits_test, Limit_Ended_IsReportedForAWhileOnly) {
  startEntries(1);
  Entries[0].onAnswer(Upstream, 1, at(0s), at(0s));
  for (duration Now = 1s; Now < 10s; Now += 100ms) {
    Entries[0].onAnswer(Upstream, {}, at(Now), at(Now));
    Entries[0].onTick(at(Now), wall_time(Now));
    EXPECT_EQ(Entries[0].recent(true, at(Now)).size(),
              Now < 1s + limit_report_time ? 1u : 0u);
  }
}

TEST_F(upstream_limits_test, Report_OfAnotherEntry_Counts) {
  startEntries(2);
  Entries[0].onAnswer(Upstream, 1, at(0s), at(1s));
  auto Reports = Entries[0].recent(true, at(1500ms));
  ASSERT_EQ(Reports.size(), 1u);
  EXPECT_EQ(Reports[0].AgeMicros, 500000);
  EXPECT_TRUE(Entries[1].onReport(Reports[0], at(1500ms)));
  EXPECT_EQ(Entries[1].limitOf(Upstream), 1);
  // Only relays repeat what others have heard.
  EXPECT_TRUE(Entries[1].recent(true, at(1600ms)).empty());
  EXPECT_EQ(Entries[1].recent(false, at(1600ms)).size(), 1u);
  // The end is reported as well.
  Entries[0].onAnswer(Upstream, {}, at(2s), at(3s));
  EXPECT_TRUE(Entries[1].onReport(Entries[0].recent(true, at(3s))[0], at(3s)));
  EXPECT_TRUE(Entries[1].maySend(Upstream, at(3s)));
}

TEST_F(upstream_limits_test, Report_Older_ChangesNothing) {
  startEntries(1);
  Entries[0].onAnswer(Upstream, 1, at(0s), at(5s));
  EXPECT_FALSE(Entries[0].onReport(report({}, 1500ms), at(6s)));
  EXPECT_FALSE(Entries[0].onReport(report(7, 1500ms), at(6s)));
  EXPECT_TRUE(Entries[0].onReport(report(7, 100ms), at(6s)));
}

// Otherwise two entries would keep a limit alive that no answer states.
TEST_F(upstream_limits_test, Report_Repeated_IsNotReportedForever) {
  startEntries(2);
  Entries[0].onAnswer(Upstream, 1, at(0s), at(0s));
  for (duration Now = 100ms; Now < 5s; Now += 100ms)
    for (int I : {0, 1})
      for (const wire::upstream_limit &Report :
           Entries[I].recent(false, at(Now)))
        Entries[1 - I].onReport(Report, at(Now + 50ms));
  EXPECT_TRUE(Entries[0].recent(false, at(5s)).empty());
  EXPECT_TRUE(Entries[1].recent(false, at(5s)).empty());
}

TEST_F(upstream_limits_test, Report_NotUsable_IsIgnored) {
  startEntries(1);
  for (double Value : {-1.0, std::numeric_limits<double>::infinity(),
                       std::numeric_limits<double>::quiet_NaN()})
    EXPECT_FALSE(Entries[0].onReport(report(Value, 0s), at(1s)));
  EXPECT_FALSE(Entries[0].onReport(report(1, limit_report_time), at(9s)));
  EXPECT_EQ(Entries[0].size(), 0u);
}

// Guards against a crash of a cold upstream: each second counts, not only the
// mean, and also while the entries that share the rate change.
TEST_F(upstream_limits_test, Cold_OfAnyRate_IsKeptInEverySecond) {
  site_bounds Bounds;
  for (auto [Overrun, Allowance] : {std::pair(1.0, 0.0), std::pair(1.5, 5.0)})
    for (int Count : {1, 8, 60, 295})
      for (double PerSecond : {0.5, 1.0, 3.0, 11.0, 400.0}) {
        Bounds.ColdOverrun = Overrun;
        Bounds.ColdAllowance = Allowance;
        Entries.clear();
        startEntries(Count);
        for (upstream_limits &Entry : Entries)
          Entry.setCold(Upstream,
                        cold_limit{Bounds.coldRate(PerSecond), at(30s)},
                        at(0s));
        std::vector<int> Sent;
        for (duration Now = 0s; Now < 24s; Now += 20ms)
          Sent.push_back(sendUntil(Now, Now + 10ms));
        int Most = 0;
        for (size_t I = 0; I + 50 <= Sent.size(); ++I)
          Most = std::max(Most, std::accumulate(&Sent[I], &Sent[I] + 50, 0));
        double Allowed = PerSecond * Overrun + Allowance;
        EXPECT_LE(Most, Allowed) << Count << " entries, " << PerSecond;
        if (Allowed >= 2) {
          EXPECT_GE(Most, 1) << Count << " entries, " << PerSecond;
        }
      }
}

// Guards against a cold upstream that gets the rate of its healthy state, and
// against a limit that outlasts the cold time.
TEST_F(upstream_limits_test, Cold_AndStated_LowerOneApplies) {
  startEntries(1);
  limit(30, 0s);
  sendUntil(0s, 2s);
  Entries[0].setCold(Upstream, cold_limit{2, at(6s)}, at(2s));
  EXPECT_LE(sendUntil(2s, 6s), 2 * 4);
  EXPECT_GE(sendUntil(7s, 8s), 25);
  limit(1, 8s);
  Entries[0].setCold(Upstream, cold_limit{10, at(20s)}, at(8s));
  EXPECT_LE(sendUntil(8s, 12s), 5);
  Entries[0].setCold(Upstream, std::nullopt, at(12s));
  limit({}, 13s);
  EXPECT_TRUE(Entries[0].maySend(Upstream, at(13s)));
}

// Guards against two parts of a partitioned network that each use the whole
// rate of a cold upstream.
TEST_F(upstream_limits_test, Cold_EntriesOutOfReach_KeepTheirShares) {
  startEntries(8);
  for (upstream_limits &Entry : Entries)
    Entry.setCold(Upstream, cold_limit{10, at(1h)}, at(0s));
  Entries[0].setEntries({}, at(1s));
  EXPECT_EQ(Entries[0].describe(Upstream), "1.25/10-cold");
  Entries[0].onTick(at(1s + lost_entry_time), wall_time(1s + lost_entry_time));
  EXPECT_EQ(Entries[0].describe(Upstream), "10/10-cold");
}

TEST_F(upstream_limits_test, Limits_Many_AreBounded) {
  startEntries(1);
  for (size_t I = 0; I < max_limits + 10; ++I)
    Entries[0].onAnswer(upstream_name(std::to_string(I)), 1, at(0s), at(0s));
  EXPECT_EQ(Entries[0].size(), max_limits);
  EXPECT_EQ(Entries[0].recent(false, at(1s)).size(), max_reported_limits);
  Entries[0].onTick(at(limit_expiry), wall_time(limit_expiry));
  EXPECT_EQ(Entries[0].size(), 0u);
}

} // namespace
} // namespace monsoonreel
