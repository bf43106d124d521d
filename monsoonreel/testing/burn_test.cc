// Burn of error budgets: parsing samples, summing counter growth, burn rates
// and alerts.

#include <cmath>

#include <gtest/gtest.h>

#include "monsoonreel/burn_report.h"

namespace monsoonreel {
namespace {

using std::chrono::hours;
using std::chrono::minutes;
using std::chrono::seconds;

const wall_time start{hours(500000)};
const burn_key chat_baths{class_name("chat"), organisation_name("baths")};
const burn_key chat_tiles{class_name("chat"), organisation_name("tiles")};

class burn_test : public testing::Test {
protected:
  burn_sample sample(duration After, request_counts Baths,
                     std::optional<duration> Started = std::nullopt) {
    burn_sample Sample{start + After, std::nullopt, {{chat_baths, Baths}}};
    if (Started)
      Sample.StartedAt = start + *Started;
    return Sample;
  }
  void add(const burn_sample &Sample, const std::string &Entry = "e1") {
    Counter.add(Entry, Sample, Findings);
  }
  request_counts whole(const burn_key &Key = chat_baths) {
    return Counter.classes()
        .at(Key.Class)
        .Organisations.at(Key.Organisation)
        .Whole;
  }
  burn_report report(double Objective) {
    return makeBurnReport(Counter, standardWindows(),
                          {{class_name("chat"), Objective}}, Findings);
  }
  std::optional<burn_sample> parse(const std::string &Text) {
    return parseBurnSample(Text, "e1/10", start, Findings);
  }

