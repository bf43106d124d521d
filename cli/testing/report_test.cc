// `monsoonreel report` over saved files and over running entries.

#include "cli/report.h"

#include <filesystem>
#include <fstream>
#include <sstream>

#include <QTemporaryDir>

#include <gtest/gtest.h>

#include "cli/report_render.h"
#include "io/http_server.h"

namespace monsoonreel::cli {
namespace {

std::string metrics(int Met, int Missed, const std::string &Class = "chat") {
  std::string Series = "monsoonreel_targets_total{class=\"" + Class +
                       "\",organisation=\"baths\"";
  return Series + ",met=\"yes\"} " + std::to_string(Met) + "\n" + Series +
         ",met=\"no\"} " + std::to_string(Missed) + "\n";
}

// An entry whose counter grows with each reading.
class growing_entry : public http_handler {
public:
  growing_entry() : Server(*this, http_bounds()) {
    Server.listen(QHostAddress::LocalHost, 0);
  }
  address at() const {
    return address("127.0.0.1:" + std::to_string(Server.port()));
  }
  void handleRequest(const http_request &,
                     const std::shared_ptr<http_exchange> &Exchange) override {
    ++Readings;
    Exchange->answer(Status, {}, metrics(10 * Readings, Readings));
  }

  int Readings = 0;
  int Status = 200;

private:
  http_server Server;
};

class report_test : public testing::Test {
protected:
  report_test() {
    Options.Json = true;
    Report.Objectives = "0.9";
  }
  void save(const std::string &Name, const std::string &Text) {
    std::filesystem::path File = path(Name);
    std::filesystem::create_directories(File.parent_path());
    std::ofstream(File) << Text;
  }
  std::string path(const std::string &Name) {
    return Folder.filePath(QString::fromStdString(Name)).toStdString();
  }
  // Runs the command; its output goes to Json, or else to Errors.
  int run() {
    testing::internal::CaptureStdout();
    testing::internal::CaptureStderr();
    int Status = printReport(Options, Report);
    Json = nlohmann::json::parse(testing::internal::GetCapturedStdout(),
                                 nullptr, false);
    Errors = testing::internal::GetCapturedStderr();
    return Status;
  }

