// The commands against a small platform in the same process.

#include "cli/commands.h"

#include <fstream>
#include <functional>
#include <vector>

#include <QTemporaryDir>

#include <gtest/gtest.h>

#include "cli/log_session.h"
#include "cli/text_diff.h"
#include "io/clock.h"
#include "io/http_server.h"

namespace monsoonreel::cli {
namespace {

const std::string first_document = R"(
classes:
  - {name: chat, tier: 0, first_token: 350ms, between_tokens: 61ms}
organisations:
  - {name: baths}
upstreams:
  - {name: m1, pool: planner, zone: north, address: "127.0.0.1:18001"}
routes:
  - {path: /v1/chat/completions, class: chat, idempotent: true}
)";
const std::string second_document = first_document + "# second\n";
const std::string third_document = first_document + "# third\n";

// An operator stream that can lose its answers after the effect.
class small_platform : public http_handler {
public:
  small_platform() : Server(*this, http_bounds()) {
    Server.listen(QHostAddress::LocalHost, 0);
  }
  address at() const {
    return address("127.0.0.1:" + std::to_string(Server.port()));
  }

  void handleRequest(const http_request &Request,
                     const std::shared_ptr<http_exchange> &Exchange) override {
    if (Request.Method == "POST") {
      if (BeforeAppend)
        std::exchange(BeforeAppend, nullptr)();
      Records.push_back(Request.Body);
      if (LoseAnswers-- > 0)
        return Exchange->abort();
      return Exchange->answer(
          200, {}, "{\"offset\":" + std::to_string(Records.size()) + "}");
    }
    size_t From = std::stoul(Request.parameter("from", "1"));
    size_t Shown = steadyNow() < HideUntil ? 0 : Records.size();
    std::string Items;
    for (size_t I = From; I <= Shown; ++I)
      Items +=
          (Items.empty() ? "" : ",") + std::string("{\"offset\":") +
          std::to_string(I) + ",\"data\":\"" +
          QByteArray::fromStdString(Records[I - 1]).toBase64().toStdString() +
          "\"}";
    Exchange->answer(200, {},
                     "{\"horizon\":1,\"end\":" + std::to_string(Shown + 1) +
                         ",\"records\":[" + Items + "]}");
  }

  std::vector<std::string> Records;
  int LoseAnswers = 0;
  // Reads show no records before.
  steady_time HideUntil;
  std::function<void()> BeforeAppend;

private:
  http_server Server;
};

class commands_test : public testing::Test {
protected:
  commands_test() {
    Options.Platform = Platform.at();
    Options.Timeout = std::chrono::seconds(5);
  }
  int apply(const std::string &Document) {
    std::string File = Folder.filePath("site.yaml").toStdString();
    std::ofstream(File) << Document;
    return applyFile(Options, File);
  }
  // What all nodes make of the log.
  ledger replayed() {
    ledger State(operator_stream);
    effect_list Effects;
    int64_t Offset = 0;
    for (const std::string &Record : Platform.Records)
      State.apply(log_offset{++Offset}, Record, Effects);
    return State;
  }

