#include "monsoonreel/short_names.h"

#include <gtest/gtest.h>

#include <xxhash.h>

namespace monsoonreel {
namespace {

class short_names_test : public ::testing::Test {
protected:
  short_names_test() {
    Configuration.Classes[class_name("summary")];
    Configuration.Organisations[organisation_name("kitchen-17")];
    upstream &Member = Configuration.Upstreams[upstream_name("e1")];
    Member.Pool = pool_name("model");
    Member.Zone = zone_name("norte");
    Ask.Pool = "model@norte#0";
    Ask.ServiceClass = "summary";
    Ask.Organisation = "kitchen-17";
  }
  short_names names() const {
    return short_names::fromConfiguration(
        Configuration, pool_map::fromConfiguration(Configuration));
  }

  configuration Configuration;
  wire::slot_ask Ask;
};

TEST_F(short_names_test, Ask_ShortenedAndExpanded_IsTheSameAgain) {
  wire::slot_ask Sent = Ask;
  names().shorten(Sent);
  EXPECT_EQ(Sent.Pool.size() + Sent.ServiceClass.size() +
                Sent.Organisation.size(),
            15U);
  EXPECT_TRUE(names().expand(Sent));
  EXPECT_EQ(Sent, Ask);
}

TEST_F(short_names_test, Expand_NameOfAnotherConfiguration_Fails) {
  names().shorten(Ask);
  Configuration.Organisations.clear();
  Configuration.Organisations[organisation_name("kitchen-18")];
  EXPECT_FALSE(names().expand(Ask));
  Ask.Organisation = std::string("\0ab", 3);
  EXPECT_FALSE(names().expand(Ask));
}

TEST_F(short_names_test, Names_WithTheSameHash_AreSentInFull) {
  std::map<uint32_t, std::string> Seen;
  for (int I = 0;; ++I) {
    std::string Name = "organisation" + std::to_string(I);
    auto Hash = static_cast<uint32_t>(XXH3_64bits(Name.data(), Name.size()));
    auto [Place, New] = Seen.emplace(Hash, Name);
    if (New)
      continue;
    names().shorten(Ask);
    Ask.Organisation = Name;
    Configuration.Organisations[organisation_name(Name)];
    wire::slot_ask Short = Ask;
    names().shorten(Short); // no other name has the same hash yet
    Configuration.Organisations[organisation_name(Place->second)];
    names().shorten(Ask);
    EXPECT_EQ(Ask.Organisation, Name);
    EXPECT_FALSE(names().expand(Short));
    return;
  }
}

} // namespace
} // namespace monsoonreel