  QTemporaryDir Folder;
  options Options;
  report_options Report;
  nlohmann::json Json;
  std::string Errors;
};

TEST_F(report_test, Folders_WholeInput_GivesRatesWithoutFindings) {
  for (const char *Entry : {"e1", "e2"}) {
    save(std::string(Entry) + "/1700000000", metrics(0, 0));
    save(std::string(Entry) + "/1700000060.prom", metrics(45, 5));
    save(std::string(Entry) + "/1700000120.txt", metrics(80, 20));
  }
  Report.Folders = {Folder.path().toStdString()};
  EXPECT_EQ(run(), exit_done) << Json.dump(2);
  const nlohmann::json &Class = Json["classes"][0];
  EXPECT_EQ(Class["met"], 160);
  EXPECT_EQ(Class["missed"], 40);
  EXPECT_NEAR(Class["burn_rate"].get<double>(), 2.0, 1e-9);
  EXPECT_EQ(Class["organisations"][0]["organisation"], "baths");
  EXPECT_EQ(Class["timeline"].size(), 60U);
  EXPECT_EQ(Json["entries"].size(), 2U);
}

TEST_F(report_test, Folders_BadInputs_AreNamedAndTheRestIsReported) {
  save("e1/1700000000", metrics(0, 0));
  save("e1/1700000060", metrics(45, 5));
  save("e1/1700000090", metrics(60, 6).substr(0, 20));
  save("e1/notes", "");
  std::filesystem::create_directory(path("e1/1700000100"));
  std::filesystem::create_directory(path("empty"));
  Report.Folders = {path("e1"), path("empty"), path("missing")};
  EXPECT_EQ(run(), exit_findings);
  EXPECT_EQ(Json["classes"][0]["met"], 45);
  std::string Findings = Json["findings"].dump();
  EXPECT_EQ(Json["findings"].size(), 5U) << Findings;
  for (const char *Part :
       {"e1/1700000090", "e1/notes", "e1/1700000100", "/empty", "/missing"})
    EXPECT_NE(Findings.find(Part), std::string::npos) << Part << Findings;
}

TEST_F(report_test, Folders_NothingUsable_IsNoReport) {
  Report.Folders = {path("missing")};
  EXPECT_EQ(run(), exit_findings);
  EXPECT_TRUE(Json.is_discarded());
  EXPECT_NE(Errors.find("missing: can't be listed"), std::string::npos);
}

TEST_F(report_test, Entries_OneDoesNotAnswer_IsNamedAndTheRestIsReported) {
  growing_entry Entry;
  growing_entry Broken;
  Broken.Status = 500;
  Report.Entries = {Entry.at(), Broken.at()};
  Report.Every = std::chrono::milliseconds(100);
  Report.For = std::chrono::milliseconds(500);
  EXPECT_EQ(run(), exit_findings);
  EXPECT_GE(Entry.Readings, 3);
  EXPECT_EQ(Json["classes"][0]["met"], 10 * (Entry.Readings - 1));
  ASSERT_EQ(Json["findings"].size(), 1U) << Json.dump(2);
  EXPECT_EQ(Json["findings"][0]["place"], Broken.at().Value);
}

TEST_F(report_test, Entries_NoneAnswers_IsUnreachable) {
  growing_entry Broken;
  Broken.Status = 503;
  Report.Entries = {Broken.at()};
  Report.Every = Report.For = std::chrono::milliseconds(100);
  EXPECT_EQ(run(), exit_unreachable);
  EXPECT_NE(Errors.find(Broken.at().Value), std::string::npos);
}

TEST_F(report_test, Objectives_FromFileAndFlag_FlagGoesFirst) {
  save("site.yaml", R"(
classes:
  - {name: chat, tier: 0, first_token: 350ms, objective: 0.8}
  - {name: booking, tier: 0, first_token: 1s, objective: 0.99}
)");
  save("e1/1700000000", metrics(0, 0));
  save("e1/1700000060", metrics(90, 10));
  Report.Folders = {path("e1")};
  Report.Site = path("site.yaml");
  Report.Objectives = "booking=0.5";
  EXPECT_EQ(run(), exit_done) << Json.dump(2);
  EXPECT_EQ(Json["classes"][0]["class"], "booking");
  EXPECT_EQ(Json["classes"][0]["objective"], 0.5);
  EXPECT_EQ(Json["classes"][1]["objective"], 0.8);
  Report.Objectives = "booking=1.5,chat=x";
  EXPECT_EQ(run(), exit_findings);
  EXPECT_EQ(Json["findings"].size(), 2U) << Json.dump(2);
}

TEST_F(report_test, Usage_NoOrTwoKindsOfInput_IsWrongUse) {
  EXPECT_EQ(run(), exit_usage);
  Report.Folders = {"a"};
  Report.Entries = {address("127.0.0.1:1")};
  EXPECT_EQ(run(), exit_usage);
  Report.Folders.clear();
  Report.Entries = {address("here")};
  EXPECT_EQ(run(), exit_usage);
}

TEST_F(report_test, Html_HostileNames_AreEscapedAndNothingIsLoaded) {
  save("e1/1700000000", metrics(0, 0, "<script>&"));
  save("e1/1700000060", metrics(90, 10, "<script>&"));
  Report.Folders = {path("e1")};
  Report.Html = path("burn.html");
  EXPECT_EQ(run(), exit_done) << Json.dump(2);
  std::ifstream Stream(Report.Html);
  std::ostringstream Page;
  Page << Stream.rdbuf();
  EXPECT_NE(Page.str().find("&lt;script&gt;&amp;"), std::string::npos);
  EXPECT_NE(Page.str().find("<path "), std::string::npos);
  for (const char *Part : {"<script", "src=", "href="})
    EXPECT_EQ(Page.str().find(Part), std::string::npos) << Part;
}

TEST_F(report_test, Text_ManyOrganisations_ShowsTheWorstOnes) {
  burn_report Burn;
  Burn.Classes.resize(1);
  for (int I = 0; I < 8; ++I)
    Burn.Classes[0].Organisations.push_back(
        {organisation_name("org-" + std::to_string(I)), {}});
  std::string Text = renderText(Burn);
  EXPECT_NE(Text.find("org-4"), std::string::npos);
  EXPECT_EQ(Text.find("org-5"), std::string::npos);
  EXPECT_NE(Text.find("and 3 organisations"), std::string::npos);
}

} // namespace
} // namespace monsoonreel::cli
