// `monsoonreel explain` against an entry in the same process.

#include <gtest/gtest.h>

#include "cli/commands.h"
#include "io/http_server.h"

namespace monsoonreel::cli {
namespace {

class explain_command_test : public testing::Test, public http_handler {
protected:
  explain_command_test() : Server(*this, http_bounds()) {
    Server.listen(QHostAddress::LocalHost, 0);
    Asked.Entry = "127.0.0.1:" + std::to_string(Server.port());
  }

  void handleRequest(const http_request &Request,
                     const std::shared_ptr<http_exchange> &Exchange) override {
    Target = Request.target();
    Last = Exchange;
    if (Status != 0)
      Exchange->answer(Status, {}, R"({"upstreams":[{"excluded":"paused"}]})");
  }

  int run() {
    testing::internal::CaptureStdout();
    testing::internal::CaptureStderr();
    int Exit = explainRequest(Asked);
    Printed = testing::internal::GetCapturedStdout();
    Error = testing::internal::GetCapturedStderr();
    return Exit;
  }

  http_server Server;
  explain_options Asked{"", "h", "/once/7", "secret", "4000,60", "", false};
  int Status = 200;
  std::string Target, Printed, Error;
  std::shared_ptr<http_exchange> Last;
};

// Guards against a failure that scripts take for an explanation, and against a
// key that is shown.
TEST_F(explain_command_test, Explanation_ArrivesOrNot_IsTheExitStatus) {
  for (int Each : {200, 404, 401, 503, 429, 0}) {
    Status = Each;
    EXPECT_EQ(run(), Each == 200 ? 0 : 1) << Each;
    EXPECT_EQ(Target, "/explain");
    EXPECT_EQ(Printed.find("paused") != std::string::npos, Each == 200);
    EXPECT_EQ(Error.empty(), Each == 200);
    EXPECT_EQ((Printed + Error).find("secret"), std::string::npos);
  }
}

// Guards against requests that the entry would take for others.
TEST_F(explain_command_test, Arguments_Wrong_ExitsWith2) {
  for (std::string explain_options::*Field :
       {&explain_options::Entry, &explain_options::Path,
        &explain_options::Tokens, &explain_options::Parts}) {
    std::string Right = std::exchange(Asked.*Field, "x");
    EXPECT_EQ(run(), 2);
    Asked.*Field = Right;
  }
  EXPECT_EQ(Target, "");
}

} // namespace
} // namespace monsoonreel::cli
