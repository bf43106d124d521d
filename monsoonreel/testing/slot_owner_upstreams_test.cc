// How an owner reacts to its upstreams' reclaim notices, timeouts, slowness and
// load reports.

#include "monsoonreel/mechanism.h"
#include "monsoonreel/testing/slot_owner_fixture.h"

namespace monsoonreel {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

TEST_F(slot_owner_test, Upstream_ReclaimNotice_GetsNoGrants) {
  load_report Notice;
  Notice.Upstream = upstream_name("e1");
  Notice.Leaving = true;
  ask("chat");
  Owner.onLoadReport(Notice, Now, Replies, Effects);
  release(LastAsk);
  for (int I = 0; I < 3; ++I) {
    int64_t Next = ask("chat");
    ASSERT_TRUE(grantOf(Next));
    EXPECT_EQ(grantOf(Next)->Upstream, "e2");
    release(Next);
  }
}

TEST_F(slot_owner_test, Upstream_ReclaimNoticeIgnored_GetsGrants) {
  disabled_mechanism Without(mechanism::LeavingStopsGrants);
  load_report Notice;
  Notice.Upstream = upstream_name("e1");
  Notice.Leaving = true;
  ask("chat");
  Owner.onLoadReport(Notice, Now, Replies, Effects);
  int64_t Second = ask("chat");
  std::set<std::string> Used{grantOf(Second - 1)->Upstream,
                             grantOf(Second)->Upstream};
  EXPECT_TRUE(Used.contains("e1"));
}

TEST_F(slot_owner_test, Upstream_TimesOut_IsRestoredByProbeOnNewConnection) {
  int64_t First = ask("chat");
  std::string Silent = grantOf(First)->Upstream;
  release(First, wire::slot_result::Silent);
  int64_t Next = ask("chat");
  EXPECT_NE(grantOf(Next)->Upstream, Silent);
  EXPECT_FALSE(grantOf(ask("chat"))); // only one engine is left
  Now += first_pause;
  wire::slot_ask Unsafe = makeAsk("chat", "small");
  Unsafe.Idempotent = false;
  EXPECT_FALSE(grantOf(send(Unsafe))); // only idempotent requests may probe
  tick(milliseconds(10));
  int64_t Probe = Next + 1;
  ASSERT_TRUE(grantOf(Probe));
  EXPECT_EQ(grantOf(Probe)->Upstream, Silent);
  EXPECT_TRUE(grantOf(Probe)->FreshConnection);
  release(Probe);
  ASSERT_TRUE(grantOf(Unsafe.Ask));
  EXPECT_FALSE(grantOf(Unsafe.Ask)->FreshConnection);
}

TEST_F(slot_owner_test, Straggler_FarSlowerThanNeighbour_LosesItsWork) {
  EXPECT_LE(serveWithSlowEngine(), straggler_samples + 1);
}

TEST_F(slot_owner_test, Straggler_EjectionTakenAway_KeepsItsWork) {
  disabled_mechanism Without(mechanism::UpstreamEjection);
  EXPECT_GT(serveWithSlowEngine(), straggler_samples + 1);
}

TEST_F(slot_owner_test, CheapUpstream_OnlyForIdempotentOfAllowingClass) {
  Configuration.Upstreams.clear();
  addEngine("cheap", 4).Cheap = true;
  apply();
  wire::slot_ask Unsafe = makeAsk("batch", "small");
  Unsafe.Idempotent = false;
  int64_t Refused = send(Unsafe);
  ASSERT_TRUE(replyTo<wire::slot_refuse>(Refused));
  EXPECT_EQ(replyTo<wire::slot_refuse>(Refused)->Reason,
            wire::refusal_reason::NoUpstream);
  EXPECT_TRUE(replyTo<wire::slot_refuse>(ask("chat")));
  reportLoad("cheap", false);
  EXPECT_TRUE(grantOf(ask("batch")));
}

TEST_F(slot_owner_test, CheapUpstream_NoticeBeforeFirstAsk_GetsNoGrants) {
  Configuration.Upstreams.clear();
  addEngine("cheap", 4).Cheap = true;
  apply();
  int64_t Ask = ask("batch");
  EXPECT_FALSE(grantOf(Ask));
  EXPECT_FALSE(replyTo<wire::slot_refuse>(Ask));
  tick(milliseconds(10));
  EXPECT_EQ(polls("cheap"), 1U);
  reportLoad("cheap", true);
  EXPECT_FALSE(grantOf(Ask));
  reportLoad("cheap", false);
  EXPECT_TRUE(grantOf(Ask));
}

TEST_F(slot_owner_test, CheapUpstream_NeverReports_IsTriedAfterTheWait) {
  Configuration.Upstreams.clear();
  addEngine("cheap", 4).Cheap = true;
  apply();
  int64_t Ask = ask("batch");
  tick(milliseconds(10));
  EXPECT_FALSE(grantOf(Ask));
  tick(first_report_wait);
  EXPECT_TRUE(grantOf(Ask));
}

TEST_F(slot_owner_test, NewOwner_ReportShowsOtherOwnersWork_GrantsLess) {
  ask("draft");
  release(LastAsk);
  for (const char *Engine : {"e1", "e2"}) {
    load_report Report;
    Report.Upstream = upstream_name(Engine);
    Report.Running = 3;
    Owner.onLoadReport(Report, Now, Replies, Effects);
  }
  int64_t Waiting = ask("draft");
  EXPECT_FALSE(grantOf(Waiting));
  tick(report_lifetime + milliseconds(1)); // the reports stop
  EXPECT_TRUE(grantOf(Waiting));
}

} // namespace
} // namespace monsoonreel
