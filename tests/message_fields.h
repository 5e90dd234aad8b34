// The fields of the messages between our processes, for tests that each one
// arrives. Each message is taken apart into all its fields: one that gains a
// field doesn't compile here until the field is named, and the tests then fail
// until the codec sends it.
#pragma once

#include <concepts>
#include <memory>
#include <optional>
#include <string>
#include <tuple>
#include <type_traits>
#include <vector>

#include "group/rank_messages.h"
#include "peer/entry_gossip.h"
#include "peer/messages.h"
#include "spread/sync_message.h"
#include "store/change_relay.h"
#include "store/member.h"

namespace mangohold {

// --- Datagrams of agents ----------------------------------------------------

inline auto FieldsOf(RankReport& message) {
  auto& [group, epoch, rank, size, is_open, pass, sequence, is_busy, map,
         prepared, armed, armed_at, held, running, waiting, slowdown] = message;
  return std::tie(group, epoch, rank, size, is_open, pass, sequence, is_busy,
                  map, prepared, armed, armed_at, held, running, waiting,
                  slowdown);
}

inline auto FieldsOf(RankStatus& message) {
  auto& [agent, term, report, holdings, accepted, granted, ready_for,
         may_arm_late, missing, is_from_agent] = message;
  return std::tie(agent, term, report, holdings, accepted, granted, ready_for,
                  may_arm_late, missing, is_from_agent);
}

inline auto FieldsOf(MapDelta::Row& message) {
  auto& [set, rank, added, dropped] = message;
  return std::tie(set, rank, added, dropped);
}

inline auto FieldsOf(MapDelta& message) {
  auto& [base, digest, rows] = message;
  return std::tie(base, digest, rows);
}

inline auto FieldsOf(RankCommand& message) {
  auto& [rank, order, epoch, version, pass, map, delta, is_direct, is_grant,
         is_readiness_query] = message;
  return std::tie(rank, order, epoch, version, pass, map, delta, is_direct,
                  is_grant, is_readiness_query);
}

inline auto FieldsOf(RankMessage& message) {
  auto& [kind, group, term, sender, rank, reply_to, zone, backend, status,
         counts, collector, command] = message;
  return std::tie(kind, group, term, sender, rank, reply_to, zone, backend,
                  status, counts, collector, command);
}

// --- Store records and gossip -----------------------------------------------

inline auto FieldsOf(Member& message) {
  auto& [id, role, zone, caller, peer, backend, group, admin, slowdown,
         cpu_share] = message;
  return std::tie(id, role, zone, caller, peer, backend, group, admin, slowdown,
                  cpu_share);
}

inline auto FieldsOf(BackendShare& message) {
  auto& [backend, requests, prefill_tokens] = message;
  return std::tie(backend, requests, prefill_tokens);
}

inline auto FieldsOf(ZoneDigest& message) {
  auto& [zone, age_us, alive, shares] = message;
  return std::tie(zone, age_us, alive, shares);
}

inline auto FieldsOf(PoisonReport::Crash& message) {
  auto& [backend, age_us, candidates] = message;
  return std::tie(backend, age_us, candidates);
}

inline auto FieldsOf(PoisonReport::Cleared& message) {
  auto& [suspect, age_us] = message;
  return std::tie(suspect, age_us);
}

inline auto FieldsOf(PoisonReport& message) {
  auto& [crashes, cleared] = message;
  return std::tie(crashes, cleared);
}

inline auto FieldsOf(RateLimitReport& message) {
  auto& [backend, requests_per_s, age_us, started_ms] = message;
  return std::tie(backend, requests_per_s, age_us, started_ms);
}

inline auto FieldsOf(GossipMessage& message) {
  auto& [sender, is_leaving, timestamp_us, echoed_timestamp_us, echo_delay_us,
         deployment, confirmed_age_us, shares, zones, poison, limits] = message;
  return std::tie(sender, is_leaving, timestamp_us, echoed_timestamp_us,
                  echo_delay_us, deployment, confirmed_age_us, shares, zones,
                  poison, limits);
}

// --- Store changes through other entries
// --------------------------------------

inline auto FieldsOf(StoreItem& message) {
  auto& [key, value, revision, created, lease] = message;
  return std::tie(key, value, revision, created, lease);
}

inline auto FieldsOf(StoreEvent& message) {
  auto& [item, is_deleted] = message;
  return std::tie(item, is_deleted);
}

inline auto FieldsOf(StoreEvents& message) {
  auto& [events, revision, is_history_lost] = message;
  return std::tie(events, revision, is_history_lost);
}

inline auto FieldsOf(RelayedEvents& message) {
  auto& [events, age, held] = message;
  return std::tie(events, age, held);
}

// --- Configuration between processes
// ------------------------------------------

inline auto FieldsOf(DocumentVersion& message) {
  auto& [path, revision, text] = message;
  return std::tie(path, revision, text);
}

inline auto FieldsOf(TreeUpdate& message) {
  auto& [documents, complete_through] = message;
  return std::tie(documents, complete_through);
}

inline auto FieldsOf(Instance& message) {
  auto& [id, role, state, zone, service, peer, control, caller] = message;
  return std::tie(id, role, state, zone, service, peer, control, caller);
}

inline auto FieldsOf(SyncRequest& message) {
  auto& [instance, is_qualified, complete_through, list_digest, wait] = message;
  return std::tie(instance, is_qualified, complete_through, list_digest, wait);
}

inline auto FieldsOf(SyncReply& message) {
  auto& [instance, incarnation, is_qualified, is_whole, is_leaving, held,
         confirmed_age, update, instances, has_instances, list_digest,
         list_age] = message;
  return std::tie(instance, incarnation, is_qualified, is_whole, is_leaving,
                  held, confirmed_age, update, instances, has_instances,
                  list_digest, list_age);
}

// --- Entries and agents
// -------------------------------------------------------

inline auto FieldsOf(AgentStatus& message) {
  auto& [instance, incarnation, limit, in_flight, queued, queue_limit,
         mean_service_us, is_cold, is_closed] = message;
  return std::tie(instance, incarnation, limit, in_flight, queued, queue_limit,
                  mean_service_us, is_cold, is_closed);
}

inline auto FieldsOf(TicketRequest& message) {
  auto& [service] = message;
  return std::tie(service);
}

inline auto FieldsOf(TicketReply& message) {
  auto& [reason, retry_after, ticket, status] = message;
  return std::tie(reason, retry_after, ticket, status);
}

inline auto FieldsOf(SubmitRequest& message) {
  auto& [request, service, workspace, method, target, content_type, deadline,
         priority, ticket, configuration_revision] = message;
  return std::tie(request, service, workspace, method, target, content_type,
                  deadline, priority, ticket, configuration_revision);
}

inline auto FieldsOf(SubmitReply& message) {
  auto& [reason, may_have_run, retry_after, http_status, content_type, status] =
      message;
  return std::tie(reason, may_have_run, retry_after, http_status, content_type,
                  status);
}

inline auto FieldsOf(SubmitTrailer& message) {
  auto& [is_complete, reason, body_bytes, status] = message;
  return std::tie(is_complete, reason, body_bytes, status);
}

inline auto FieldsOf(VoidRequest& message) {
  auto& [ticket] = message;
  return std::tie(ticket);
}

inline auto FieldsOf(VoidReply& message) {
  auto& [state, status] = message;
  return std::tie(state, status);
}

inline auto FieldsOf(StatusRequest& message) {
  auto& [instance] = message;
  return std::tie(instance);
}

// --- All fields of a message
// ----------------------------------------------------

template <typename Value>
concept HasFields = requires(Value& value) {
  FieldsOf(value);
};

// Gives each field a value of its own that isn't its default.
class FieldFiller {
 public:
  template <typename Value>
  void Fill(Value& value) {
    if constexpr (HasFields<Value>) {
      std::apply([this](auto&... field) { (this->Fill(field), ...); },
                 FieldsOf(value));
    } else if constexpr (std::is_same_v<Value, bool>) {
      value = !value;
    } else if constexpr (std::is_enum_v<Value>) {
      value = static_cast<Value>(static_cast<int>(value) == 1 ? 0 : 1);
    } else if constexpr (std::is_floating_point_v<Value>) {
      value = static_cast<Value>(Next()) + 0.5;
    } else if constexpr (std::is_integral_v<Value>) {
      value = static_cast<Value>(Next());
    } else if constexpr (std::is_same_v<Value, Duration>) {
      value = std::chrono::microseconds(Next());
    } else {
      value = Value(Next());
    }
  }
  void Fill(std::string& value) { value = std::to_string(Next()); }
  template <typename Tag>
  void Fill(Id<Tag>& value) {
    value = Id<Tag>(std::to_string(Next()));
  }
  void Fill(Suspect& value) { value = Suspect(PromptPart(Next())); }
  template <typename Value>
  void Fill(std::optional<Value>& value) {
    Fill(value.emplace());
  }
  template <typename Value>
  void Fill(std::shared_ptr<const Value>& value) {
    auto filled = std::make_shared<Value>();
    Fill(*filled);
    value = std::move(filled);
  }
  template <typename Value>
  void Fill(std::vector<Value>& value) {
    if constexpr (std::is_same_v<Value, Suspect>) {
      value.assign(2, Suspect(PromptPart()));
    } else if constexpr (std::is_same_v<Value, PoisonReport::Cleared>) {
      value.assign(2, {.suspect = Suspect(PromptPart())});
    } else {
      value.resize(2);
    }
    for (Value& element : value) Fill(element);
  }

