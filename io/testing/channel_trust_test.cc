// Answers that are not, or may not be, those of the call.

#include "io/testing/channel_pool_fixture.h"

namespace monsoonreel {
namespace {

TEST_F(channel_pool_test, Answer_OfAnEarlierRequestFirst_IsDropped) {
  runFirst("old");
  answerWith(answer("old", "theirs") + answer("a", "ours"));
  auto Call = run("a");
  EXPECT_TRUE(Call->Ended);
  EXPECT_EQ(Call->Body, "ours");
  EXPECT_EQ(Server.Connections, 1);
  EXPECT_EQ(Pool.idleConnections(), 0u);
}

TEST_F(channel_pool_test, Answer_OfARequestThatWasNeverSent_FailsTheCall) {
  answerWith(answer("old", "theirs") + answer("a", "ours"));
  auto Call = run("a");
  EXPECT_EQ(Call->Failure, attempt_failure::Broken);
  EXPECT_EQ(Call->Body, "");
}

// Guards against a 200 with another answer's bytes: a repeated answer comes in
// two pieces, and the answer to the next request between them.
TEST_F(channel_pool_test, RepeatedAnswer_AroundTheNextOne_FailsTheCall) {
  std::string Repeated =
      "HTTP/1.1 200 OK\r\nMore: x\r\n" + answer("old", "theirs").substr(17);
  for (size_t Cut = 1; Cut < Repeated.size(); ++Cut) {
    runFirst("old");
    answerWith(Repeated.substr(0, Cut) + answer("a", "ours") +
               Repeated.substr(Cut) + answer("a", "xxxx"));
    auto Call = run("a");
    EXPECT_TRUE(Call->Failure) << Cut << " " << Call->Body;
  }
}

// Guards against a failure that reaches the caller as a success: the beginning
// of a repeated answer became a part of the next status line (review/6).
TEST_F(channel_pool_test, Answer_BegunAgain_NextCallHasAnotherConnection) {
  std::string First = answer("a", "first", "Keep-Alive: timeout=5\r\n");
  for (size_t Cut = 1; Cut < First.size(); ++Cut) {
    answerWith(First + First.substr(0, Cut));
    EXPECT_TRUE(run("a")->Ended) << Cut;
    EXPECT_EQ(Pool.idleConnections(), 0u) << Cut;
    answerWith(failure("b"));
    auto Call = run("b");
    EXPECT_EQ(Call->Status, 500) << Cut;
    EXPECT_EQ(Call->Body, "failed") << Cut;
  }
}

// Guards against a whole answer that fails for what follows it.
TEST_F(channel_pool_test, Answer_FollowedByExcess_IsWhole) {
  for (const char *Excess :
       {"\r\n", "\r\n\r\n", "HTTP/1.1 500 x\r\nno field\r\n",
        "HTTP/1.1 000 x\r\n", "HTTP/2.0 200 OK\r\n"}) {
    answerWith(answer("a", "whole", "Keep-Alive: timeout=5\r\n") + Excess);
    auto Call = run("a");
    EXPECT_TRUE(Call->Ended) << Excess;
    EXPECT_EQ(Call->Body, "whole") << Excess;
    EXPECT_EQ(Pool.idleConnections(), 0u) << Excess;
  }
}

// Guards against a part of a body that passes for the whole one, because its
// length is too small.
TEST_F(channel_pool_test, Answer_LongerThanItsLength_IsNotWhole) {
  answerWith("HTTP/1.1 200 OK\r\nId: a\r\nContent-Length: 3\r\n\r\nwhole");
  EXPECT_EQ(run("a")->Failure, attempt_failure::Truncated);
}

// The same with bytes that come when the next request is already on its way.
TEST_F(channel_pool_test, LateBytes_BeforeTheNextAnswer_AreNoSuccess) {
  std::string First = answer("a", "first", "Keep-Alive: timeout=5\r\n");
  for (size_t Cut = 1; Cut < First.size(); ++Cut) {
    answerWith(First);
    EXPECT_TRUE(run("a")->Ended) << Cut;
    answerWith(First.substr(0, Cut) + failure("b"));
    auto Call = run("b");
    EXPECT_FALSE(Call->Ended && Call->Status != 500) << Cut;
    EXPECT_EQ(Pool.idleConnections(), 0u) << Cut;
  }
}

// Guards against a head with a line that is no field, which reached the caller
// as an answer.
TEST_F(channel_pool_test, Answer_HeadIsSpoilt_FailsTheCall) {
  for (const char *Line :
       {"Content-Length : 5", "a b: c", "no field", "Transfer-Encoding: chunke",
        "Content-Length: 5,5"}) {
    answerWith("HTTP/1.1 200 OK\r\nId: a\r\n" + std::string(Line) +
                   "\r\n\r\nhello",
               [](QTcpSocket *Socket) { Socket->disconnectFromHost(); });
    auto Call = run("a");
    EXPECT_EQ(Call->Failure, attempt_failure::Broken) << Line;
    EXPECT_EQ(Call->Status, 0) << Line;
  }
}

// The same within the body: the end of the answer follows as garbage.
TEST_F(channel_pool_test, Answer_WithAnotherOneWithin_IsNotWhole) {
  runFirst("old");
  std::string Own = answer("a", std::string(200, 'y'));
  answerWith(Own.substr(0, 100) + answer("old", "theirs") + Own.substr(100));
  EXPECT_EQ(run("a")->Failure, attempt_failure::Truncated);
}

TEST_F(channel_pool_test, Head_WithoutEnd_FailsTheCallAndItsConnection) {
  Server.answerWithoutEnd("HTTP/1.1 200 OK\r\nId: 1\r\n", "More: x\r\n");
  EXPECT_EQ(run("1")->Failure, attempt_failure::Broken);
  EXPECT_TRUE(waitUntil([&] { return Server.Closed == 1; }));
}

TEST_F(channel_pool_test, Heads_InterimWithoutEnd_FailTheCall) {
  Server.answerWithoutEnd("HTTP/1.1 100 Continue\r\n\r\n",
                          "HTTP/1.1 103 Early Hints\r\n\r\n");
  EXPECT_EQ(run("1")->Failure, attempt_failure::Broken);
  EXPECT_TRUE(waitUntil([&] { return Server.Closed == 1; }));
}

// Guards against a process that keeps bytes without end until its memory is
// used up.
TEST_F(channel_pool_test, HeadParts_WithoutEnd_FailTheCallAndItsConnection) {
  const char *Own = "HTTP/1.1 200 OK\r\nId: 1\r\n";
  const std::vector<std::pair<QByteArray, QByteArray>> Answers = {
      {"garbage", "garbage"},
      {"HTTP/1.1 200 ", "reason"},
      {Own, "a"},                                   // a field's name
      {QByteArray(Own) + "More: ", "value"},        // its value
      {Own, "x: y\r\n"},                            // fields
      {QByteArray(Own) + "More: x", "\r\n y"},      // folded lines
      {"HTTP/1.1 103 Early Hints\r\n", "x: y\r\n"}, // before the answer
      {"HTTP/1.1 102 Processing\r\n\r\n", "HTTP/1.1 102 Processing\r\n\r\n"},
  };
  for (const auto &[First, More] : Answers) {
    int Closed = Server.Closed;
    Server.answerWithoutEnd(First, More);
    EXPECT_TRUE(run("1")->Failure) << First.toStdString() << More.toStdString();
    EXPECT_TRUE(waitUntil([&] { return Server.Closed > Closed; }));
  }
}

TEST_F(channel_pool_test, ChunkSizes_WithoutEnd_TruncateTheAnswer) {
  QByteArray Head =
      "HTTP/1.1 200 OK\r\nId: 1\r\nTransfer-Encoding: chunked\r\n\r\n";
  for (const auto &[First, More] :
       {std::pair<QByteArray, QByteArray>{Head, "1"},
        {Head, "0"},
        {Head + "2;", "extension"},
        {Head + "2\r\nhi\r\n0\r\n", "x: y\r\n"}}) {
    int Closed = Server.Closed;
    Server.answerWithoutEnd(First, More);
    EXPECT_EQ(run("1")->Failure, attempt_failure::Truncated)
        << First.toStdString() << More.toStdString();
    EXPECT_TRUE(waitUntil([&] { return Server.Closed > Closed; }));
  }
}

// Guards against a 200 with an empty or short body, framed as whole.
TEST_F(channel_pool_test, Answer_StopsAnywhere_IsNeverWhole) {
  for (const std::string &Whole :
       {answer("a", "hello"),
        std::string("HTTP/1.1 200 OK\r\nId: a\r\nTransfer-Encoding: chunked"
                    "\r\n\r\n3\r\nhel\r\n2\r\nlo\r\n0\r\n\r\n")})
    for (size_t Cut = 0; Cut < Whole.size(); ++Cut) {
      answerWith(Whole.substr(0, Cut),
                 [](QTcpSocket *Socket) { Socket->disconnectFromHost(); });
      auto Call = run("a");
      EXPECT_TRUE(Call->Failure) << Whole.substr(0, Cut);
      EXPECT_FALSE(Call->Ended) << Whole.substr(0, Cut);
    }
}

TEST_F(channel_pool_test, Body_OfAnotherRequestWithoutEnd_FailsTheCall) {
  Server.answerWithoutEnd("HTTP/1.1 200 OK\r\nId: 0\r\n\r\n", "bytes");
  EXPECT_EQ(run("1")->Failure, attempt_failure::Broken);
  EXPECT_TRUE(waitUntil([&] { return Server.Closed == 1; }));
}

TEST_F(channel_pool_test, Trailers_WithoutEnd_TruncateTheAnswer) {
  Server.answerWithoutEnd("HTTP/1.1 200 OK\r\nId: 1\r\n"
                          "Transfer-Encoding: chunked\r\n\r\n2\r\nhi\r\n0\r\n",
                          "More: x\r\n");
  EXPECT_EQ(run("1")->Failure, attempt_failure::Truncated);
  EXPECT_TRUE(waitUntil([&] { return Server.Closed == 1; }));
}

TEST_F(channel_pool_test, Answer_LargeOfAnEarlierRequestFirst_IsDropped) {
  runFirst("0");
  answerWith(answer("0", std::string(max_bytes_before_answer / 2, 'x')) +
             answer("1", "mine"));
  EXPECT_EQ(run("1")->Body, "mine");
}

TEST_F(channel_pool_test, Answer_Twice_ConnectionIsNotUsedAgain) {
  answerWith(answer("a", "one") + answer("a", "two"));
  EXPECT_EQ(run("a")->Body, "one");
  answerWith(answer("b", "three"));
  EXPECT_EQ(run("b")->Body, "three");
  EXPECT_EQ(Server.Connections, 2);
}

TEST_F(channel_pool_test, Bytes_OnIdleConnection_EndIt) {
  answerWith(answer("a", "one", "Keep-Alive: timeout=5\r\n"),
             [](QTcpSocket *Socket) {
               QTimer::singleShot(30, Socket, [Socket] {
                 Socket->write("HTTP/1.1 200 OK\r\nId: a\r\n");
               });
             });
  run("a");
  EXPECT_TRUE(waitUntil([&] { return Pool.idleConnections() == 0; }));
}

} // namespace
} // namespace monsoonreel
