// Runs the ticket protocol of the production classes under random schedules:
// gates restart, messages are lost, delayed or reordered, callers resubmit.
// Guards against a request that runs twice, or that runs after it was reported
// as not run. The model of the same protocol is specs/ticket.pml.
#include <gtest/gtest.h>

#include <deque>
#include <map>
#include <memory>

#include "backend/gate.h"
#include "core/random.h"
#include "routing/attempt_policy.h"

namespace mangohold {
namespace {

const ServiceName kService("bookings");
const WorkspaceName kWorkspace("sales");
constexpr int kAgents = 2;

ConfigurationPtr BookingConfiguration() {
  ConfigTree tree;
  tree.Apply({.documents = {{.path = "/services/bookings",
                             .revision = Revision(1),
                             .text = R"({"concurrency_limit": 1,
                                "queue_limit": 1, "max_attempts": 3})"},
                            {.path = "/workspaces/sales",
                             .revision = Revision(2),
                             .text = "{}"}},
              .complete_through = Revision(2)});
  return tree.configuration();
}

// An agent that can be restarted as a new incarnation.
struct Agent {
  int index = 0;
  int incarnation = 0;
  std::unique_ptr<Gate> gate;

  void Restart(TimePoint now) {
    gate = std::make_unique<Gate>(Gate::Options{
        .instance = InstanceId("agent-" + std::to_string(index)),
        .service = kService,
        .zone = ZoneName("suva"),
        .tickets = {
            .agent = InstanceId(std::to_string(index)),
            .incarnation = Incarnation(std::to_string(index) + "/" +
                                       std::to_string(++incarnation))}});
    gate->SetConfiguration(BookingConfiguration(), now);
    gate->Confirm(now + std::chrono::hours(1));
  }
};

// A message in transit to an agent.
struct Message {
  enum class Kind { kMint, kSubmit, kVoid };
  Kind kind;
  int entry;
  int stream;  // a reply is dropped unless this is the entry's latest stream
  int agent;
  std::string ticket;
};

// An entry that handles the request, with its own tickets or with the caller's.
struct Entry {
  std::unique_ptr<AttemptPolicy> policy;
  std::string caller_ticket;
  std::string ticket;
  int agent = 0;
  int stream = 0;
  bool is_waiting = false;
  Message::Kind waiting_for = Message::Kind::kMint;
  bool has_ended = false;
  Action end;
};

class Schedule {
 public:
  explicit Schedule(std::uint64_t seed) : random_(seed) {
    for (int i = 0; i < kAgents; ++i) {
      agents_[i].index = i;
      agents_[i].Restart(now_);
    }
  }

  void Run(bool has_caller_ticket) {
    entries_.resize(2);
    if (has_caller_ticket) {
      const std::string ticket = MintNow(0);
      Begin(entries_[0], ticket);
      Begin(entries_[1], ticket);
    } else {
      Begin(entries_[0], "");
    }
    for (int step = 0; step < 200; ++step) Step();
    Check(has_caller_ticket);
  }

 private:
  std::string MintNow(int agent) {
    return agents_[agent].gate->Mint({.service = kService}, now_).ticket;
  }

  void Begin(Entry& entry, const std::string& caller_ticket) {
    entry.caller_ticket = entry.ticket = caller_ticket;
    entry.policy = std::make_unique<AttemptPolicy>(
        AttemptPolicy::Options{.has_caller_ticket = !caller_ticket.empty()});
    Do(entry, entry.policy->Begin());
  }

  void Send(Entry& entry, Message::Kind kind) {
    const int index = static_cast<int>(&entry - entries_.data());
    entry.is_waiting = true;
    entry.waiting_for = kind;
    messages_.push_back(
        {kind, index, ++entry.stream, entry.agent, entry.ticket});
  }

  void Do(Entry& entry, const Action& action) {
    switch (action.step) {
      case Step::kMint:
        entry.agent = static_cast<int>(random_.Below(kAgents));
        return Send(entry, Message::Kind::kMint);
      case Step::kSubmitTicket:
        return Send(entry, Message::Kind::kSubmit);
      case Step::kVoid:
        return Send(entry, Message::Kind::kVoid);
      case Step::kFinish:
        entry.has_ended = true;
        entry.end = action;
        if (action.outcome == Outcome::kNotRun) OnReportedNotRun(entry);
        return;
      default:
        return;
    }
  }

  void OnReportedNotRun(const Entry& entry) {
    if (entry.caller_ticket.empty()) {
      EXPECT_EQ(runs_, 0);
      is_reported_not_run_ = true;
      return;
    }
    EXPECT_EQ(runs_of_ticket_[entry.caller_ticket], 0);
    reported_not_run_[entry.caller_ticket] = true;
    // The caller resubmits once, with a new ticket.
    if (has_resubmitted_) return;
    has_resubmitted_ = true;
    Message message{Message::Kind::kSubmit, -1, 0, 1, MintNow(1)};
    messages_.push_back(message);
  }

  void Step() {
    const std::uint64_t choice = random_.Below(20);
    if (choice == 0) {
      Agent& agent = agents_[random_.Below(kAgents)];
      jobs_.erase(agent.index);
      agent.Restart(now_);
    } else if (choice < 3) {
      BreakLink(entries_[random_.Below(entries_.size())]);
    } else if (choice < 8) {
      FinishJob(static_cast<int>(random_.Below(kAgents)));
    } else if (!messages_.empty()) {
      const std::size_t index = random_.Below(messages_.size());
      const Message message = messages_[index];
      messages_.erase(messages_.begin() + static_cast<std::ptrdiff_t>(index));
      Deliver(message);
    }
  }

