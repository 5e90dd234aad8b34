// What a process makes of replies to its own calls: of engines to orders and
// reports, of the store, and of agents to entries.
#include <gtest/gtest.h>

#include <optional>
#include <string>

#include "core/counters.h"
#include "net/event_loop.h"
#include "odd_statuses.h"
#include "peer/messages.h"
#include "platform/engine_client.h"
#include "platform/store_client.h"

namespace mangohold {
namespace {

std::optional<OrderResult> ResultOfOrder(const std::string& answer) {
  FixedAnswerServer server(answer);
  EventLoop loop;
  HttpClient http(loop.io());
  Counters counters;
  platform::EngineClient engine(http, counters);
  std::optional<OrderResult> out;
  engine.Order(server.address(), {.kind = OrderKind::kArm},
               [&](OrderResult result) {
                 out = result;
                 loop.Stop();
               });
  loop.Run();
  return out;
}

// Guards against a pass with two maps: an order that an engine in trouble may
// have carried out, or may yet carry out, counts as refused, so that a
// successor undoes the switch past it (MAP).
TEST(ControlReplies, AnOrderIsRefusedByTheProtocolsOwnWordsOnly) {
  const auto result_of = [](const char* status) {
    return ResultOfOrder(AnswerWithStatus(status));
  };
  for (const char* status : {"400", "409", "412", "421"}) {
    EXPECT_EQ(result_of(status), OrderResult::kRefused) << status;
  }
  EXPECT_EQ(ResultOfOrder("HTTP/1.1 503 Odd\r\nContent-Length: 0\r\n"
                          "X-Mangohold-Not-Executed: 1\r\n\r\n"),
            OrderResult::kRefused);
  for (const char* status : {"200", "202"}) {
    EXPECT_EQ(result_of(status), OrderResult::kAccepted) << status;
  }
  for (const char* status : {"204", "302", "500", "502", "503", "504", "599"}) {
    EXPECT_EQ(result_of(status), OrderResult::kUnknown) << status;
  }
  for (const char* status : kOddStatuses) {
    EXPECT_EQ(result_of(status), OrderResult::kUnknown) << status;
  }
}

// Guards against a decision on a reply without a status: a report, an item, a
// lease or a change.
TEST(ControlReplies, NothingFollowsFromAReplyWithoutAStatus) {
  for (const char* status : kOddStatuses) {
    FixedAnswerServer server(AnswerWithStatus(status));
    EventLoop loop;
    HttpClient http(loop.io());
    Counters counters;
    platform::EngineClient engine(http, counters);
    platform::StoreClient store(http, {.url = server.url()}, counters);
    int left = 5;
    const auto finish = [&] {
      if (--left == 0) loop.Stop();
    };
    engine.Report(server.address(), [&](const auto& report) {
      EXPECT_FALSE(report.ok()) << status;
      finish();
    });
    store.List("a/", "", Freshness::kMayBeStale, [&](const auto& page) {
      EXPECT_FALSE(page.ok()) << status;
      finish();
    });
    store.Watch("a/", Revision(), Millis(10), [&](const auto& events) {
      EXPECT_FALSE(events.ok()) << status;
      finish();
    });
    store.Commit({.removals = {"a/b"}}, [&](const TransactionResult& result) {
      EXPECT_EQ(result.outcome, TransactionOutcome::kUnknown) << status;
      finish();
    });
    store.RenewLease(LeaseId(1), [&](LeaseState state) {
      EXPECT_EQ(state, LeaseState::kUnknown) << status;
      finish();
    });
    loop.Run();
    EXPECT_EQ(left, 0);
  }
}

// Guards against an agent's reply whose answer has no status and that an entry
// passes on (MIXED).
TEST(ControlReplies, AnAgentsAnswerWithoutAStatusIsNone) {
  for (const int status : {-20, 0, 1, 99, 100, 101, 199, 600, 999, 1000}) {
    EXPECT_FALSE(
        Decode<SubmitReply>(Encode(SubmitReply{.http_status = status})).ok())
        << status;
  }
  EXPECT_TRUE(
      Decode<SubmitReply>(Encode(SubmitReply{.http_status = 299})).ok());
  // A refusal brings no answer.
  EXPECT_TRUE(
      Decode<SubmitReply>(Encode(SubmitReply{.reason = Reason::kQueueFull}))
          .ok());
}

}  // namespace
}  // namespace mangohold
