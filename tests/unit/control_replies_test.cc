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

std::string AnswerWithBody(const std::string& body) {
  return "HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(body.size()) +
         "\r\n\r\n" + body;
}

// Calls `ask` on a client of an engine that answers with `body`, and returns
// whether the answer was readable.
template <typename Ask>
bool IsReadable(const std::string& body, Ask ask) {
  FixedAnswerServer server(AnswerWithBody(body));
  EventLoop loop;
  HttpClient http(loop.io());
  Counters counters;
  platform::EngineClient engine(http, counters);
  bool is_readable = false;
  ask(engine, server.address(), [&](const auto& answer) {
    is_readable = answer.ok();
    loop.Stop();
  });
  loop.Run();
  return is_readable;
}

// Guards against a number of an engine that becomes another one when it is
// converted, or as many ranks or bytes as it says (issue 72, part 3).
TEST(ControlReplies, NumbersOfAnEngineOutOfRangeAreUnreadable) {
  const auto report = [](const std::string& rank, const std::string& size,
                         const std::string& step) {
    return IsReadable(
        R"({"group":{"name":"g","epoch":1,"state":"open","rank":)" + rank +
            R"(},"size":)" + size + R"(,"step":)" + step + R"(,"sequence":0})",
        [](auto& engine, const auto& at, auto on_answer) {
          engine.Report(at, on_answer);
        });
  };
  EXPECT_TRUE(report("11", "12", "812"));
  EXPECT_TRUE(report("0", "1", "18446744073709551615"));
  for (const char* odd : {"-1", "12", "4294967296", "1.5", "true", "1e300"}) {
    EXPECT_FALSE(report(odd, "12", "812")) << "rank " << odd;
  }
  for (const char* odd : {"0", "-1", "4097", "2000000000", "4294967308"}) {
    EXPECT_FALSE(report("0", odd, "812")) << "size " << odd;
  }
  for (const char* odd : {"-1", "1.5", "1e300", "18446744073709551616"}) {
    EXPECT_FALSE(report("0", "12", odd)) << "step " << odd;
  }
  const auto counts = [](const std::string& text) {
    return IsReadable(R"({"counts":[)" + text + "]}",
                      [](auto& engine, const auto& at, auto on_answer) {
                        engine.Counts(at, on_answer);
                      });
  };
  EXPECT_TRUE(counts("5120,88,940"));
  for (const char* odd : {"-1", "9223372036854775807", "0.5", "\"1\""}) {
    EXPECT_FALSE(counts(odd)) << "count " << odd;
  }
  const auto lists = [](const std::string& text) {
    return IsReadable(R"({"map":{"version":0,"experts":)" + text + "}}",
                      [](auto& engine, const auto& at, auto on_answer) {
                        engine.Holdings(at, on_answer);
                      });
  };
  EXPECT_TRUE(lists("[[0,2],[1]]"));
  for (const char* odd : {"[[-1]]", "[[4294967296]]", "[1]", "[[0.5]]", "{}"}) {
    EXPECT_FALSE(lists(odd)) << "lists " << odd;
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
