// The whole path in one process: a caller, the runtime with a scripted node,
// and an upstream.

#include "io/node_runtime.h"

#include <functional>
#include <vector>

#include <gtest/gtest.h>

#include "io/testing/free_port.h"
#include "io/testing/raw_client.h"
#include "io/testing/raw_server.h"
#include "io/testing/wait.h"

namespace monsoonreel {
namespace {

// Sends each request to one upstream and passes the answer on.
class relay_node : public node {
public:
  explicit relay_node(address Address) : Upstream(std::move(Address)) {}

  void handle(const event &Event, effect_list &Effects) override {
    if (auto *Arrived = std::get_if<request_arrived>(&Event.Body)) {
      Requests.push_back(*Arrived);
      Stream = Arrived->Stream;
      if (Refusal) {
        Refusal->Request = Arrived->Request;
        return Effects.push_back(*Refusal);
      }
      dispatch_attempt Dispatch;
      Dispatch.Attempt = attempt_number{Arrived->Request.Value};
      Dispatch.Request = Arrived->Request;
      Dispatch.Address = Upstream;
      Dispatch.Priority = 2;
      Effects.push_back(Dispatch);
    }
    if (auto *Gone = std::get_if<caller_disconnected>(&Event.Body)) {
      Effects.push_back(cancel_attempt{attempt_number{Gone->Request.Value}});
      ++CallersGone;
    }
    if (auto *Head = std::get_if<attempt_headers>(&Event.Body))
      Effects.push_back(begin_answer{request_id{Head->Attempt.Value},
                                     Head->Status, Head->ContentType, Stream,
                                     upstream_name("u1")});
    if (auto *Chunk = std::get_if<attempt_chunk>(&Event.Body))
      Effects.push_back(
          write_answer{request_id{Chunk->Attempt.Value}, Chunk->Data});
    if (auto *End = std::get_if<attempt_finished>(&Event.Body))
      Effects.push_back(finish_answer{request_id{End->Attempt.Value}});
    if (auto *Failed = std::get_if<attempt_failed>(&Event.Body))
      Effects.push_back(
          abort_answer{request_id{Failed->Attempt.Value}, Failed->Detail});
    if (std::holds_alternative<tick>(Event.Body))
      ++Ticks;
  }
  std::string statusJson() const override { return "{\"ready\":true}"; }

  address Upstream;
  std::optional<refuse_request> Refusal;
  std::vector<request_arrived> Requests;
  bool Stream = false;
  int CallersGone = 0;
  int Ticks = 0;
};

class node_runtime_test : public testing::Test {
protected:
  node_runtime_test() {
    Settings.Name = node_name("entry-1");
    Settings.Listen = freeLoopback();
    Settings.Peer = freeLoopback();
    Settings.Admin = freeLoopback();
    Settings.Platform = freeLoopback();
    Runtime =
        std::make_unique<node_runtime>(identityOf(Settings), Settings, Node);
    Started = Runtime->start();
  }
  void SetUp() override { ASSERT_TRUE(Started); }

  static std::string chat(const std::string &Body,
                          const std::string &Fields = "") {
    return "POST /v1/chat/completions HTTP/1.1\r\nAuthorization: Bearer "
           "caller-key\r\n" +
           Fields + "Content-Length: " + std::to_string(Body.size()) +
           "\r\n\r\n" + Body;
  }

