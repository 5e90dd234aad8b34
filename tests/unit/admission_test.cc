#include "backend/admission.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <map>
#include <set>

#include "backend/ticket.h"
#include "core/random.h"

namespace mangohold {
namespace {

constexpr TimePoint kStart{std::chrono::hours(1)};

Arrival MakeArrival(std::uint64_t id, const std::string& workspace,
                    Millis time_left = Millis(60'000), int weight = 1) {
  return {.id = WorkId(id),
          .workspace = WorkspaceName(workspace),
          .weight = weight,
          .deadline = kStart + time_left};
}

TEST(Admission, SharesByWeightUnderABacklog) {
  Admission admission({.concurrency_limit = 1,
                       .queue_limit = 1000,
                       .cold_start = {.initial_limit = 1}});
  admission.Arrive(MakeArrival(1, "first"), kStart);
  for (std::uint64_t i = 0; i < 100; ++i) {
    admission.Arrive(MakeArrival(1000 + i, "large", Millis(60'000), 3), kStart);
  }
  for (std::uint64_t i = 0; i < 100; ++i) {
    admission.Arrive(MakeArrival(2000 + i, "small"), kStart);
  }
  std::map<bool, int>
      started;  // by whether the request is of the large workspace
  for (int i = 0; i < 80; ++i) {
    for (const WorkId id :
         admission.Finish(WorkResult::kServed, Millis(1), kStart).start) {
      ++started[id.value() < 2000];
    }
  }
  EXPECT_EQ(started[true], 60);
  EXPECT_EQ(started[false], 20);
}

TEST(Admission, FullQueueDisplacesTheLargestShare) {
  Admission admission({.concurrency_limit = 1, .queue_limit = 10});
  admission.Arrive(MakeArrival(1, "large"), kStart);
  for (std::uint64_t i = 2; i < 12; ++i) {
    EXPECT_EQ(admission.Arrive(MakeArrival(i, "large"), kStart).verdict,
              Admission::Verdict::kQueued);
  }
  EXPECT_EQ(admission.Arrive(MakeArrival(12, "large"), kStart).reason,
            Reason::kQueueFull);
  const auto decision = admission.Arrive(MakeArrival(13, "small"), kStart);
  EXPECT_EQ(decision.verdict, Admission::Verdict::kQueued);
  EXPECT_EQ(decision.displaced.value_or(ShedRequest{}).id, WorkId(11));
}

TEST(Admission, RefusesRequestsThatCannotMeetTheirDeadline) {
  Admission admission({.concurrency_limit = 1, .queue_limit = 100});
  admission.Arrive(MakeArrival(1, "a"), kStart);
  admission.Finish(WorkResult::kServed, Millis(100), kStart);  // sets the mean
  admission.Arrive(MakeArrival(2, "a"), kStart);
  const auto decision =
      admission.Arrive(MakeArrival(3, "a", Millis(120)), kStart);
  EXPECT_EQ(decision.reason, Reason::kDeadlineUnreachable);
  EXPECT_GE(decision.retry_after, Millis(100));
  EXPECT_EQ(admission.Arrive(MakeArrival(4, "a", Millis(200)), kStart).verdict,
            Admission::Verdict::kQueued);
}

TEST(Admission, ShedsQueuedRequestsAtTheirDeadline) {
  Admission admission({.concurrency_limit = 1});
  admission.Arrive(MakeArrival(1, "a"), kStart);
  admission.Arrive(MakeArrival(2, "a", Millis(50)), kStart);
  EXPECT_TRUE(admission.Advance(kStart + Millis(49)).shed.empty());
  const auto progress = admission.Advance(kStart + Millis(50));
  ASSERT_EQ(progress.shed.size(), 1U);
  EXPECT_EQ(progress.shed[0].reason, Reason::kDeadlineExceeded);
  EXPECT_EQ(admission.queued(), 0);
}

// Random operations: the concurrency limit holds at every immediate start, and
// each arrival is started, shed, removed or refused exactly once.
RC_GTEST_PROP(AdmissionProperty, EveryArrivalIsSettledOnceWithinTheLimits,
              (std::uint64_t seed)) {
  Random random(seed);
  Admission admission(
      {.concurrency_limit = 1 + static_cast<int>(random.Below(6)),
       .queue_limit = static_cast<int>(random.Below(8)),
       .cold_start = {.initial_limit = 1, .successes_per_step = 2}});
  std::set<std::uint64_t> waiting;
  std::set<std::uint64_t> running;
  const auto settle = [&](const Admission::Progress& progress) {
    for (const WorkId id : progress.start) {
      RC_ASSERT(waiting.erase(id.value()) == 1U);
      running.insert(id.value());
    }
    for (const ShedRequest& shed : progress.shed) {
      RC_ASSERT(waiting.erase(shed.id.value()) == 1U);
    }
  };
  TimePoint now = kStart;
  for (std::uint64_t id = 1; id < 300; ++id) {
    now += Millis(random.Below(5));
    const int limit_before = admission.limit();
    switch (random.Below(8)) {
      case 0:
      case 1:
      case 2: {
        const auto decision = admission.Arrive(
            {.id = WorkId(id),
             .workspace = WorkspaceName(std::to_string(random.Below(4))),
             .weight = 1 + static_cast<int>(random.Below(3)),
             .priority = static_cast<Priority>(random.Below(3)),
             .deadline = now + Millis(random.Below(60))},
            now);
        if (decision.displaced) {
          settle({.start = {}, .shed = {*decision.displaced}});
        }
        if (decision.verdict == Admission::Verdict::kRun) {
          running.insert(id);
          RC_ASSERT(static_cast<int>(running.size()) <= limit_before);
        }
        if (decision.verdict == Admission::Verdict::kQueued) waiting.insert(id);
        break;
      }
      case 3:
      case 4:
      case 5:
        if (!running.empty()) {
          running.erase(running.begin());
          settle(admission.Finish(static_cast<WorkResult>(random.Below(4)),
                                  Millis(random.Below(20)), now));
        }
        break;
      case 6:
        settle(admission.Advance(now));
        break;
      default:
        if (random.Below(4) == 0) admission.BecomeCold();
        if (!waiting.empty() && random.Below(2) == 0) {
          RC_ASSERT(admission.Remove(WorkId(*waiting.begin())));
          waiting.erase(waiting.begin());
        }
    }
    RC_ASSERT(admission.in_flight() == static_cast<int>(running.size()));
    RC_ASSERT(admission.queued() == static_cast<int>(waiting.size()));
  }
  for (const ShedRequest& shed : admission.ShedAll(Reason::kZoneOut)) {
    RC_ASSERT(waiting.erase(shed.id.value()) == 1U);
  }
  RC_ASSERT(waiting.empty());
}

TicketTable MakeTable(std::size_t max_tickets, std::size_t max_bytes) {
  return TicketTable({.agent = InstanceId("agent"),
                      .incarnation = Incarnation("one"),
                      .max_tickets = max_tickets,
                      .max_stored_bytes = max_bytes,
                      .max_response_bytes = 64});
}

// A new ticket, or an empty one if the table is full.
Ticket MintFrom(TicketTable& book) { return book.Mint().value_or(Ticket{}); }

TEST(TicketTable, EvictsTheOldestButNeverRequestsInProgress) {
  TicketTable book = MakeTable(2, 1000);
  const auto running = MintFrom(book);
  EXPECT_EQ(book.Submit(running, 1).verdict, TicketTable::Verdict::kRun);
  EXPECT_TRUE(book.Start(running.sequence));
  const auto open = MintFrom(book);
  const auto next = MintFrom(book);
  EXPECT_EQ(book.Submit(open, 1).verdict, TicketTable::Verdict::kUnknown);
  EXPECT_EQ(book.Submit(running, 1).verdict, TicketTable::Verdict::kInProgress);
  EXPECT_EQ(book.Submit(next, 1).verdict, TicketTable::Verdict::kRun);
  EXPECT_FALSE(book.Mint().has_value());
}

TEST(TicketTable, DoesNotReplayAResponseToAnotherRequest) {
  TicketTable book = MakeTable(10, 1000);
  const auto ticket = MintFrom(book);
  book.Submit(ticket, 1);
  book.Start(ticket.sequence);
  book.Finish(ticket.sequence,
              StoredResponse{.http_status = 200, .body = "mine"});
  EXPECT_EQ(book.Submit(ticket, 2).verdict, TicketTable::Verdict::kMismatch);
  Ticket forged = ticket;
  forged.secret = "guess";
  EXPECT_EQ(book.Submit(forged, 1).verdict, TicketTable::Verdict::kMismatch);
  EXPECT_EQ(book.Submit(ticket, 1).response->body, "mine");
}

// Random operations: a ticket is started at most once and never after it was
// voided, and both memory limits hold.
RC_GTEST_PROP(TicketProperty, RunsAtMostOnceInBoundedMemory,
              (std::uint64_t seed)) {
  Random random(seed);
  constexpr std::size_t kMaxTickets = 8;
  constexpr std::size_t kMaxBytes = 100;
  TicketTable book = MakeTable(kMaxTickets, kMaxBytes);
  std::vector<Ticket> tickets;
  std::map<std::uint64_t, int> runs;
  std::set<std::uint64_t> voided;
  for (int step = 0; step < 400; ++step) {
    if (tickets.empty() || random.Below(4) == 0) {
      if (const auto ticket = book.Mint()) tickets.push_back(*ticket);
      continue;
    }
    const Ticket& ticket = tickets[random.Below(tickets.size())];
    const std::uint64_t number = ticket.sequence.value();
    switch (random.Below(4)) {
      case 0:
        if (book.Submit(ticket, 1).verdict == TicketTable::Verdict::kRun) {
          RC_ASSERT(!voided.contains(number));
        }
        break;
      case 1:
        if (book.Start(ticket.sequence)) {
          RC_ASSERT(!voided.contains(number));
          RC_ASSERT(++runs[number] == 1);
        }
        break;
      case 2:
        if (book.Void(ticket) == TicketState::kVoid) {
          RC_ASSERT(runs[number] == 0);
          voided.insert(number);
        }
        break;
      default:
        book.Finish(ticket.sequence,
                    StoredResponse{.body = std::string(random.Below(80), 'x')});
    }
    RC_ASSERT(book.size() <= kMaxTickets);
    RC_ASSERT(book.stored_bytes() <= kMaxBytes);
  }
}

}  // namespace
}  // namespace mangohold