 private:
  std::uint64_t Next() { return next_++; }

  std::uint64_t next_ = 101;
};

// All values of a message as text, field by field.
class FieldPrinter {
 public:
  template <typename Message>
  static std::string TextOf(Message message) {
    FieldPrinter printer;
    printer.Print(message);
    return printer.text_;
  }

 private:
  template <typename Value>
  void Print(Value& value) {
    if constexpr (HasFields<Value>) {
      text_ += "{ ";
      std::apply([this](auto&... field) { (this->Print(field), ...); },
                 FieldsOf(value));
      text_ += "} ";
    } else if constexpr (std::is_enum_v<Value>) {
      Add(static_cast<int>(value));
    } else if constexpr (std::is_arithmetic_v<Value>) {
      Add(value);
    } else if constexpr (requires { value.count(); }) {
      Add(value.count());
    } else if constexpr (requires { value.packed(); }) {
      Add(value.packed());
    } else {
      auto text_or_number = value.value();
      Print(text_or_number);
    }
  }
  void Print(std::string& value) { text_ += '"' + value + "\" "; }
  template <typename Value>
  void Print(std::optional<Value>& value) {
    if (!value) {
      text_ += "none ";
    } else {
      Print(*value);
    }
  }
  template <typename Value>
  void Print(std::shared_ptr<const Value>& value) {
    if (!value) {
      text_ += "none ";
    } else {
      Value copy = *value;
      Print(copy);
    }
  }
  template <typename Value>
  void Print(std::vector<Value>& value) {
    text_ += "[ ";
    for (Value& element : value) Print(element);
    text_ += "] ";
  }
  template <typename Number>
  void Add(Number number) {
    text_ += std::to_string(number) + ' ';
  }

  std::string text_;
};

template <typename Message>
Message Filled() {
  Message message;
  FieldFiller().Fill(message);
  return message;
}

}  // namespace mangohold
