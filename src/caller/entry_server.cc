#include "caller/entry_server.h"

#include <algorithm>
#include <array>
#include <charconv>
#include <functional>
#include <nlohmann/json.hpp>
#include <ranges>

#include "core/log.h"
#include "core/random.h"
#include "core/status.h"

namespace mangohold {
namespace {

constexpr std::string_view kServicePrefix = "/v1/services/";
constexpr std::int64_t kMostDeadlineMs = 600'000;
// The part of a prompt that prefix affinity goes by.
constexpr std::size_t kPrefixBytes = 512;
constexpr std::size_t kMostRequestIdBytes = 128;
constexpr Duration kStatusInterval = std::chrono::milliseconds(500);

constexpr std::array<std::string_view, static_cast<int>(Priority::kCount)>
    kPriorities = {"high", "normal", "low"};

absl::StatusOr<Priority> ParsePriority(std::string_view text) {
  if (text.empty()) return Priority::kNormal;
  const auto* it = std::ranges::find(kPriorities, text);
  if (it == kPriorities.end()) {
    return absl::InvalidArgumentError(
        "Mangohold-Priority must be high, normal or low");
  }
  return static_cast<Priority>(it - kPriorities.begin());
}

absl::StatusOr<Millis> ParseDeadline(std::string_view text, Millis standard) {
  if (text.empty()) return standard;
  std::int64_t millis = 0;
  const char* end = text.data() + text.size();
  const auto result = std::from_chars(text.data(), end, millis);
  const bool is_number = result.ec == std::errc() && result.ptr == end;
  if (!is_number || millis < 1 || millis > kMostDeadlineMs) {
    return absl::InvalidArgumentError(
        "Mangohold-Deadline-Ms must be from 1 to 600000");
  }
  return Millis(millis);
}

// A caller's own id is taken if it is short and printable.
RequestId ChooseRequestId(std::string_view text) {
  const bool is_usable =
      !text.empty() && text.size() <= kMostRequestIdBytes &&
      std::ranges::all_of(text, [](char c) { return c > ' ' && c < 127; });
  return RequestId(is_usable ? std::string(text) : RandomHex128());
}

std::uint64_t PrefixHash(std::string_view body) {
  return std::hash<std::string_view>{}(body.substr(0, kPrefixBytes));
}

}  // namespace

EntryServer::EntryServer(EventLoop& loop, Options options, Counters& counters)
    : loop_(loop),
      options_(std::move(options)),
      counters_(counters),
      shared_context_(std::make_shared<EntryContext>(EntryContext{
          .loop = loop,
          .counters = counters,
          .router = Router({.zone = options_.zone, .seed = options_.seed}),
          .configuration = std::make_shared<const Configuration>(),
          .links = {},
          .budgets = {},
          .in_flight = {}})),
      context_(*shared_context_),
      http_(loop.io(),
            {.address = options_.listen,
             .max_connections = options_.max_connections,
             .max_body_bytes = options_.max_body_bytes,
             .memory = options_.memory,
             .counters = &counters},
            [this](HttpRequest request, const Exchange& exchange) {
              Handle(std::move(request), exchange);
            }) {}

absl::Status EntryServer::Start() {
  loop_.Every(kStatusInterval, [this] {
    for (const auto& [id, link] : context_.links) AskStatus(id);
  });
  return http_.Listen();
}

// Answers carry the status too; asking covers servers that get no work.
void EntryServer::AskStatus(const InstanceId& backend) {
  const PeerLinkPtr link = context_.LinkTo(backend);
  if (link == nullptr || !link->is_up()) return;
  link->Call(kStatusPath, Encode(StatusRequest{.instance = options_.instance}),
             [this, backend](const std::optional<std::string>& reply) {
               const auto status = Decode<AgentStatus>(reply.value_or(""));
               if (!status.ok()) return;
               context_.router.OnStatus(backend, *status);
             });
}

void EntryServer::SetConfiguration(ConfigurationPtr configuration) {
  has_configuration_ = true;
  if (configuration->IsZoneIn(options_.zone)) {
    zone_out_since_.reset();
  } else if (!zone_out_since_) {
    zone_out_since_ = Clock::now();
  }
  context_.configuration = configuration;
  context_.router.SetConfiguration(std::move(configuration));
}

void EntryServer::SetInstances(const std::vector<Instance>& instances) {
  instances_ = instances;
  context_.live_entries = static_cast<int>(
      std::ranges::count(instances, InstanceRole::kEntry, &Instance::role));
  SyncLinks();
  context_.router.SetInstances(instances);
  counters_.Set(Gauge::kBackendsKnown,
                static_cast<std::int64_t>(context_.router.size()));
}

// Keeps one link to each backend server of the list.
void EntryServer::SyncLinks() {
  const auto wanted = [this](const InstanceId& id, const Endpoint& agent) {
    return std::ranges::any_of(instances_, [&](const Instance& instance) {
      return instance.id == id && instance.peer == agent;
    });
  };
  std::erase_if(context_.links, [&wanted](const auto& item) {
    if (wanted(item.first, item.second->peer())) return false;
    item.second->Stop();
    return true;
  });
  for (const Instance& instance : instances_) {
    if (instance.role != InstanceRole::kBackend) continue;
    if (context_.links.contains(instance.id)) continue;
    const InstanceId id = instance.id;
    auto link = std::make_shared<PeerLink>(
        loop_, PeerLink::Options{.peer = instance.peer},
        [this, id](bool is_up) {
          context_.router.OnLink(id, is_up);
          if (is_up) AskStatus(id);
        },
        counters_);
    context_.links.emplace(id, link);
    link->Start();
  }
}

void EntryServer::BeginLeaving() {
  is_leaving_ = true;
  http_.CloseAfterReply();
}

void EntryServer::EndRequests() {
  const std::set<RequestRun*> runs = context_.runs;
  for (RequestRun* run : runs) {
    // The end of one may be the end of others.
    if (context_.runs.contains(run)) run->EndForLeaving();
  }
}

OwedAnswers EntryServer::Owed() const {
  OwedAnswers owed{.unwritten = http_.unwritten()};
  for (const RequestRun* run : context_.runs) run->CountIn(owed);
  return owed;
}

void EntryServer::Handle(HttpRequest request, const Exchange& exchange) {
  const bool is_get = request.method == "GET";
  if (request.path.starts_with(kServicePrefix)) {
    HandleCall(std::move(request), exchange);
  } else if (request.path == "/v1/tickets" && request.method == "POST") {
    HandleTicket(request, exchange);
  } else if (request.path == "/v1/entries" && is_get) {
    HandleEntries(exchange);
  } else if (request.path == "/metrics" && is_get) {
    counters_.Set(Gauge::kInFlight, context_.requests);
    counters_.Set(Gauge::kBackendsOpen,
                  context_.router.CountEligible(Clock::now()));
    exchange->Reply(200, {{"Content-Type", "text/plain; version=0.0.4"}},
                    counters_.PrometheusText());
  } else if (request.path == "/healthz" && is_get) {
    exchange->Reply(200, {}, "ok\n");
  } else if (request.path == "/readyz" && is_get) {
    HandleReady(exchange);
  } else {
    exchange->Reply(404, {{"Content-Type", "application/json"}},
                    "{\"error\":\"no such path\"}\n");
  }
}

void EntryServer::HandleReady(const Exchange& exchange) {
  if (is_leaving_) {
    exchange->Reply(503, {}, "leaving\n");
  } else if (!has_configuration_) {
    exchange->Reply(503, {}, "no configuration\n");
  } else {
    exchange->Reply(200, {}, "ready\n");
  }
}

// The addresses that callers may use: live entries in zones that are in.
void EntryServer::HandleEntries(const Exchange& exchange) {
  const auto is_listed = [this](const Instance& instance) {
    return instance.role == InstanceRole::kEntry &&
           instance.state == InstanceState::kLive &&
           context_.configuration->IsZoneIn(instance.zone) &&
           !(is_leaving_ && instance.id == options_.instance);
  };
  nlohmann::json entries = nlohmann::json::array();
  for (const Instance& instance : instances_ | std::views::filter(is_listed)) {
    entries.push_back({{"address", instance.caller.value()},
                       {"zone", instance.zone.value()}});
  }
  const std::int64_t max_age_ms = options_.address_max_age.count();
  exchange->Reply(
      200,
      {{"Content-Type", "application/json"},
       {"Cache-Control", "max-age=" + std::to_string(max_age_ms / 1000)}},
      nlohmann::json{{"entries", entries}, {"max_age_ms", max_age_ms}}.dump() +
          '\n');
}

void EntryServer::HandleTicket(const HttpRequest& request,
                               const Exchange& exchange) {
  const RequestId id = ChooseRequestId(request.Field("Mangohold-Request-Id"));
  const auto body = nlohmann::json::parse(request.body, nullptr, false);
  const ServiceName service(
      body.is_object() ? body.value("service", std::string()) : std::string());
  if (!context_.configuration->services.contains(service)) {
    return Refuse(id, Outcome::kNotRun, Reason::kUnknownService,
                  "unknown service", exchange);
  }
  GrantTicket(service, id, 200, exchange);
}

void EntryServer::GrantTicket(const ServiceName& service, const RequestId& id,
                              int status, const Exchange& exchange) {
  const InstanceId chosen =
      context_.router.Choose({.service = service, .tried = {}}, Clock::now())
          .value_or(InstanceId());
  const PeerLinkPtr link = context_.LinkTo(chosen);
  if (link == nullptr) {
    return Refuse(id, Outcome::kNotRun, Reason::kNoBackend, "", exchange);
  }
  link->Call(
      kTicketPath, Encode(TicketRequest{.service = service}),
      [this, id, status, exchange](const std::optional<std::string>& message) {
        const auto reply = Decode<TicketReply>(message.value_or(""));
        if (!reply.ok()) {
          return Refuse(id, Outcome::kNotRun, Reason::kAgentUnreachable, "",
                        exchange);
        }
        if (reply->reason != Reason::kNone) {
          return Refuse(id, Outcome::kNotRun, reply->reason, "", exchange);
        }
        nlohmann::json body = {{"ticket", reply->ticket},
                               {"request_id", id.value()}};
        HttpFields fields = {{"Content-Type", "application/json"},
                             {"Mangohold-Ticket", reply->ticket}};
        if (status != 200) {
          counters_.CountOutcome(Outcome::kNotRun);
          counters_.CountRefusal(Reason::kTicketRequired);
          const std::string outcome(Name(Outcome::kNotRun));
          const std::string reason(Name(Reason::kTicketRequired));
          body["outcome"] = outcome;
          body["reason"] = reason;
          fields.push_back({"Mangohold-Outcome", outcome});
          fields.push_back({"Mangohold-Reason", reason});
        }
        exchange->Reply(status, fields, body.dump() + '\n');
      });
}

void EntryServer::HandleCall(HttpRequest request, const Exchange& exchange) {
  const RequestId id = ChooseRequestId(request.Field("Mangohold-Request-Id"));
  counters_.Count(Event::kRequests);
  const bool has_ticket = !request.Field("Mangohold-Ticket").empty();
  const Outcome outcome = has_ticket ? Outcome::kUnknown : Outcome::kNotRun;
  const bool has_key = !request.Field("Idempotency-Key").empty();
  Reason reason = Reason::kBadRequest;
  auto checked = ToCallerRequest(std::move(request), reason);
  if (!checked.ok()) {
    return Refuse(id, outcome, reason, MessageOf(checked.status()), exchange);
  }
  checked->id = id;
  if (context_.requests >= options_.max_requests) {
    return Refuse(id, outcome, Reason::kEntryLimit, "", exchange);
  }
  if (IsOverWorkspaceLimit(checked->workspace)) {
    return Refuse(id, outcome, Reason::kWorkspaceLimit, "", exchange);
  }
  if (IsZoneLongOut()) {
    return Refuse(id, outcome, Reason::kZoneOut,
                  "ask GET /v1/entries for others", exchange);
  }
  // A caller that says it may try again needs a ticket to do so safely.
  if (!checked->is_repeatable && has_key && checked->ticket.empty()) {
    return GrantTicket(checked->service, id,
                       HttpStatus(Reason::kTicketRequired), exchange);
  }
  std::make_shared<RequestRun>(shared_context_, *std::move(checked), exchange)
      ->Start();
}

absl::StatusOr<CallerRequest> EntryServer::ToCallerRequest(
    HttpRequest request, Reason& reason) const {
  CallerRequest out;
  // 1. The service, from the path.
  std::string_view rest = request.path;
  rest.remove_prefix(kServicePrefix.size());
  const std::size_t slash = std::min(rest.find('/'), rest.size());
  out.service = ServiceName(std::string(rest.substr(0, slash)));
  out.target = slash < rest.size() ? std::string(rest.substr(slash)) : "/";
  if (!has_configuration_) {
    reason = Reason::kConfigurationUnknown;
    return absl::UnavailableError("the configuration isn't known yet");
  }
  const auto service = context_.configuration->services.find(out.service);
  if (service == context_.configuration->services.end()) {
    reason = Reason::kUnknownService;
    return absl::NotFoundError("unknown service");
  }
  const ServiceDocument& document = service->second.document;
  out.is_repeatable = document.IsRepeatable(request.method, out.target);
  out.max_attempts = document.max_attempts;
  out.retry_budget_percent = document.retry_budget_percent;
  if (!request.query.empty()) out.target += '?' + request.query;
  // 2. The workspace.
  out.workspace =
      WorkspaceName(std::string(request.Field("Mangohold-Workspace")));
  if (!context_.configuration->workspaces.contains(out.workspace)) {
    reason = Reason::kUnknownWorkspace;
    return absl::PermissionDeniedError("unknown Mangohold-Workspace");
  }
  // 3. How urgent it is.
  const auto priority = ParsePriority(request.Field("Mangohold-Priority"));
  if (!priority.ok()) return priority.status();
  out.priority = *priority;
  const auto deadline = ParseDeadline(request.Field("Mangohold-Deadline-Ms"),
                                      document.default_deadline);
  if (!deadline.ok()) return deadline.status();
  out.deadline = *deadline;
  // 4. What to run.
  out.method = std::move(request.method);
  out.ticket = std::string(request.Field("Mangohold-Ticket"));
  out.content_type = std::string(request.Field("Content-Type"));
  out.body = std::move(request.body);
  if (document.prefix_gain.count() > 0) out.prefix = PrefixHash(out.body);
  return out;
}

bool EntryServer::IsZoneLongOut() const {
  return zone_out_since_ &&
         Clock::now() - *zone_out_since_ > options_.address_max_age;
}

// Each entry keeps to an equal share of a workspace's limit.
bool EntryServer::IsOverWorkspaceLimit(const WorkspaceName& workspace) const {
  const auto it = context_.configuration->workspaces.find(workspace);
  const int entries = std::max(context_.configuration->fleet.expected_entries,
                               context_.live_entries);
  const int share = it->second.document.max_in_flight / entries;
  const auto used = context_.in_flight.find(workspace);
  return used != context_.in_flight.end() && used->second >= share;
}

void EntryServer::Refuse(const RequestId& id, Outcome outcome, Reason reason,
                         std::string_view detail, const Exchange& exchange) {
  constexpr Millis kRetryAfter{1'000};
  const int status = HttpStatus(reason);
  counters_.CountOutcome(outcome);
  counters_.CountRefusal(reason);
  HttpFields fields = {{"Content-Type", "application/json"},
                       {"Mangohold-Request-Id", id.value()},
                       {"Mangohold-Outcome", std::string(Name(outcome))},
                       {"Mangohold-Reason", std::string(Name(reason))}};
  nlohmann::json body = {{"outcome", Name(outcome)},
                         {"reason", Name(reason)},
                         {"request_id", id.value()}};
  if (!detail.empty()) body["detail"] = detail;
  if (status == 503 || status == 429) {
    body["retry_after_ms"] = kRetryAfter.count();
    fields.push_back({"Retry-After", "1"});
  }
  exchange->Reply(status, fields, body.dump() + '\n');
}

}  // namespace mangohold
