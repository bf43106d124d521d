#include "routing/figure_copies.h"

#include <gtest/gtest.h>

#include "routing/testing/test_time.h"
#include "routing/testing/usage_figures.h"

namespace monsoonreel {
namespace {

using namespace std::chrono_literals;

class figure_copies_test : public testing::Test {
protected:
  static constexpr int64_t fence = 9;
  static constexpr int64_t era = 2;
  static constexpr duration max_wait = 6s;

  static wire::member member(const std::string &Address,
                             const std::string &Zone) {
    wire::member Member;
    Member.Address = Address;
    Member.Zone = Zone;
    return Member;
  }
  void SetUp() override {
    Copies.setTerm(fence, era, at(0s));
    Copies.setEntries(Others, {});
    Written[7] = figures(7, 40);
  }
  std::vector<figure_message> send(duration Now) {
    return Copies.takeMessages(Written, 4, at(Now));
  }
  void reply(const std::string &From, const wire::figure_request &Request,
             const std::vector<wire::window_counts> &Known) {
    Copies.onReply(address(From), replyTo(Request, Known), at(1s));
  }

  const std::vector<wire::member> Others = {
      member("b:1", "north"), member("c:1", "north"), member("d:1", "south")};
  std::map<int64_t, wire::window_counts> Written;
  figure_copies Copies{zone_name("north"), max_wait};
};

TEST_F(figure_copies_test, Holder_New_AsksAllAndSharesWhatIsWritten) {
  std::vector<figure_message> Sent = send(0s);
  ASSERT_EQ(Sent.size(), 1u);
  EXPECT_EQ(Sent[0].To.size(), 3u);
  EXPECT_TRUE(Sent[0].Request.Asks);
  EXPECT_EQ(Sent[0].Request.Figures, std::vector{figures(7, 40)});
  EXPECT_FALSE(Copies.hasAsked(at(1s)));
  EXPECT_TRUE(send(400ms).empty());
  EXPECT_EQ(send(figure_retry_period).size(), 1u);
  for (const wire::member &Other : Others)
    reply(Other.Address, Sent[0].Request, {figures(7, 40)});
  EXPECT_TRUE(Copies.hasAsked(at(1s)));
  EXPECT_TRUE(send(2s).empty());
}

// Guards against a report of figures that only the holder and the store have.
TEST_F(figure_copies_test, Copies_InOneZoneOrTooFew_AreNotEnough) {
  wire::figure_request Request = send(0s)[0].Request;
  EXPECT_FALSE(Copies.areEnough(7, at(10s)));
  reply("b:1", Request, {figures(7, 40)});
  EXPECT_FALSE(Copies.areEnough(7, at(1s)));
  reply("c:1", Request, {figures(7, 40)});
  EXPECT_FALSE(Copies.areEnough(7, at(1s)));
  EXPECT_TRUE(Copies.areEnough(7, at(figure_copies_wait)));
  reply("d:1", Request, {figures(7, 40)});
  EXPECT_TRUE(Copies.areEnough(7, at(1s)));
}

TEST_F(figure_copies_test, Copy_OfOtherFigures_DoesNotCount) {
  wire::figure_request Request = send(0s)[0].Request;
  for (const wire::member &Other : Others)
    reply(Other.Address, Request, {figures(7, 41)});
  EXPECT_FALSE(Copies.areEnough(7, at(10s)));
}

TEST_F(figure_copies_test, Reply_OfAnEarlierTerm_DoesNotCount) {
  wire::figure_request Request = send(0s)[0].Request;
  Copies.setTerm(fence + 1, era + 1, at(1s));
  send(1s);
  for (const wire::member &Other : Others)
    reply(Other.Address, Request, {figures(7, 40)});
  EXPECT_FALSE(Copies.hasAsked(at(1s)));
  EXPECT_FALSE(Copies.areEnough(7, at(10s)));
}

TEST_F(figure_copies_test, Entry_DoesNotAnswer_IsNotWaitedForWithoutEnd) {
  wire::figure_request Request = send(0s)[0].Request;
  reply("b:1", Request, {});
  reply("c:1", Request, {});
  EXPECT_FALSE(Copies.hasAsked(at(max_wait - 1ms)));
  EXPECT_TRUE(Copies.hasAsked(at(max_wait)));
  Copies.setEntries({Others[0], Others[1]}, {});
  EXPECT_TRUE(Copies.hasAsked(at(1s)));
}

TEST_F(figure_copies_test, Copy_AtAnEntryThatIsGone_DoesNotCount) {
  wire::figure_request Request = send(0s)[0].Request;
  reply("b:1", Request, {figures(7, 40)});
  reply("d:1", Request, {figures(7, 40)});
  EXPECT_TRUE(Copies.areEnough(7, at(1s)));
  Copies.setEntries({Others[0], Others[1]}, {});
  EXPECT_FALSE(Copies.areEnough(7, at(1s)));
}

TEST_F(figure_copies_test, Keepers_Chosen_OnlyTheyGetFigures) {
  Copies.setEntries(Others, {address("b:1"), address("d:1")});
  for (const figure_message &Sent : send(0s)) {
    bool IsToKeepers = Sent.To == std::vector{address("b:1"), address("d:1")};
    EXPECT_EQ(Sent.Request.Figures.size(), IsToKeepers ? 1u : 0u);
    EXPECT_TRUE(Sent.Request.Asks);
  }
}

TEST_F(figure_copies_test, Reply_Asked_TellsWhatTheRequestLacks) {
  wire::figure_request Request = send(0s)[0].Request;
  wire::figure_reply Reply =
      replyTo(Request, {figures(3, 1), figures(5, 2), figures(7, 40)});
  EXPECT_EQ(Reply.Figures, std::vector{figures(5, 2)});
  ASSERT_EQ(Reply.Kept.size(), 1u);
  EXPECT_EQ(Reply.Kept[0].Window, 7);
}

TEST_F(figure_copies_test, Holder_Alone_NeedsNoCopies) {
  Copies.setEntries({}, {});
  EXPECT_TRUE(Copies.hasAsked(at(0s)));
  EXPECT_TRUE(Copies.areEnough(7, at(0s)));
}

// Entries that started later, or have not answered, tell nothing about figures.
TEST_F(figure_copies_test, Entries_StartedLaterOrSilent_AreUnaware) {
  std::vector<figure_message> Sent = send(0s);
  EXPECT_EQ(Copies.countUnaware(at(-10s)), 3u);
  wire::figure_reply Reply = replyTo(Sent[0].Request, {});
  Reply.__set_UpMicros(30000000);
  Reply.__set_EraMicros(20000000);
  Copies.onReply(address("b:1"), Reply, at(1s));
  Reply.__set_UpMicros(5000000);
  Reply.__set_EraMicros(4000000);
  Copies.onReply(address("c:1"), Reply, at(1s));
  EXPECT_EQ(Copies.countUnaware(at(-10s)), 2u);
  EXPECT_EQ(Copies.eraKnownSince(), at(-19s));
}

// Any number may come from a peer.
TEST_F(figure_copies_test, Reply_ImpossibleTimes_AreLimited) {
  std::vector<figure_message> Sent = send(0s);
  wire::figure_reply Reply = replyTo(Sent[0].Request, {});
  Reply.__set_UpMicros(std::numeric_limits<int64_t>::min());
  Reply.__set_EraMicros(std::numeric_limits<int64_t>::max());
  Copies.onReply(address("b:1"), Reply, at(1s));
  EXPECT_EQ(Copies.countUnaware(at(0s)), 3u);
  EXPECT_LT(Copies.eraKnownSince(), at(-1h));
}

} // namespace
} // namespace monsoonreel
