#include "routing/event_splitter.h"

#include <gtest/gtest.h>

namespace monsoonreel {
namespace {

class event_splitter_test : public testing::Test {
protected:
  std::string cut(std::string_view Bytes) {
    Cutter.add(Bytes);
    return Cutter.takeCompleteEvents();
  }
  event_splitter Cutter;
};

TEST_F(event_splitter_test, Bytes_PartOfEvent_AreHeldBack) {
  EXPECT_EQ(cut("id: 1\ndata: a"), "");
  EXPECT_TRUE(Cutter.hasPartialEvent());
  EXPECT_EQ(cut("\n\nid: 2\n"), "id: 1\ndata: a\n\n");
  EXPECT_EQ(Cutter.lastId(), 1);
}

TEST_F(event_splitter_test, Bytes_SeveralEvents_AllLeaveAtOnce) {
  EXPECT_EQ(cut("id: 1\n\nid: 2\n\n"), "id: 1\n\nid: 2\n\n");
  EXPECT_EQ(Cutter.taken(), 2);
  EXPECT_FALSE(Cutter.hasPartialEvent());
}

TEST_F(event_splitter_test, LineEnds_OfBothKinds_AreAccepted) {
  EXPECT_EQ(cut("id:7\r\ndata: a\r\n\r\nid: 8\n\n"),
            "id:7\r\ndata: a\r\n\r\nid: 8\n\n");
  EXPECT_EQ(Cutter.lastId(), 8);
}

TEST_F(event_splitter_test, NextRun_RestOfBrokenEvent_IsDropped) {
  cut("id: 1\n\nid: 2\ndata: bro");
  Cutter.expectNextRun();
  EXPECT_EQ(cut("id: 2\ndata: whole\n\n"), "id: 2\ndata: whole\n\n");
}

TEST_F(event_splitter_test, NextRun_RepeatsEvents_TheyAreDropped) {
  cut("id: 1\n\nid: 2\n\n");
  Cutter.expectNextRun();
  EXPECT_EQ(cut("id: 1\n\nid: 2\n\nid: 3\n\n"), "id: 3\n\n");
  EXPECT_FALSE(Cutter.hasGap());
}

TEST_F(event_splitter_test, NextRun_SkipsEvents_IsAGap) {
  cut("id: 1\n\n");
  Cutter.expectNextRun();
  EXPECT_EQ(cut("id: 3\n\n"), "");
  EXPECT_TRUE(Cutter.hasGap());
}

// Such as the head of another answer.
TEST_F(event_splitter_test, Event_WithoutIdAfterOthers_IsAGap) {
  cut("id: 1\n\n");
  EXPECT_EQ(cut("HTTP/1.1 500 Internal Server Error\r\nA: b\r\n\r\nid: 2\n\n"),
            "");
  EXPECT_TRUE(Cutter.hasGap());
}

TEST_F(event_splitter_test, NextRun_ErrorText_IsAGap) {
  cut("id: 1\n\n");
  Cutter.expectNextRun();
  EXPECT_EQ(cut("event: error\ndata: overloaded\n\n"), "");
  EXPECT_TRUE(Cutter.hasGap());
}

TEST_F(event_splitter_test, Comments_BetweenEvents_ArePassedOn) {
  EXPECT_EQ(cut("id: 1\n\n: still here\n\nretry: 500\n\nid: 2\n\n"),
            "id: 1\n\n: still here\n\nretry: 500\n\nid: 2\n\n");
  EXPECT_FALSE(Cutter.hasGap());
}

TEST_F(event_splitter_test, Event_WithoutEnd_IsOversized) {
  cut(std::string(max_stream_event_bytes + 1, 'x'));
  EXPECT_TRUE(Cutter.isOversized());
}

} // namespace
} // namespace monsoonreel
