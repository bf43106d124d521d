// Checks that the reference page agrees with the readers and with the committed
// file.

#include "monsoonreel/configuration_page.h"

#include <algorithm>
#include <fstream>
#include <sstream>

#include <gtest/gtest.h>

namespace monsoonreel {
namespace {

class configuration_page_test : public testing::Test {
protected:
  const yaml_field *find(const std::string &Path) {
    auto Found =
        std::find_if(Fields.begin(), Fields.end(),
                     [&](const yaml_field &F) { return F.Path == Path; });
    return Found == Fields.end() ? nullptr : &*Found;
  }

  std::vector<yaml_field> Fields = configurationFields();
};

TEST_F(configuration_page_test, Fields_OfLists_HaveRangeAndDefault) {
  const yaml_field *Tier = find("classes[].tier");
  ASSERT_TRUE(Tier);
  EXPECT_EQ(Tier->Accepts, "a whole number from 0 to 3");
  EXPECT_FALSE(Tier->Default);
  const yaml_field *Kind = find("upstreams[].kind");
  ASSERT_TRUE(Kind);
  EXPECT_EQ(Kind->Accepts, "one of: engine service");
  EXPECT_EQ(Kind->Default, "engine");
}

TEST_F(configuration_page_test, Page_EveryField_HasAMeaning) {
  EXPECT_EQ(undocumentedFields(), std::vector<std::string>());
}

TEST_F(configuration_page_test, Page_CommittedFile_IsUpToDate) {
  std::ifstream Stream("docs/CONFIGURATION.md");
  ASSERT_TRUE(Stream);
  std::ostringstream Text;
  Text << Stream.rdbuf();
  EXPECT_EQ(Text.str(), configurationPage())
      << "run: monsoonreel reference >docs/CONFIGURATION.md";
}

} // namespace
} // namespace monsoonreel
