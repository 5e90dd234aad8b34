#include "core/document_reader.h"

#include <gtest/gtest.h>

#include "config/documents.h"

namespace mangohold {
namespace {

TEST(DocumentReader, CollectsAllFindingsWithTheirPlace) {
  const std::string text = R"({
  // a comment, with "quotes" and { braces
  "kind": "banana",
  "concurrency_limit": 0,
  "cold_start": {
    "initial_limit": 4,
    "speed": 1
  },
  "repeatable_calls": [
    {"method": "GET"},
    {"path_prefix": "x"}
  ]
})";
  const Findings findings = CheckDocument("/services/drafts", text);
  EXPECT_EQ(findings.ToString(),
            "/services/drafts:3: /kind: must be one of: model, plain\n"
            "/services/drafts:11: /repeatable_calls/1/method: is required\n"
            "/services/drafts:11: /repeatable_calls/1/path_prefix: must start "
            "with '/'\n"
            "/services/drafts:4: /concurrency_limit: must be from 1 to 100000, "
            "not 0\n"
            "/services/drafts:7: /cold_start/speed: is not a known setting\n");
}

TEST(DocumentReader, ReportsTheLineOfASyntaxError) {
  const Findings findings = CheckDocument("/zones/suva", "{\n\"state\": ,\n}");
  ASSERT_EQ(findings.items().size(), 1U);
  EXPECT_EQ(findings.items()[0].line, 2);
}

TEST(DocumentReader, RefusesPathsOutsideTheTree) {
  for (const char* path : {"zones/suva", "/zones", "/zones/", "/planets/mars",
                           "/fleet/x", "/zones/a/b", "/zones/A"}) {
    EXPECT_FALSE(CheckDocument(path, "{}").empty()) << path;
  }
}

TEST(ServiceDocument, MatchesWholePathSegments) {
  ServiceDocument service;
  service.repeatable_calls = {{"GET", "/listings"}};
  EXPECT_TRUE(service.IsRepeatable("GET", "/listings"));
  EXPECT_TRUE(service.IsRepeatable("GET", "/listings/7"));
  EXPECT_FALSE(service.IsRepeatable("GET", "/listings-of-orders"));
  EXPECT_FALSE(service.IsRepeatable("POST", "/listings"));
}

}  // namespace
}  // namespace mangohold