  finding_list Findings;
  burn_counter Counter{
      {start, start + minutes(10)}, lengthsOf(standardWindows()), minutes(3)};
};

TEST_F(burn_test, Parse_EntryText_GivesCountsAndStart) {
  auto Sample = parse("# TYPE monsoonreel_targets_total counter\n"
                      "monsoonreel_requests_total{class=\"chat\"} x\n"
                      "monsoonreel_targets_total{class=\"chat\",met=\"yes\","
                      "organisation=\"a \\\"b\\\\,}\"} 7 1700000000\n"
                      "monsoonreel_targets_total{class=\"chat\",met=\"no\","
                      "organisation=\"a \\\"b\\\\,}\"} 1e2\n"
                      "process_start_time_seconds 1.5\n");
  ASSERT_TRUE(Sample) << Findings.toString();
  ASSERT_EQ(Sample->Counts.size(), 1U);
  const auto &[Key, Counts] = *Sample->Counts.begin();
  EXPECT_EQ(Key.Organisation.Value, "a \"b\\,}");
  EXPECT_EQ(Counts.Met, 7);
  EXPECT_EQ(Counts.Missed, 100);
  EXPECT_EQ(Sample->StartedAt, wall_time(std::chrono::milliseconds(1500)));
}

TEST_F(burn_test, Parse_BadText_IsAFindingWithItsLine) {
  const std::string Begin = "up 1\nmonsoonreel_targets_total";
  for (const std::string Text :
       {"", "cut off", "{class=\"a\",met=\"yes\"} 1\n",
        "{class=\"a\",met=\"maybe\",organisation=\"b\"} 1\n",
        "{class=\"a\",met=\"yes\",organisation=\"b\"} -1\n",
        "{class=\"a\",met=\"yes\",organisation=\"b\"} nan\n",
        "{class=\"a\",met=\"yes\",organisation=\"b\"}\n", "{class=\"a\n",
        "{class=\"a\"\"b\"} 1\n", "{} 1\n"}) {
    Findings = finding_list();
    EXPECT_FALSE(parse(Text.empty() ? Text : Begin + Text)) << Text;
    ASSERT_EQ(Findings.size(), 1U) << Text;
    EXPECT_EQ(Findings.all()[0].Place.File, "e1/10");
    int Line = Text.starts_with('{') ? 2 : 0;
    EXPECT_EQ(Findings.all()[0].Place.Line, Line) << Text;
  }
}

TEST_F(burn_test, Count_GrowthOfTwoEntries_IsAddedUp) {
  for (const char *Entry : {"e1", "e2"}) {
    add(sample(seconds(0), {100, 10}), Entry);
    add(sample(minutes(1), {130, 15}), Entry);
  }
  EXPECT_EQ(whole().Met, 60);
  EXPECT_EQ(whole().Missed, 10);
  EXPECT_TRUE(Findings.empty());
}

TEST_F(burn_test, Count_CounterFell_AllCountersOfTheEntryBeginFromZero) {
  burn_sample Before = sample(seconds(0), {100, 10});
  Before.Counts[chat_tiles] = {5, 0};
  burn_sample After = sample(minutes(1), {20, 1});
  After.Counts[chat_tiles] = {9, 0};
  add(Before);
  add(After);
  EXPECT_EQ(whole().total(), 21);
  EXPECT_EQ(whole(chat_tiles).total(), 9);
  EXPECT_EQ(Counter.entries()[0].Restarts, 1);
}

TEST_F(burn_test, Count_RestartWithHigherCounter_IsDetectedByStartTime) {
  add(sample(seconds(0), {100, 0}, -hours(1)));
  add(sample(minutes(1), {150, 0}, seconds(10)));
  EXPECT_EQ(whole().Met, 150);
}

TEST_F(burn_test, Count_SeriesVanished_IsARestart) {
  add(sample(seconds(0), {100, 0}));
  add({start + minutes(1), std::nullopt, {{chat_tiles, {3, 0}}}});
  EXPECT_EQ(Counter.entries()[0].Restarts, 1);
  EXPECT_EQ(whole(chat_tiles).Met, 3);
}

TEST_F(burn_test, Count_EntryStartedWithinTheRange_CountsFromZero) {
  add(sample(minutes(2), {40, 0}, minutes(1)));
  EXPECT_EQ(whole().Met, 40);
  Counter.finish(Findings);
  EXPECT_EQ(Findings.size(), 1U)
      << Findings.toString(); // no sample near the end of the range
}

TEST_F(burn_test, Count_DecreaseWithoutRestart_IsAFindingAndIgnored) {
  add(sample(seconds(0), {100, 0}, -hours(1)));
  add(sample(minutes(1), {90, 0}, -hours(1)));
  add(sample(minutes(2), {110, 0}, -hours(1)));
  EXPECT_EQ(whole().Met, 10);
  EXPECT_EQ(Findings.size(), 1U);
}

TEST_F(burn_test, Count_ClockWentBack_IsAFindingAndCountsAtTheLastTime) {
  add(sample(minutes(7), {100, 0}));
  add(sample(minutes(4), {110, 0}));
  add(sample(minutes(9), {130, 0}));
  burn_report Report = report(0.9);
  EXPECT_EQ(Report.Classes[0].Line.Windows[0].Counts.Met, 30);
  ASSERT_EQ(Findings.size(), 1U);
  EXPECT_EQ(Findings.all()[0].Message,
            "the clock went back by 180 s since the previous sample");
}

TEST_F(burn_test, Count_GapsAndMissingEnds_AreFindings) {
  add(sample(seconds(0), {0, 0}), "gap");
  add(sample(minutes(10), {10, 0}), "gap");
  add(sample(minutes(4), {0, 0}), "short");
  add(sample(minutes(6), {10, 0}), "short");
  add(sample(minutes(0), {0, 0}), "once");
  Counter.finish(Findings);
  std::string Text = Findings.toString();
  EXPECT_EQ(Findings.size(), 5U) << Text;
  for (const char *Part :
       {"gap: ", "gap of 600 s", "short: no sample before",
        "short: no sample after", "once: has samples of one time only"})
    EXPECT_NE(Text.find(Part), std::string::npos) << Part << "\n" << Text;
}

TEST_F(burn_test, Report_WindowBeginsBetweenSamples_CountsInPart) {
  add(sample(minutes(4), {0, 0}));
  add(sample(minutes(6), {80, 20}));
  add(sample(minutes(10), {180, 20}));
  burn_report Report = report(0.9);
  const burn_line &Line = Report.Classes.at(0).Line;
  EXPECT_DOUBLE_EQ(Line.Windows[0].Counts.total(), 150);
  EXPECT_DOUBLE_EQ(Line.Windows[0].Counts.Missed, 10);
  EXPECT_NEAR(*Line.Rate, 1.0, 1e-9);
  EXPECT_NEAR(*Line.BudgetLeft, 0.0, 1e-9);
  EXPECT_FALSE(Line.Windows[0].IsPartial);
  EXPECT_TRUE(Line.Windows[1].IsPartial);
}

TEST_F(burn_test, Report_Timeline_AddsUpToTheWhole) {
  add(sample(seconds(7), {0, 0}));
  add(sample(seconds(431), {50, 50}));
  add(sample(minutes(10), {90, 110}));
  request_counts Sum;
  for (const request_counts &Step :
       Counter.classes().at(class_name("chat")).Timeline)
    Sum += Step;
  EXPECT_NEAR(Sum.Met, 90, 1e-6);
  EXPECT_NEAR(Sum.Missed, 110, 1e-6);
}

TEST_F(burn_test, Report_WorstOrganisation_ComesFirst) {
  add({start, std::nullopt, {}});
  add({start + minutes(1),
       std::nullopt,
       {{chat_baths, {90, 10}}, {chat_tiles, {8, 2}}}});
  burn_report Report = report(0.95);
  ASSERT_EQ(Report.Classes.at(0).Organisations.size(), 2U);
  EXPECT_EQ(Report.Classes[0].Organisations[0].Organisation.Value, "tiles");
  EXPECT_NEAR(*Report.Classes[0].Organisations[0].Line.Rate, 4.0, 1e-9);
}

TEST_F(burn_test, Report_BurnThatEnded_RaisesNoFastAlert) {
  add(sample(seconds(0), {0, 0}));
  add(sample(minutes(5), {0, 100}));
  add(sample(minutes(10), {100, 100}));
  burn_report Report = report(0.99);
  EXPECT_GT(*Report.Classes[0].Line.Windows[1].Rate, fast_burn_rate);
  EXPECT_EQ(Report.Classes[0].Line.Windows[0].Rate, 0.0);
  EXPECT_EQ(Report.Classes[0].Line.Alert, burn_alert::Slow);
}

TEST_F(burn_test, Report_BurnThatJustBegan_RaisesNoFastAlert) {
  add(sample(seconds(0), {0, 0}));
  add(sample(minutes(5), {100, 0}));
  add(sample(minutes(10), {180, 20}));
  burn_report Report = report(0.99);
  EXPECT_GT(*Report.Classes[0].Line.Windows[0].Rate, fast_burn_rate);
  EXPECT_LT(*Report.Classes[0].Line.Windows[1].Rate, fast_burn_rate);
  EXPECT_EQ(Report.Classes[0].Line.Alert, burn_alert::Slow);
}

TEST_F(burn_test, Report_BurnInAllWindows_RaisesTheFastAlert) {
  add(sample(seconds(0), {0, 0}));
  add(sample(minutes(10), {50, 50}));
  burn_report Report = report(0.99);
  EXPECT_EQ(Report.Classes[0].Line.Alert, burn_alert::Fast);
  EXPECT_TRUE(Report.Classes[0].Line.IsAlertPartial);
  EXPECT_EQ(report(0.95).Classes[0].Line.Alert, burn_alert::Slow);
  EXPECT_EQ(report(0.4).Classes[0].Line.Alert, burn_alert::None);
}

TEST_F(burn_test, Report_ClassWithoutObjective_IsAFindingWithoutRate) {
  add(sample(seconds(0), {0, 0}));
  add(sample(minutes(10), {50, 50}));
  burn_report Report =
      makeBurnReport(Counter, standardWindows(),
                     {{class_name("booking"), 0.99}}, finding_list());
  ASSERT_EQ(Report.Classes.size(), 2U);
  EXPECT_EQ(Report.Classes[0].Line.Counts.total(), 0); // booking
  EXPECT_FALSE(Report.Classes[0].Line.BudgetLeft);
  EXPECT_FALSE(Report.Classes[1].Line.Rate);
  EXPECT_EQ(Report.Findings.size(), 1U);
}

TEST_F(burn_test, Rate_ObjectiveOfOne_IsInfiniteOnceOneMissed) {
  EXPECT_EQ(burnRate({5, 0}, 1.0), 0.0);
  EXPECT_TRUE(std::isinf(*burnRate({5, 1}, 1.0)));
  EXPECT_FALSE(burnRate({0, 0}, 1.0));
}

} // namespace
} // namespace monsoonreel