  settings Settings;
  raw_server Upstream;
  relay_node Node{Upstream.at()};
  std::unique_ptr<node_runtime> Runtime;
  bool Started = false;
};

TEST_F(node_runtime_test, ChatRequest_Streamed_PassesThroughWhole) {
  const std::string Events =
      "data: {\"choices\":[{\"delta\":{\"content\":\"a\"}}]}\n\n"
      "data: [DONE]\n\n";
  Upstream.OnRequest = [&](QTcpSocket *Socket) {
    Socket->write(("HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n"
                   "Transfer-Encoding: chunked\r\n\r\n" +
                   QByteArray::number(qsizetype(Events.size()), 16) + "\r\n" +
                   QByteArray::fromStdString(Events) + "\r\n0\r\n\r\n"));
  };
  raw_client Client(Runtime->callerPort());
  Client.send(chat("{\"model\":\"m\",\"stream\":true,\"max_tokens\":7,"
                   "\"messages\":[{\"content\":\"12345678\"}]}",
                   "X-Service-Class: drafts\r\nX-Request-Timeout-Ms: 250\r\n"
                   "Idempotency-Key: k1\r\n"));
  ASSERT_TRUE(Client.waitFor("data: [DONE]\n\n\r\n0\r\n\r\n"));
  EXPECT_TRUE(Client.received("X-Upstream: u1\r\n"));
  ASSERT_EQ(Node.Requests.size(), 1U);
  const request_arrived &Event = Node.Requests[0];
  EXPECT_EQ(Event.Model, "m");
  EXPECT_EQ(Event.Class, class_name("drafts"));
  EXPECT_EQ(Event.Timeout, std::chrono::milliseconds(250));
  EXPECT_EQ(Event.IdempotencyKey, "k1");
  EXPECT_EQ(Event.MaxTokens, 7);
  EXPECT_EQ(Event.PromptTokens, 2);
  EXPECT_EQ(Event.Key->Value.size(), 32U);
  const std::string &Sent = Upstream.Requests.at(0);
  EXPECT_NE(Sent.find("X-Priority: 2"), std::string::npos);
  EXPECT_EQ(Sent.find("caller-key"), std::string::npos);
}

TEST_F(node_runtime_test, ServiceRequest_AnyPath_GetsItsWholeAnswer) {
  Upstream.OnRequest = [](QTcpSocket *Socket) {
    Socket->write("HTTP/1.1 201 Created\r\nContent-Length: 6\r\n\r\nbooked");
  };
  raw_client Client(Runtime->callerPort());
  Client.send("PUT /surveys/7?day=2 HTTP/1.1\r\nContent-Length: 2\r\n\r\n{}");
  ASSERT_TRUE(Client.waitFor("Content-Length: 6\r\n\r\nbooked"));
  EXPECT_TRUE(Client.bytes().starts_with("HTTP/1.1 201 "));
  EXPECT_TRUE(Upstream.Requests.at(0).starts_with("PUT /surveys/7?day=2 "));
  EXPECT_FALSE(Node.Requests.at(0).Key);
}

TEST_F(node_runtime_test, Refusal_WithRetryTime_NamesOutcomeAndTime) {
  Node.Refusal = refuse_request{{},
                                429,
                                "queue-full",
                                "come \"back\"",
                                execution_outcome::NotRun,
                                std::chrono::milliseconds(1200)};
  raw_client Client(Runtime->callerPort());
  Client.send("GET /x HTTP/1.1\r\n\r\n");
  ASSERT_TRUE(Client.waitFor("\"outcome\":\"not-run\""));
  EXPECT_TRUE(Client.received("X-Outcome: not-run\r\n"));
  EXPECT_TRUE(Client.received("Retry-After: 2\r\n"));
  EXPECT_TRUE(Client.received("Retry-After-Ms: 1200\r\n"));
  EXPECT_TRUE(Client.received("\"code\":\"queue-full\""));
}

TEST_F(node_runtime_test, MalformedRequest_OfACaller_IsRefusedAtTheEdge) {
  const std::vector<std::pair<std::string, std::string>> Cases = {
      {chat("{\"model\":"), "malformed-body"},
      {chat("{}"), "missing-model"},
      {chat("{\"model\":\"m\"}", "X-Request-Timeout-Ms: -3\r\n"),
       "malformed-timeout"},
      {chat("{\"model\":\"m\"}", "Idempotency-Key: \r\n"),
       "malformed-idempotency-key"},
      {"GET /x?key=abc HTTP/1.1\r\nAuthorization: Bearer abc\r\n\r\n",
       "key-outside-authorization"},
      {"GET /x HTTP/1.1\r\nAuthorization: Basic abc\r\n\r\n", "malformed-key"},
  };
  for (const auto &[Input, Code] : Cases) {
    raw_client Client(Runtime->callerPort());
    Client.send(Input);
    EXPECT_TRUE(Client.waitFor("\"code\":\"" + Code + "\"")) << Input;
    EXPECT_TRUE(Client.received("\"outcome\":\"not-run\"")) << Input;
  }
  EXPECT_TRUE(Node.Requests.empty());
}

TEST_F(node_runtime_test, Caller_Leaves_CancelsItsUpstreamRequest) {
  raw_client Client(Runtime->callerPort());
  Client.send("GET /slow HTTP/1.1\r\n\r\n");
  ASSERT_TRUE(waitUntil([&] { return Upstream.Requests.size() == 1; }));
  Client.close();
  EXPECT_TRUE(waitUntil([&] { return Upstream.Closed == 1; }));
  EXPECT_EQ(Node.CallersGone, 1);
}

TEST_F(node_runtime_test, Upstream_BreaksOffAStream_CallerSeesNoProperEnd) {
  Upstream.OnRequest = [](QTcpSocket *Socket) {
    Socket->write("HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\n"
                  "data: {\"a\":1}\n\n");
    Socket->disconnectFromHost();
  };
  raw_client Client(Runtime->callerPort());
  Client.send(chat("{\"model\":\"m\",\"stream\":true}"));
  EXPECT_TRUE(Client.waitForClose());
  EXPECT_TRUE(Client.received("data: {\"a\":1}"));
  EXPECT_FALSE(Client.received("0\r\n\r\n"));
}

TEST_F(node_runtime_test, SlowCaller_OfALongAnswer_SlowsItsUpstreamOnly) {
  constexpr qint64 answer_bytes = 64 << 20;
  qint64 Taken = 0;
  Upstream.OnRequest = [&](QTcpSocket *Socket) {
    QObject::connect(Socket, &QTcpSocket::bytesWritten,
                     [&](qint64 Bytes) { Taken += Bytes; });
    Socket->write("HTTP/1.1 200 OK\r\nContent-Length: 67108864\r\n\r\n");
    Socket->write(QByteArray(answer_bytes, 'x'));
  };
  raw_client Client(Runtime->callerPort());
  Client.stopReading();
  Client.send("GET /long HTTP/1.1\r\n\r\n");
  qint64 Before = -1;
  steady_time LastChange = steadyNow();
  ASSERT_TRUE(waitUntil([&] {
    if (Taken == 0 || std::exchange(Before, Taken) != Taken)
      LastChange = steadyNow();
    return steadyNow() - LastChange > std::chrono::milliseconds(300);
  }));
  EXPECT_LT(Taken, answer_bytes / 2);
  raw_client Other(Runtime->adminPort());
  Other.send("GET /healthz HTTP/1.1\r\n\r\n");
  EXPECT_TRUE(Other.waitFor("200 OK"));
}

TEST_F(node_runtime_test, AdminPort_EachPath_Answers) {
  ASSERT_TRUE(waitUntil([&] { return Node.Ticks > 2; }));
  raw_client Client(Runtime->adminPort());
  Client.send("GET /readyz HTTP/1.1\r\n\r\n");
  ASSERT_TRUE(Client.waitFor("ready\n"));
  Client.send("GET /status HTTP/1.1\r\n\r\n");
  ASSERT_TRUE(Client.waitFor("{\"ready\":true}"));
  Client.send("GET /metrics HTTP/1.1\r\n\r\n");
  ASSERT_TRUE(Client.waitFor("monsoonreel_caller_connections 0"));
  ASSERT_TRUE(Client.waitFor("\nprocess_start_time_seconds "));
  Client.send("GET /other HTTP/1.1\r\n\r\n");
  ASSERT_TRUE(Client.waitFor("HTTP/1.1 404"));
  Runtime->drain();
  Client.send("GET /readyz HTTP/1.1\r\n\r\n");
  EXPECT_TRUE(Client.waitFor("HTTP/1.1 503"));
}

} // namespace
} // namespace monsoonreel