  QTemporaryDir Folder;
  small_platform Platform;
  options Options;
};

TEST_F(commands_test, Apply_Repeated_ChangesNothing) {
  EXPECT_EQ(apply(first_document), exit_done);
  EXPECT_EQ(apply(first_document), exit_done);
  EXPECT_EQ(Platform.Records.size(), 1U);
  EXPECT_EQ(replayed().document(), first_document);
}

TEST_F(commands_test, Apply_AnswerLostAfterTheEffect_CountsOnce) {
  Platform.LoseAnswers = 1;
  EXPECT_EQ(apply(first_document), exit_done);
  EXPECT_EQ(replayed().configOffset(), log_offset{1});
}

TEST_F(commands_test, Apply_RecordIsReadBackLate_FewCopiesAreAppended) {
  Platform.HideUntil = steadyNow() + std::chrono::milliseconds(500);
  EXPECT_EQ(apply(first_document), exit_done);
  EXPECT_LE(Platform.Records.size(), 5U);
  EXPECT_EQ(replayed().configOffset(), log_offset{1});
}

TEST_F(commands_test, Apply_AnotherEditCameFirst_IsAConflict) {
  ASSERT_EQ(apply(first_document), exit_done);
  Platform.BeforeAppend = [this] {
    wire::log_record Record;
    Record.Incarnation = 1;
    Record.Sequence = 1;
    wire::config_edit Edit;
    Edit.Base = 1;
    Edit.Document = third_document;
    Record.__set_ConfigEdit(Edit);
    Platform.Records.push_back(encodeRecord(Record));
  };
  EXPECT_EQ(apply(second_document), exit_conflict);
  EXPECT_EQ(replayed().document(), third_document);
}

TEST_F(commands_test, Apply_EditedFromAnOldVersion_IsAConflict) {
  ASSERT_EQ(apply(first_document), exit_done);
  ASSERT_EQ(apply(second_document), exit_done);
  EXPECT_EQ(apply("# version: 1\n" + third_document), exit_conflict);
  EXPECT_EQ(Platform.Records.size(), 2U);
  EXPECT_EQ(apply("# version: 2\n" + third_document), exit_done);
}

TEST_F(commands_test, Show_AppliedAgain_ChangesNothing) {
  ASSERT_EQ(apply(first_document), exit_done);
  testing::internal::CaptureStdout();
  ASSERT_EQ(showDocument(Options), exit_done);
  std::string Shown = testing::internal::GetCapturedStdout();
  EXPECT_EQ(Shown, "# version: 1\n" + first_document);
  EXPECT_EQ(apply(Shown), exit_done);
  EXPECT_EQ(Platform.Records.size(), 1U);
}

TEST_F(commands_test, Apply_DocumentWithFindings_IsNotAppended) {
  EXPECT_EQ(apply("classes: 7\n"), exit_findings);
  EXPECT_TRUE(Platform.Records.empty());
}

TEST_F(commands_test, Rollback_ToTheOneBefore_IsANewVersion) {
  ASSERT_EQ(apply(first_document), exit_done);
  ASSERT_EQ(apply(second_document), exit_done);
  EXPECT_EQ(rollback(Options, 0), exit_done);
  EXPECT_EQ(replayed().document(), first_document);
  EXPECT_EQ(replayed().configOffset(), log_offset{3});
}

TEST_F(commands_test, Version_NotAWholeNumber_IsRefused) {
  EXPECT_EQ(parseVersion("17"), 17);
  for (const char *Text :
       {"", "abc", "v17", "17a", "-1", "1.5", "99999999999999999999"})
    EXPECT_EQ(parseVersion(Text), std::nullopt) << Text;
}

TEST_F(commands_test, Key_GivenAndWithdrawn_IsNeverInTheLogItself) {
  ASSERT_EQ(apply(first_document), exit_done);
  EXPECT_EQ(giveKey(Options, "nobody"), exit_findings);
  testing::internal::CaptureStdout();
  ASSERT_EQ(giveKey(Options, "baths"), exit_done);
  std::string Shown = testing::internal::GetCapturedStdout();
  size_t Start = Shown.rfind("mr-");
  ASSERT_NE(Start, std::string::npos);
  std::string Key = Shown.substr(Start, Shown.find('\n', Start) - Start);
  EXPECT_GE(Key.size(), 43U);
  for (const std::string &Record : Platform.Records)
    EXPECT_EQ(Record.find(Key), std::string::npos);
  EXPECT_EQ(replayed().liveKeyCount(), 1U);
  std::string Id = replayed().state().Keys.at(0).KeyId;
  EXPECT_EQ(withdrawKey(Options, Id), exit_done);
  EXPECT_EQ(replayed().liveKeyCount(), 0U);
}

TEST_F(commands_test, Key_NotInForceInTime_IsShownBeforeTheWait) {
  ASSERT_EQ(apply(first_document), exit_done);
  Options.Nodes = {address("127.0.0.1:1")};
  Options.Timeout = std::chrono::milliseconds(100);
  testing::internal::CaptureStdout();
  EXPECT_EQ(giveKey(Options, "baths"), exit_not_everywhere);
  std::string Shown = testing::internal::GetCapturedStdout();
  EXPECT_LT(Shown.find("mr-"), Shown.find("127.0.0.1:1"));
}

TEST_F(commands_test, Platform_NotReachable_IsSaid) {
  Options.Platform = address("127.0.0.1:1");
  Options.Timeout = std::chrono::milliseconds(100);
  EXPECT_EQ(apply(first_document), exit_unreachable);
}

TEST_F(commands_test, Difference_OfTwoTexts_NamesTheirLines) {
  EXPECT_EQ(diffLines("a\nb\nc\n", "a\nx\nc\n"), " a\n-b\n+x\n c\n");
  EXPECT_EQ(diffLines("a\n", "a\n"), "");
}

} // namespace
} // namespace monsoonreel::cli
