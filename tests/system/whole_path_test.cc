// The whole path in separate processes: caller, entry, agent, backend server.
#include <gtest/gtest.h>

#include <nlohmann/json.hpp>

#include "harness.h"

namespace mangohold::testing {
namespace {

const HttpFields kSales = {{"Mangohold-Workspace", "sales"},
                           {"Mangohold-Request-Id", "request-1"}};

TEST(WholePath, StreamsADraftFromAnEngine) {
  Site site({.engines = 1});
  site.Start();
  const HttpResponse response =
      Send(site.CallerAddress(0), "POST", "/v1/services/drafts/v1/generate",
           R"({"tokens": 3})", kSales);
  EXPECT_EQ(response.status, 200);
  EXPECT_EQ(FieldValue(response.fields, "Mangohold-Outcome"), "answered");
  EXPECT_EQ(FieldValue(response.fields, "Mangohold-Request-Id"), "request-1");
  EXPECT_EQ(response.body,
            "data: {\"request\":\"request-1\",\"token\":0}\n\n"
            "data: {\"request\":\"request-1\",\"token\":1}\n\n"
            "data: {\"request\":\"request-1\",\"token\":2}\n\n"
            "data: [DONE]\n\n");
}

TEST(WholePath, RunsABookingUnderATicket) {
  Site site({.services = 1});
  site.Start();
  const HttpResponse response =
      Send(site.CallerAddress(0), "POST", "/v1/services/bookings/viewings",
           "house 17", kSales);
  EXPECT_EQ(response.status, 200);
  const auto body = nlohmann::json::parse(response.body);
  EXPECT_EQ(body["request"], "request-1");
  EXPECT_EQ(body["run"], 1);
  EXPECT_EQ(Metric(site.AgentMetrics(0), "mangohold_tickets_minted_total"), 1);
}

TEST(WholePath, RefusesBadInputWithAReason) {
  Site site({.services = 1});
  site.Start();
  const Endpoint entry = site.CallerAddress(0);
  struct Case {
    std::string path;
    HttpFields fields;
    int status;
    std::string reason;
  };
  const std::vector<Case> cases = {
      {"/v1/services/nothing/x", kSales, 404, "unknown_service"},
      {"/v1/services/bookings/x",
       {{"Mangohold-Workspace", "nobody"}},
       403,
       "unknown_workspace"},
      {"/v1/services/bookings/x",
       {{"Mangohold-Workspace", "sales"}, {"Mangohold-Deadline-Ms", "-4"}},
       400,
       "bad_request"},
      {"/v1/services/bookings/x",
       {{"Mangohold-Workspace", "sales"}, {"Mangohold-Priority", "urgent"}},
       400,
       "bad_request"},
      {"/v1/services/bookings/x",
       {{"Mangohold-Workspace", "sales"}, {"Mangohold-Ticket", "forged"}},
       422,
       "ticket_mismatch"},
  };
  for (const Case& c : cases) {
    const HttpResponse response = Send(entry, "POST", c.path, "", c.fields);
    EXPECT_EQ(response.status, c.status) << c.reason;
    EXPECT_EQ(FieldValue(response.fields, "Mangohold-Reason"), c.reason);
    EXPECT_EQ(FieldValue(response.fields, "Mangohold-Outcome"), "not_run");
  }
}

TEST(WholePath, AsksForATicketWhereAKeyComesWithoutOne) {
  Site site({.services = 1});
  site.Start();
  HttpFields fields = kSales;
  fields.push_back({"Idempotency-Key", "viewing-17"});
  const HttpResponse refused =
      Send(site.CallerAddress(0), "POST", "/v1/services/bookings/viewings",
           "house 17", fields);
  EXPECT_EQ(refused.status, 428);
  const std::string ticket(FieldValue(refused.fields, "Mangohold-Ticket"));
  ASSERT_FALSE(ticket.empty());
  // Under the ticket the same request runs once, however often it is sent.
  fields.push_back({"Mangohold-Ticket", ticket});
  for (int i = 0; i < 3; ++i) {
    const HttpResponse response =
        Send(site.CallerAddress(0), "POST", "/v1/services/bookings/viewings",
             "house 17", fields);
    EXPECT_EQ(response.status, 200);
    EXPECT_EQ(nlohmann::json::parse(response.body)["run"], 1);
  }
}

}  // namespace
}  // namespace mangohold::testing
