// A whole session against its golden file: what a caller sees of each outcome.
// To take a new transcript as the golden one, run with
// MANGOHOLD_UPDATE_GOLDEN=1 and read the difference.
#include <gtest/gtest.h>

#include <cstdlib>
#include <fstream>
#include <regex>

#include "core/command_line.h"
#include "harness.h"

namespace mangohold::testing {
namespace {

// Tickets and revisions differ between runs, as do hints of time.
std::string Normalised(std::string text) {
  text = std::regex_replace(
      text, std::regex("backend-[0-9]+,[0-9a-f]+,[0-9]+,[0-9a-f]+"), "TICKET");
  text =
      std::regex_replace(text, std::regex("127\\.[0-9.]+:[0-9]+"), "ADDRESS");
  return std::regex_replace(text, std::regex("(retry_after_ms\":)[0-9]+"),
                            "$1N");
}

class Session {
 public:
  explicit Session(const Site& site) : site_(site) {}

  HttpResponse Request(const std::string& method, const std::string& path,
                       const std::string& body, HttpFields fields = {}) {
    fields.push_back({"Mangohold-Workspace", "sales"});
    fields.push_back(
        {"Mangohold-Request-Id", "request-" + std::to_string(++requests_)});
    HttpResponse response =
        Send(site_.CallerAddress(0), method, path, body, fields);
    transcript_ += "> " + method + ' ' + path + '\n' + body + '\n';
    transcript_ += "< " + std::to_string(response.status) + '\n';
    for (const char* name :
         {"Mangohold-Outcome", "Mangohold-Reason", "Mangohold-Request-Id",
          "Mangohold-Ticket", "Content-Type"}) {
      const std::string_view value = FieldValue(response.fields, name);
      if (value.empty()) continue;
      transcript_ += std::string(name) + ": " + std::string(value) + '\n';
    }
    transcript_ += response.body + '\n';
    return response;
  }

  std::string transcript() const { return Normalised(transcript_); }

 private:
  const Site& site_;
  int requests_ = 0;
  std::string transcript_;
};

TEST(Golden, SessionOfTheDemo) {
  Site site({.engines = 1, .services = 1});
  site.Start();
  Session session(site);
  session.Request("GET", "/v1/entries", "");
  session.Request("POST", "/v1/services/drafts/v1/generate",
                  R"({"tokens": 3})");
  session.Request("POST", "/v1/services/bookings/viewings", "house 17");
  const HttpResponse asked =
      session.Request("POST", "/v1/services/bookings/viewings", "house 18",
                      {{"Idempotency-Key", "viewing-18"}});
  const std::string ticket(FieldValue(asked.fields, "Mangohold-Ticket"));
  // The request's content is bound to the ticket, its id is not.
  for (const char* body : {"house 18", "house 18", "house 19"}) {
    session.Request("POST", "/v1/services/bookings/viewings", body,
                    {{"Mangohold-Ticket", ticket}});
  }
  session.Request("POST", "/v1/services/bookings/viewings?refuse=1", "");
  session.Request("POST", "/v1/services/bookings/viewings?drop=1", "");
  session.Request("POST", "/v1/services/bookings/viewings?delay_ms=5000", "",
                  {{"Mangohold-Deadline-Ms", "200"}});
  session.Request("POST", "/v1/services/nothing/x", "");
  EXPECT_EQ(site.PutDocument("/services/bookings", ""), 200);

  const std::string path = std::string(MANGOHOLD_GOLDEN_DIR) + "/demo.txt";
  if (std::getenv("MANGOHOLD_UPDATE_GOLDEN") != nullptr) {
    std::ofstream(path) << session.transcript();
  }
  EXPECT_EQ(session.transcript(), ReadFile(path).value_or(""));
}

}  // namespace
}  // namespace mangohold::testing
