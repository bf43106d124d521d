#include "monsoonreel/lease_holder.h"

#include <gtest/gtest.h>

#include "monsoonreel/ledger.h"
#include "monsoonreel/mechanism.h"
#include "monsoonreel/testing/fake_platform.h"
#include "monsoonreel/testing/records.h"

namespace monsoonreel {
namespace {

using namespace monsoonreel::testing;
using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr duration write_latency = seconds(2);

// Two nodes, each with a replica of the usage stream. The tests control the
// time and when a node reads the stream.
class lease_holder_test : public ::testing::Test {
protected:
  struct candidate {
    explicit candidate(int64_t Incarnation)
        : Writer(std::string(usage_stream), incarnation{Incarnation}, Calls),
          Lease(terms(), {node_name("s" + std::to_string(Incarnation)),
                          zone_name("north"), address("127.0.0.1:1"),
                          incarnation{Incarnation}}) {
      Lease.setWanted(true);
    }
    call_counter Calls;
    record_writer Writer;
    ledger Ledger{usage_stream};
    lease_holder Lease;
  };

  static lease_terms terms() {
    lease_terms Terms;
    Terms.Name = usage_lease;
    Terms.Duration = seconds(10);
    Terms.Margin = seconds(1);
    Terms.MaxWriteLatency = write_latency;
    return Terms;
  }

  // Ticks Node and appends its records to the log at once.
  void tick(candidate &Node) {
    Node.Lease.onTick(Now, 0, true, Node.Writer);
    effect_list Effects;
    Node.Writer.onTick(Now, Effects);
    for (const effect &Effect : Effects)
      Platform.carryOut(Effect);
  }
  // Replays the records that Node has not read yet.
  void read(candidate &Node) {
    effect_list Effects;
    log_offset Next{Node.Ledger.applied().Value + 1};
    for (const wire::stored_record &Record :
         Platform.read(std::string(usage_stream), Next).Records) {
      ledger_change Change =
          Node.Ledger.apply(log_offset{Record.Offset}, Record.Bytes, Effects);
      if (Change.Lease)
        Node.Lease.onLease(*Change.Lease, Now, Node.Writer);
      Node.Writer.onReplayed(Change.Offset, *Change.Record, Change.isValid());
    }
  }
  void claim(candidate &Node) {
    tick(Node);
    read(Node);
  }

  // First's clock runs 4 % slow. Returns whether the last write that First may
  // send can arrive after the time from which Second may act.
  bool writesOverlap() {
    steady_time Start = Now;
    claim(First);
    read(Second);
    steady_time LastArrival = Now;
    for (; !Second.Lease.mayAct(Now, write_latency); Now += milliseconds(10)) {
      steady_time Slow = Start + (Now - Start) * 96 / 100;
      if (First.Lease.mayAct(Slow, write_latency))
        LastArrival = Now + write_latency;
      claim(Second);
    }
    return Now < LastArrival;
  }

  steady_time Now{seconds(1000)};
  fake_platform Platform;
  candidate First{1};
  candidate Second{2};
};

TEST_F(lease_holder_test, Claim_NotReadBack_GivesNothing) {
  tick(First);
  EXPECT_FALSE(First.Lease.mayAct(Now, write_latency));
  read(First);
  EXPECT_TRUE(First.Lease.mayAct(Now, write_latency));
}

TEST_F(lease_holder_test, Holder_SlowReadBack_CountsFromTheSending) {
  tick(First);
  Now += seconds(7);
  read(First);
  EXPECT_TRUE(First.Lease.mayAct(Now, seconds(3)));
  EXPECT_FALSE(First.Lease.mayAct(Now + milliseconds(1), seconds(3)));
}

TEST_F(lease_holder_test, Holder_AfterAPause_MayNotAct) {
  claim(First);
  Now += seconds(9);
  EXPECT_FALSE(First.Lease.mayAct(Now, write_latency));
  disabled_mechanism Without(mechanism::LeaseCheckBeforeWrite);
  EXPECT_TRUE(First.Lease.mayAct(Now, write_latency));
}

TEST_F(lease_holder_test, Claims_Racing_OneHolderOnly) {
  tick(First);
  tick(Second);
  read(First);
  read(Second);
  EXPECT_TRUE(First.Lease.mayAct(Now, write_latency));
  EXPECT_FALSE(Second.Lease.mayAct(Now, write_latency));
  EXPECT_FALSE(Second.Lease.fence());
}

TEST_F(lease_holder_test, Candidate_ClaimNotLapsed_DoesNotClaim) {
  claim(First);
  Now += seconds(1);
  read(Second);
  // The lease and the margin, counted from when the claim was read.
  Now += seconds(11);
  tick(Second);
  EXPECT_EQ(Second.Writer.queued(), 0u);
  Now += milliseconds(1);
  tick(Second);
  EXPECT_EQ(Second.Writer.queued(), 1u);
}

TEST_F(lease_holder_test, Successor_WaitsForThePredecessorsLastWrite) {
  claim(First);
  read(Second);
  Now += seconds(11) + milliseconds(1);
  claim(Second);
  ASSERT_TRUE(Second.Lease.fence());
  EXPECT_FALSE(Second.Lease.mayAct(Now, write_latency));
  Now += write_latency;
  EXPECT_TRUE(Second.Lease.mayAct(Now, write_latency));
}

TEST_F(lease_holder_test, Takeover_SlowClockOfTheHolder_DoesNotOverlap) {
  EXPECT_FALSE(writesOverlap());
}

TEST_F(lease_holder_test, Takeover_SlowClockWithoutMargin_Overlaps) {
  disabled_mechanism Without(mechanism::LeaseMargin);
  EXPECT_TRUE(writesOverlap());
}

TEST_F(lease_holder_test, Renewal_LostAgainstASuccessor_ExtendsNothing) {
  claim(First);
  read(Second);
  Now += seconds(11) + milliseconds(1);
  tick(Second);
  tick(First);
  read(First);
  EXPECT_FALSE(First.Lease.mayAct(Now, duration{}));
  EXPECT_FALSE(First.Lease.fence());
}

TEST_F(lease_holder_test, Renewal_AnswerLost_IsSentAgainAndCountsOnce) {
  claim(First);
  Now += seconds(4);
  tick(First);
  Now += append_timeout;
  tick(First);
  read(First);
  EXPECT_EQ(Platform.records(std::string(usage_stream)).size(), 3u);
  EXPECT_EQ(First.Lease.fence(), log_offset{2});
  // The lease is counted from the first sending.
  EXPECT_EQ(First.Lease.notAfter(duration{}),
            Now - append_timeout + seconds(10));
}

TEST_F(lease_holder_test, Release_Read_LetsASuccessorClaimAtOnce) {
  claim(First);
  read(Second);
  First.Lease.release();
  EXPECT_FALSE(First.Lease.mayAct(Now, duration{}));
  tick(First);
  read(Second);
  Now += milliseconds(1);
  claim(Second);
  EXPECT_TRUE(Second.Lease.fence());
  EXPECT_FALSE(Second.Lease.mayAct(Now, duration{}));
  EXPECT_TRUE(Second.Lease.mayAct(Now + write_latency, duration{}));
}

} // namespace
} // namespace monsoonreel
