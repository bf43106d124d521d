#include "io/upstream_client.h"

#include <filesystem>
#include <iterator>
#include <optional>
#include <thread>
#include <vector>

#include <gtest/gtest.h>

#include <sys/socket.h>

#include "io/clock.h"
#include "io/testing/raw_server.h"
#include "io/testing/wait.h"

namespace monsoonreel {
namespace {

std::string okAnswer(const std::string &Body) {
  return "HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\nContent-Length: " +
         std::to_string(Body.size()) + "\r\n\r\n" + Body;
}

const std::string stream_head =
    "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\n";
const std::string token_event =
    "data: {\"choices\":[{\"delta\":{\"content\":\"word\"}}]}\n\n";

void closeAtOnce(QTcpSocket *Socket) { Socket->abort(); }

class upstream_client_test : public testing::Test, public upstream_listener {
protected:
  void onAttemptEvent(event_body Event) override {
    if (auto *Headers = std::get_if<attempt_headers>(&Event))
      Head = *Headers;
    if (auto *Chunk = std::get_if<attempt_chunk>(&Event)) {
      Body += Chunk->Data;
      Tokens += Chunk->Tokens;
    }
    if (std::holds_alternative<attempt_finished>(Event))
      ++Finished;
    if (auto *Failed = std::get_if<attempt_failed>(&Event))
      Failure = *Failed;
  }
  bool hasRoom(attempt_number /*Attempt*/) override { return Room; }

  upstream_request request(const std::string &Method, std::string Text = "") {
    upstream_request Request;
    Request.Attempt = attempt_number{++LastAttempt};
    Request.Address = Server.at();
    Request.Method = Method;
    Request.Target = "/x";
    Request.Body = std::move(Text);
    return Request;
  }
  bool waitForEnd() {
    return waitUntil([this] { return Finished > 0 || Failure; });
  }
  // Makes a connection that the next request can use again.
  void warmUp() {
    Server.OnRequest = [](QTcpSocket *Socket) {
      Socket->write(okAnswer("warm").c_str());
    };
    Client.start(request("GET"));
    ASSERT_TRUE(waitForEnd());
    Server.Requests.clear();
    Finished = 0;
  }
  void expectBrokenAndSentOnce() {
    ASSERT_TRUE(waitForEnd());
    ASSERT_TRUE(Failure);
    EXPECT_EQ(Failure->Failure, attempt_failure::Broken);
    EXPECT_EQ(Server.Requests.size(), 1U);
  }