  void BreakLink(Entry& entry) {
    if (!entry.is_waiting || entry.has_ended) return;
    entry.is_waiting = false;
    ++entry.stream;
    Do(entry, entry.policy->OnLinkBroken());
  }

  Entry* TakeListener(const Message& message) {
    if (message.entry < 0) return nullptr;
    Entry& entry = entries_[static_cast<std::size_t>(message.entry)];
    const bool listens =
        entry.is_waiting && entry.stream == message.stream && !entry.has_ended;
    if (listens) entry.is_waiting = false;
    return listens ? &entry : nullptr;
  }

  void Deliver(const Message& message) {
    Gate& gate = *agents_[message.agent].gate;
    switch (message.kind) {
      case Message::Kind::kMint: {
        const TicketReply reply = gate.Mint({.service = kService}, now_);
        Entry* entry = TakeListener(message);
        if (entry == nullptr) return;
        entry->ticket = reply.ticket;
        return Do(*entry, entry->policy->OnMinted());
      }
      case Message::Kind::kVoid: {
        const auto ticket = TicketFromText(message.ticket);
        const TicketState state = gate.Void(*ticket);
        if (Entry* entry = TakeListener(message)) {
          Do(*entry, entry->policy->OnVoided(state));
        }
        return;
      }
      case Message::Kind::kSubmit:
        return Submit(message, gate);
    }
  }

  void Submit(const Message& message, Gate& gate) {
    const WorkId id(++last_work_);
    const Gate::Decision decision =
        gate.Submit(id,
                    {.service = kService,
                     .workspace = kWorkspace,
                     .method = "POST",
                     .target = "/viewings",
                     .deadline = Millis(1'000'000),
                     .ticket = message.ticket,
                     .configuration_revision = Revision(2)},
                    "house 17", now_);
    jobs_[message.agent].emplace(id.value(), message);
    switch (decision.verdict) {
      case Gate::Verdict::kRun:
        return OnRun(message);
      case Gate::Verdict::kQueued:
        return;
      case Gate::Verdict::kReplay: {
        Entry* entry = TakeListener(message);
        if (entry == nullptr) return;
        entry->policy->OnResponseHead();
        return Do(*entry, entry->policy->OnResponseEnd(true, Reason::kNone));
      }
      case Gate::Verdict::kRefused: {
        jobs_[message.agent].erase(id.value());
        Entry* entry = TakeListener(message);
        if (entry == nullptr) return;
        return Do(*entry,
                  entry->policy->OnRefused(decision.reason,
                                           decision.may_have_run, Millis(0)));
      }
    }
  }

  void OnRun(const Message& message) {
    ++runs_;
    ++runs_of_ticket_[message.ticket];
    EXPECT_EQ(runs_, 1) << "ran twice";
    EXPECT_FALSE(is_reported_not_run_)
        << "ran after it was reported as not run";
    EXPECT_FALSE(reported_not_run_[message.ticket]);
  }

  // The backend server completes the agent's oldest job.
  void FinishJob(int agent) {
    auto& jobs = jobs_[agent];
    if (jobs.empty()) return;
    const auto [id, message] = *jobs.begin();
    jobs.erase(jobs.begin());
    const Gate::Progress progress =
        agents_[agent].gate->Finish(WorkId(id), WorkResult::kServed,
                                    StoredResponse{.http_status = 200}, now_);
    if (Entry* entry = TakeListener(message)) {
      entry->policy->OnResponseHead();
      Do(*entry, entry->policy->OnResponseEnd(true, Reason::kNone));
    }
    for (const WorkId started : progress.start) {
      const auto job = jobs.find(started.value());
      if (job != jobs.end()) OnRun(job->second);
    }
  }

  void Check(bool has_caller_ticket) const {
    EXPECT_LE(runs_, 1);
    for (const Entry& entry : entries_) {
      if (!entry.has_ended) continue;
      if (entry.end.outcome == Outcome::kAnswered) {
        EXPECT_EQ(runs_, 1);
      }
      const bool was_told_not_run =
          entry.end.outcome == Outcome::kNotRun && !has_caller_ticket;
      if (was_told_not_run) {
        EXPECT_EQ(runs_, 0);
      }
    }
  }

  Random random_;
  TimePoint now_{std::chrono::hours(1)};
  std::array<Agent, kAgents> agents_;
  std::vector<Entry> entries_;
  std::deque<Message> messages_;
  std::map<int, std::map<std::uint64_t, Message>> jobs_;  // by agent
  std::uint64_t last_work_ = 0;
  int runs_ = 0;
  std::map<std::string, int> runs_of_ticket_;
  std::map<std::string, bool> reported_not_run_;
  bool is_reported_not_run_ = false;
  bool has_resubmitted_ = false;
};

constexpr std::uint64_t kSeeds = 20'000;

TEST(TicketProtocol, EntryTicketsRunAtMostOnce) {
  for (std::uint64_t seed = 0; seed < kSeeds && !HasFailure(); ++seed) {
    SCOPED_TRACE(seed);
    Schedule(seed).Run(/*has_caller_ticket=*/false);
  }
}

TEST(TicketProtocol, CallerTicketsRunAtMostOnce) {
  for (std::uint64_t seed = 0; seed < kSeeds && !HasFailure(); ++seed) {
    SCOPED_TRACE(seed);
    Schedule(seed).Run(/*has_caller_ticket=*/true);
  }
}

}  // namespace
}  // namespace mangohold
