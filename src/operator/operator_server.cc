#include "operator/operator_server.h"

#include <algorithm>
#include <array>
#include <charconv>

#include "core/json_types.h"
#include "core/log.h"

namespace mangohold {
namespace {

constexpr int kMostConnections = 64;
// The largest documents in use have a few KiB.
constexpr std::size_t kMostDocumentBytes = 1U << 20U;
constexpr std::size_t kMostHeldBytes = 8U << 20U;

using Json = nlohmann::json;

constexpr std::string_view kTreePrefix = "/v1/tree";
constexpr std::string_view kBearer = "Bearer ";

struct ResultRow {
  std::string_view name;
  int http_status;
};

constexpr std::array<ResultRow, 5> kResults = {{{"accepted", 200},
                                                {"invalid", 422},
                                                {"conflict", 409},
                                                {"refused", 503},
                                                {"unknown", 504}}};

void ReplyJson(const std::shared_ptr<HttpExchange>& exchange, int status,
               const Json& body) {
  exchange->Reply(status, {{"Content-Type", "application/json"}},
                  body.dump(2) + '\n');
}

Json ToJson(const DocumentVersion& version) {
  return {{"path", version.path},
          {"revision", version.revision},
          {"text", version.text}};
}

// A comparison whose time doesn't depend on where the texts differ.
bool IsSameSecret(std::string_view a, std::string_view b) {
  if (a.size() != b.size()) return false;
  unsigned difference = 0;
  for (std::size_t i = 0; i < a.size(); ++i) {
    difference |=
        static_cast<unsigned char>(a[i]) ^ static_cast<unsigned char>(b[i]);
  }
  return difference == 0;
}

// Milliseconds since the settings were confirmed; -1: never.
std::int64_t ConfirmedAgeMs(const ConfigReplica& spread, TimePoint now) {
  const TimePoint never = now + Millis(1);
  return ToMillis(now - spread.confirmed_as_of(now).value_or(never));
}

// The entries that were asked, and the agents that asked.
Json HeardInstances(const ConfigReplica& spread, TimePoint now) {
  Json instances = Json::array();
  for (const auto& [id, peer] : spread.peers()) {
    Json item;
    item["instance"] = id;
    item["role"] = "entry";
    item["incarnation"] = peer.incarnation;
    item["revision"] = peer.complete_through;
    item["heard_ms_ago"] = ToMillis(now - peer.replied_at);
    item["qualified"] = peer.is_qualified;
    item["leaving"] = peer.is_leaving;
    instances.push_back(std::move(item));
  }
  for (const auto& [id, asker] : spread.requesters()) {
    if (spread.peers().contains(id)) continue;
    Json item;
    item["instance"] = id;
    item["role"] = "agent";
    item["revision"] = asker.complete_through;
    item["heard_ms_ago"] = ToMillis(now - asker.last_request_at);
    instances.push_back(std::move(item));
  }
  return instances;
}

}  // namespace

OperatorServer::OperatorServer(EventLoop& loop, Options options,
                               ConfigReplicator& node, PlatformClient& client,
                               Counters& counters)
    : options_(std::move(options)),
      node_(node),
      editor_(client),
      http_(loop.io(),
            {.address = options_.listen,
             .max_connections = kMostConnections,
             .max_body_bytes = kMostDocumentBytes,
             .memory = {.limit = kMostHeldBytes, .reserve = kMostHeldBytes / 4},
             .counters = &counters},
            [this](const HttpRequest& request, const Exchange& exchange) {
              Handle(request, exchange);
            }) {}

absl::Status OperatorServer::Start() { return http_.Listen(); }

void OperatorServer::Handle(const HttpRequest& request,
                            const Exchange& exchange) {
  if (request.path == "/v1/status" && request.method == "GET") {
    return HandleStatus(exchange);
  }
  if (!request.path.starts_with(kTreePrefix)) {
    return ReplyJson(exchange, 404, {{"error", "no such path"}});
  }
  const std::string path = request.path.substr(kTreePrefix.size());
  if (request.method == "GET" && (path.empty() || path == "/")) {
    HandleList(exchange);
  } else if (request.method == "GET") {
    HandleRead(path, exchange);
  } else if (request.method == "PUT") {
    HandleChange(request, path, exchange);
  } else {
    ReplyJson(exchange, 405, {{"error", "use GET or PUT"}});
  }
}

void OperatorServer::HandleList(const Exchange& exchange) {
  Json documents = Json::array();
  for (const auto& version : node_.tree().ChangesSince(Revision()).documents) {
    if (!version.text.empty()) documents.push_back(ToJson(version));
  }
  ReplyJson(exchange, 200,
            {{"documents", documents},
             {"complete_through", node_.tree().complete_through()}});
}

void OperatorServer::HandleRead(const std::string& path,
                                const Exchange& exchange) {
  const DocumentVersion version = node_.tree().Find(path);
  const bool is_found = version.revision != Revision() && !version.text.empty();
  ReplyJson(exchange, is_found ? 200 : 404, ToJson(version));
}

// What is in force here and at the processes that this entry hears.
void OperatorServer::HandleStatus(const Exchange& exchange) {
  const ConfigReplica& spread = node_.replica();
  const TimePoint now = Clock::now();
  Json status;
  status["instance"] = options_.instance;
  status["revision"] = spread.tree().complete_through();
  status["confirmed_ms_ago"] = ConfirmedAgeMs(spread, now);
  status["qualified"] = spread.is_qualified();
  status["hears_majority"] = spread.HearsMajority(now);
  status["watches_store"] = spread.ShouldWatch(now);
  status["instances"] = HeardInstances(spread, now);
  ReplyJson(exchange, 200, status);
}

const OperatorToken* OperatorServer::Authorise(const HttpRequest& request,
                                               const std::string& path) const {
  std::string_view token = request.Field("Authorization");
  if (!token.starts_with(kBearer)) return nullptr;
  token.remove_prefix(kBearer.size());
  const auto it = std::ranges::find_if(
      options_.operators, [&](const OperatorToken& candidate) {
        return IsSameSecret(candidate.token, token) &&
               path.starts_with(candidate.subtree);
      });
  return it == options_.operators.end() ? nullptr : &*it;
}

void OperatorServer::HandleChange(const HttpRequest& request,
                                  const std::string& path,
                                  const Exchange& exchange) {
  const OperatorToken* token = Authorise(request, path);
  if (token == nullptr) {
    return ReplyJson(exchange, 403,
                     {{"result", "refused"},
                      {"detail", "no token that opens this subtree"}});
  }
  const std::string expected = request.QueryValue("if_revision");
  std::uint64_t revision = 0;
  const char* end = expected.data() + expected.size();
  const auto number = std::from_chars(expected.data(), end, revision);
  if (number.ec != std::errc() || number.ptr != end) {
    return ReplyJson(
        exchange, 400,
        {{"result", "refused"},
         {"detail", "if_revision is needed; 0 for a new document"}});
  }
  Log(LogLevel::kInfo, "change_requested",
      {{"path", path}, {"operator", token->name}, {"if_revision", revision}});
  const auto on_reply = [exchange, path,
                         name = token->name](const ChangeReply& reply) {
    const ResultRow& row = kResults[static_cast<std::size_t>(reply.result)];
    Log(LogLevel::kInfo, "change_done",
        {{"path", path},
         {"operator", name},
         {"result", row.name},
         {"revision", reply.revision.number()}});
    ReplyJson(exchange, row.http_status,
              {{"result", row.name},
               {"revision", reply.revision},
               {"detail", reply.detail}});
  };
  if (!node_.replica().HearsMajority(Clock::now())) {
    return on_reply({.result = ChangeResult::kRefused,
                     .detail = "this entry hears no majority of the entries"});
  }
  const TimePoint sent_at = Clock::now();
  editor_.Change(path, request.body, Revision(revision), token->name,
                 [this, sent_at, on_reply](const ChangeReply& reply) {
                   if (reply.result != ChangeResult::kStored) {
                     return on_reply(reply);
                   }
                   Follow(reply, sent_at, on_reply);
                 });
}

void OperatorServer::Follow(const ChangeReply& stored, TimePoint sent_at,
                            std::function<void(ChangeReply)> on_reply) {
  node_.ReadStore([] {});
  node_.NotifyWhenAccepted(
      stored.revision, sent_at + ConfigReplica::kAcceptTimeout,
      [stored, on_reply = std::move(on_reply)](bool is_accepted) {
        ChangeReply reply = stored;
        if (!is_accepted) {
          reply.result = ChangeResult::kUnknown;
          reply.detail =
              "stored, but not known to be in force at a majority of entries";
        }
        on_reply(reply);
      });
}

}  // namespace mangohold