  raw_server Server;
  upstream_client Client{*this};
  int64_t LastAttempt = 0;
  bool Room = true;
  std::optional<attempt_headers> Head;
  std::string Body;
  int Tokens = 0;
  int Finished = 0;
  std::optional<attempt_failed> Failure;
};

TEST_F(upstream_client_test, Post_ClosedWithoutAnswer_IsSentOnce) {
  Server.OnRequest = closeAtOnce;
  Client.start(request("POST", "{\"book\":1}"));
  expectBrokenAndSentOnce();
}

TEST_F(upstream_client_test, Post_ReusedConnectionClosed_IsSentOnce) {
  warmUp();
  Server.OnRequest = closeAtOnce;
  Client.start(request("POST", "{\"book\":1}"));
  expectBrokenAndSentOnce();
  EXPECT_EQ(Server.Connections, 1);
}

TEST_F(upstream_client_test, Get_ClosedWithoutAnswer_IsSentOnce) {
  Server.OnRequest = closeAtOnce;
  Client.start(request("GET"));
  expectBrokenAndSentOnce();
}

TEST_F(upstream_client_test, Delete_ReusedConnectionClosed_IsSentOnce) {
  warmUp();
  Server.OnRequest = closeAtOnce;
  Client.start(request("DELETE"));
  expectBrokenAndSentOnce();
}

TEST_F(upstream_client_test, Redirect_ToAnotherHost_IsTheAnswer) {
  raw_server Other;
  for (int Status : {302, 303, 307, 308}) {
    Finished = 0;
    Server.OnRequest = [&](QTcpSocket *Socket) {
      Socket->write(("HTTP/1.1 " + std::to_string(Status) +
                     " Moved\r\nLocation: http://" + Other.at().Value +
                     "/\r\nContent-Length: 0\r\n\r\n")
                        .c_str());
    };
    upstream_request Request = request("GET");
    Request.OwnHeaders = {{"Authorization", "Bearer own"}};
    Client.start(Request);
    ASSERT_TRUE(waitForEnd());
    EXPECT_EQ(Head->Status, Status);
    EXPECT_EQ(Finished, 1);
  }
  EXPECT_EQ(Other.Connections, 0);
}

TEST_F(upstream_client_test, CallerHeaders_WithCredentials_AreLeftOut) {
  upstream_request Request = request("POST", "{}");
  Request.CallerHeaders = {{"Authorization", "Bearer secret"},
                           {"Cookie", "secret"},
                           {"X-Api-Key", "secret"},
                           {"Host", "elsewhere"},
                           {"Idempotency-Key", "kept"}};
  Client.start(Request);
  ASSERT_TRUE(waitUntil([&] { return !Server.Requests.empty(); }));
  const std::string &Sent = Server.Requests[0];
  EXPECT_EQ(Sent.find("secret"), std::string::npos);
  EXPECT_EQ(Sent.find("elsewhere"), std::string::npos);
  EXPECT_NE(Sent.find("kept"), std::string::npos);
  EXPECT_NE(Sent.find("Accept-Encoding: identity"), std::string::npos);
  EXPECT_EQ(Sent.find("Mozilla"), std::string::npos);
}

TEST_F(upstream_client_test, Requests_ManyToASilentUpstream_AllArrive) {
  constexpr size_t count = 50;
  for (size_t I = 0; I < count; ++I)
    Client.start(request("POST", "{}"));
  EXPECT_TRUE(waitUntil([&] { return Server.Requests.size() == count; }));
}

TEST_F(upstream_client_test, Answer_Unread_HoldsItsSender) {
  constexpr qint64 answer_bytes = 64 << 20;
  constexpr qint64 held_bytes = 16 << 20;
  qint64 Taken = 0;
  QTcpSocket *Sender = nullptr;
  Server.OnRequest = [&](QTcpSocket *Socket) {
    Sender = Socket;
    Socket->write("HTTP/1.1 200 OK\r\nContent-Length: 67108864\r\n\r\n");
    QObject::connect(Socket, &QTcpSocket::bytesWritten,
                     [&](qint64 Bytes) { Taken += Bytes; });
    Socket->write(QByteArray(answer_bytes, 'x'));
  };
  Room = false;
  Client.start(request("GET"));
  ASSERT_TRUE(waitUntil([&] { return Head.has_value(); }));
  // The sender has stalled when it makes no progress between two looks.
  qint64 Before = -1;
  steady_time LastChange = steadyNow();
  ASSERT_TRUE(waitUntil([&] {
    if (std::exchange(Before, Taken) != Taken)
      LastChange = steadyNow();
    return steadyNow() - LastChange > std::chrono::milliseconds(300);
  }));
  EXPECT_LT(Taken, held_bytes);
  Room = true;
  Client.resume(attempt_number{LastAttempt});
  ASSERT_TRUE(waitForEnd());
  EXPECT_EQ(Body.size(), size_t{answer_bytes});
  EXPECT_EQ(Finished, 1);
}

TEST_F(upstream_client_test, Upstream_RefusesConnection_IsNeverSent) {
  upstream_request Request = request("POST", "{}");
  {
    raw_server Gone;
    Request.Address = Gone.at();
  }
  Client.start(Request);
  ASSERT_TRUE(waitForEnd());
  EXPECT_EQ(Failure->Failure, attempt_failure::NeverSent);
}

TEST_F(upstream_client_test, Answer_ShorterThanItsLength_IsTruncated) {
  Server.OnRequest = [](QTcpSocket *Socket) {
    Socket->write("HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nshort");
    Socket->disconnectFromHost();
  };
  Client.start(request("GET"));
  ASSERT_TRUE(waitForEnd());
  ASSERT_TRUE(Failure);
  EXPECT_EQ(Failure->Failure, attempt_failure::Truncated);
}

// Guards against a body that is not the upstream's, and against a part of an
// answer that passes for a whole one.
TEST_F(upstream_client_test, Answer_HeadIsSpoilt_IsNoAnswer) {
  for (const char *Line :
       {"Content-Length : 5", "Content-Length: 5a", "Content-Length: 5, 5",
        "Transfer-Encoding: chunke", "Transfer-Encoding: gzip", "a b: c",
        "a\x01: b", "no field"}) {
    Server.OnRequest = [Line](QTcpSocket *Socket) {
      Socket->write(("HTTP/1.1 200 OK\r\n" + std::string(Line) +
                     "\r\n\r\nhello, and more")
                        .c_str());
      Socket->disconnectFromHost();
    };
    Failure.reset();
    Finished = 0;
    Client.start(request("GET"));
    ASSERT_TRUE(waitForEnd()) << Line;
    EXPECT_TRUE(Failure) << Line;
    EXPECT_EQ(Finished, 0) << Line;
  }
}

TEST_F(upstream_client_test, StatusLine_Spoilt_IsNoAnswer) {
  for (const char *Line : {"HTTP/1.1 000 OK", "HTTP/1.1 600 OK",
                           "HTTP/3.1 200 OK", "HTTP/1.1 2000 OK"}) {
    Server.OnRequest = [Line](QTcpSocket *Socket) {
      Socket->write(
          (std::string(Line) + "\r\nContent-Length: 5\r\n\r\nhello").c_str());
      Socket->disconnectFromHost();
    };
    Failure.reset();
    Finished = 0;
    Client.start(request("GET"));
    ASSERT_TRUE(waitForEnd()) << Line;
    EXPECT_TRUE(Failure) << Line;
  }
}

TEST_F(upstream_client_test, Answer_WithoutLengthAndReset_IsTruncated) {
  Server.OnRequest = [](QTcpSocket *Socket) {
    Socket->write("HTTP/1.1 200 OK\r\n\r\npart");
    QTimer::singleShot(50, Socket, [Socket] {
      linger Now{1, 0};
      ::setsockopt(static_cast<int>(Socket->socketDescriptor()), SOL_SOCKET,
                   SO_LINGER, &Now, sizeof(Now));
      Socket->abort();
    });
  };
  Client.start(request("GET"));
  ASSERT_TRUE(waitForEnd());
  EXPECT_TRUE(Failure);
  EXPECT_EQ(Finished, 0);
}

TEST_F(upstream_client_test, Answer_EndsWithinAChunk_IsTruncated) {
  Server.OnRequest = [](QTcpSocket *Socket) {
    Socket->write("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
                  "5\r\nwhole\r\n");
    Socket->disconnectFromHost();
  };
  Client.start(request("GET"));
  ASSERT_TRUE(waitForEnd());
  ASSERT_TRUE(Failure);
  EXPECT_EQ(Failure->Failure, attempt_failure::Truncated);
}

TEST_F(upstream_client_test, TokenStream_WithoutItsLastEvent_IsTruncated) {
  Server.OnRequest = [](QTcpSocket *Socket) {
    Socket->write((stream_head + token_event + "data: {\"cho").c_str());
    Socket->disconnectFromHost();
  };
  upstream_request Request = request("POST", "{}");
  Request.TokenStream = true;
  Client.start(Request);
  ASSERT_TRUE(waitForEnd());
  ASSERT_TRUE(Failure);
  EXPECT_EQ(Failure->Failure, attempt_failure::Truncated);
  EXPECT_EQ(Body, token_event);
  EXPECT_EQ(Tokens, 1);
}

TEST_F(upstream_client_test, TokenStream_Whole_IsCountedAndFinished) {
  const std::string Events = token_event + token_event + "data: [DONE]\n\n";
  Server.OnRequest = [&](QTcpSocket *Socket) {
    Socket->write((stream_head + Events).c_str());
    Socket->disconnectFromHost();
  };
  upstream_request Request = request("POST", "{}");
  Request.TokenStream = true;
  Client.start(Request);
  ASSERT_TRUE(waitForEnd());
  EXPECT_EQ(Finished, 1) << Failure.value_or(attempt_failed{}).Detail << ' '
                         << Head.value_or(attempt_headers{}).Status;
  EXPECT_EQ(Body, Events);
  EXPECT_EQ(Tokens, 2);
}

TEST_F(upstream_client_test, ErrorStatus_WithBody_IsAWholeAnswer) {
  Server.OnRequest = [](QTcpSocket *Socket) {
    Socket->write("HTTP/1.1 503 Busy\r\nX-Not-Run: true\r\nRetry-After: 2\r\n"
                  "Content-Length: 4\r\n\r\nbusy");
  };
  Client.start(request("POST", "{}"));
  ASSERT_TRUE(waitForEnd());
  EXPECT_EQ(Finished, 1);
  EXPECT_EQ(Head->Status, 503);
  EXPECT_TRUE(Head->SaidNotRun);
  EXPECT_EQ(Head->RetryAfter, std::chrono::seconds(2));
  EXPECT_EQ(Body, "busy");
}

TEST_F(upstream_client_test, Cancel_WhileStreaming_ClosesTheConnection) {
  QTcpSocket *Sender = nullptr;
  Server.OnRequest = [&](QTcpSocket *Socket) {
    Sender = Socket;
    Socket->write((stream_head + token_event).c_str());
  };
  upstream_request Request = request("POST", "{}");
  Request.TokenStream = true;
  Client.start(Request);
  ASSERT_TRUE(waitUntil([&] { return Tokens == 1; }));
  Client.cancel(Request.Attempt);
  EXPECT_TRUE(waitUntil([&] { return Server.Closed == 1; }));
  EXPECT_EQ(Finished, 0);
  EXPECT_FALSE(Failure);
  EXPECT_EQ(Client.running(), 0U);
}

TEST_F(upstream_client_test, FreshConnection_AfterOthers_IsANewOne) {
  warmUp();
  upstream_request Request = request("GET");
  Request.FreshConnection = true;
  Client.start(Request);
  ASSERT_TRUE(waitForEnd());
  EXPECT_EQ(Finished, 1);
  EXPECT_EQ(Server.Connections, 2);
}

// Otherwise a thread of Qt's may run while the process ends, and crash it.
TEST_F(upstream_client_test, FreshConnection_ClientDestroyed_ThreadHasEnded) {
  auto CountThreads = [] {
    std::filesystem::directory_iterator Threads("/proc/self/task");
    return std::distance(begin(Threads), end(Threads));
  };
  Server.OnRequest = [](QTcpSocket *Socket) {
    Socket->write(okAnswer("once").c_str());
  };
  auto Before = CountThreads();
  {
    upstream_client Own(*this);
    upstream_request Request = request("GET");
    Request.FreshConnection = true;
    Own.start(Request);
    ASSERT_TRUE(waitForEnd());
  }
  // The system takes a moment to forget a thread. No event loop runs here.
  steady_time Deadline = steadyNow() + std::chrono::seconds(10);
  while (CountThreads() != Before && steadyNow() < Deadline)
    std::this_thread::yield();
  EXPECT_EQ(CountThreads(), Before);
}

} // namespace
} // namespace monsoonreel
